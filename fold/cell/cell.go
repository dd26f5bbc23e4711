package cell

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"time"

	"golang.org/x/sync/errgroup"

	"plantainfold.example/fold"
	"plantainfold.example/fold/daemon"
	"plantainfold.example/fold/entry"
	"plantainfold.example/fold/httpd"
	"plantainfold.example/fold/keys"
	"plantainfold.example/fold/plat"
	"plantainfold.example/fold/worker"
)

// Secrets of the cell, which runs in one process on loopback only.
const (
	cellKey = "cell-key-for-one-process"
	rootKey = "root-key-for-one-process"
)

// Shape is the size and configuration of a cell.
type Shape struct {
	Region  string
	Domains []string
	Entries int
	// Racks is the number of racks in each failure domain.
	Racks int
	// Workers is the number of workers in each rack.
	Workers  int
	Capacity fold.Resources
	// Service is the name of the service that every worker also serves as an endpoint.
	Service string
	// Slots is the number of requests that an endpoint serves at the same time.
	Slots int
	// ServiceTime is the service time of a request.
	ServiceTime time.Duration
}

// Cell is a running cell of entries, workers and a platform in one process.
type Cell struct {
	*plat.Platform
	// Site serves the workers and endpoints and controls their faults.
	Site      *worker.Site
	Workers   map[string]*worker.Worker
	Endpoints map[string]*worker.Endpoint

	shape          Shape
	logs           io.Writer
	platformServer *httptest.Server
	workerServer   *httptest.Server
	entries        map[string]*runningEntry
}

// runningEntry is one running entry.
type runningEntry struct {
	address string
	cancel  context.CancelFunc
	done    errgroup.Group
}

// New starts a cell whose entries write their logs to logs. Close must be called.
func New(shape Shape, logs io.Writer) (*Cell, error) {
	c := &Cell{
		Platform:  plat.New(fold.BootClock{}),
		Site:      worker.NewSite(),
		Workers:   make(map[string]*worker.Worker),
		Endpoints: make(map[string]*worker.Endpoint),
		shape:     shape,
		logs:      logs,
		entries:   make(map[string]*runningEntry),
	}
	c.platformServer = httptest.NewServer(c.Platform.Handler())
	c.startWorkers()
	for n := range shape.Entries {
		if err := c.StartEntry(fmt.Sprintf("entry-%d", n), shape.Domains[n%len(shape.Domains)]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// RootKey returns the operator's API key for the cell.
func RootKey() string {
	return keys.Format(keys.RootID, rootKey)
}

// Addresses returns the base URLs of the running entries.
func (c *Cell) Addresses() map[string]string {
	urls := make(map[string]string, len(c.entries))
	for name, m := range c.entries {
		urls[name] = "http://" + m.address
	}
	return urls
}

// StartEntry starts an entry in a failure domain.
func (c *Cell) StartEntry(name, domain string) error {
	listener, err := httpd.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	settings := entry.Settings{
		Name:         name,
		Region:       c.shape.Region,
		Domain:       domain,
		Listen:       address,
		Table:        c.platformServer.URL,
		Objects:      c.platformServer.URL,
		InstanceList: c.platformServer.URL,
		Cellkey:      cellKey,
		Rootkey:      rootKey,
		Level:        "warn",
	}.WithDefaults()
	d, err := daemon.New(settings, daemon.Outputs{Logs: c.logs})
	if err != nil {
		_ = listener.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &runningEntry{address: address, cancel: cancel}
	m.done.Go(func() error { return d.Run(ctx, listener) })
	c.entries[name] = m
	c.Fleet.Set(fold.Instance{Name: name, Role: fold.RoleEntry, Address: address, Region: c.shape.Region, Domain: domain, State: fold.Live})
	return nil
}

// StopEntry stops an entry gracefully and waits for it.
func (c *Cell) StopEntry(name string) error {
	m, ok := c.entries[name]
	if !ok {
		return nil
	}
	delete(c.entries, name)
	m.cancel()
	err := m.done.Wait()
	c.Fleet.Remove(name)
	return err
}

// Close stops all entries, the workers and the platform.
func (c *Cell) Close() error {
	var stops errgroup.Group
	for _, m := range c.entries {
		m.cancel()
		stops.Go(m.done.Wait)
	}
	err := stops.Wait()
	c.workerServer.Close()
	c.platformServer.Close()
	return err
}

func (c *Cell) startWorkers() {
	c.workerServer = httptest.NewServer(c.Site.Handler())
	for _, domain := range c.shape.Domains {
		for rack := range c.shape.Racks {
			for n := range c.shape.Workers {
				c.startWorker(domain, fmt.Sprintf("%s-r%d", domain, rack), n)
			}
		}
	}
}

func (c *Cell) startWorker(domain, rack string, n int) {
	name := fmt.Sprintf("%s-w%d", rack, n)
	clock := fold.BootClock{}
	faults := worker.NewFaults(clock)
	w := worker.New(name, c.shape.Capacity, clock, worker.WithFailures(faults.Fails))
	e := worker.NewEndpoint(c.shape.Slots, c.shape.ServiceTime, clock)
	c.Workers[name] = w
	c.Endpoints[name] = e
	c.Site.Add(name, worker.NewMember(w, e, rack, faults))
	in := fold.Instance{
		Name:     name,
		Role:     fold.RoleWorker,
		Address:  c.workerServer.URL + "/" + name,
		Region:   c.shape.Region,
		Domain:   domain,
		Rack:     rack,
		State:    fold.Live,
		Capacity: c.shape.Capacity,
	}
	c.Fleet.Set(in)
	in.Name += "-endpoint"
	in.Role = fold.RoleEndpoint
	in.Service = c.shape.Service
	in.Slots = c.shape.Slots
	c.Fleet.Set(in)
}
