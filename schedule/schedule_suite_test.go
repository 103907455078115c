package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/job"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/shape"
)

func TestSchedule(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "schedule")
}

var epoch = time.Unix(1_700_000_000, 0)

func nodes(n, perRack, perCentre int) []schedule.Node {
	list := make([]schedule.Node, n)
	for i := range list {
		capacity := shape.Resources{
			Accelerators: 8,
			Cores:        60,
			MemoryMB:     250_000,
		}
		list[i] = schedule.Node{
			Worker:     fmt.Sprintf("w%05d", i),
			DataCentre: fmt.Sprintf("dc%02d", i/perCentre),
			Rack:       fmt.Sprintf("r%04d", i/perRack),
			Capacity:   capacity,
			Free:       capacity,
		}
	}
	return list
}

func gang(tasks, accelerators int, near string) shape.Shape {
	return shape.Shape{
		Tasks:         tasks,
		AdjacencyName: near,
		PerTask: shape.Resources{
			Accelerators: accelerators,
		},
	}
}

func queuedJob(id, organisation, class string, s shape.Shape) job.Job {
	return job.New(epoch, job.Spec{
		ID:            id,
		Organisation:  organisation,
		Class:         class,
		Shape:         s,
		DeclaredRunMS: 60_000,
	})
}

func newContract(organisation string, count int, s shape.Shape) contract.Contract {
	return contract.Contract{
		Organisation:        organisation,
		CeilingAccelerators: 100_000,
		Classes:             contract.Classes(),
		Guarantee: []contract.Block{
			{
				Count: count,
				Shape: s,
			},
		},
	}
}

func input(n []schedule.Node, contracts []contract.Contract, jobs ...job.Job) schedule.Input {
	return schedule.Input{
		Fleet:         schedule.NewFleet(n).WithAllocations(schedule.AllocationsOfJobs(jobs)),
		AllWorkers:    schedule.NewFleet(n),
		Jobs:          jobs,
		Contracts:     contracts,
		MaxPlacements: 1000,
		Policy:        schedule.Guaranteed{},
	}
}

// running returns a job placed as decided by a plan, and started.
func running(j job.Job, p schedule.Place) job.Job {
	return j.WithPlacement(epoch, p.TaskPlacements, p.Borrowed).WithStart(epoch)
}

func findPlacement(decisions []schedule.Decision, id string) (schedule.Place, bool) {
	for _, d := range decisions {
		if p, ok := d.(schedule.Place); ok && p.ID == id {
			return p, true
		}
	}
	return schedule.Place{}, false
}

var _ = Describe("Place", func() {
	It("fills a partly used worker before an empty one", func() {
		f := schedule.NewFleet(nodes(4, 2, 4))
		used, _ := f.Place(gang(1, 4, "worker"))
		f = f.WithAllocations(schedule.NewAllocations(used, gang(1, 4, "").PerTask))
		next, ok := f.Place(gang(1, 4, "worker"))
		Expect(ok).To(BeTrue())
		Expect(next[0].Worker).To(Equal(used[0].Worker))
	})

	DescribeTable("satisfies the adjacency",
		func(s shape.Shape, fits bool) {
			placed, ok := schedule.NewFleet(nodes(8, 2, 4)).Place(s)
			Expect(ok).To(Equal(fits))
			if fits {
				Expect(placed).To(HaveLen(s.Tasks))
			}
		},
		Entry("2 × 4 fit on one worker", gang(2, 4, "worker"), true),
		Entry("3 × 4 do not fit on one worker", gang(3, 4, "worker"), false),
		Entry("2 × 8 fit in one rack", gang(2, 8, "rack"), true),
		Entry("3 × 8 do not fit in one rack", gang(3, 8, "rack"), false),
		Entry("4 × 8 fit in one data centre", gang(4, 8, "data-centre"), true),
		Entry("5 × 8 do not fit in one data centre", gang(5, 8, "data-centre"), false),
		Entry("8 × 8 fit in the fleet", gang(8, 8, ""), true),
		Entry("9 × 8 do not fit in the fleet", gang(9, 8, ""), false),
	)
})

var _ = Describe("Plan", func() {
	whole := gang(1, 8, "worker")

	It("does not place a non-preemptible job on capacity that a guarantee needs", func() {
		contracts := []contract.Contract{newContract("owner", 1, whole), newContract("guest", 0, whole)}
		decisions := schedule.Plan(epoch, input(nodes(1, 1, 1), contracts,
			queuedJob("non-preemptible", "guest", "normal", gang(1, 1, ""))))
		Expect(decisions).To(ConsistOf(schedule.Wait{
			ID:     "non-preemptible",
			Reason: schedule.WaitGuarantees,
		}))
	})

	It("counts cores and memory of a guarantee only if the contract states them", func() {
		contracts := []contract.Contract{newContract("owner", 1, whole)}
		j := queuedJob("mine", "owner", "normal", whole)
		j.Spec.Shape.PerTask.Cores = 4
		j.Spec.Shape.PerTask.MemoryMB = 100
		p, ok := findPlacement(schedule.Plan(epoch, input(nodes(1, 1, 1), contracts, j)), "mine")
		Expect(ok).To(BeTrue())
		Expect(p.Borrowed).To(BeFalse())
		contracts[0].Guarantee[0].Shape.PerTask.Cores = 2
		p, ok = findPlacement(schedule.Plan(epoch, input(nodes(1, 1, 1), contracts, j)), "mine")
		Expect(ok).To(BeTrue(), "an organisation may exhaust its own guarantee")
		Expect(p.Borrowed).To(BeTrue())
	})

	It("lends guaranteed capacity to preemptible jobs and reclaims it where the least work is lost", func() {
		contracts := []contract.Contract{newContract("owner", 1, whole), newContract("guest", 0, whole)}
		lent := queuedJob("lent", "guest", "batch", whole)
		lent.Spec.Idempotent = true
		kept := queuedJob("kept", "guest", "batch", whole)
		kept.Spec.Idempotent = true
		n := nodes(2, 2, 2)
		first := schedule.Plan(epoch, input(n, contracts, lent, kept))
		p1, ok1 := findPlacement(first, "lent")
		p2, ok2 := findPlacement(first, "kept")
		Expect(ok1 && ok2).To(BeTrue())
		Expect(p1.Borrowed).To(BeTrue())
		kept = running(kept, p2)
		lent = lent.WithPlacement(epoch, p1.TaskPlacements, true).WithStart(epoch.Add(time.Hour))
		mine := queuedJob("mine", "owner", "urgent", whole)
		second := schedule.Plan(epoch.Add(2*time.Hour), input(n, contracts, lent, kept, mine))
		Expect(second).To(ContainElement(schedule.Stop{
			ID:      "lent",
			Attempt: 1,
			Reason:  job.StopReclaimed,
		}))
		Expect(second).NotTo(ContainElement(HaveField("ID", "kept")))
	})

	It("reserves capacity for a large gang and backfills only jobs that end before it can start", func() {
		contracts := []contract.Contract{newContract("o", 0, whole)}
		n := nodes(2, 2, 2)
		busy := queuedJob("busy", "o", "normal", whole)
		p, _ := findPlacement(schedule.Plan(epoch, input(n, contracts, busy)), "busy")
		busy = running(busy, p)
		large := queuedJob("large", "o", "normal", gang(2, 8, "rack"))
		short := queuedJob("short", "o", "batch", gang(1, 1, ""))
		short.Spec.DeclaredRunMS = 1000
		long := queuedJob("long", "o", "batch", gang(1, 1, ""))
		long.Spec.DeclaredRunMS = 1_000_000
		decisions := schedule.Plan(epoch, input(n, contracts, busy, large, short, long))
		_, passes := findPlacement(decisions, "short")
		Expect(passes).To(BeTrue())
		_, passes = findPlacement(decisions, "long")
		Expect(passes).To(BeFalse())
	})

	It("parks jobs that can never run and queues jobs that exceed the ceiling", func() {
		c := newContract("o", 0, whole)
		c.CeilingAccelerators = 8
		decisions := schedule.Plan(epoch, input(nodes(1, 1, 1), []contract.Contract{c},
			queuedJob("never", "o", "normal", gang(1, 8, "worker").WithTasks(2)),
			queuedJob("first", "o", "normal", whole),
			queuedJob("second", "o", "normal", whole)))
		Expect(decisions).To(ContainElement(BeAssignableToTypeOf(schedule.Park{})))
		Expect(decisions).To(ContainElement(schedule.Wait{
			ID:     "second",
			Reason: schedule.WaitCeiling,
		}))
	})

	It("gives the same decisions for the same input", func() {
		contracts := []contract.Contract{newContract("a", 2, whole), newContract("b", 1, gang(2, 8, "rack"))}
		var jobs []job.Job
		for i := range 40 {
			j := queuedJob(fmt.Sprint("j", i), []string{"a", "b"}[i%2], contract.Classes()[i%3], gang(1+i%3, 1+i%8, ""))
			j.Spec.Idempotent = i%2 == 0
			jobs = append(jobs, j)
		}
		in := input(nodes(12, 3, 6), contracts, jobs...)
		Expect(schedule.Plan(epoch, in)).To(Equal(schedule.Plan(epoch, in)))
	})
})

func BenchmarkPlaceGang256(b *testing.B) {
	f := schedule.NewFleet(nodes(2100, 8, 234))
	for b.Loop() {
		f.Place(gang(256, 4, "data-centre"))
	}
}

func BenchmarkPlaceSingle(b *testing.B) {
	for _, n := range []int{300, 1050, 2100} {
		b.Run(fmt.Sprint("workers-", n), func(b *testing.B) {
			f := schedule.NewFleet(nodes(n, 8, 234))
			for b.Loop() {
				f.Place(gang(1, 1, "worker"))
			}
		})
	}
}

func BenchmarkReclaimCheck(b *testing.B) {
	f := schedule.NewFleet(nodes(2100, 8, 234))
	var blocks []shape.Shape
	for i := range 55 {
		blocks = append(blocks, gang(16, 8, "data-centre"), gang(4, 8, "rack"), gang(2+i%3, 4, "worker").WithTasks(2))
	}
	for b.Loop() {
		f.CountPlaceable(blocks)
	}
}

// BenchmarkPlan measures one plan at a quarter, half and all of the target
// fleet's size, with three running jobs for each worker and a queue of 100 jobs
// that do not fit.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{525, 1050, 2100} {
		b.Run(fmt.Sprint("workers-", workers), func(b *testing.B) {
			n := nodes(workers, 8, 234)
			var contracts []contract.Contract
			for i := range 55 {
				contracts = append(contracts, newContract(fmt.Sprint("o", i), 1+workers/525, gang(2, 8, "rack")))
			}
			var jobs []job.Job
			for i := range workers * 3 {
				j := queuedJob(fmt.Sprint("r", i), fmt.Sprint("o", i%55), "batch", gang(1, 2, ""))
				j.Spec.Idempotent = true
				jobs = append(jobs, j.WithPlacement(epoch, []job.TaskPlacement{
					{
						Worker: n[i/3].Worker,
					},
				}, true).WithStart(epoch))
			}
			for i := range 100 {
				jobs = append(jobs, queuedJob(fmt.Sprint("q", i), fmt.Sprint("o", i%55), "normal", gang(256, 4, "data-centre")))
			}
			in := input(n, contracts, jobs...)
			in.MaxPlacements = 64
			for b.Loop() {
				schedule.Plan(epoch.Add(time.Hour), in)
			}
		})
	}
}
