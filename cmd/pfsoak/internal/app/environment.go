package app

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/drive"
	"plantainfold.example/fold/flow"
	"plantainfold.example/fold/lead"
	"plantainfold.example/fold/model"
	"plantainfold.example/fold/plat"
	"plantainfold.example/platform/stand"
)

const (
	// queueHost is the host name of all queues.
	queueHost = "soak.example"
	// keyPrefix is the beginning of the API keys of the teams.
	keyPrefix = "soak-key"
	// registrationInterval is the time between registrations of the hosts.
	registrationInterval = 300 * time.Millisecond
)

// environment is everything around the entries: the simulated platform, its hosts, and the checks of package model.
type environment struct {
	log      hclog.Logger
	random   *rand.Rand
	workload model.Day
	// live simulates the hosts and checks what the entries do.
	live  *model.Live
	table *plat.Table
	// hostLoad is the processor that the hosts share.
	hostLoad hostLoad
	// storeFaults sets the fault of the store.
	storeFaults *plat.Faults
	// store holds the limits of the store and faults that depend on the entry, or nil for a store without limits.
	store *storeState
	// servers are the servers of the simulated platform and its hosts.
	servers []*httptest.Server
	rules   fold.Rules
	links   *links
	// domains holds the failure domain of each host by its id.
	domains map[string]string

	mu sync.Mutex
	// hostServers holds the current server of each host by its id.
	hostServers map[string]*httptest.Server
	// backlog holds the decoded rows of the backlog by key.
	backlog map[string]backlogRow
	// unlisted counts, by the id of a host, the active faults that keep it from registering.
	unlisted map[string]int
}

// domainNames are the failure domains, over which entries and hosts are spread in turn.
var domainNames = []string{"soak-a", "soak-b", "soak-c"}

// newWorkload returns the workload of a test run: the job classes of a planning service on a pool of the given size, or those
// of a large pool. The mean run time of tasks is limited to maxRunTime.
func newWorkload(seed uint64, hosts int, large bool, maxRunTime time.Duration) model.Day {
	workload := model.PlanningDay(seed)
	workload.Hosts, workload.Racks = hosts, max(1, hosts/4)
	workload.ScaleLimits(hosts)
	for i := range workload.Classes {
		c := &workload.Classes[i]
		// The rates of PlanningDay are meant for 48 hosts.
		c.Rate *= float64(hosts) / 48 * loadFactor
		c.RunTime = min(c.RunTime, maxRunTime)
		c.CancelAfter = longRunningTime
	}
	if large {
		workload = model.LargePoolDay(seed, hosts)
	}
	for i := range workload.Classes {
		q := &workload.Classes[i].Queue
		q.Host, q.Prefix, q.Service = queueHost, "/"+workload.Classes[i].Name+"/", "pool"
	}
	for i := range workload.Teams {
		workload.Teams[i].Keys = []string{fmt.Sprintf("%s-%d", keyPrefix, i)}
	}
	return workload
}

const (
	// loadFactor scales the arrival rate of jobs to what a shared machine can process.
	loadFactor = 1.2
	// shortRunTime limits the mean run time of tasks, so that a test run stays short.
	shortRunTime = 3 * time.Second
	// longRunTime is the limit beside faults of links. Many tasks then outlast a lease.
	longRunTime = 6 * time.Second
	// longRunningTime is the time within which callers cancel long-running jobs, except those of a large pool.
	longRunningTime = 8 * time.Second
)

// newEnvironment returns the environment of a test run. The links of the entries with the given names get proxies. The orders
// to the hosts are logged to hostLog.
func newEnvironment(ctx context.Context, seed uint64, workload model.Day, linked []string, log, hostLog hclog.Logger) (*environment, error) {
	e := &environment{
		log: log, random: rand.New(rand.NewPCG(seed, 7)), workload: workload, table: plat.NewTable(), storeFaults: plat.NewFaults(fold.BootClock{}),
		links: newLinks(linked), domains: make(map[string]string), hostServers: make(map[string]*httptest.Server), unlisted: make(map[string]int), backlog: make(map[string]backlogRow),
	}
	e.live = model.NewLive(e.workload, hostLog, e.newestRecord)
	up, _ := e.live.Hosts()
	for i, h := range up {
		e.domains[h.ID] = domainNames[i%len(domainNames)]
		if err := e.giveAddress(ctx, h.ID); err != nil {
			return nil, err
		}
	}
	e.rules = fold.Rules{Revision: 1, Teams: e.workload.Teams}
	for _, c := range e.workload.Classes {
		e.rules.Queues = append(e.rules.Queues, c.Queue)
	}
	if err := e.writeConfig(ctx); err != nil {
		return nil, err
	}
	if err := e.writeOddRegistrations(ctx); err != nil {
		return nil, err
	}
	return e, e.updateRegistrations(ctx)
}

// writeOddRegistrations writes rows of another writer among those of the hosts. The entries must ignore them.
func (e *environment) writeOddRegistrations(ctx context.Context) error {
	const row = `{"service":"pool","address":"127.0.0.1:%s","zone":"soak","state":"ready","capacity":{"cpu":%s},"labels":["a","r"],"born":5}`
	values := []string{strings.Repeat("[", 1<<15), fmt.Sprintf(row, "70000", "1000"), fmt.Sprintf(row, "1", "9223372036854775807"), fmt.Sprintf(row, "1", "1e400")}
	var txn fold.Txn
	for i, value := range values {
		txn.Puts = append(txn.Puts, fold.Put{Key: stand.RegistrationKey(fmt.Sprintf("odd-%d", i)), Value: []byte(value)})
	}
	_, err := e.table.Commit(ctx, txn)
	return err
}

// ownerAfterCommit waits for the next commit of the owner of the pool, at most for commitWait, and returns the name of the
// owner. The name is empty if there is no owner.
func (e *environment) ownerAfterCommit(ctx context.Context) string {
	_, version, err := lead.Read(ctx, e.table)
	if err == nil {
		_, _, err = e.table.Changes(ctx, lead.OwnerKey, version, commitWait)
	}
	owner, _, readErr := lead.Read(ctx, e.table)
	if err := errors.Join(err, readErr); err != nil {
		e.log.Error("Could not follow the owner's row.", "error", err)
	}
	return owner.Entry
}

// commitWait limits the wait for a commit of the owner, which commits several times in a second.
const commitWait = 2 * time.Second

// startServer starts a server on loopback. The function accepted, which may be nil, returns the context of the requests on a connection.
func (e *environment) startServer(ctx context.Context, h http.Handler, accepted func(context.Context, net.Conn) context.Context) (*httptest.Server, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: h, ConnContext: accepted, ReadHeaderTimeout: time.Minute}}
	server.Start()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servers = append(e.servers, server)
	return server, nil
}

// startStore starts the server of the store for an entry and returns its address.
func (e *environment) startStore(ctx context.Context, entry string) (string, error) {
	store := linkedStore{FaultyTable: plat.NewFaultyTable(e.table, e.storeFaults), FaultyChangeFeed: plat.NewFaultyChangeFeed(e.table, e.storeFaults), links: e.links, entry: entry}
	handler := stand.Store(store, store)
	if e.store != nil {
		limited := limitedStore{linkedStore: store, state: e.store}
		handler = stand.Store(limited, limited)
	}
	server, err := e.startServer(ctx, handler, nil)
	if err != nil {
		return "", err
	}
	return server.Listener.Addr().String(), nil
}

// startAdviser starts the server of the adviser for an entry and returns its address.
func (e *environment) startAdviser(ctx context.Context, adviser *model.EntryAdviser) (string, error) {
	server, err := e.startServer(ctx, stand.Adviser(adviser), nil)
	if err != nil {
		return "", err
	}
	return server.Listener.Addr().String(), nil
}

// acceptedBy is the key of the incarnation of a host that accepted a connection, in the context of its requests.
type acceptedBy struct{}

// hostHandler returns the handler of the calls to a host. A connection ends with the incarnation that accepted it.
func (e *environment) hostHandler(id string) http.Handler {
	info := func(r *http.Request) fold.Host {
		incarnation, _ := r.Context().Value(acceptedBy{}).(int64)
		return fold.Host{ID: id, Incarnation: incarnation}
	}
	calls := stand.Host(e.live, info)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if info(r).Incarnation != e.live.Incarnation(id) {
			panic(http.ErrAbortHandler)
		}
		e.hostLoad.use()
		calls.ServeHTTP(w, r)
	})
}

// giveAddress lets a host listen at a new address and no longer at its previous one.
func (e *environment) giveAddress(ctx context.Context, id string) error {
	server, err := e.startServer(ctx, e.hostHandler(id), func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, acceptedBy{}, e.live.Incarnation(id))
	})
	if err != nil {
		return err
	}
	address := server.Listener.Addr().String()
	if err := e.links.addTarget(ctx, id, address); err != nil {
		return err
	}
	e.mu.Lock()
	previous := e.hostServers[id]
	e.hostServers[id] = server
	e.mu.Unlock()
	e.live.SetAddress(id, address)
	if previous != nil {
		previous.CloseClientConnections()
		previous.Close()
	}
	return nil
}

// setListed sets whether the hosts keep their rows. Calls with false and with true must come in pairs.
func (e *environment) setListed(ids []string, listed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		if listed {
			e.unlisted[id]--
		} else {
			e.unlisted[id]++
		}
	}
}

// writeConfig writes the configuration to the table.
func (e *environment) writeConfig(ctx context.Context) error {
	put, err := stand.Rules(e.rules)
	if err != nil {
		return err
	}
	_, err = e.table.Commit(ctx, fold.Txn{Puts: []fold.Put{put}})
	return err
}

// updateRegistrations writes the rows of the hosts that are up and deletes the rows of the others.
func (e *environment) updateRegistrations(ctx context.Context) error {
	up, down := e.live.Hosts()
	e.mu.Lock()
	up = slices.DeleteFunc(up, func(h fold.Host) bool {
		if e.unlisted[h.ID] > 0 {
			down = append(down, h.ID)
			return true
		}
		return false
	})
	e.mu.Unlock()
	var txn fold.Txn
	for _, h := range up {
		h.Domain = e.domains[h.ID]
		put, err := stand.Registration(h)
		if err != nil {
			return err
		}
		row, err := e.table.Get(ctx, put.Key)
		if err != nil && !errorx.IsOfType(err, fold.NotFound) {
			return err
		}
		if string(row.Value) != string(put.Value) {
			txn.Puts = append(txn.Puts, put)
		}
	}
	for _, id := range down {
		txn.Deletes = append(txn.Deletes, stand.RegistrationKey(id))
	}
	_, err := e.table.Commit(ctx, txn)
	return err
}

// keepHostsRegistered keeps the rows of the hosts up to date until ctx ends.
func (e *environment) keepHostsRegistered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(registrationInterval):
			if err := e.updateRegistrations(ctx); err != nil && ctx.Err() == nil {
				e.log.Error("Could not register the hosts.", "error", err)
			}
		}
	}
}

// sharedRecords returns the records in a row of the backlog, by job. Each version of a row is decoded once, because the simulation
// stands still meanwhile.
func (e *environment) sharedRecords(row fold.Row) map[string]flow.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cached, ok := e.backlog[row.Key]; ok && cached.version == row.Version {
		return cached.records
	}
	shared, err := codec.Decode[[]drive.BacklogRecord](row.Value)
	if err != nil {
		e.log.Error("Could not decode a row of shared records.", "key", row.Key, "error", err)
	}
	decoded := backlogRow{version: row.Version, records: make(map[string]flow.Record, len(shared))}
	for _, r := range shared {
		if r.Record.Seq >= decoded.records[r.Job].Seq {
			decoded.records[r.Job] = r.Record
		}
	}
	e.backlog[row.Key] = decoded
	return decoded.records
}

// backlogRow is a decoded row of the backlog.
type backlogRow struct {
	version int64
	records map[string]flow.Record
}

// newestRecord reads the newest durable record of a job. The record may share a row with records of other jobs. Records move
// from shared rows to rows of their own, so the shared rows are read first.
func (e *environment) newestRecord(id string) flow.Record {
	newest := flow.Record{}
	rows, err := e.table.Scan(context.Background(), drive.BacklogTable, "", 0)
	if err != nil {
		e.log.Error("Could not read the rows of shared records.", "error", err)
	}
	for _, row := range rows {
		if shared := e.sharedRecords(row)[id]; shared.Seq > newest.Seq {
			newest = shared
		}
	}
	own, err := drive.ReadRecord(context.Background(), e.table, id)
	if err != nil && !errorx.IsOfType(err, fold.NotFound) {
		e.log.Error("Could not read the record of a job.", "job", id, "error", err)
	}
	if own.Seq >= newest.Seq {
		newest = own
	}
	return newest
}

// Close stops the hosts and the servers.
func (e *environment) Close() error {
	err := errors.Join(e.live.Close(), e.links.Close())
	for _, s := range e.servers {
		s.CloseClientConnections()
		s.Close()
	}
	return err
}
