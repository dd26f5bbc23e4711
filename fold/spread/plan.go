package spread

import (
	"sort"

	"plantainfold.example/fold"
)

// Room is what a pool advertises.
type Room struct {
	Pool     string         `json:"pool"`
	Domain   string         `json:"domain"`
	Free     fold.Resources `json:"free"`
	Capacity fold.Resources `json:"capacity"`
	// Largest is the largest capacity of a worker of the pool.
	Largest fold.Resources `json:"largest"`
	// Waiting is the number of tasks that wait in the pool.
	Waiting int `json:"waiting"`
}

// Plan returns the parts of a job: a gang in one pool, the replicas of a service spread over failure domains, the tasks
// of a batch job where there is room. It returns nil when no pool could run the work even if
// it were empty.
func Plan(j fold.Job, rooms []Room) []fold.Part {
	usable := make([]Room, 0, len(rooms))
	for _, r := range rooms {
		if r.canHold(j) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	sort.Slice(usable, func(i, k int) bool { return better(j.Resources, usable[i], usable[k]) })
	switch j.Kind {
	case fold.Gang:
		return []fold.Part{{Pool: gangPool(j, usable).Pool, FirstTask: j.FirstTask, Count: j.Count}}
	case fold.Service:
		return parts(j, evenly(j.Count, byDomain(usable)))
	default:
		return parts(j, byRoom(j, usable))
	}
}

// canHold reports whether the pool could run a part of the job when it is empty.
func (r Room) canHold(j fold.Job) bool {
	if j.Kind == fold.Gang && copies(j.Resources, r.Capacity) < j.Count {
		return false
	}
	return j.Resources.Fits(r.Largest)
}

// share is a number of tasks for a pool.
type share struct {
	pool  string
	count int
}

// better orders pools by the number of tasks that fit beyond those that wait.
func better(task fold.Resources, a, b Room) bool {
	left, right := spare(task, a), spare(task, b)
	if left != right {
		return left > right
	}
	return a.Pool < b.Pool
}

// spare returns how many tasks fit into the free capacity of a pool, less those that wait there.
func spare(task fold.Resources, r Room) int {
	return copies(task, r.Free) - r.Waiting
}

// copies returns how many tasks fit into an amount.
func copies(task, free fold.Resources) int {
	most := int64(1 << 30)
	for _, d := range [][2]int64{{task.CPU, free.CPU}, {task.Memory, free.Memory}, {task.Accel, free.Accel}} {
		if d[0] > 0 {
			most = min(most, max(d[1], 0)/d[0])
		}
	}
	return int(most)
}

// gangPool returns the pool with the least room in which the whole gang fits now, or the one with the most room.
func gangPool(j fold.Job, sorted []Room) Room {
	best := sorted[0]
	for _, r := range sorted {
		if spare(j.Resources, r) >= j.Count {
			best = r
		}
	}
	return best
}

// byDomain orders pools so that consecutive ones lie in different failure domains.
func byDomain(sorted []Room) []Room {
	seen := make(map[string]int)
	type ranked struct {
		room Room
		turn int
	}
	all := make([]ranked, 0, len(sorted))
	for _, r := range sorted {
		all = append(all, ranked{room: r, turn: seen[r.Domain]})
		seen[r.Domain]++
	}
	sort.SliceStable(all, func(i, k int) bool { return all[i].turn < all[k].turn })
	rooms := make([]Room, 0, len(all))
	for _, r := range all {
		rooms = append(rooms, r.room)
	}
	return rooms
}

// evenly gives each pool in turn one task.
func evenly(count int, rooms []Room) []share {
	shares := make([]share, min(count, len(rooms)))
	for i := range shares {
		shares[i] = share{pool: rooms[i].Pool, count: count / len(shares)}
		if i < count%len(shares) {
			shares[i].count++
		}
	}
	return shares
}

// byRoom fills the free capacity of pools, the largest first; what does not fit anywhere now is spread in proportion.
func byRoom(j fold.Job, sorted []Room) []share {
	counts := make(map[string]int)
	left := j.Count
	for _, r := range sorted {
		n := min(left, max(spare(j.Resources, r), 0))
		counts[r.Pool] += n
		left -= n
	}
	for _, s := range evenly(left, sorted) {
		counts[s.pool] += s.count
	}
	var shares []share
	for _, r := range sorted {
		if counts[r.Pool] > 0 {
			shares = append(shares, share{pool: r.Pool, count: counts[r.Pool]})
		}
	}
	return shares
}

// parts turns shares into consecutive ranges of tasks.
func parts(j fold.Job, shares []share) []fold.Part {
	out := make([]fold.Part, 0, len(shares))
	from := j.FirstTask
	for _, s := range shares {
		out = append(out, fold.Part{Pool: s.pool, FirstTask: from, Count: s.count})
		from += s.count
	}
	return out
}

// Target returns the pool with the most room for waiting tasks of a job, and how many of them fit there now. A gang fits
// as a whole or not at all.
func Target(j fold.Job, waiting int, rooms []Room) (string, int) {
	best, most := "", 0
	for _, r := range rooms {
		if !r.canHold(j) {
			continue
		}
		if n := spare(j.Resources, r); n > most {
			best, most = r.Pool, n
		}
	}
	if j.Kind == fold.Gang && most < j.Count {
		return "", 0
	}
	return best, min(most, waiting)
}
