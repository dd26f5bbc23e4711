package drive

import (
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
	"plantainfold.example/fold/flow"
)

const (
	// earlyCancelRetention is how long the request to cancel an unknown job is kept. A submission may go on for a minute, and the
	// table may perform a write without an answer some seconds late.
	earlyCancelRetention = 90 * time.Second
	// maxEarlyCancels is the number of kept requests to cancel unknown jobs from which the owner refuses further ones. Each takes a row of
	// the table until it expires.
	maxEarlyCancels = 10000
	// maxKeptCancels is the number of kept requests from which the oldest is dropped for a new one. Requests that wait for a commit or
	// that other entries have recorded are no longer refused.
	maxKeptCancels = 12000
)

// Cancellation is the content of the row of a request to cancel a job.
type Cancellation struct {
	// Team is the team of the caller, or "" for one that may cancel the jobs of all teams. The job may not be known yet, so its team
	// is checked when the request is applied.
	Team string `json:"team,omitempty"`
	// At is when the request was made, in milliseconds since the Unix epoch.
	At int64 `json:"at"`
}

// EncodeCancellation returns the value of the row of a request that is made now.
func EncodeCancellation(team string) ([]byte, error) {
	return codec.Encode(Cancellation{Team: team, At: time.Now().UnixMilli()})
}

// cancelRequest is a request to cancel a job, with the key of its row.
type cancelRequest struct {
	Cancellation
	job, key string
}

// decodeCancel decodes the row of a request. Rows of earlier builds have no content; such a request counts as made now.
func (d *Driver) decodeCancel(row fold.Row) cancelRequest {
	id, _ := jobOf(row)
	request := cancelRequest{job: id, key: row.Key}
	if len(row.Value) > 0 {
		content, err := codec.Decode[Cancellation](row.Value)
		if err != nil {
			d.log.Error("Cannot decode a request to cancel a job; it counts as made now, by a caller who may cancel the job.", "key", row.Key, "error", err)
		}
		request.Cancellation = content
	}
	if request.At == 0 {
		request.At = time.Now().UnixMilli()
	}
	return request
}

// earlyCancel is a request to cancel a job that is not known. Its submission may still be on its way.
type earlyCancel struct {
	team string
	// keys are the keys of the rows of the request.
	keys []string
	// expires is when the request is dropped and its rows are deleted.
	expires fold.Instant
}

// applyCancel applies a request to cancel a job, or keeps it for a while if the job is not known: different entries may have recorded
// both. The row of a request that has no effect is deleted. The caller holds the lock.
func (d *Driver) applyCancel(c *core.Cell, r cancelRequest) {
	if _, team, known := c.RecordedState(r.job); known {
		if !flow.SameTeam(team, r.Team) {
			d.log.Warn("Ignored a request to cancel a job of another team.", "job", r.job, "team", r.Team)
			d.staleRows = append(d.staleRows, r.key)
			return
		}
		c.Cancel(r.job)
		return
	}
	left := earlyCancelRetention - time.Duration(time.Now().UnixMilli()-r.At)*time.Millisecond
	if d.hasEnded(r.job) || left <= 0 {
		d.staleRows = append(d.staleRows, r.key)
		return
	}
	if _, ok := d.earlyCancels[r.job]; !ok && len(d.earlyCancels) >= maxKeptCancels {
		d.dropOldestCancel()
	}
	early := d.earlyCancels[r.job]
	if !slices.Contains(early.keys, r.key) {
		early.keys = append(early.keys, r.key)
	}
	early.team, early.expires = r.Team, max(early.expires, d.parts.Clock.Now().Add(min(left, earlyCancelRetention)))
	d.earlyCancels[r.job] = early
	d.log.Info("Keeping a request to cancel a job that is not known.", "job", r.job, "team", r.Team, "for", left.String(), "kept", len(d.earlyCancels))
}

// applyEarlyCancel applies a request to cancel the job that arrived before the job. The caller holds the lock.
func (d *Driver) applyEarlyCancel(c *core.Cell, id string) {
	early, ok := d.earlyCancels[id]
	if !ok {
		return
	}
	delete(d.earlyCancels, id)
	if _, team, _ := c.RecordedState(id); !flow.SameTeam(team, early.team) {
		d.log.Warn("Ignored a request to cancel a job of another team.", "job", id, "team", early.team)
		d.staleRows = append(d.staleRows, early.keys...)
		return
	}
	d.log.Info("Cancelled a job whose cancellation was requested before it was known.", "job", id)
	c.Cancel(id)
}

// expireCancels drops the requests to cancel jobs that did not become known in time. The caller holds the lock.
func (d *Driver) expireCancels() {
	now := d.parts.Clock.Now()
	for id, early := range d.earlyCancels {
		if now >= early.expires {
			d.dropCancel(id)
		}
	}
}

// dropOldestCancel drops the request that would be the first to expire. The caller holds the lock.
func (d *Driver) dropOldestCancel() {
	oldest := ""
	for id, early := range d.earlyCancels {
		if oldest == "" || early.expires < d.earlyCancels[oldest].expires {
			oldest = id
		}
	}
	d.log.Warn("Dropped a request to cancel a job that is not known, because there are too many.", "job", oldest, "requests", len(d.earlyCancels))
	d.dropCancel(oldest)
}

func (d *Driver) dropCancel(id string) {
	d.staleRows = append(d.staleRows, d.earlyCancels[id].keys...)
	delete(d.earlyCancels, id)
	delete(d.inbox, id)
}

// keptCancel reports whether a row is that of a kept request.
func (d *Driver) keptCancel(key string) bool {
	id, isCancel := jobOf(fold.Row{Key: key})
	return isCancel && slices.Contains(d.earlyCancels[id].keys, key)
}

// refuseEarlyCancel returns an error if the job is not known and too many requests to cancel such jobs are kept.
func (d *Driver) refuseEarlyCancel(id string) error {
	if _, _, known := d.State(id); known {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, kept := d.earlyCancels[id]; kept || len(d.earlyCancels) < maxEarlyCancels {
		return nil
	}
	return fold.Refuse(fold.Overload, "retry later", "the job is not known, and too many requests to cancel such jobs are kept; the request was not recorded")
}

// jobOf returns the id of the job to which a row of JobPrefix or InboxPrefix belongs, and whether it is a cancellation
// request.
func jobOf(row fold.Row) (id string, isCancel bool) {
	id = strings.TrimPrefix(strings.TrimPrefix(row.Key, InboxPrefix), JobPrefix)
	return strings.CutSuffix(id, CancelMark)
}
