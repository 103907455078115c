package plantainladder_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/shape"
	"github.com/plantainladder/plantainladder/wire"
	"github.com/plantainladder/plantainladder/worker"
)

// The scale that the replicated state is designed for.
const (
	targetWorkers = 2100
	targetOrgs    = 55
	targetJobs    = 4600
	targetTasks   = 6800
	targetChanges = 2100
)

// newTargetState returns a state at the given fraction of the design scale: the
// jobs that end in a day, and running jobs with targetTasks tasks in total.
func newTargetState(fraction float64) *replica {
	r := newReplica()
	for i := range int(targetOrgs * fraction) {
		c := newContract()
		c.Organisation = fmt.Sprint("o", i)
		r.putContract(c)
	}
	workers := int(targetWorkers * fraction)
	for i := range workers {
		r.apply("", plantainladder.RegisterWorker{
			Worker: worker.Worker{
				Name:        fmt.Sprint("w", i),
				Address:     "10.1.2.3:7000",
				DataCentre:  fmt.Sprint("dc", i%9),
				Rack:        fmt.Sprint("r", i/8),
				Incarnation: "0b5f5d7e-6b1c-4e0e-8d0e-2f6a4f0f9e11",
				Capacity: shape.Resources{
					Accelerators: 8,
				},
			},
		})
	}
	const tasksPerJob = 4
	running := int(targetTasks*fraction) / tasksPerJob
	for i := range int(targetJobs*fraction) + running {
		addJob(r, i, workers, tasksPerJob, i >= running)
	}
	for i := range int(targetChanges * fraction) {
		r.apply(fmt.Sprint("change-", i), plantainladder.SetDataCentre{
			Name:         "dc1",
			OutOfService: i%2 == 0,
			Revision:     uint64(i),
		})
	}
	return r
}

// addJob submits, places and starts the job with the number i, and ends its tasks
// if ends is true.
func addJob(r *replica, i, workers, tasks int, ends bool) {
	s := newJobSpec(fmt.Sprint("job-", i))
	s.Organisation = "o0"
	s.Shape = s.Shape.WithTasks(tasks)
	s.Command = "run --model cavity --input s3://bucket/path/of/some/length"
	r.apply("", plantainladder.SubmitJob{
		Spec: s,
	})
	var placements []job.TaskPlacement
	for t := range tasks {
		placements = append(placements, job.TaskPlacement{
			Worker:      fmt.Sprint("w", (i*tasks+t)%max(1, workers)),
			Incarnation: "0b5f5d7e-6b1c-4e0e-8d0e-2f6a4f0f9e11",
			DataCentre:  "dc2",
		})
	}
	r.apply("", plantainladder.PlaceJob{
		ID:      s.ID,
		Attempt: 1,
		Parts:   placements,
	})
	r.apply("", plantainladder.StartJob{
		ID:      s.ID,
		Attempt: 1,
	})
	for t := 0; ends && t < tasks; t++ {
		r.apply("", plantainladder.EndPart{
			ID:      s.ID,
			Attempt: 1,
			Task:    t,
			Done:    true,
		})
	}
}

// BenchmarkTargetState reports the memory, the snapshot size and the encoding and
// decoding times of the replicated state at fractions of the design scale.
func BenchmarkTargetState(b *testing.B) {
	for _, fraction := range []float64{0.25, 0.5, 1} {
		b.Run(fmt.Sprintf("share-%.2f", fraction), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := newTargetState(fraction)
			runtime.GC()
			runtime.ReadMemStats(&after)
			encoding := time.Now()
			snapshot, err := wire.MarshalState(r.state)
			if err != nil {
				b.Fatal(err)
			}
			encoded := time.Since(encoding)
			decoding := time.Now()
			if _, err = wire.UnmarshalState(snapshot); err != nil {
				b.Fatal(err)
			}
			decoded := time.Since(decoding)
			for b.Loop() {
				r.state.ActiveJobs()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MB")
			b.ReportMetric(float64(len(snapshot))/(1<<20), "snapshot-MB")
			b.ReportMetric(float64(encoded.Milliseconds()), "encode-ms")
			b.ReportMetric(float64(decoded.Milliseconds()), "decode-ms")
			runtime.KeepAlive(r)
		})
	}
}
