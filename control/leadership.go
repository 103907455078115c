package control

import (
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/lease"
	"github.com/plantainladder/plantainladder/minion"
	"github.com/plantainladder/plantainladder/schedule"
	"github.com/plantainladder/plantainladder/worker"
)

// leadership is the state that only a leader holds. It is not replicated: a new
// leader learns it from polls and heartbeats within one lease duration.
type leadership struct {
	term        uint64
	since       time.Time
	allocations lease.Allocations
	gateways    *immutable.SortedMap[string, gateway]
	minions     minion.Directory
	workers     *immutable.SortedMap[string, workerView]
	// digests maps the digest of each worker's last full heartbeat to the
	// worker's name.
	digests     *immutable.Map[uint64, string]
	orders      *immutable.Map[orderKey, time.Time]
	waitReasons map[string]schedule.WaitReason
	dirty       bool
	// converged is true if the last pass found nothing to do or to wait for.
	converged     bool
	nextReconcile time.Time
	nextPlan      time.Time
	// dispatcher is the state of workflow dispatch.
	dispatcher dispatch.Dispatcher
	// lastDispatch is the time of the last dispatch pass; isTimerRunning is true
	// while a TimerFired event is pending.
	lastDispatch   time.Time
	isTimerRunning bool
	// proposedRounds holds the rounds that were proposed and are not known to be
	// committed, the oldest first.
	proposedRounds []proposedRound
	// commitWait is the wait of the oldest uncommitted entry.
	commitWait commitWait
	// loggedHealth is the last health of the group that was logged; nil for none.
	loggedHealth *GroupHealth
	// joinRequests holds the requests to join of the last moments, the oldest first.
	joinRequests []joinRequest
}

// gateway is the log index of the view that a gateway last reported and the end
// of its lease on that view.
type gateway struct {
	index       uint64
	leaseExpiry time.Time
}

// workerView is what the leader has learnt from a worker's reports.
type workerView struct {
	name        string
	lastContact time.Time
	incarnation string
	sequence    uint64
	// digest is that of the last full heartbeat; zero once the worker has
	// responded to orders since.
	digest uint64
	tasks  map[worker.TaskRef]worker.TaskReport
}

func (v workerView) isReachable(now time.Time) bool {
	return now.Before(v.lastContact.Add(reachableTimeout))
}

// orderKey identifies an order by its task and action.
type orderKey struct {
	ref    worker.TaskRef
	action string
}

type orderKeyHasher struct{}

// Hash returns the 32-bit FNV-1a hash of the job's identifier, mixed with the
// task and the attempt.
func (orderKeyHasher) Hash(k orderKey) uint32 {
	h := uint32(2166136261)
	for i := range len(k.ref.Job) {
		h = (h ^ uint32(k.ref.Job[i])) * 16777619
	}
	return (h ^ uint32(k.ref.Task*31+k.ref.Attempt)) * 16777619
}

// Equal reports whether two keys are the same.
func (orderKeyHasher) Equal(a, b orderKey) bool {
	return a == b
}

func newLeadership(now time.Time, term uint64, cfg dispatch.Config) *leadership {
	return &leadership{
		term:        term,
		since:       now,
		allocations: lease.NewAllocations(now, term),
		gateways:    immutable.NewSortedMap[string, gateway](nil),
		minions:     minion.NewDirectory(),
		workers:     immutable.NewSortedMap[string, workerView](nil),
		digests:     immutable.NewMap[uint64, string](nil),
		orders:      immutable.NewMap[orderKey, time.Time](orderKeyHasher{}),
		dirty:       true,
		dispatcher:  dispatch.NewDispatcher(now, cfg, term),
	}
}

// Bounds of the table of pushed orders.
const (
	maxRememberedOrders = 20_000
	orderRetention      = 10 * orderRetryInterval
)

// withoutOldOrders returns l without the orders older than orderRetention, if
// there are more than maxRememberedOrders.
func (l *leadership) withoutOldOrders(now time.Time) *leadership {
	if l.orders.Len() <= maxRememberedOrders {
		return l
	}
	next := *l
	for itr := l.orders.Iterator(); !itr.Done(); {
		key, pushed, _ := itr.Next()
		if now.Sub(pushed) > orderRetention {
			next.orders = next.orders.Delete(key)
		}
	}
	return &next
}

func (l *leadership) withDirty() *leadership {
	if l.dirty && l.dispatcher.IsDirty() {
		return l
	}
	next := *l
	next.dirty = true
	next.dispatcher = next.dispatcher.WithDirty()
	return &next
}

// lastContactOf returns the time of a worker's last contact. For a worker that
// this leader has not heard from, it is the start of the leadership.
func (l *leadership) lastContactOf(name string) time.Time {
	if v, ok := l.workers.Get(name); ok {
		return v.lastContact
	}
	return l.since
}

// mayStillRun reports whether a worker may still be running tasks that continue
// for the given time after its lease has expired.
func (l *leadership) mayStillRun(now time.Time, name string, leaseGrace time.Duration) bool {
	return now.Before(l.lastContactOf(name).Add(worker.LeaseDuration + leaseGrace + worker.DriftMargin))
}

// isReachable reports whether a worker's last contact is recent enough for new
// tasks.
func (l *leadership) isReachable(now time.Time, name string) bool {
	v, ok := l.workers.Get(name)
	return ok && v.isReachable(now)
}

// areAllWorkersReachable reports whether the last contact of every known worker
// is recent.
func (l *leadership) areAllWorkersReachable(now time.Time) bool {
	for itr := l.workers.Iterator(); !itr.Done(); {
		if _, v, _ := itr.Next(); !v.isReachable(now) {
			return false
		}
	}
	return true
}

// reachableTimeout is how long after its last contact a worker gets new tasks.
// It is a little over three heartbeat intervals.
const reachableTimeout = 5 * time.Second

// withHeartbeat returns l after a full heartbeat. Its task reports replace the
// known ones, unless the worker responded to orders after it composed the
// heartbeat.
func (l *leadership) withHeartbeat(now time.Time, hb worker.Heartbeat) *leadership {
	name := hb.Worker.Name
	v, known := l.workers.Get(name)
	if known && v.incarnation == hb.Worker.Incarnation && hb.Sequence <= v.sequence {
		return l.withContact(now, name, v)
	}
	next := workerView{
		name:        name,
		lastContact: now,
		incarnation: hb.Worker.Incarnation,
		sequence:    hb.Sequence,
		digest:      hb.Digest(),
		tasks:       make(map[worker.TaskRef]worker.TaskReport, len(hb.Tasks)),
	}
	for _, r := range hb.Tasks {
		next.tasks[r.Ref()] = r
	}
	return l.withWorker(v, next)
}

// withPushAnswered returns l after a worker's answer to orders. The answer does
// not renew the worker's lease, so the last contact stays as it is.
func (l *leadership) withPushAnswered(e PushAnswered) *leadership {
	v, _ := l.workers.Get(e.Worker)
	next := workerView{
		name:        e.Worker,
		lastContact: l.lastContactOf(e.Worker),
		incarnation: e.Incarnation,
		sequence:    e.Sequence,
		tasks:       make(map[worker.TaskRef]worker.TaskReport, len(v.tasks)+len(e.Reports)),
	}
	if v.incarnation == e.Incarnation {
		for ref, r := range v.tasks {
			next.tasks[ref] = r
		}
	}
	for _, r := range e.Reports {
		next.tasks[r.Ref()] = r
	}
	return l.withWorker(v, next)
}

func (l *leadership) withWorker(before, v workerView) *leadership {
	next := *l
	next.workers = l.workers.Set(v.name, v)
	next.digests = l.digests.Delete(before.digest)
	if v.digest != 0 {
		next.digests = next.digests.Set(v.digest, v.name)
	}
	next.dirty = l.dirty || !haveSameStates(before.tasks, v.tasks) || before.incarnation != v.incarnation
	return &next
}

// workerByDigest returns the worker whose last report is a full heartbeat with
// the given digest.
func (l *leadership) workerByDigest(digest uint64) (workerView, bool) {
	name, ok := l.digests.Get(digest)
	if !ok {
		return workerView{}, false
	}
	v, known := l.workers.Get(name)
	return v, known && v.digest == digest
}

func (l *leadership) withContact(now time.Time, name string, v workerView) *leadership {
	v.lastContact = now
	next := *l
	next.workers = l.workers.Set(name, v)
	return &next
}

func haveSameStates(a, b map[worker.TaskRef]worker.TaskReport) bool {
	if len(a) != len(b) {
		return false
	}
	for ref, r := range a {
		if other, ok := b[ref]; !ok || other.State != r.State {
			return false
		}
	}
	return true
}
