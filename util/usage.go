package util

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// Usage is what a process has used of its machine since its start.
type Usage struct {
	// Processor is the processor time, in the program and in the kernel.
	Processor time.Duration
	// MajorFaults is the number of page faults that had to read from a disk.
	MajorFaults int64
	// Preemptions is the number of times that the kernel took a processor from a thread.
	Preemptions int64
	// Collector is the processor time of the garbage collector up to its last cycle.
	// Assists, a part of it, is what goroutines that allocate had to do.
	Collector, Assists time.Duration
}

// Names of the samples of package runtime/metrics that Usage holds.
const (
	collectorSample = "/cpu/classes/gc/total:cpu-seconds"
	assistSample    = "/cpu/classes/gc/mark/assist:cpu-seconds"
)

// ReadUsage returns the usage of this process. What the kernel does not tell is zero.
func ReadUsage() Usage {
	var u Usage
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.Processor = time.Duration(r.Utime.Nano() + r.Stime.Nano())
		u.MajorFaults, u.Preemptions = r.Majflt, r.Nivcsw
	}
	samples := []metrics.Sample{
		{
			Name: collectorSample,
		},
		{
			Name: assistSample,
		},
	}
	metrics.Read(samples)
	u.Collector, u.Assists = durationOf(samples[0].Value), durationOf(samples[1].Value)
	return u
}

// durationOf returns a sample in seconds; zero if the runtime does not know it.
func durationOf(v metrics.Value) time.Duration {
	if v.Kind() != metrics.KindFloat64 {
		return 0
	}
	return time.Duration(v.Float64() * float64(time.Second))
}

// Since returns what was used between an earlier reading and u.
func (u Usage) Since(earlier Usage) Usage {
	return Usage{
		Processor:   u.Processor - earlier.Processor,
		MajorFaults: u.MajorFaults - earlier.MajorFaults,
		Preemptions: u.Preemptions - earlier.Preemptions,
		Collector:   u.Collector - earlier.Collector,
		Assists:     u.Assists - earlier.Assists,
	}
}
