package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"plantainfold.example/fold"
)

// PastUse configures how the past use of the teams affects the order of waiting work. The zero value turns it off.
type PastUse struct {
	// HalfLife is the time after which a core-second counts half.
	HalfLife time.Duration
	// Floor is the decayed use in core-seconds per unit of weight below which a team is not set back.
	Floor float64
}

// enabled reports whether past use is recorded.
func (p PastUse) enabled() bool {
	return p.HalfLife > 0
}

// TeamUse is the decayed use of a team.
type TeamUse struct {
	Team string
	// CoreSeconds is the decayed use.
	CoreSeconds float64
	// Weighted is the use divided by the team's weight, which orders the teams.
	Weighted float64
}

const (
	// minRecordedUse is the decayed use in core-seconds below which a team is not listed.
	minRecordedUse = 1
	// pastUseLogInterval is the interval of the logs about teams that are set back.
	pastUseLogInterval = time.Minute
	// maxLoggedTeams is the maximum number of teams in such a log.
	maxLoggedTeams = 5
)

// use is the integral of the cores that the live runs of a team claim, with exponential decay. It is brought up to date
// whenever the claimed cores change and before it is read, so that runs count while they last.
type use struct {
	coreSeconds float64
	// claimed is the number of claimed cores in thousandths.
	claimed int64
	// updatedAt is the time up to which coreSeconds includes the claimed cores.
	updatedAt fold.Instant
}

// update adds the use since the last update.
func (u *use) update(now fold.Instant, halfLife time.Duration) {
	elapsed := now.Sub(u.updatedAt)
	if elapsed <= 0 {
		return
	}
	u.updatedAt = now
	if u.coreSeconds == 0 && u.claimed == 0 {
		return
	}
	halfLives := float64(elapsed) / float64(halfLife)
	// The added term is the integral of the claimed cores over the elapsed time with decay. Expm1 keeps it exact for the few
	// milliseconds between two rounds of decisions.
	added := float64(u.claimed) / 1000 * halfLife.Seconds() / math.Ln2 * -math.Expm1(-halfLives*math.Ln2)
	u.coreSeconds = u.coreSeconds*math.Exp2(-halfLives) + added
}

// weighted returns the team's use divided by its weight. A team without a weight counts as one of weight 1.
func (t *team) weighted() float64 {
	if t.rule.Weight <= 0 {
		return t.use.coreSeconds
	}
	return t.use.coreSeconds / t.rule.Weight
}

// RestorePastUse adds the use that an earlier owner recorded the given time ago.
func (c *Cell) RestorePastUse(uses []TeamUse, age time.Duration) {
	if !c.options.PastUse.enabled() {
		return
	}
	decay := math.Exp2(-float64(age) / float64(c.options.PastUse.HalfLife))
	for _, u := range uses {
		t := c.team(u.Team)
		t.use.update(c.now, c.options.PastUse.HalfLife)
		t.use.coreSeconds += u.CoreSeconds * decay
	}
}

// TeamUses returns the use of the teams, at most limit of them, those with the highest use per weight first.
func (c *Cell) TeamUses(limit int) []TeamUse {
	if !c.options.PastUse.enabled() {
		return nil
	}
	uses := make([]TeamUse, 0, len(c.teams))
	for name, t := range c.teams {
		t.use.update(c.now, c.options.PastUse.HalfLife)
		if t.use.coreSeconds >= minRecordedUse {
			uses = append(uses, TeamUse{Team: name, CoreSeconds: t.use.coreSeconds, Weighted: t.weighted()})
		}
	}
	slices.SortFunc(uses, func(a, b TeamUse) int {
		return cmp.Or(cmp.Compare(b.Weighted, a.Weighted), cmp.Compare(a.Team, b.Team))
	})
	return uses[:min(len(uses), limit)]
}

// claimCores adds to the cores in thousandths that a team claims.
func (c *Cell) claimCores(t *team, cores int64) {
	if c.options.PastUse.enabled() {
		t.use.update(c.now, c.options.PastUse.HalfLife)
		t.use.claimed += cores
	}
}

// firstSetBackRank is the lowest rank in which past use orders parts. All parts of jobs that can still end in time, and the
// late urgent parts that precede some of them, have lower ranks.
const firstSetBackRank = classLate * classSpan

// setBackAfter returns the time after which a job may be set back: twice its objective after its acceptance. The objective comes
// from estimates, and the actual work may take 1.9 times as long, so that the job can still end in time until then.
func (j *job) setBackAfter() fold.Instant {
	return j.due.Add(j.worthlessAfter.Sub(j.due) / (worthlessFactor - 1))
}

// setBack returns the past use by which a part is set back within its rank, or 0.
func (c *Cell) setBack(p *part) float64 {
	if !c.options.PastUse.enabled() || p.rank < firstSetBackRank || c.now <= p.job.setBackAfter() {
		return 0
	}
	t := p.job.team
	// This has an effect once per team and round, because the time does not change during a round.
	t.use.update(c.now, c.options.PastUse.HalfLife)
	if weighted := t.weighted(); weighted >= c.options.PastUse.Floor {
		return weighted
	}
	return 0
}

// logPastUse logs the teams that are set back most.
func (c *Cell) logPastUse() {
	if !c.options.PastUse.enabled() || c.now.Sub(c.lastPastUseLog) < pastUseLogInterval {
		return
	}
	c.lastPastUseLog = c.now
	uses := c.TeamUses(len(c.teams))
	count := 0
	var most []string
	for _, u := range uses {
		if u.Weighted < c.options.PastUse.Floor {
			break
		}
		if count++; count <= maxLoggedTeams {
			most = append(most, fmt.Sprintf("%s=%.0f", u.Team, u.Weighted))
		}
	}
	if count > 0 {
		c.log.Info("Late work of teams is set back because of their past use.", "teams", count, "most", strings.Join(most, " "), "floor", c.options.PastUse.Floor)
	}
}
