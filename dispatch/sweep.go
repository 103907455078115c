package dispatch

import (
	"maps"
	"slices"
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/workflow"
)

// A Note is a decision for the log.
type Note struct {
	// Text is a short sentence.
	Text string
	// Ref names the run that the decision is about; empty for none.
	Ref workflow.Ref
	// Worker is the worker that it is about; empty for none.
	Worker string
	// Reason says what decided it.
	Reason string
	// Age is how old the knowledge that decided it is.
	Age time.Duration
	// Tasks is the number of tasks that the decision is about, zero for one.
	Tasks int
	// Queue is the queue of the workflow; empty where the decision is about a
	// single run.
	Queue string
	// CompleteBy is when the workflow should complete; the zero time if that does not
	// bear on the decision.
	CompleteBy time.Time
}

// A Plan is what a sweep decided.
type Plan struct {
	// Orders are to be sent to workers.
	Orders []Order
	// Round is to be committed; nil for nothing.
	Round *plantainladder.Round
	// Notes are for the log.
	Notes []Note
}

// sweeper is the working copy of one sweep.
type sweeper struct {
	board Dispatcher
	now   time.Time
	scene ClusterState
	index *sceneIndex
	plan  Plan
	ends  []workflow.End
}

// Reconcile returns the board after it has looked at everything: which orders are
// due, which runs have ended, and what to place. After returns the scene as it
// will be once a round is committed.
func (b Dispatcher) Reconcile(now time.Time, scene ClusterState, after func(r plantainladder.Round) ClusterState) (Dispatcher, Plan) {
	notes := b.notes
	b.isDirty, b.notes = false, nil
	s := &sweeper{
		board: b,
		now:   now,
		scene: scene,
		index: b.index,
	}
	if s.index == nil || s.index.version != scene.Version {
		s.index = newSceneIndex(scene)
		s.board.index = s.index
	}
	s.plan.Notes = notes
	s.settle()
	for _, id := range s.workerIDs() {
		s.sweepWorker(id)
	}
	if !s.board.HasPendingRound() {
		s.propose(after)
	}
	return s.board, s.plan
}

// settle takes note of a round that was committed.
func (s *sweeper) settle() {
	p := s.board.pending
	if p == nil {
		return
	}
	if s.scene.LastRound != p.id {
		if s.now.Sub(p.at) > roundPatience {
			s.board.pending = nil
			s.note(Note{
				Text:   "Round was not committed in time.",
				Reason: "proposed-again",
				Age:    s.now.Sub(p.at),
			})
		}
		return
	}
	s.board.pending = nil
	for of, n := range p.cursors {
		if v, ok := s.board.view(of.id); ok && v.worker.Incarnation == of.born {
			s.board = s.board.withView(v.withCursor(n))
		}
	}
	for _, place := range p.placements {
		v, ok := s.board.view(place.Worker)
		if ok && v.worker.Incarnation == place.Born {
			s.board = s.board.withView(v.withRun(place.Ref, run{
				isOurs: true,
			}))
		}
	}
}

func (s *sweeper) workerIDs() []string {
	ids := map[string]bool{}
	for id := range s.index.placed {
		ids[id] = true
	}
	for itr := s.board.views.Iterator(); !itr.Done(); {
		if id, v, _ := itr.Next(); !v.isIdle() {
			ids[id] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// sweepWorker decides what one worker is told.
func (s *sweeper) sweepWorker(id string) {
	tasks := s.index.placed[id]
	v, ok := s.board.view(id)
	if !ok {
		w, known := s.index.workers[id]
		if !known {
			s.giveUp(tasks)
			return
		}
		v = newView(w)
		v.isChanged = true
	}
	v = v.withoutOldRuns(func(ref workflow.Ref) bool {
		return s.index.refs[ref]
	})
	for _, t := range tasks {
		v = s.sweepRun(v, t)
	}
	v = s.stopGhosts(v)
	v = s.hold(v, tasks)
	if v.isChanged {
		s.board = s.board.withView(v)
	}
}

// unheardPatience is how long a lease that a leader before gave can last.
func (s *sweeper) unheardPatience() time.Duration {
	return s.board.cfg.LeaseDuration*100/slowestClockPercent + leaseMargin + time.Second
}

// giveUp ends runs on a worker that nobody knows any more.
func (s *sweeper) giveUp(tasks []workflow.PlacedTask) {
	for _, t := range tasks {
		s.end(t, workflow.EndedLost, "worker-unknown", s.now.Sub(s.board.since))
	}
}

func (s *sweeper) end(t workflow.PlacedTask, ending workflow.Ending, why string, age time.Duration) {
	s.ends = append(s.ends, workflow.End{
		Ref:    t.Ref,
		Ending: ending,
	})
	if s.board.HasPendingRound() {
		return
	}
	s.note(Note{
		Text:   "Run is over without an end seen.",
		Ref:    t.Ref,
		Worker: t.Worker,
		Reason: why,
		Age:    age,
	})
}

func (s *sweeper) note(n Note) {
	s.plan.Notes = append(s.plan.Notes, n)
}

func (s *sweeper) target(v view) Target {
	return Target{
		Worker:      v.worker.ID,
		Incarnation: v.worker.Incarnation,
		Address:     v.worker.Address,
		LeaderTerm:  s.board.term,
	}
}

func (s *sweeper) send(o Order) {
	s.plan.Orders = append(s.plan.Orders, o)
}

// propose makes a round of everything that is to be committed.
func (s *sweeper) propose(after func(r plantainladder.Round) ClusterState) {
	r := plantainladder.Round{
		ID:   s.board.rounds + 1,
		Ends: s.ends,
	}
	cursors := map[life]uint64{}
	for itr := s.board.views.Iterator(); !itr.Done(); {
		id, v, _ := itr.Next()
		of := life{
			id:   id,
			born: v.worker.Incarnation,
		}
		for _, f := range v.finished {
			cursors[of] = max(cursors[of], f.Sequence)
			if s.index.refs[f.Ref] {
				r.Ends = append(r.Ends, f.End)
				s.noteFinish(id, f)
				s.learn(*v, f)
			}
		}
	}
	r.Forgotten = s.forgotten()
	next := s.scene
	if len(r.Ends) > 0 {
		next = after(r)
		next.Version = 0
	}
	r.Placements = s.place(next)
	if r.IsEmpty() && len(cursors) == 0 {
		return
	}
	if r.IsEmpty() {
		// The ends belong to runs that are settled: nothing is to be committed.
		for of, n := range cursors {
			v, _ := s.board.view(of.id)
			s.board = s.board.withView(v.withCursor(n))
		}
		return
	}
	s.board.rounds++
	s.board.pending = &pendingRound{
		id:         r.ID,
		at:         s.now,
		cursors:    cursors,
		placements: r.Placements,
	}
	s.plan.Round = &r
}

func (s *sweeper) noteFinish(worker string, f FinishedRun) {
	s.note(Note{
		Text:   "Run has ended.",
		Ref:    f.Ref,
		Worker: worker,
		Reason: string(f.Ending),
	})
}

// forgetAfter is how long a worker that holds nothing is remembered without a
// word from it.
const forgetAfter = 30 * time.Second

func (s *sweeper) forgotten() (ids []string) {
	for _, w := range s.scene.Workers {
		if len(s.index.placed[w.ID]) > 0 || s.now.Sub(s.board.since) < forgetAfter {
			continue
		}
		v, ok := s.board.view(w.ID)
		if ok && s.now.Sub(v.heard) < forgetAfter {
			continue
		}
		ids = append(ids, w.ID)
		s.board.views = s.board.views.Delete(w.ID)
	}
	return ids
}
