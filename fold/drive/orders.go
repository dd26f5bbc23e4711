package drive

import (
	"plantainfold.example/fold"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/relay"
)

// sent is an order whose outcome is not known yet.
type sent struct {
	by    carrier
	start *core.Start
	stop  *core.Stop
	pace  *core.Pace
}

// apply gives the outcome of the order to the cell.
func (s sent) apply(c *core.Cell, err error) {
	switch {
	case s.start != nil:
		c.ApplyStart(*s.start, err)
	case s.stop != nil:
		c.ApplyStop(*s.stop, err)
	case s.pace != nil:
		c.ApplyPace(*s.pace, err)
	}
}

// errUnassigned refuses orders for a host that no carrier looks after at the moment.
var errUnassigned = fold.Refuse(fold.Unavailable, "send the order again", "no entry looks after the host")

// sorter sorts orders by the carriers of their hosts; the lock of the links is held meanwhile.
type sorter struct {
	links   *links
	batches map[carrier]*relay.Orders
	refused []sent
}

// of returns the batch for the carrier of a host, or nil.
func (s *sorter) of(host string) *relay.Orders {
	at, ok := s.links.seats[host]
	if !ok {
		return nil
	}
	b, ok := s.batches[at.by]
	if !ok {
		b = &relay.Orders{}
		s.batches[at.by] = b
	}
	return b
}

// number returns the batch and the number for an order to a host; an order without a carrier is refused.
func (s *sorter) number(host string, order sent) (*relay.Orders, uint64) {
	b := s.of(host)
	if b == nil {
		s.refused = append(s.refused, order)
		return nil, 0
	}
	order.by = s.links.seats[host].by
	s.links.number++
	s.links.sent[s.links.number] = order
	return b, s.links.number
}

// send passes orders on to the carriers of their hosts.
func (d *Driver) send(orders core.Orders) {
	l := &d.links
	l.mu.Lock()
	s := &sorter{links: l, batches: make(map[carrier]*relay.Orders)}
	for _, o := range orders.Starts {
		if b, n := s.number(o.Host.ID, sent{start: &o}); b != nil {
			b.Starts = append(b.Starts, relay.Start{Number: n, Host: o.Host.ID, Task: o.Req.Task, Run: o.Req.Run, Saved: o.Req.Checkpoint, Ticket: o.Req.Ticket, Job: o.Job, Spec: o.Req.Spec})
		}
	}
	for _, o := range orders.Stops {
		if b, n := s.number(o.Host.ID, sent{stop: &o}); b != nil {
			b.Stops = append(b.Stops, relay.Stop{Number: n, Host: o.Host.ID, Task: o.Task, Run: o.Run})
		}
	}
	for _, o := range orders.Paces {
		if b, n := s.number(o.Host.ID, sent{pace: &o}); b != nil {
			b.Paces = append(b.Paces, relay.Pace{Number: n, Host: o.Host.ID, Task: o.Task, Run: o.Run, Percent: o.Percent})
		}
	}
	for _, a := range orders.Acks {
		if b := s.of(a.Host); b != nil {
			b.Acks = append(b.Acks, relay.Ack{Host: a.Host, Incarnation: a.Incarnation, Number: a.Number})
		}
	}
	for _, w := range orders.Waits {
		if b := s.of(w.Host); b != nil {
			b.Waits = append(b.Waits, relay.Wait{Host: w.Host, MaxWait: w.MaxWait})
		}
	}
	for by, b := range s.batches {
		by.give(*b)
	}
	l.mu.Unlock()
	if len(s.refused) > 0 {
		d.resolve(s.refused, errUnassigned)
	}
}

// resolve gives one outcome of several orders to the cell.
func (d *Driver) resolve(orders []sent, err error) {
	var more core.Orders
	d.with(func(c *core.Cell) {
		for _, s := range orders {
			s.apply(c, err)
		}
		more = c.Orders()
	})
	d.send(more)
	poke(d.wake)
}

// learn gives the news of a carrier to the cell. Looks at hosts that another carrier looks after by now are left out.
func (d *Driver) learn(by carrier, news relay.Events) {
	if news.Fenced {
		d.depose(fold.HostFenced.New("a host obeys a newer owner"))
	}
	l, now := &d.links, d.parts.Clock.Now()
	outcomes := make([]sent, len(news.Results))
	var silent []string
	l.mu.Lock()
	for i, r := range news.Results {
		outcomes[i] = l.sent[r.Number]
		delete(l.sent, r.Number)
	}
	mine := func(host string) bool {
		seat, ok := l.seats[host]
		return ok && seat.by == by
	}
	reports := news.Reports[:0]
	for _, r := range news.Reports {
		if mine(r.Host) {
			at := l.seats[r.Host]
			at.tried, at.silent, at.heard = false, false, now
			reports = append(reports, r)
		}
	}
	silences := news.Silences[:0]
	for _, s := range news.Silences {
		if mine(s.Host) {
			l.seats[s.Host].silent = true
			silences = append(silences, s)
			silent = append(silent, s.Host)
		}
	}
	l.mu.Unlock()
	var orders core.Orders
	d.with(func(c *core.Cell) {
		for i, r := range news.Results {
			outcomes[i].apply(c, r.Failed.Err())
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
	poke(d.wake)
	d.tryOthers(silent)
}
