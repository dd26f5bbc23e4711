package app

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
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
	// storeFaults sets the fault of the store.
	storeFaults *plat.Faults
	// servers are the servers of the simulated platform and its hosts.
	servers        []*httptest.Server
	storeAddress   string
	adviserAddress string
	rules          fold.Rules
}

// newWorkload returns the workload of a test run: the job classes of a planning service on a pool of the given size.
func newWorkload(seed uint64, hosts int) model.Day {
	workload := model.PlanningDay(seed)
	workload.Hosts, workload.Racks = hosts, max(1, hosts/4)
	for i := range workload.Classes {
		c := &workload.Classes[i]
		// The rates of PlanningDay are meant for 48 hosts.
		c.Rate *= float64(hosts) / 48 * loadFactor
		c.RunTime = min(c.RunTime, maxRunTime)
		c.Queue.Host, c.Queue.Prefix, c.Queue.Service = queueHost, "/"+c.Name+"/", "pool"
	}
	for i := range workload.Teams {
		workload.Teams[i].Keys = []string{fmt.Sprintf("%s-%d", keyPrefix, i)}
	}
	return workload
}

const (
	// loadFactor scales the arrival rate of jobs to what a shared machine can process.
	loadFactor = 1.2
	// maxRunTime limits the mean run time of tasks, so that a test run stays short.
	maxRunTime = 3 * time.Second
)

func newEnvironment(ctx context.Context, seed uint64, hosts int, log hclog.Logger) (*environment, error) {
	e := &environment{log: log, random: rand.New(rand.NewPCG(seed, 7)), workload: newWorkload(seed, hosts), table: plat.NewTable(), storeFaults: plat.NewFaults(fold.BootClock{})}
	e.live = model.NewLive(e.workload, hclog.NewNullLogger(), e.newestRecord)
	e.storeAddress = e.startServer(stand.Store(plat.NewFaultyTable(e.table, e.storeFaults), plat.NewFaultyChangeFeed(e.table, e.storeFaults)))
	e.adviserAddress = e.startServer(stand.Adviser(e.live))
	up, _ := e.live.Hosts()
	for _, h := range up {
		e.live.SetAddress(h.ID, e.startServer(stand.Host(e.live, func() fold.Host { return fold.Host{ID: h.ID} })))
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

// startServer starts a server on loopback and returns its address.
func (e *environment) startServer(h http.Handler) string {
	server := httptest.NewServer(h)
	e.servers = append(e.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
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
	var txn fold.Txn
	for _, h := range up {
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

// newestRecord reads the newest durable record of a job. The record may share a row with records of other jobs. Records move
// from shared rows to rows of their own, so the shared rows are read first.
func (e *environment) newestRecord(id string) flow.Record {
	newest := flow.Record{}
	rows, err := e.table.Scan(context.Background(), drive.BacklogTable, "", 0)
	if err != nil {
		e.log.Error("Could not read the rows of shared records.", "error", err)
	}
	for _, row := range rows {
		shared, err := codec.Decode[[]drive.BacklogRecord](row.Value)
		if err != nil {
			e.log.Error("Could not decode a row of shared records.", "key", row.Key, "error", err)
		}
		for _, r := range shared {
			if r.Job == id && r.Record.Seq > newest.Seq {
				newest = r.Record
			}
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
	err := e.live.Close()
	for _, s := range e.servers {
		s.CloseClientConnections()
		s.Close()
	}
	return err
}
