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

// Secrets of the cell; they protect nothing beyond one process on loopback.
const (
	cellKey = "cell-key-for-one-process"
	rootKey = "root-key-for-one-process"
)

// Shape says how large the cell is.
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
	Slots   int
	// Time is the service time of a request.
	Time time.Duration
}

// Cell is a running cell.
type Cell struct {
	*plat.Platform
	// Site serves the workers and switches their faults.
	Site      *worker.Site
	Workers   map[string]*worker.Worker
	Endpoints map[string]*worker.Endpoint

	shape    Shape
	logs     io.Writer
	platform *httptest.Server
	machines *httptest.Server
	members  map[string]*member
}

// member is one running entry.
type member struct {
	address string
	cancel  context.CancelFunc
	done    errgroup.Group
}

// New starts a cell; Close must be called. Logs of the entries go to logs.
func New(shape Shape, logs io.Writer) (*Cell, error) {
	c := &Cell{
		Platform:  plat.New(fold.BootClock{}),
		Site:      worker.NewSite(),
		Workers:   make(map[string]*worker.Worker),
		Endpoints: make(map[string]*worker.Endpoint),
		shape:     shape,
		logs:      logs,
		members:   make(map[string]*member),
	}
	c.platform = httptest.NewServer(c.Platform.Handler())
	c.startWorkers()
	for n := range shape.Entries {
		if err := c.StartEntry(fmt.Sprintf("entry-%d", n), shape.Domains[n%len(shape.Domains)]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// RootKey returns the operator key of the cell.
func RootKey() string {
	return keys.Format(keys.RootID, rootKey)
}

// Addresses returns the base URLs of the running entries.
func (c *Cell) Addresses() map[string]string {
	urls := make(map[string]string, len(c.members))
	for name, m := range c.members {
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
		Name:    name,
		Region:  c.shape.Region,
		Domain:  domain,
		Listen:  address,
		Table:   c.platform.URL,
		Objects: c.platform.URL,
		Fleet:   c.platform.URL,
		Cellkey: cellKey,
		Rootkey: rootKey,
		Level:   "warn",
	}.WithDefaults()
	d, err := daemon.New(settings, daemon.Outputs{Logs: c.logs})
	if err != nil {
		_ = listener.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{address: address, cancel: cancel}
	m.done.Go(func() error { return d.Run(ctx, listener) })
	c.members[name] = m
	c.Fleet.Set(fold.Instance{Name: name, Role: fold.RoleEntry, Address: address, Region: c.shape.Region, Domain: domain, State: fold.Live})
	return nil
}

// StopEntry stops an entry gracefully and waits for it.
func (c *Cell) StopEntry(name string) error {
	m, ok := c.members[name]
	if !ok {
		return nil
	}
	delete(c.members, name)
	m.cancel()
	err := m.done.Wait()
	c.Fleet.Remove(name)
	return err
}

// Close stops all entries and the platform.
func (c *Cell) Close() error {
	var stops errgroup.Group
	for _, m := range c.members {
		m.cancel()
		stops.Go(m.done.Wait)
	}
	err := stops.Wait()
	c.machines.Close()
	c.platform.Close()
	return err
}

func (c *Cell) startWorkers() {
	c.machines = httptest.NewServer(c.Site.Handler())
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
	e := worker.NewEndpoint(c.shape.Slots, c.shape.Time, clock)
	c.Workers[name] = w
	c.Endpoints[name] = e
	c.Site.Add(name, worker.NewMember(w, e, rack, faults))
	in := fold.Instance{
		Name:     name,
		Role:     fold.RoleWorker,
		Address:  c.machines.URL + "/" + name,
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
