package app

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// point is the value measured at one size.
type point struct {
	size  int
	value float64
}

// line is the function value = intercept + slope * size.
type line struct {
	intercept float64
	slope     float64
}

func (l line) at(size float64) float64 {
	return l.intercept + l.slope*size
}

// fit returns the least-squares line through the points.
func fit(points []point) line {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x := float64(p.size)
		sumX += x
		sumY += p.value
		sumXX += x * x
		sumXY += x * p.value
	}
	n := float64(len(points))
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return line{intercept: (sumY - slope*sumX) / n, slope: slope}
}

// heapUse returns the number of heap bytes that the result of build keeps alive.
func heapUse(build func() any) float64 {
	before := liveHeap()
	result := build()
	after := liveHeap()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// The second collection frees objects that finalizers kept alive during the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the user and system time of this process while fn runs.
func processorTime(fn func()) time.Duration {
	before := usedProcessorTime()
	fn()
	return usedProcessorTime() - before
}

func usedProcessorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic("app: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
