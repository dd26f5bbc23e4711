package app

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// point is a measurement at one size.
type point struct {
	size  int
	value float64
}

// line is the least-squares line through points: value = base + slope * size.
type line struct {
	base  float64
	slope float64
}

// at returns the value of the line at a size.
func (l line) at(size float64) float64 {
	return l.base + l.slope*size
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
	return line{base: (sumY - slope*sumX) / n, slope: slope}
}

// heapOf returns the bytes of heap that the result of build keeps alive.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	// Two collections also free what finalizers held.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the user and system time that run takes in this process.
func processorTime(run func()) time.Duration {
	before := used()
	run()
	return used() - before
}

func used() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic("app: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
