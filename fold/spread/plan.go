package spread

import (
	"sort"

	"plantainfold.example/fold"
)

// PoolCapacity is the capacity that a pool advertises.
type PoolCapacity struct {
	Pool     string         `json:"pool"`
	Domain   string         `json:"domain"`
	Free     fold.Resources `json:"free"`
	Capacity fold.Resources `json:"capacity"`
	// Largest is the largest capacity of a single worker of the pool.
	Largest fold.Resources `json:"largest"`
	// Waiting is the number of tasks that wait in the pool.
	Waiting int `json:"waiting"`
}

// Plan returns the parts of a job. It puts a gang into one pool, spreads the replicas of a service over failure domains
// and puts the tasks of a batch job where there is headroom. It returns nil if no pool could run the job even when empty.
func Plan(j fold.Job, rooms []PoolCapacity) []fold.Part {
	usable := make([]PoolCapacity, 0, len(rooms))
	for _, r := range rooms {
		if r.couldRun(j) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	sort.Slice(usable, func(i, k int) bool { return hasMoreHeadroom(j.Resources, usable[i], usable[k]) })
	switch j.Kind {
	case fold.Gang:
		return []fold.Part{{Pool: gangPool(j, usable).Pool, FirstTask: j.FirstTask, Count: j.Count}}
	case fold.Service:
		return parts(j, splitEvenly(j.Count, alternateDomains(usable)))
	default:
		return parts(j, splitByHeadroom(j, usable))
	}
}

// couldRun reports whether the pool, if it were empty, could run a task of the job or, for a gang, the whole job.
func (r PoolCapacity) couldRun(j fold.Job) bool {
	if j.Kind == fold.Gang && countFitting(j.Resources, r.Capacity) < j.Count {
		return false
	}
	return j.Resources.Fits(r.Largest)
}

// taskShare is the number of tasks that a pool receives.
type taskShare struct {
	pool  string
	count int
}

// hasMoreHeadroom reports whether pool a sorts before pool b, which is when a has more headroom for the task.
func hasMoreHeadroom(task fold.Resources, a, b PoolCapacity) bool {
	left, right := headroom(task, a), headroom(task, b)
	if left != right {
		return left > right
	}
	return a.Pool < b.Pool
}

// headroom returns how many tasks fit into the free capacity of a pool, minus those that wait there.
func headroom(task fold.Resources, r PoolCapacity) int {
	return countFitting(task, r.Free) - r.Waiting
}

// countFitting returns how many tasks fit into the free resources.
func countFitting(task, free fold.Resources) int {
	most := int64(1 << 30)
	for _, d := range [][2]int64{{task.CPU, free.CPU}, {task.Memory, free.Memory}, {task.Accel, free.Accel}} {
		if d[0] > 0 {
			most = min(most, max(d[1], 0)/d[0])
		}
	}
	return int(most)
}

// gangPool returns the pool with the least headroom that still fits the whole gang now, or the one with the most headroom
// if none does.
func gangPool(j fold.Job, sorted []PoolCapacity) PoolCapacity {
	best := sorted[0]
	for _, r := range sorted {
		if headroom(j.Resources, r) >= j.Count {
			best = r
		}
	}
	return best
}

// alternateDomains orders pools so that consecutive pools lie in different failure domains where possible.
func alternateDomains(sorted []PoolCapacity) []PoolCapacity {
	seen := make(map[string]int)
	type ranked struct {
		room PoolCapacity
		turn int
	}
	all := make([]ranked, 0, len(sorted))
	for _, r := range sorted {
		all = append(all, ranked{room: r, turn: seen[r.Domain]})
		seen[r.Domain]++
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].turn < all[k].turn })
	rooms := make([]PoolCapacity, 0, len(all))
	for _, r := range all {
		rooms = append(rooms, r.room)
	}
	return rooms
}

// splitEvenly divides the tasks evenly among the pools. The first pools receive one task more if the division has a
// remainder.
func splitEvenly(count int, rooms []PoolCapacity) []taskShare {
	shares := make([]taskShare, min(count, len(rooms)))
	for i := range shares {
		shares[i] = taskShare{pool: rooms[i].Pool, count: count / len(shares)}
		if i < count%len(shares) {
			shares[i].count++
		}
	}
	return shares
}

// splitByHeadroom fills the headroom of the pools in the given order, the largest first. Tasks that do not fit now are
// divided evenly among the pools.
func splitByHeadroom(j fold.Job, sorted []PoolCapacity) []taskShare {
	counts := make(map[string]int)
	left := j.Count
	for _, r := range sorted {
		n := min(left, max(headroom(j.Resources, r), 0))
		counts[r.Pool] += n
		left -= n
	}
	for _, s := range splitEvenly(left, sorted) {
		counts[s.pool] += s.count
	}
	var shares []taskShare
	for _, r := range sorted {
		if counts[r.Pool] > 0 {
			shares = append(shares, taskShare{pool: r.Pool, count: counts[r.Pool]})
		}
	}
	return shares
}

// parts converts shares into consecutive ranges of tasks.
func parts(j fold.Job, shares []taskShare) []fold.Part {
	out := make([]fold.Part, 0, len(shares))
	from := j.FirstTask
	for _, s := range shares {
		out = append(out, fold.Part{Pool: s.pool, FirstTask: from, Count: s.count})
		from += s.count
	}
	return out
}

// BestPool returns the pool with the most headroom for waiting tasks of a job and how many of them fit there now. It returns
// an empty name if a gang does not fit as a whole.
func BestPool(j fold.Job, waiting int, rooms []PoolCapacity) (string, int) {
	best, most := "", 0
	for _, r := range rooms {
		if !r.couldRun(j) {
			continue
		}
		if n := headroom(j.Resources, r); n > most {
			best, most = r.Pool, n
		}
	}
	if j.Kind == fold.Gang && most < j.Count {
		return "", 0
	}
	return best, min(most, waiting)
}
