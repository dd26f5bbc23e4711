package model

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"plantainfold.example/fold"
	"plantainfold.example/fold/flow"
)

// Live plays the hosts of a day in real time, for entries that run as processes of their own, and judges what they do with
// the same checks as Play.
type Live struct {
	began time.Time
	stop  chan struct{}
	done  chan struct{}
	// record reads the durable record of a job.
	record func(id string) flow.Record

	mu sync.Mutex
	w  *World
	// wake tells the loop of an earlier event.
	wake chan struct{}
	// refused are the jobs of which every submission was refused as not run.
	refused map[string]bool
}

var (
	_ fold.Runner  = &Live{}
	_ fold.Adviser = &Live{}
)

// NewLive starts the hosts of a day; record reads the durable record of a job.
func NewLive(d Day, log hclog.Logger, record func(id string) flow.Record) *Live {
	w := newWorld(d)
	w.live, w.log = true, log
	w.build()
	l := &Live{began: time.Now(), stop: make(chan struct{}), done: make(chan struct{}), record: record, w: w, wake: make(chan struct{}, 1), refused: make(map[string]bool)}
	go l.run()
	return l
}

// run handles events when their time has come.
func (l *Live) run() {
	defer close(l.done)
	for {
		l.mu.Lock()
		l.advance()
		wait := time.Second
		if len(l.w.agenda) > 0 {
			wait = min(wait, l.w.agenda[0].at.Sub(l.w.now))
		}
		l.mu.Unlock()
		select {
		case <-l.stop:
			return
		case <-l.wake:
		case <-time.After(wait):
		}
	}
}

// advance moves the day to the present; the caller holds the lock.
func (l *Live) advance() {
	l.w.play(time.Since(l.began))
}

// with lets fn change the world at the present moment.
func (l *Live) with(fn func(w *World)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	fn(l.w)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close stops the hosts.
func (l *Live) Close() error {
	close(l.stop)
	<-l.done
	return nil
}

// Hosts returns the hosts that are up, and the ids of those that are down.
func (l *Live) Hosts() (up []fold.Host, down []string) {
	l.with(func(w *World) {
		for _, h := range w.hosts {
			if h.up {
				up = append(up, h.info)
			} else {
				down = append(down, h.info.ID)
			}
		}
	})
	return up, down
}

// SetAddress names where a host is reached.
func (l *Live) SetAddress(id, address string) {
	l.with(func(w *World) { w.find(id).info.Address = address })
}

// order carries an order out, unless the host is down or cut off; some orders get no answer and are carried out late.
func (l *Live) order(ctx context.Context, h fold.Host, do func(h *host) error) error {
	var err error
	answered := false
	l.with(func(w *World) {
		host := w.find(h.ID)
		switch {
		case host.cut || !host.up:
		case w.chance(w.late):
			delay := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
			life := host.life
			w.after(delay, func() {
				if host.life == life && host.up {
					w.lateOrder = true
					// Nobody hears the answer.
					_ = do(host)
					w.lateOrder = false
				}
			})
		default:
			err, answered = do(host), true
		}
	})
	if !answered {
		<-ctx.Done()
		return fold.Unknown.Wrap(ctx.Err(), "the host does not answer")
	}
	return err
}

// Start starts a run.
func (l *Live) Start(ctx context.Context, h fold.Host, r fold.StartRequest) error {
	return l.order(ctx, h, func(h *host) error {
		if name, ok := flow.ParseTaskName(r.Task); ok && l.refused[name.Job] {
			h.world.broke("REFUSED", "%s starts, and every submission of its job was refused", r.Task)
		}
		return h.start(r)
	})
}

// Stop stops a run.
func (l *Live) Stop(ctx context.Context, h fold.Host, task string, run int, fence int64) error {
	return l.order(ctx, h, func(h *host) error { return h.stop(task, run, fence) })
}

// Pace lets a run work at a share of its speed; the hosts of a day take no note of it.
func (l *Live) Pace(ctx context.Context, h fold.Host, _ string, _, _ int, _ int64) error {
	return l.order(ctx, h, func(*host) error { return nil })
}

// Hold renews leases and reads runs and ends.
func (l *Live) Hold(ctx context.Context, h fold.Host, r fold.HoldRequest) (fold.HoldReply, error) {
	type answer struct {
		reply fold.HoldReply
		err   error
	}
	answers := make(chan answer, 1)
	l.with(func(w *World) {
		host := w.find(h.ID)
		if host.cut || !host.up {
			return
		}
		l.refreshRecords(host, r.Acked)
		host.hold(r, func(reply fold.HoldReply, err error) {
			if !host.cut {
				answers <- answer{reply, err}
			}
		})
	})
	select {
	case <-ctx.Done():
		return fold.HoldReply{}, fold.Unknown.Wrap(ctx.Err(), "the host does not answer")
	case a := <-answers:
		return a.reply, a.err
	}
}

// refreshRecords reads the records of the jobs whose ends are about to be acknowledged.
func (l *Live) refreshRecords(h *host, acked int64) {
	for _, e := range h.ends {
		if name, ok := flow.ParseTaskName(e.Task); ok && e.Number <= acked {
			l.w.store.records[name.Job] = l.record(name.Job)
		}
	}
}

// Advise approves of hosts after the time that the adviser takes.
func (l *Live) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	name, ok := flow.ParseTaskName(step + ".0")
	if !ok {
		return fold.Advice{}, fold.Invalid.New("malformed step %q", step)
	}
	var policy fold.AdvicePolicy
	share := 0.0
	l.with(func(w *World) {
		if j := w.byID[name.Job]; j != nil && j.class.Queue.Advice != nil {
			policy, share = *j.class.Queue.Advice, j.class.Good
		}
	})
	select {
	case <-ctx.Done():
		return fold.Advice{}, fold.Unknown.Wrap(ctx.Err(), "the adviser does not answer")
	case <-time.After(policy.CallTime + time.Duration(len(hosts))*policy.TimePerHost):
	}
	advice := fold.Advice{Validity: policy.Validity}
	for _, id := range hosts {
		if approves(step, id, share) {
			advice.Approvals = append(advice.Approvals, fold.Approval{Host: id, Ticket: "ticket"})
		}
	}
	return advice, nil
}

// Draw makes a job of a class and its team's name.
func (l *Live) Draw(class int) flow.Job {
	var spec flow.Job
	l.with(func(w *World) { spec = w.draw(class).spec })
	return spec
}

// Refused notes that every submission of a job was refused as not run.
func (l *Live) Refused(id string) {
	l.with(func(*World) { l.refused[id] = true })
}

// Cancelled notes that the wish to cancel a job was acknowledged.
func (l *Live) Cancelled(id string) {
	l.with(func(w *World) {
		if j := w.byID[id]; j.cancelled == 0 {
			j.cancelled = w.now
		}
	})
}

// CancelSent notes that a caller is about to cancel a job, which may be shown as cancelled from now on.
func (l *Live) CancelSent(id string) {
	l.with(func(w *World) { w.byID[id].wished = true })
}

// Shown notes the state that a caller was told.
func (l *Live) Shown(id string, state flow.State) {
	l.with(func(w *World) { w.shown(id, state) })
}

// Broke notes a promise that a caller has seen broken.
func (l *Live) Broke(rule, format string, args ...any) {
	l.with(func(w *World) { w.broke(rule, format, args...) })
}

// Strike lets a fault of hosts happen now.
func (l *Live) Strike(f Fault) {
	l.with(func(w *World) {
		w.note(f)
		w.strike(f)
	})
}

// Trouble notes that something else than the hosts is in trouble for a while.
func (l *Live) Trouble(d time.Duration) {
	l.with(func(w *World) { w.note(Fault{For: d}) })
}

// Calm reports whether there was no trouble lately.
func (l *Live) Calm() bool {
	calm := false
	l.with(func(w *World) { calm = !w.troubled() })
	return calm
}

// note remembers a fault for what it excuses.
func (w *World) note(f Fault) {
	f.At = w.now.Sub(w.start)
	w.day.Faults = append(w.day.Faults, f)
}

// Running returns the names of the runs on hosts that are up.
func (l *Live) Running() []string {
	var names []string
	l.with(func(w *World) {
		for _, h := range w.hosts {
			for id := range h.runs {
				names = append(names, id)
			}
		}
	})
	return names
}

// Idle reports whether a job has nothing running although what is left of it would fit.
func (l *Live) Idle(id string) bool {
	idle := false
	l.with(func(w *World) { idle = w.idle(w.byID[id]) })
	return idle
}

// Result returns what happened and which promises were broken so far.
func (l *Live) Result() (Counts, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.counts, append([]string(nil), l.w.broken...)
}
