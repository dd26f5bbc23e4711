package app

// The two-year size: the cell and its load as the users expect them in two years.
const (
	workers             = 17_000
	runningTasks        = 110_000
	peakStartsPerSecond = 3800
	jobsPerDay          = 130_000
	configChangesPerDay = 16_000
	domains             = 27
	teams               = 140
	entriesPerDomain    = 4
	entries             = domains * entriesPerDomain
	workersPerPool      = 64
	pools               = (workers + workersPerPool - 1) / workersPerPool
	secondsPerDay       = 86_400
	// peakFactor is the ratio of the peak rate of jobs to their mean rate.
	peakFactor = 20
	// renewalSeconds is the time between two renewals of an entry's row.
	renewalSeconds = 1.5
	// allotmentCommits is the number of commits per second that move allotments of teams between pools.
	allotmentCommits = 10
	entriesPerRegion = 14
	regions          = 8
	// remoteLinks is the number of an entry's peers in other regions, two in each.
	remoteLinks             = 2 * (regions - 1)
	peerHeartbeatsPerSecond = 2
	keysPerTeam             = 20
	peakRequestsPerEntry    = 500
	// claimSeconds is how long an entry keeps the claim of a request.
	claimSeconds = 60
)

// Upper bounds that the requirements of the users and the design set.
const (
	// maxCPU is the processor time of control, in cores.
	maxCPU = 0.016
	// maxMemory is the heap, in bytes.
	maxMemory = 64 << 20
	// maxTraffic is the control traffic, in bytes per second.
	maxTraffic = 4096
	// maxCommits is the load of the table service, in commits per second.
	maxCommits = 400.0 / 3
	// noBound marks a figure without a bound. The required bounds are for the overhead of control on a node, whereas control
	// is the whole work of an entry.
	noBound = 0
)

// Units and roles that several figures share.
const (
	commitsPerSecond = "commits/s"
	bytesPerSecond   = "bytes/s"
	tableService     = "table service"
)

// cost is a resource use at the two-year size, with its upper bound.
type cost struct {
	role   string
	figure string
	value  float64
	bound  float64
	unit   string
}

// computeCosts extrapolates the costs from the measurements. It assumes one heartbeat per second for each worker.
func computeCosts(m map[string]measurement) []cost {
	poolsOwned := float64(pools) / entries
	workersOwned := float64(workers) / entries
	tasksOwned := float64(runningTasks) / entries
	startsOwned := float64(peakStartsPerSecond) / entries
	heartbeatNanos := m[heartbeatTime].line.slope
	heap := poolsOwned*m[workerHeap].line.at(workersPerPool) + tasksOwned*m[taskHeap].line.slope +
		peakRequestsPerEntry*claimSeconds*m[claimHeap].line.slope + teams*keysPerTeam*m[keyHeap].line.slope
	entryNanos := workersOwned*heartbeatNanos/2 + startsOwned*m[startTime].line.slope + peakRequestsPerEntry*m[identifyTime].line.slope
	endsPerWorker := float64(peakStartsPerSecond) / workers
	workerBytes := m[heartbeatBytes].line.intercept + endsPerWorker*m[heartbeatBytes].line.slope
	peerHeartbeats := float64(entriesPerRegion+remoteLinks) * peerHeartbeatsPerSecond * 2
	acceptsPerSecond := float64(peakFactor*jobsPerDay) / secondsPerDay
	rowsPerSecond := jobsPerDay * m[jobRows].line.slope / secondsPerDay
	return []cost{
		{"worker", "processor time of control", heartbeatNanos / 2 / 1e9, maxCPU, "cores"},
		{"worker", "control traffic, both directions", workerBytes, maxTraffic, bytesPerSecond},
		{"entry", "processor time of heartbeats, starts at peak and keys", entryNanos / 1e9, noBound, "cores"},
		{"entry", "heap of pools, tasks, claims and keys", heap, maxMemory, "bytes"},
		{"entry", "heartbeats to and from peers, regional mesh", peerHeartbeats * m[peerHeartbeatBytes].line.at(poolsOwned), noBound, bytesPerSecond},
		{tableService, "renewals", entries / renewalSeconds, maxCommits, commitsPerSecond},
		{
			tableService, "renewals with records of jobs, accepts at peak, allotments, changes",
			entries/renewalSeconds + acceptsPerSecond + allotmentCommits + float64(configChangesPerDay)/secondsPerDay, maxCommits, commitsPerSecond,
		},
		{tableService, "rows written by jobs at peak", peakFactor * rowsPerSecond, noBound, "rows/s"},
		{tableService, "configuration changes", float64(configChangesPerDay) / secondsPerDay, maxCommits, commitsPerSecond},
	}
}
