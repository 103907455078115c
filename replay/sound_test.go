package replay_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/replay"
	"github.com/plantainladder/plantainladder/workflow"
)

var _ = Describe("A sound task", func() {
	// Tasks that crash their worker are given up after five crashes at the latest.
	const faultCount = 7

	// runWithFaults runs one task whose worker gets a fault 1 s after the start of
	// each of the first runs, and expects that the task completes in the end.
	runWithFaults := func(hasInventory, changesLeader bool, newFault func(now time.Duration) replay.Fault) {
		GinkgoHelper()
		cfg := newConfig(6)
		cfg.HasInventory, cfg.WorkersPerRack = hasInventory, 8
		sim := replay.NewSimulation(cfg)
		sim.Submit("a", newArrival(3*time.Second, "normal", independentTasks(1, 20*time.Second)))
		faults, faultyUntil := 0, map[string]time.Duration{}
		for at := 3 * time.Second; at < 4*time.Minute && faults < faultCount; at += 500 * time.Millisecond {
			sim.Run(at)
			for _, id := range sim.Workers() {
				if sim.AllocatedOn(id).Accelerators == 0 || at <= faultyUntil[id] {
					continue
				}
				f := newFault(at + time.Second)
				sim.InjectFault(id, f)
				faultyUntil[id] = f.Until
				faults++
				if changesLeader {
					sim.ChangeLeader(f.Until + 50*time.Millisecond)
				}
			}
		}
		Expect(faults).To(Equal(faultCount))
		sim.Run(6 * time.Minute)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
		Expect(sim.LastRun("a", 0)).To(BeNumerically(">", 1))
	}

	for _, changesLeader := range []bool{false, true} {
		suffix := fmt.Sprintf(", leader changes %t", changesLeader)

		DescribeTable("isn't given up because workers cannot be reached until their leases are over"+suffix, func(hasInventory bool) {
			runWithFaults(hasInventory, changesLeader, func(now time.Duration) replay.Fault {
				return replay.Fault{
					From:        now,
					Until:       now + 12*time.Second,
					Partitioned: true,
				}
			})
		},
			Entry("without an inventory", false),
			Entry("with an inventory", true),
		)

		DescribeTable("isn't given up because workers that announced that they leave have ended"+suffix, func(hasInventory, restarts bool) {
			runWithFaults(hasInventory, changesLeader, func(now time.Duration) replay.Fault {
				return replay.Fault{
					From:     now,
					Until:    now + 3*time.Second,
					Leaves:   true,
					Restarts: restarts,
				}
			})
		},
			Entry("for good, without an inventory", false, false),
			Entry("for good, with an inventory", true, false),
			Entry("and restarted, without an inventory", false, true),
			Entry("and restarted, with an inventory", true, true),
		)
	}

	// Guards against a start that reached no process and counted as a crash under its run.
	It("isn't given up because its starts are sent to workers that have lost power", func() {
		cfg := newConfig(8)
		cfg.HasInventory, cfg.DataCentres, cfg.Racks, cfg.WorkersPerRack = true, 1, 1, 3
		sim := replay.NewSimulation(cfg)
		for i, id := range sim.Workers() {
			from := 7*time.Second + time.Duration(i)*900*time.Millisecond
			sim.InjectFault(id, replay.Fault{
				From:     from,
				Until:    from + 4500*time.Millisecond,
				Crashes:  true,
				IsSilent: true,
			})
		}
		sim.Submit("a", newArrival(7100*time.Millisecond, "normal", independentTasks(1, time.Second)))
		sim.Run(30 * time.Second)
		Expect(sim.Crashes()).To(BeEmpty(), "no run was in progress")
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	It("keeps its run on a worker that was cut off", func() {
		cfg := newConfig(7)
		cfg.HasInventory = true
		sim := replay.NewSimulation(cfg)
		sim.Submit("a", newArrival(3*time.Second, "normal", gang(4, 8, 40*time.Second)))
		for _, id := range sim.Workers() {
			for from := 5 * time.Second; from < 40*time.Second; from += 6 * time.Second {
				sim.InjectFault(id, replay.Fault{
					From:        from,
					Until:       from + 3*time.Second,
					Partitioned: true,
				})
			}
		}
		sim.Run(60 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
		Expect(sim.LastRun("a", 0)).To(Equal(1))
	})

	It("isn't a suspect after network partitions alone, so that its step still runs in parallel", func() {
		sim := replay.NewSimulation(newConfig(1))
		sim.Submit("a", newArrival(3*time.Second, "normal", independentTasks(32, 15*time.Second)))
		for _, id := range sim.Workers() {
			for _, from := range []time.Duration{5 * time.Second, 35 * time.Second} {
				sim.InjectFault(id, replay.Fault{
					From:        from,
					Until:       from + 20*time.Second,
					Partitioned: true,
				})
			}
		}
		sim.Run(90 * time.Second)
		Expect(sim.Violations()).To(BeEmpty())
		Expect(sim.Record("a").Status).To(Equal(workflow.StatusCompleted))
	})

	for seed := range uint64(10) {
		isSilent := seed >= 5
		It(fmt.Sprintf("isn't given up before two workers have crashed under it, seed %d, silent crashes %t", seed, isSilent), func() {
			rng := rand.New(rand.NewPCG(seed, 11))
			cfg := newConfig(seed)
			cfg.HasInventory = seed%2 == 0
			sim := replay.NewSimulation(cfg)
			ids := submitSound(sim, 25*time.Second, 400*time.Millisecond, 10)
			for i := range 10 {
				id := fmt.Sprintf("gang-%d", i)
				ids = append(ids, id)
				sim.Submit(id, newArrival(time.Duration(3+2*i)*time.Second, "normal", gang(1+rng.IntN(5), 8, 3*time.Second)))
			}
			for _, id := range sim.Workers() {
				for from := time.Duration(4000+rng.IntN(8000)) * time.Millisecond; from < 40*time.Second; {
					until := from + time.Duration(100+rng.IntN(4000))*time.Millisecond
					sim.InjectFault(id, replay.Fault{
						From:     from,
						Until:    until,
						Crashes:  true,
						IsSilent: isSilent,
					})
					from = until + time.Duration(1000+rng.IntN(8000))*time.Millisecond
				}
			}
			sim.Run(90 * time.Second)
			failed := 0
			for _, id := range ids {
				Expect(sim.Record(id).End).To(BeNumerically(">=", 0), id)
				if sim.Record(id).Status == workflow.StatusFailed {
					failed++
				}
			}
			AddReportEntry("given up", fmt.Sprintf("%d of %d workflows after %d crashes", failed, len(ids), len(sim.Crashes())))
			Expect(sim.Violations()).To(BeEmpty())
		})
	}
})

var _ = Describe("The dispatcher with deadly tasks", func() {
	for _, seed := range firstSeeds(10) {
		It(fmt.Sprintf("violates no invariant under random faults, seed %d", seed), func() {
			sim, ids := randomSimulation(seed, 9)
			rng := rand.New(rand.NewPCG(seed, 13))
			for i := range 3 {
				id := fmt.Sprintf("deadly-%d", i)
				sim.Submit(id, randomDeadlyArrival(rng))
				ids = append(ids, id)
			}
			sim.Run(120 * time.Second)
			Expect(sim.Violations()).To(BeEmpty())
			for _, id := range ids {
				Expect(sim.Record(id).End).To(BeNumerically(">=", 0), id)
			}
		})
	}
})

// randomDeadlyArrival returns a workflow with one or two tasks that crash their
// worker before their end.
func randomDeadlyArrival(rng *rand.Rand) replay.Arrival {
	at := 2*time.Second + time.Duration(rng.IntN(15_000))*time.Millisecond
	queue := []string{"urgent", "normal", "batch"}[rng.IntN(3)]
	step := independentTasks(1+rng.IntN(12), time.Duration(500+rng.IntN(3000))*time.Millisecond)
	if rng.IntN(2) == 0 {
		step = gang(1+rng.IntN(4), 1<<rng.IntN(4), step.DeclaredRunTime)
	}
	d := replay.Deadly{
		Indices: []int{rng.IntN(step.Tasks), rng.IntN(step.Tasks)},
		After:   max(0, time.Duration(rng.IntN(800)-400)*time.Millisecond),
	}
	switch rng.IntN(5) {
	case 0:
		// The inventory, or the end of the lease, shows that the worker has ended.
		d.Return = replay.NextIncarnation{
			After: 15 * time.Second,
		}
	case 1, 2:
		d.Return = replay.Successor{
			After:         time.Duration(100+rng.IntN(4000)) * time.Millisecond,
			AnnounceDelay: time.Duration(100+rng.IntN(1500)) * time.Millisecond,
		}
	default:
		d.Return = replay.NextIncarnation{
			After: time.Duration(100+rng.IntN(4000)) * time.Millisecond,
		}
	}
	return newDeadlyArrival(at, queue, step, d)
}
