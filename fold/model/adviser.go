package model

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/bubble"
	"plantainfold.example/fold/flow"
)

// maxWaitingCalls is the number of calls of an entry that wait at the adviser; the adviser refuses further ones.
const maxWaitingCalls = 32

// EntryAdviser is the adviser of a live world as one entry sees it. It serves the calls of the entry one after the other, also
// those that the entry has given up.
type EntryAdviser struct {
	live *Live

	mu sync.Mutex
	// delay is how much longer than stated each call takes.
	delay time.Duration
	// ends are the times at which the open calls will have been served.
	ends []time.Time
}

var _ fold.Adviser = &EntryAdviser{}

// NewEntryAdviser returns the adviser for one entry.
func (l *Live) NewEntryAdviser() *EntryAdviser {
	return &EntryAdviser{live: l}
}

// SetDelay sets how much longer than stated each further call takes.
func (a *EntryAdviser) SetDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// Advise returns the hosts that the adviser approves, once it has served the earlier calls and this one.
func (a *EntryAdviser) Advise(ctx context.Context, step string, hosts []string) (fold.Advice, error) {
	policy, share, err := a.live.advicePolicy(step)
	if err != nil {
		return fold.Advice{}, err
	}
	end, err := a.enqueue(policy.CallTime + time.Duration(len(hosts))*policy.TimePerHost)
	if err != nil {
		return fold.Advice{}, err
	}
	return a.live.adviseAt(ctx, end, step, hosts, policy, share)
}

// enqueue returns when a call that takes the given time will have been served.
func (a *EntryAdviser) enqueue(duration time.Duration) (time.Time, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.ends = slices.DeleteFunc(a.ends, func(end time.Time) bool { return !end.After(now) })
	// The first open call is being served.
	if len(a.ends) > maxWaitingCalls {
		return time.Time{}, fold.Refuse(fold.Overload, "ask again later", "%d calls are waiting", len(a.ends)-1)
	}
	begin := now
	if len(a.ends) > 0 {
		begin = a.ends[len(a.ends)-1]
	}
	end := begin.Add(duration + a.delay)
	a.ends = append(a.ends, end)
	return end, nil
}

// advicePolicy returns the policy for a step and the share of hosts that the adviser approves for it.
func (l *Live) advicePolicy(step string) (policy fold.AdvicePolicy, share float64, err error) {
	name, ok := flow.ParseTaskName(step + ".0")
	if !ok {
		return policy, 0, fold.Invalid.New("malformed step %q", step)
	}
	l.update(func(w *World) {
		if j := w.byID[name.Job]; j != nil && j.class.Queue.Advice != nil {
			policy, share = *j.class.Queue.Advice, j.class.ApprovedShare
		}
	})
	return policy, share, nil
}

// adviseAt answers a call at the given time.
func (l *Live) adviseAt(ctx context.Context, end time.Time, step string, hosts []string, policy fold.AdvicePolicy, share float64) (fold.Advice, error) {
	select {
	case <-ctx.Done():
		return fold.Advice{}, fold.Unknown.Wrap(ctx.Err(), "the adviser does not answer")
	case <-bubble.After(time.Until(end)):
	}
	advice := fold.Advice{Validity: policy.Validity}
	l.update(func(w *World) {
		for _, id := range hosts {
			if h := w.find(id); h != nil && approves(step, id, share) {
				advice.Approvals = append(advice.Approvals, fold.Approval{Host: id, Ticket: h.ticket(step)})
			}
		}
	})
	return advice, nil
}

// ticket returns a ticket for a step that is issued now.
func (h *host) ticket(step string) string {
	return fmt.Sprintf("%s/%d/%d", step, h.info.Incarnation, h.world.now)
}

// checkTicket returns an error if a start needs a ticket and has none that is valid.
func (h *host) checkTicket(r fold.StartRequest) error {
	t := h.world.tasks[r.Task]
	if t == nil || t.job.class.Queue.Advice == nil {
		return nil
	}
	var incarnation int64
	var issued fold.Instant
	rest, ok := strings.CutPrefix(r.Ticket, t.name.StepName()+"/")
	if !ok {
		return fold.BadTicket.New("the ticket is for another step")
	}
	if _, err := fmt.Sscanf(rest, "%d/%d", &incarnation, &issued); err != nil || incarnation != h.info.Incarnation {
		return fold.BadTicket.New("the ticket is for another incarnation")
	}
	if age := h.world.now.Sub(issued); age > t.job.class.Queue.Advice.Validity {
		return fold.BadTicket.New("the ticket is %s old", age)
	}
	return nil
}
