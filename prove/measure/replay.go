package main

import (
	"flag"
	"fmt"
	"time"

	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/replay"
)

// replaySetup holds the command-line settings of the replay.
type replaySetup struct {
	seeds, racks, workers          int
	rateFactor, burstFactor        float64
	greyShare, slowShare, cutShare float64
	policy, plot                   string
	isQuiet                        bool
}

// namedPolicy is a policy and its name on the command line.
type namedPolicy struct {
	name   string
	policy dispatch.Policy
}

func replayPolicies() []namedPolicy {
	return []namedPolicy{
		{
			name:   "first-come",
			policy: dispatch.FirstComeFirstServed{},
		},
		{
			name:   "priority-only",
			policy: dispatch.PriorityOnly{},
		},
		{
			name:   "guarded",
			policy: dispatch.GuaranteeAware{},
		},
	}
}

// measureReplay simulates a load on the dispatcher and prints the results of each
// kind of workflow, by policy.
func measureReplay(args []string) error {
	var s replaySetup
	fs := flag.NewFlagSet("replay", flag.ContinueOnError)
	fs.IntVar(&s.seeds, "seeds", 3, "number of seeds")
	fs.IntVar(&s.racks, "racks", 6, "number of racks")
	fs.IntVar(&s.workers, "workers", 8, "number of workers in a rack")
	fs.Float64Var(&s.rateFactor, "times", 0.2, "factor on the rate of arrivals; 1 is the rate for a fleet of 350 workers")
	fs.Float64Var(&s.burstFactor, "burst", 2.4, "factor on the rate of urgent arrivals during the burst")
	fs.Float64Var(&s.greyShare, "grey", 0, "share of the workers that fail, hang or are slow for 6 s")
	fs.Float64Var(&s.slowShare, "slow", 0, "share of the workers that are 6 times slower for 6 s")
	fs.Float64Var(&s.cutShare, "cut", 0, "share of the workers that are partitioned for 6 s; every other one also restarts")
	fs.StringVar(&s.policy, "policy", "guarded", "policy: first-come, priority-only, guarded or all")
	fs.StringVar(&s.plot, "plot", "", "SVG file for a plot of the worth by policy and kind; empty for none")
	fs.BoolVar(&s.isQuiet, "quiet", false, "print only the means")
	if err := fs.Parse(args); err != nil {
		return err
	}
	var all []policyMeans
	for _, p := range replayPolicies() {
		if s.policy == "all" || s.policy == p.name {
			all = append(all, s.simulate(p))
		}
	}
	if len(all) == 0 {
		return &unknownPolicyError{
			name: s.policy,
		}
	}
	printMeans(all)
	if s.plot == "" {
		return nil
	}
	return plotMeans(s.plot, all)
}

// An unknownPolicyError reports an unknown policy name on the command line.
type unknownPolicyError struct {
	name string
}

func (e *unknownPolicyError) Error() string {
	return fmt.Sprintf("unknown policy %q; see measure replay -help", e.name)
}

// simulate simulates the load under one policy, once for each seed.
func (s replaySetup) simulate(p namedPolicy) policyMeans {
	m := newPolicyMeans(p.name)
	for seed := range uint64(s.seeds) {
		d := replay.NewScenario(seed, s.racks, s.workers, s.rateFactor)
		d.Fleet.Policy = p.policy
		d.Load.Bursts = []replay.Burst{
			{
				Queue:      "urgent",
				From:       8 * time.Second,
				Until:      14 * time.Second,
				RateFactor: s.burstFactor,
			},
		}
		w := replay.NewSimulation(d.Fleet)
		injectFaults(w, s.greyShare, greyFaults)
		injectFaults(w, s.slowShare, slowFaults)
		injectFaults(w, s.cutShare, partitionFaults)
		ids := d.Load.Submit(w, seed)
		w.Run(d.Load.Until + 15*time.Second)
		results, worth := d.Load.Summary(w, ids)
		m = m.withRun(s.seeds, results, worth, w.WastedWork())
		if s.isQuiet {
			continue
		}
		fmt.Printf("seed %d: worth %.3f, %.0f core-seconds wasted, %d reconciliation passes of %v (%s)\n%s", seed, worth,
			w.WastedWork(), w.ReconcilePasses(), (w.ReconcileTime() / time.Duration(w.ReconcilePasses())).Round(time.Microsecond), p.name,
			replay.Table(results))
		for _, f := range w.Violations() {
			fmt.Println("broken:", f)
		}
	}
	return m
}

// Faults that are injected into workers in turn.
var (
	greyFaults = []replay.Fault{
		{
			Fails: true,
		},
		{
			Hangs: true,
		},
		{
			SlowFactor: 6,
		},
	}
	slowFaults = []replay.Fault{
		{
			SlowFactor: 6,
		},
	}
	partitionFaults = []replay.Fault{
		{
			Partitioned: true,
		},
		{
			Partitioned: true,
			Restarts:    true,
		},
	}
)

// injectFaults injects one of the faults, in turn, into each of a share of the workers
// for 6 s.
func injectFaults(w *replay.Simulation, share float64, faults []replay.Fault) {
	ids := w.Workers()
	for i := range int(float64(len(ids)) * share) {
		t := faults[i%len(faults)]
		t.From, t.Until = 10*time.Second, 16*time.Second
		w.InjectFault(ids[(i*7)%len(ids)], t)
	}
}
