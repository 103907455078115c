package dispatch

import (
	"maps"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A view is what the leader knows of one life of a worker.
type view struct {
	worker   pool.Worker
	sequence uint64
	// heard is when the worker last spoke, by itself or in an answer.
	heard time.Time
	clock clock
	// promised is the latest lease that any leader may have given, in
	// milliseconds on the worker's clock.
	promised int64
	// cursor is the last end that is committed; told is what the worker has
	// been told of it.
	cursor uint64
	told   uint64
	// finished holds the listed ends that are not committed.
	finished []FinishedRun
	// listed holds what the worker ran when it answered a hold that was sent
	// at listedAt.
	listed   map[workflow.Ref]Running
	listedAt time.Time
	// seenAt is when that answer came: progress is as of then.
	seenAt time.Time
	// holdSent is when the last hold was sent; holds counts those in flight.
	holdSent time.Time
	holds    int
	// answered is when an order was last answered; silence counts the orders
	// without an answer since.
	answered time.Time
	silence  int
	// goneAt is when another life of the worker answered, zero for never. This
	// life is over then, and nothing more may be sent to it: the next life has
	// the same address and would take it.
	goneAt time.Time
	// avoidUntil keeps new tasks away.
	avoidUntil time.Time
	// refusals counts the tasks in a row that the worker refused or failed.
	refusals int
	runs     map[workflow.Ref]run
	// isChanged is true in a working copy that differs from the board's.
	isChanged bool
}

// A run is what the leader has told a worker about one run.
type run struct {
	// isOurs is true if this leader placed the run, so that no leader before
	// can have started it.
	isOurs bool
	// firstStart and lastStart are when start orders were sent.
	firstStart time.Time
	lastStart  time.Time
	starts     int
	// open counts the start orders without an answer.
	open int
	// isResumed is true if the run began from a checkpoint.
	isResumed bool
	// accepted is when the worker was known to have begun the run.
	accepted time.Time
	// unwanted says why the run is to end, empty while it may go on.
	unwanted reason
	// brokenAt is when another member of the gang was seen to have ended.
	brokenAt time.Time
	// lastStop is when a stop was sent; stopped is when one was obeyed.
	lastStop time.Time
	stopped  time.Time
	// isRefused is true if the worker refused the only start.
	isRefused bool
	// percent was the progress when it last moved, at movedAt.
	percent int
	movedAt time.Time
}

// A reason says why a run is to end.
type reason string

// Reasons to end a run.
const (
	reasonDecided   reason = "workflow-decided"
	reasonBroken    reason = "gang-broken"
	reasonNoAnswer  reason = "start-not-answered"
	reasonRefused   reason = "start-refused"
	reasonLeaving   reason = "worker-leaving"
	reasonOut       reason = "data-centre-out"
	reasonVanished  reason = "not-listed"
	reasonReborn    reason = "worker-restarted"
	reasonPreempted reason = "preempted"
	reasonStuck     reason = "no-progress"
)

func newView(w pool.Worker) view {
	return view{
		worker: w,
		listed: map[workflow.Ref]Running{},
		runs:   map[workflow.Ref]run{},
	}
}

func (v view) withRun(ref workflow.Ref, r run) view {
	if known, ok := v.runs[ref]; ok && known == r {
		return v
	}
	v.isChanged = true
	v.runs = maps.Clone(v.runs)
	v.runs[ref] = r
	return v
}

// withoutOldRuns returns v without the runs that are not kept.
func (v view) withoutOldRuns(keep func(ref workflow.Ref) bool) view {
	for ref := range v.runs {
		if keep(ref) {
			continue
		}
		v.isChanged = true
		v.runs = maps.Clone(v.runs)
		maps.DeleteFunc(v.runs, func(ref workflow.Ref, _ run) bool {
			return !keep(ref)
		})
		break
	}
	return v
}

// withCursor returns v after the ends up to a number were committed.
func (v view) withCursor(n uint64) view {
	v.cursor = max(v.cursor, n)
	var rest []FinishedRun
	for _, f := range v.finished {
		if f.Sequence > v.cursor {
			rest = append(rest, f)
		}
	}
	v.finished = rest
	return v
}

// withAvoidance returns v kept away from new tasks, longer each time.
func (v view) withAvoidance(now time.Time) view {
	v.refusals++
	pause := firstAvoidance << min(v.refusals-1, maxAvoidanceShift)
	v.avoidUntil = now.Add(pause)
	return v
}

// Avoidance of workers that refuse or fail what they are told.
const (
	// firstAvoidance is about two reports of a worker.
	firstAvoidance    = time.Second
	maxAvoidanceShift = 3
)

// isLeaseOver reports whether everything that was started under leases has
// surely been killed by the worker itself.
func (v view) isLeaseOver(now time.Time) bool {
	return v.clock.floor(now) > v.promised+leaseMargin.Milliseconds()
}

// hasFinish reports whether the end of a run is listed and not committed.
func (v view) hasFinish(ref workflow.Ref) bool {
	for _, f := range v.finished {
		if f.Ref == ref {
			return true
		}
	}
	return false
}

// isIdle reports whether a worker without tasks needs nothing.
func (v view) isIdle() bool {
	return len(v.runs) == 0 && len(v.finished) == 0 && len(v.listed) == 0 && v.told >= v.cursor
}
