package app

// The two-year size.
const (
	workers      = 17_000
	tasks        = 110_000
	startsPeak   = 3800
	jobsDay      = 130_000
	changesDay   = 16_000
	domains      = 27
	teams        = 140
	entriesEach  = 4
	entries      = domains * entriesEach
	poolSize     = 64
	pools        = (workers + poolSize - 1) / poolSize
	daySeconds   = 86_400
	peakFactor   = 20
	renewals     = 1.5
	allotments   = 10
	regionPeers  = 14
	regions      = 8
	remoteLinks  = 2 * (regions - 1)
	beatsSecond  = 2
	keysEach     = 20
	requestsPeak = 500
	claimSeconds = 60
)

// Bounds from the letter of the users and from the design.
const (
	boundCPU    = 0.016
	boundMemory = 64 << 20
	boundBytes  = 4096
	boundWrites = 400.0 / 3
	// noBound marks figures of entries, whose work is control itself; the bounds of the letter are those of a node.
	noBound = 0
)

// Units and roles that several figures share.
const (
	commitsSecond = "commits/s"
	bytesSecond   = "bytes/s"
	tableService  = "table service"
)

// cost is a figure at the two-year size.
type cost struct {
	role   string
	figure string
	value  float64
	bound  float64
	unit   string
}

// costsOf works out the figures from the slopes.
func costsOf(s map[string]slope) []cost {
	owned := float64(pools) / entries
	workersOwned := float64(workers) / entries
	tasksOwned := float64(tasks) / entries
	startsOwned := float64(startsPeak) / entries
	beatTime := s[beats].line.slope
	heap := owned*s[poolWorkers].line.at(poolSize) + tasksOwned*s[poolTasks].line.slope +
		requestsPeak*claimSeconds*s[claimHeap].line.slope + teams*keysEach*s[keyHeap].line.slope
	entryCPU := workersOwned*beatTime/2 + startsOwned*s[starts].line.slope + requestsPeak*s[identifyTime].line.slope
	endsPerWorker := float64(startsPeak) / workers
	nodeBytes := s[beatBytes].line.base + endsPerWorker*s[beatBytes].line.slope
	peerSends := float64(regionPeers+remoteLinks) * beatsSecond * 2
	accepts := float64(peakFactor*jobsDay) / daySeconds
	rows := jobsDay * s[jobCommits].line.slope / daySeconds
	return []cost{
		{"worker", "processor time of control", beatTime / 2 / 1e9, boundCPU, "cores"},
		{"worker", "control traffic, both directions", nodeBytes, boundBytes, bytesSecond},
		{"entry", "processor time of heartbeats, starts at peak and keys", entryCPU / 1e9, noBound, "cores"},
		{"entry", "heap of pools, tasks, claims and keys", heap, boundMemory, "bytes"},
		{"entry", "heartbeats to and from peers, regional mesh", peerSends * s[peerBytes].line.at(owned), noBound, bytesSecond},
		{tableService, "renewals", entries / renewals, boundWrites, commitsSecond},
		{
			tableService, "renewals with records of jobs, accepts at peak, allotments, changes",
			entries/renewals + accepts + allotments + float64(changesDay)/daySeconds, boundWrites, commitsSecond,
		},
		{tableService, "rows written by jobs at peak", peakFactor * rows, noBound, "rows/s"},
		{tableService, "configuration changes", float64(changesDay) / daySeconds, boundWrites, commitsSecond},
	}
}
