package drive

import (
	"context"
	"math"
	"time"

	"github.com/joomcode/errorx"

	"plantainfold.example/fold"
	"plantainfold.example/fold/codec"
	"plantainfold.example/fold/core"
)

// UseKey is the key of the row that holds the past use of the teams.
const UseKey = "use/teams"

const (
	// useInterval is the shortest time between two writes of the row. A new owner misses the use of at most this time before
	// the last commit of the earlier owner.
	useInterval = 5 * time.Second
	// MaxUseTeams is the maximum number of teams in the row.
	MaxUseTeams = 1000
	// maxUseAge limits the age of a row, in half-lives. The age is the difference of the wall clocks of two entries.
	maxUseAge = 20
	// maxCoreSeconds is the largest use that a row may hold: a million cores for 30 years.
	maxCoreSeconds = 1e15
	// useReadWait is how long a takeover waits for the row after it has read everything else.
	useReadWait = 100 * time.Millisecond
	// useRetryDelay is the delay before a failed read of the row is tried again.
	useRetryDelay = time.Second
)

// useRow is the row with the key UseKey.
type useRow struct {
	// At is when the row was made, on the wall clock of its owner, in milliseconds since the Unix epoch.
	At int64 `json:"at"`
	// Teams are the teams with the highest use per weight, the highest first.
	Teams []teamUse `json:"teams"`
}

// teamUse is the use of a team in a row.
type teamUse struct {
	_           struct{} `cbor:",toarray"`
	Team        string
	CoreSeconds float64
}

// pastUse is the state of the row of past use.
type pastUse struct {
	// read is closed when the row of the earlier owner was read. Before that, writing the row would lose its content.
	read chan struct{}
	// nextWrite is the earliest time of the next write. It is set before read is closed; then only the commit loop uses it.
	nextWrite fold.Instant
}

// followsPastUse reports whether past use affects the order of work.
func (d *Driver) followsPastUse() bool {
	return d.parts.Options.PastUse.HalfLife > 0
}

// readPastUse reads the use that an earlier owner recorded. It tries again until it succeeds or ctx ends.
func (d *Driver) readPastUse(ctx context.Context) {
	for first := true; ; first = false {
		call, cancel := context.WithTimeout(ctx, tableTimeout)
		row, err := d.parts.Table.Get(call, UseKey)
		cancel()
		if err == nil || errorx.IsOfType(err, fold.NotFound) {
			d.restorePastUse(row)
			return
		}
		if first && ctx.Err() == nil {
			d.log.Warn("Could not read the past use of the teams; trying again.", "error", err)
		}
		if !d.pause(ctx, useRetryDelay) {
			return
		}
	}
}

// restorePastUse passes the content of a row to the cell. A row without a value counts as one without teams.
func (d *Driver) restorePastUse(row fold.Row) {
	var uses []core.TeamUse
	var age time.Duration
	if len(row.Value) > 0 {
		recorded, err := decodeUse(row.Value)
		if err != nil {
			d.log.Error("Ignored the row of past use because it cannot be decoded.", "key", UseKey, "error", err)
		}
		for _, u := range recorded.Teams {
			uses = append(uses, core.TeamUse{Team: u.Team, CoreSeconds: u.CoreSeconds})
		}
		age = useAge(recorded.At, time.Now().UnixMilli(), d.parts.Options.PastUse.HalfLife)
	}
	d.updateCell(func(c *core.Cell) { c.RestorePastUse(uses, age) })
	d.log.Info("Read the past use of the teams.", "teams", len(uses), "age", age.String())
	d.pastUse.nextWrite = d.parts.Clock.Now().Add(useInterval)
	close(d.pastUse.read)
}

// useAge returns the age of a row that was made at the given time. The wall clocks of two entries may differ by any amount, so
// it is clamped: a negative age would multiply the use, and one of centuries overflows.
func useAge(at, now int64, halfLife time.Duration) time.Duration {
	limit := maxUseAge * halfLife
	return time.Duration(min(max(float64(now)-float64(at), 0), float64(limit.Milliseconds()))) * time.Millisecond
}

// decodeUse decodes the row of past use. It rejects a row with a value that no owner writes.
func decodeUse(value []byte) (useRow, error) {
	row, err := codec.Decode[useRow](value)
	if err != nil {
		return useRow{}, err
	}
	if len(row.Teams) > MaxUseTeams {
		return useRow{}, fold.Refuse(fold.Invalid, "delete the row", "the row has %d teams, more than %d", len(row.Teams), MaxUseTeams)
	}
	seen := make(map[string]bool, len(row.Teams))
	for _, u := range row.Teams {
		if seen[u.Team] || math.IsNaN(u.CoreSeconds) || u.CoreSeconds < 0 || u.CoreSeconds > maxCoreSeconds {
			return useRow{}, fold.Refuse(fold.Invalid, "delete the row", "team %q occurs twice or has a use of %g core-seconds", u.Team, u.CoreSeconds)
		}
		seen[u.Team] = true
	}
	return row, nil
}

// useEntriesDue returns how many entries the row of past use takes in the next commit: 1 if the row is due, otherwise 0.
func (d *Driver) useEntriesDue() int {
	if !d.followsPastUse() {
		return 0
	}
	select {
	case <-d.pastUse.read:
	default:
		return 0
	}
	if d.parts.Clock.Now() < d.pastUse.nextWrite {
		return 0
	}
	return 1
}

// useRows returns the row of past use, or none if no team has any. The teams with the lowest use are left out of a row that
// would be too long.
func (d *Driver) useRows() []fold.Put {
	row := useRow{At: time.Now().UnixMilli()}
	for _, u := range d.PastUse(MaxUseTeams) {
		row.Teams = append(row.Teams, teamUse{Team: u.Team, CoreSeconds: min(u.CoreSeconds, maxCoreSeconds)})
	}
	for len(row.Teams) > 0 {
		value, err := codec.Encode(row)
		if err != nil {
			d.log.Error("Could not encode the row of past use.", "error", err)
			break
		}
		if len(value) <= d.backlog.maxRow {
			return []fold.Put{{Key: UseKey, Value: value}}
		}
		row.Teams = row.Teams[:min(len(row.Teams)-1, len(row.Teams)*d.backlog.maxRow/len(value))]
	}
	d.pastUse.nextWrite = d.parts.Clock.Now().Add(useInterval)
	return nil
}

// recordUseCommit records a commit with the given rows of past use, of which there may be none.
func (d *Driver) recordUseCommit(rows []fold.Put) {
	if len(rows) > 0 {
		d.pastUse.nextWrite = d.parts.Clock.Now().Add(useInterval)
	}
}

// sizeOfPuts returns the length of the values of rows in bytes.
func sizeOfPuts(puts []fold.Put) int {
	size := 0
	for _, p := range puts {
		size += len(p.Value)
	}
	return size
}

// PastUse returns the use of the teams, at most limit of them, those with the highest use per weight first.
func (d *Driver) PastUse(limit int) []core.TeamUse {
	var uses []core.TeamUse
	d.withCell(func(c *core.Cell) { uses = c.TeamUses(limit) })
	return uses
}
