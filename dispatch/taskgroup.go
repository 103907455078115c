package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// A taskGroup is the waiting tasks of one step of one occurrence of a workflow.
// They all have the same needs.
type taskGroup struct {
	wf         workflow.Workflow
	occurrence int
	stepIndex  int
	step       workflow.Step
	// waiting holds the indexes of the waiting tasks within the step.
	waiting []int
	// perWorker counts the step's placed tasks and orphans by worker ID, for MaxPerWorker.
	perWorker map[string]int
	// targetCompletion is the time by which the occurrence should complete.
	targetCompletion time.Time
	// stepTarget is the time by which the step should complete, so that the steps after it
	// can. neededSpeed is the speed of a worker on which it does; see neededSpeed.
	stepTarget  time.Time
	neededSpeed float64
	// needsSpeed is true if only nodes are taken that are fast enough.
	needsSpeed bool
	// isLate is true if the target can no longer be met.
	isLate bool
	// kind is the kind of the tasks, and avoided the kinds that they slow down or that slow
	// them down.
	kind, avoided kindSet
	// isGuaranteed is true for work of the highest priority within the
	// guarantee of its organisation.
	isGuaranteed bool
	// isSuspect is true if workers have crashed under the tasks. isIsolated is true
	// while they may share a worker with no other workflow.
	isSuspect, isIsolated bool
	// isFirstFit is true if the first nodes that fit are taken, not the
	// fullest.
	isFirstFit bool
}

// taskGroups returns the task groups that wait for placement, sorted by policy.
// An organisation's guarantee covers its unfinished workflows of the highest
// priority in the order of submission.
func (s *reconciliation) taskGroups(state ClusterState) []taskGroup {
	var list []taskGroup
	urgentAccelerators := map[string]int{}
	for _, w := range state.Workflows {
		if !w.IsOpen() {
			continue
		}
		isGuaranteed := false
		if w.QueueSettings.Priority == 0 {
			org := w.Spec.Organisation
			urgentAccelerators[org] += w.Spec.Accelerators()
			isGuaranteed = urgentAccelerators[org] <= state.GuaranteedTo(org)
		}
		for k := range w.DueOccurrences(s.now) {
			for _, g := range s.taskGroupsOf(w, k) {
				g.isGuaranteed = isGuaranteed
				list = append(list, g)
			}
		}
	}
	slices.SortStableFunc(list, taskGroupOrder(s.dispatcher.cfg.Policy))
	return list
}

// taskGroupsOf returns a task group for each step that is ready and has waiting
// tasks. A gang is left out while any member is placed.
func (s *reconciliation) taskGroupsOf(w workflow.Workflow, occurrence int) (list []taskGroup) {
	o := w.Occurrence(occurrence)
	if o.HasSucceeded(w.Spec) {
		return nil
	}
	predicted := func(declared time.Duration) time.Duration {
		return s.dispatcher.runTimes.predict(w.Spec.Queue, declared)
	}
	isUneven := s.dispatcher.spreads[w.QueueSettings.Pool].IsUneven()
	var pathsAfter []time.Duration
	for i, step := range w.Spec.Steps {
		r := o.Steps[i]
		if r.HasSucceeded(step) || !o.IsReady(w.Spec, i) || step.IsGang && r.HasPlacedTask() {
			continue
		}
		// From here on, DeclaredRunTime holds the predicted run time.
		step.DeclaredRunTime = predicted(step.DeclaredRunTime)
		g := taskGroup{
			wf:               w,
			occurrence:       occurrence,
			stepIndex:        i,
			step:             step,
			perWorker:        map[string]int{},
			isFirstFit:       usesFirstFit(s.dispatcher.cfg.Policy),
			targetCompletion: w.TargetCompletion(occurrence, predicted),
		}
		for _, t := range r.Tasks {
			if p, ok := t.CurrentPlacement(); ok {
				g.perWorker[p.Worker]++
			}
		}
		if step.MaxPerWorker > 0 {
			s.eachOrphan(func(v workerView, ref workflow.RunKey, _ orphan) {
				if ref.Workflow == w.Spec.ID && ref.Occurrence == occurrence && ref.Step == i {
					g.perWorker[v.worker.ID]++
				}
			})
		}
		g.isLate = s.now.Add(step.DeclaredRunTime).After(g.targetCompletion)
		if isUneven {
			if pathsAfter == nil {
				pathsAfter = w.Spec.PathsAfter(predicted)
			}
			g.stepTarget = g.targetCompletion.Add(-pathsAfter[i])
			g.neededSpeed = neededSpeed(s.now, step.DeclaredRunTime, g.stepTarget)
		}
		g.kind, g.avoided = s.dispatcher.interference.kindAndAvoided(kindOf(w, step))
		list = append(list, g.split(s.now, r)...)
	}
	return list
}

// split returns g with the waiting tasks of its step: one task group for a suspect
// and one for the tasks that are none. A gang with a suspect is a suspect as a whole.
// Other suspects are placed one after the other, each once the one before has been on
// trial, since the next crash under any of them ends the workflow. Tasks that await a
// verdict, and gangs with one, are left out.
func (g taskGroup) split(now time.Time, r workflow.StepState) (list []taskGroup) {
	isWhole := g.step.IsGang && r.HasSuspect()
	isBusy := !g.step.IsGang && r.HasSuspectOnTrial(now)
	isHeld := g.step.IsGang && slices.ContainsFunc(r.Tasks, workflow.Task.AwaitsVerdict)
	suspects := g
	suspects.isSuspect, suspects.isIsolated = true, isWhole && r.IsIsolated(now)
	for n, t := range r.Tasks {
		switch {
		case !t.IsWaiting() || isHeld || t.AwaitsVerdict():
		case isWhole:
			suspects.waiting = append(suspects.waiting, n)
		case !t.IsSuspect():
			g.waiting = append(g.waiting, n)
		case !isBusy:
			suspects.waiting = append(suspects.waiting, n)
			suspects.isIsolated = t.IsIsolated(now)
			isBusy = true
		}
	}
	for _, part := range []taskGroup{g, suspects} {
		if len(part.waiting) > 0 {
			list = append(list, part)
		}
	}
	return list
}

// compareTaskGroups sorts by priority, and within a priority work under a
// guarantee first. Guaranteed work is sorted by time of submission, because a
// guarantee has to be met within a fixed time. Other work is sorted by target
// completion, with task groups that can no longer meet it last.
func compareTaskGroups(a, b taskGroup) int {
	if c := cmp.Or(
		cmp.Compare(a.wf.QueueSettings.Priority, b.wf.QueueSettings.Priority),
		compareBool(b.isGuaranteed, a.isGuaranteed),
	); c != 0 {
		return c
	}
	if a.isGuaranteed {
		return a.wf.Submitted.Compare(b.wf.Submitted)
	}
	return cmp.Or(compareBool(a.isLate, b.isLate), a.targetCompletion.Compare(b.targetCompletion))
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (g taskGroup) key(index int) workflow.TaskKey {
	return workflow.TaskKey{
		Workflow:   g.wf.Spec.ID,
		Occurrence: g.occurrence,
		Step:       g.stepIndex,
		Index:      index,
	}
}

// firstRun returns the next run of the first waiting task.
func (g taskGroup) firstRun() workflow.RunKey {
	k := g.key(g.waiting[0])
	return workflow.RunKey{
		TaskKey: k,
		Run:     g.wf.NextRun(k),
	}
}

func (g taskGroup) placement(index int, w pool.Worker) workflow.Placement {
	k := g.key(index)
	return workflow.Placement{
		RunKey: workflow.RunKey{
			TaskKey: k,
			Run:     g.wf.NextRun(k),
		},
		Worker:      w.ID,
		Incarnation: w.Incarnation,
	}
}

// A requirement holds everything that decides whether a task group fits. Task
// groups with equal requirements all fit or all do not.
type requirement struct {
	pool            string
	perTask         pool.ResourceVector
	tasks           int
	isGang          bool
	isRackSensitive bool
	label           string
	dataRack        string
	priority        int
	isIsolated      bool
	// group is set if the fit also depends on the tasks that the step or the workflow
	// already has placed; empty otherwise.
	group workflow.TaskKey
}

// requirement returns the requirement of g. With MaxPerWorker set, or for a suspect,
// it is specific to the task group, since the fit depends on the tasks already placed.
func (g taskGroup) requirement() requirement {
	r := requirement{
		pool:            g.wf.QueueSettings.Pool,
		perTask:         g.step.PerTask,
		tasks:           1,
		isGang:          g.step.IsGang,
		isRackSensitive: g.step.IsRackSensitive,
		label:           g.step.RequiredLabel,
		dataRack:        g.step.DataRack,
		priority:        g.wf.QueueSettings.Priority,
		isIsolated:      g.isIsolated,
	}
	if g.step.IsGang {
		r.tasks = g.step.Tasks
	}
	if g.step.MaxPerWorker > 0 || g.isSuspect {
		r.group = g.key(0)
	}
	return r
}

// fitCount returns how many tasks of g, at most limit, may be placed on a node
// with the given free capacity.
func (g taskGroup) fitCount(n *node, available pool.ResourceVector, limit int) int {
	if g.step.RequiredLabel != "" && !n.worker.HasLabel(g.step.RequiredLabel) {
		return 0
	}
	if g.needsSpeed && g.speedRank(n) >= insufficientRank {
		return 0
	}
	if g.step.MaxPerWorker > 0 {
		limit = min(limit, g.step.MaxPerWorker-g.perWorker[n.worker.ID])
	}
	return g.step.PerTask.FitCount(available, limit)
}
