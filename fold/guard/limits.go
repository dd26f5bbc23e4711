package guard

import "time"

const (
	// stallTime is the time without progress after which a connection is closed first. It is many times the round-trip time
	// between failure domains.
	stallTime = 250 * time.Millisecond
	// checkTimeout bounds the time from the header of a request until its body is read. A check waits for the configuration for
	// less than a second; a longer one means that the entry is stuck.
	checkTimeout = 10 * time.Second
	// bodyTimeout bounds the time for which a body is read. It exceeds the 3 s that callers wait.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds a write to a caller that does not read its answers.
	writeTimeout = 3 * time.Second
	// bodyShare is the share of the process's memory for requests that are being read and decoded. The Go runtime needs up to
	// twice the memory in use.
	bodyShare = 1.0 / 8
	// connectionShare is the share of the process's memory for the connections themselves.
	connectionShare = 1.0 / 4
	// connectionBytes is the memory of a connection in bytes: 20 KB in the process, and the two buffers of the kernel.
	connectionBytes = 64 << 10
	// kernelBuffer is the size in bytes of the receive buffer and of the send buffer of a connection. The kernel doubles it for
	// its own bookkeeping.
	kernelBuffer = 16 << 10
	// maxBacklog is the maximum number of connections that the kernel accepts ahead of the process. Each may hold a full
	// receive buffer.
	maxBacklog = 512
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// callerFileShare is the share of the other descriptors for connections of callers. The rest serves the connections to
	// hosts, to entries and to the platform.
	callerFileShare = 0.5
	// minConnections is the smallest limit of open connections, so that a wrong setting does not lock out all callers.
	minConnections = 16
	// minBytes is the smallest memory in bytes for requests that are being read and decoded.
	minBytes = 2 << 20
	// headerGrowth is the memory in bytes that a byte of a header can take in the process. A field of 5 bytes takes a place in
	// a map, a slice and two strings.
	headerGrowth = 24
	// smallBody is the size in bytes of a body that may use all memory for requests. Larger ones leave a quarter of it free.
	smallBody = 16 << 10
	// maxBodyShare is the share of the memory for requests that one body may use if the configuration sets no limit.
	maxBodyShare = 1.0 / 4
	// minSegment and maxSegment are the smallest and the largest size in bytes by which the memory of a body grows.
	minSegment, maxSegment = 4 << 10, 64 << 10
	// maxDecodes is the maximum number of bodies that are decoded at the same time. Decoding takes several times the memory of
	// the body.
	maxDecodes = 2
	// expireInterval is the time between two searches for checks and bodies that have exceeded their time.
	expireInterval = 500 * time.Millisecond
	// reportInterval is the shortest time between two log lines about closed connections.
	reportInterval = time.Second
	// retryAfter is the time after which a refused caller may retry.
	retryAfter = time.Second
)

// Limits are the limits of a Ledger; 0 means that there is no limit.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the memory in bytes for requests that are being read and decoded.
	Bytes int64
}

// NewLimits derives the limits from the memory of the process in MiB and from the number of descriptors that it may have open.
// A value of 0 means that it is not known.
func NewLimits(memory float64, fds int) Limits {
	var l Limits
	if memory > 0 {
		bytes := memory * (1 << 20)
		l.Bytes = max(minBytes, int64(bytes*bodyShare))
		l.Connections = max(minConnections, int(bytes*connectionShare/connectionBytes))
	}
	if fds > 0 {
		byFiles := max(minConnections, int(float64(fds-reservedFiles)*callerFileShare))
		if l.Connections == 0 || byFiles < l.Connections {
			l.Connections = byFiles
		}
	}
	return l
}
