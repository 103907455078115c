package control

import (
	"time"

	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/workflow"
)

// logCommand returns the log lines for a committed command: one for a workflow that it
// accepted, one for each workflow that it finished and one for each queue whose workflows
// it moved.
func logCommand(before, after plantainladder.State, envelope plantainladder.Envelope) []Effect {
	switch c := envelope.Command.(type) {
	case plantainladder.SubmitWorkflow:
		return logSubmission(before, after, c)
	case plantainladder.PutConfiguration:
		return logMoves(before, after)
	case plantainladder.Round:
		return append(countCrashes(before, c), logFinished(before, after, envelope.At, c)...)
	}
	return nil
}

// countCrashes counts the runs of a round under which workers crashed, and the
// verdicts on runs that had ended as lost.
func countCrashes(before plantainladder.State, r plantainladder.Round) (out []Effect) {
	for _, e := range r.RunEnds {
		w, known := before.Workflow(e.Workflow)
		if e.EndReason != workflow.EndedCrashed || !known || !w.AcceptsEnd(e) {
			continue
		}
		label := LabelShared
		if e.WasAlone {
			label = LabelAlone
		}
		out = append(out, IncrementCounter{
			Name:  CounterRunCrashes,
			Label: label,
		})
	}
	for _, v := range r.LossVerdicts {
		if w, known := before.Workflow(v.Workflow); known && w.AcceptsVerdict(v) {
			out = append(out, IncrementCounter{
				Name:  CounterLossVerdicts,
				Label: string(v.Fate),
			})
		}
	}
	return out
}

func logSubmission(before, after plantainladder.State, c plantainladder.SubmitWorkflow) []Effect {
	w, accepted := after.Workflow(c.Spec.ID)
	if _, known := before.Workflow(c.Spec.ID); known || !accepted {
		return nil
	}
	tasks := 0
	for _, s := range w.Spec.Steps {
		tasks += s.Tasks
	}
	return []Effect{
		LogDecision{
			Record: dispatch.DecisionRecord{
				Text:       "Workflow is accepted.",
				RunKey:     runKeyOf(w),
				Reason:     w.Spec.Organisation,
				Tasks:      tasks,
				Queue:      w.Spec.Queue,
				CompleteBy: w.TargetCompletion(0, nil),
			},
		},
	}
}

func logFinished(before, after plantainladder.State, now time.Time, r plantainladder.Round) (out []Effect) {
	seen := map[string]bool{}
	for _, id := range changedWorkflows(r) {
		previous, known := before.Workflow(id)
		if seen[id] || !known || !previous.IsOpen() {
			continue
		}
		seen[id] = true
		w, _ := after.Workflow(id)
		if w.IsOpen() {
			continue
		}
		text := "Workflow is finished."
		if p, failed := w.Phase.(workflow.Failed); failed && (p.Cause == workflow.EndedCrashed || p.Cause == workflow.EndedLost) {
			text = "Workflow is given up, since workers crashed under one of its tasks."
		}
		out = append(out, LogDecision{
			Record: dispatch.DecisionRecord{
				Text:       text,
				RunKey:     runKeyOf(w),
				Reason:     string(w.Status()),
				Age:        now.Sub(w.Submitted),
				Queue:      w.Spec.Queue,
				CompleteBy: w.TargetCompletion(w.Spec.OccurrenceCount()-1, nil),
			},
		})
	}
	return out
}

// logMoves returns a line for each queue whose workflows a configuration moved to another
// pool, in the order of the queues' first workflows.
func logMoves(before, after plantainladder.State) (out []Effect) {
	if before.Configuration().Version == after.Configuration().Version {
		return nil
	}
	moved := map[string]int{}
	var firsts []workflow.Workflow
	for _, w := range after.ActiveWorkflows() {
		previous, known := before.Workflow(w.Spec.ID)
		if !known || previous.QueueSettings.Pool == w.QueueSettings.Pool {
			continue
		}
		if moved[w.Spec.Queue]++; moved[w.Spec.Queue] == 1 {
			firsts = append(firsts, w)
		}
	}
	for _, w := range firsts {
		out = append(out, LogDecision{
			Record: dispatch.DecisionRecord{
				Text:   "Workflows were moved to another pool, which the configuration names for their queue.",
				Reason: w.QueueSettings.Pool,
				Tasks:  moved[w.Spec.Queue],
				Queue:  w.Spec.Queue,
			},
		})
	}
	return out
}

// changedWorkflows returns the workflows that a round may have finished.
func changedWorkflows(r plantainladder.Round) (ids []string) {
	for _, e := range r.RunEnds {
		ids = append(ids, e.Workflow)
	}
	for _, v := range r.LossVerdicts {
		ids = append(ids, v.Workflow)
	}
	return ids
}

// runKeyOf returns a key that identifies a workflow but none of its tasks.
func runKeyOf(w workflow.Workflow) workflow.RunKey {
	return workflow.RunKey{
		TaskKey: workflow.TaskKey{
			Workflow: w.Spec.ID,
		},
	}
}
