package app

import (
	"context"
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
	"plantainfold.example/fold/model"
	"plantainfold.example/fold/plat"
	"plantainfold.example/platform/stand"
)

const (
	// queueHost is the host name of all queues, key the only key.
	queueHost = "soak.example"
	key       = "soak-key"
	// registerEvery is how often hosts register themselves.
	registerEvery = 300 * time.Millisecond
)

// world is everything around the entries: the platform, its hosts and the judge.
type world struct {
	log    hclog.Logger
	random *rand.Rand
	day    model.Day
	live   *model.Live
	table  *plat.Table
	store  *plat.Faults
	// servers are the stand-ins of the platform and of the hosts.
	servers        []*httptest.Server
	storeAddress   string
	adviserAddress string
	rules          fold.Rules
}

// dayOf is the work of a soak: a small pool under the classes of a planning service.
func dayOf(seed uint64) model.Day {
	day := model.PlanningDay(seed)
	day.Hosts, day.Racks = hosts, hosts/4
	for i := range day.Classes {
		c := &day.Classes[i]
		c.Rate *= float64(hosts) / 48 * loadFactor
		c.RunTime = min(c.RunTime, longestTask)
		c.Queue.Host, c.Queue.Prefix, c.Queue.Service = queueHost, "/"+c.Name+"/", "pool"
	}
	for i := range day.Teams {
		day.Teams[i].Keys = []string{fmt.Sprintf("%s-%d", key, i)}
	}
	return day
}

const (
	// hosts is the number of hosts, loadFactor scales the rate of jobs to what a shared machine carries, and longestTask keeps
	// a day short.
	hosts       = 12
	loadFactor  = 1.2
	longestTask = 3 * time.Second
)

func newWorld(ctx context.Context, seed uint64, log hclog.Logger) (*world, error) {
	w := &world{log: log, random: rand.New(rand.NewPCG(seed, 7)), day: dayOf(seed), table: plat.NewTable(), store: plat.NewFaults(fold.BootClock{})}
	w.live = model.NewLive(w.day, hclog.NewNullLogger(), w.record)
	w.storeAddress = w.serve(stand.Store(plat.NewFaultyTable(w.table, w.store), plat.NewFaultyChangeFeed(w.table, w.store)))
	w.adviserAddress = w.serve(stand.Adviser(w.live))
	up, _ := w.live.Hosts()
	for _, h := range up {
		w.live.SetAddress(h.ID, w.serve(stand.Host(w.live, func() fold.Host { return fold.Host{ID: h.ID} })))
	}
	w.rules = fold.Rules{Revision: 1, Teams: w.day.Teams}
	for _, c := range w.day.Classes {
		w.rules.Queues = append(w.rules.Queues, c.Queue)
	}
	if err := w.declare(ctx); err != nil {
		return nil, err
	}
	return w, w.register(ctx)
}

func (w *world) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	w.servers = append(w.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// declare writes the configuration.
func (w *world) declare(ctx context.Context) error {
	put, err := stand.Rules(w.rules)
	if err != nil {
		return err
	}
	_, err = w.table.Commit(ctx, fold.Txn{Puts: []fold.Put{put}})
	return err
}

// register writes the rows of the hosts that are up and removes the others.
func (w *world) register(ctx context.Context) error {
	up, down := w.live.Hosts()
	var txn fold.Txn
	for _, h := range up {
		put, err := stand.Registration(h)
		if err != nil {
			return err
		}
		row, err := w.table.Get(ctx, put.Key)
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
	_, err := w.table.Commit(ctx, txn)
	return err
}

// follow keeps the rows of the hosts up to date until ctx ends.
func (w *world) follow(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerEvery):
			if err := w.register(ctx); err != nil && ctx.Err() == nil {
				w.log.Error("Could not register the hosts.", "error", err)
			}
		}
	}
}

// record reads the newest durable record of a job, which may share a row with others.
func (w *world) record(id string) flow.Record {
	newest := flow.Record{}
	row, err := w.table.Get(context.Background(), drive.StatePrefix+id)
	if err == nil {
		if newest, err = codec.Decode[flow.Record](row.Value); err != nil {
			w.log.Error("Could not read a record.", "job", id, "error", err)
		}
	}
	rows, err := w.table.Scan(context.Background(), drive.BacklogTable, "", 0)
	if err != nil {
		w.log.Error("Could not read the shared records.", "error", err)
	}
	for _, row := range rows {
		shared, err := codec.Decode[[]drive.BacklogRecord](row.Value)
		if err != nil {
			w.log.Error("Could not read shared records.", "key", row.Key, "error", err)
		}
		for _, r := range shared {
			if r.Job == id && r.Record.Seq > newest.Seq {
				newest = r.Record
			}
		}
	}
	return newest
}

// Close stops the hosts and the servers.
func (w *world) Close() error {
	err := w.live.Close()
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
	return err
}
