package dispatch

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// newWorker returns a worker with 8 cores.
func newWorker(id string) pool.Worker {
	return pool.Worker{
		ID:          id,
		Incarnation: 1,
		Address:     id,
		Pool:        "pool",
		Capacity:    newCores(8),
	}
}

func newWorkers(ids ...string) (list []pool.Worker) {
	for _, id := range ids {
		list = append(list, newWorker(id))
	}
	return list
}

func newCores(n int) pool.ResourceVector {
	return pool.ResourceVector{
		MilliCores: milliPerCore * n,
		MemoryMB:   1000 * n,
	}
}

// newStep returns a step of tasks that each need a number of cores.
func newStep(tasks, cores int, runTime time.Duration) workflow.Step {
	return workflow.Step{
		Tasks:           tasks,
		PerTask:         newCores(cores),
		DeclaredRunTime: runTime,
	}
}

// newGang returns a gang of tasks that each need a number of cores for a minute.
func newGang(tasks, cores int) workflow.Step {
	s := newStep(tasks, cores, time.Minute)
	s.IsGang = true
	return s
}

// newWorkflow returns a workflow in a queue of its own, so that the predicted run
// times are the declared ones.
func newWorkflow(id string, priority int, steps ...workflow.Step) workflow.Workflow {
	return workflow.New(epoch, workflow.Spec{
		ID:           id,
		Queue:        id,
		Organisation: "organisation",
		Steps:        steps,
	}, workflow.QueueSettings{
		Pool:        "pool",
		Priority:    priority,
		MaxAttempts: 3,
		Stretch:     3,
		Slack:       time.Second,
	})
}

// withRun returns w with tasks of its first step placed on a worker, all of them if
// none are given.
func withRun(w workflow.Workflow, worker string, tasks ...int) workflow.Workflow {
	GinkgoHelper()
	if len(tasks) == 0 {
		for i := range w.Spec.Steps[0].Tasks {
			tasks = append(tasks, i)
		}
	}
	var list []workflow.Placement
	for _, i := range tasks {
		k := workflow.TaskKey{
			Workflow: w.Spec.ID,
			Index:    i,
		}
		list = append(list, workflow.Placement{
			RunKey: workflow.RunKey{
				TaskKey: k,
				Run:     w.NextRun(k),
			},
			Worker:      worker,
			Incarnation: 1,
		})
	}
	w, isAllowed := w.WithPlacements(epoch, list)
	Expect(isAllowed).To(BeTrue())
	return w
}

// withCrashes returns w after workers have crashed n times under tasks of its first
// step, under all of them if none are given. It ends the other members of a gang.
func withCrashes(w workflow.Workflow, n int, tasks ...int) workflow.Workflow {
	GinkgoHelper()
	for range n {
		if w.Spec.Steps[0].IsGang {
			w = withRun(w, "crashed")
		} else {
			w = withRun(w, "crashed", tasks...)
		}
		for _, t := range w.PlacedTasks() {
			reason := workflow.EndedGangAborted
			if len(tasks) == 0 || slices.Contains(tasks, t.Index) {
				reason = workflow.EndedCrashed
			}
			w = w.WithRunEnd(epoch, workflow.RunEnd{
				RunKey:    t.RunKey,
				EndReason: reason,
			})
		}
	}
	return w
}
