package drive

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/relay"
)

// openOrder is an order whose outcome is not known yet.
type openOrder struct {
	supervisor supervisor
	start      *core.Start
	stop       *core.Stop
	pace       *core.Pace
}

// applyOutcome passes the outcome of the order to the cell.
func (s openOrder) applyOutcome(c *core.Cell, err error) {
	switch {
	case s.start != nil:
		c.ApplyStart(*s.start, err)
	case s.stop != nil:
		c.ApplyStop(*s.stop, err)
	case s.pace != nil:
		c.ApplyPace(*s.pace, err)
	}
}

// errUnassigned is the outcome of orders for a host that has no supervisor at the moment.
var errUnassigned = fold.Refuse(fold.Unavailable, "send the order again", "no entry supervises the host")

// orderSorter groups orders by the supervisors of their hosts. The lock of the supervision is held while it is used.
type orderSorter struct {
	supervision *supervision
	batches     map[supervisor]*relay.Orders
	refused     []openOrder
}

// batchFor returns the batch for the supervisor of a host, or nil if the host has none.
func (s *orderSorter) batchFor(host string) *relay.Orders {
	assigned, ok := s.supervision.assignments[host]
	if !ok {
		return nil
	}
	b, ok := s.batches[assigned.supervisor]
	if !ok {
		b = &relay.Orders{}
		s.batches[assigned.supervisor] = b
	}
	return b
}

// assignNumber registers an order to a host and returns its batch and number. An order to a host without a supervisor is
// refused.
func (s *orderSorter) assignNumber(host fold.Host, order openOrder) (*relay.Orders, uint64) {
	b := s.batchFor(host.ID)
	if b == nil {
		s.refused = append(s.refused, order)
		return nil, 0
	}
	order.supervisor = s.supervision.assignments[host.ID].supervisor
	s.supervision.lastOrder++
	s.supervision.openOrders[s.supervision.lastOrder] = order
	b.AddIncarnation(s.supervision.lastOrder, host.Incarnation)
	return b, s.supervision.lastOrder
}

// send passes orders to the supervisors of their hosts.
func (d *Driver) send(orders core.Orders) {
	l := &d.supervision
	l.mu.Lock()
	s := &orderSorter{supervision: l, batches: make(map[supervisor]*relay.Orders)}
	for _, o := range orders.Starts {
		if b, n := s.assignNumber(o.Host, openOrder{start: &o}); b != nil {
			b.Starts = append(b.Starts, relay.Start{Number: n, Host: o.Host.ID, Task: o.Req.Task, Run: o.Req.Run, Saved: o.Req.Checkpoint, Ticket: o.Req.Ticket, Job: o.Job, Spec: o.Req.Spec})
		}
	}
	for _, o := range orders.Stops {
		if b, n := s.assignNumber(o.Host, openOrder{stop: &o}); b != nil {
			b.Stops = append(b.Stops, relay.Stop{Number: n, Host: o.Host.ID, Task: o.Task, Run: o.Run})
		}
	}
	for _, o := range orders.Paces {
		if b, n := s.assignNumber(o.Host, openOrder{pace: &o}); b != nil {
			b.Paces = append(b.Paces, relay.Pace{Number: n, Host: o.Host.ID, Task: o.Task, Run: o.Run, Percent: o.Percent})
		}
	}
	for _, a := range orders.Acks {
		if b := s.batchFor(a.Host); b != nil {
			b.Acks = append(b.Acks, relay.Ack{Host: a.Host, Incarnation: a.Incarnation, Number: a.Number})
		}
	}
	for _, w := range orders.Waits {
		if b := s.batchFor(w.Host); b != nil {
			b.Waits = append(b.Waits, relay.Wait{Host: w.Host, MaxWait: w.MaxWait})
		}
	}
	for target, b := range s.batches {
		target.enqueue(*b)
	}
	l.mu.Unlock()
	if len(s.refused) > 0 {
		d.resolveOrders(s.refused, errUnassigned)
	}
}

// resolveOrders passes the same outcome of several orders to the cell.
func (d *Driver) resolveOrders(orders []openOrder, err error) {
	var more core.Orders
	d.withCell(func(c *core.Cell) {
		for _, s := range orders {
			s.applyOutcome(c, err)
		}
		more = c.Orders()
	})
	d.send(more)
	notify(d.decideWake)
}

// handleEvents passes the events of a supervisor to the cell. Reports on hosts that now have another supervisor are
// ignored.
func (d *Driver) handleEvents(source supervisor, events relay.Events) {
	if events.Fenced {
		d.endTerm(fold.HostFenced.New("a host accepts orders of a newer owner only"))
	}
	l, now := &d.supervision, d.parts.Clock.Now()
	outcomes := make([]openOrder, len(events.Results))
	var silent []string
	l.mu.Lock()
	for i, r := range events.Results {
		outcomes[i] = l.openOrders[r.Number]
		delete(l.openOrders, r.Number)
	}
	supervises := func(host string) bool {
		assigned, ok := l.assignments[host]
		return ok && assigned.supervisor == source
	}
	reports := events.Reports[:0]
	for _, r := range events.Reports {
		if supervises(r.Host) {
			assigned := l.assignments[r.Host]
			assigned.silent, assigned.lastContact = false, now
			assigned.history.recordReport(source.name())
			*l.record(source) = contactRecord{lastReport: now}
			reports = append(reports, r)
		}
	}
	silences := events.Silences[:0]
	for _, s := range events.Silences {
		if supervises(s.Host) {
			assigned := l.assignments[s.Host]
			assigned.silent = true
			assigned.history.recordSilence(source.name(), now)
			record := l.record(source)
			record.silences, record.lastSilence = record.silences+1, now
			silences = append(silences, s)
			silent = append(silent, s.Host)
		}
	}
	l.mu.Unlock()
	var orders core.Orders
	d.withCell(func(c *core.Cell) {
		for i, r := range events.Results {
			outcomes[i].applyOutcome(c, r.Failed.Err())
		}
		for _, r := range reports {
			c.ApplyReport(r.Host, r.Sent, r.Reply, r.LeaseLeft)
		}
		for _, s := range silences {
			c.RecordSilence(s.Host, s.Incarnation, s.LeaseLeft)
		}
		orders = c.Orders()
	})
	d.send(orders)
	notify(d.decideWake)
	d.tryOtherSupervisors(silent)
}
