package plantainladder

import (
	"fmt"

	"github.com/plantainladder/plantainladder/configuration"
	"github.com/plantainladder/plantainladder/pool"
	"github.com/plantainladder/plantainladder/workflow"
)

// checkLimit returns the outcome of a submission of which a gang or a single task can never
// fit within the limit of its organisation, raised by the overage. It reports false if all
// fit.
func checkLimit(o configuration.Organisation, spec workflow.Spec, overage float64) (Outcome, bool) {
	if o.Limit.IsZero() {
		return Outcome{}, false
	}
	limit := o.Limit.WithOverage(overage)
	for i, step := range spec.Steps {
		if n := step.LeastTasks(); !limit.CanEverFit(step.PerTask, n) {
			return refuse(RefusedOverLimit, fmt.Sprintf("steps[%d]", i),
				fmt.Sprintf("%d tasks that run at the same time exceed the limit of the organisation", n)), true
		}
	}
	return Outcome{}, false
}

// A LimitUse is what an organisation with a limit uses.
type LimitUse struct {
	// Organisation is the organisation's name.
	Organisation string
	// Limit is its limit, in which 0 means that a resource is not limited.
	Limit pool.ResourceVector
	// Used is what its placed tasks take, until the ends of their runs are committed.
	Used pool.ResourceVector
}

// LimitUses returns what each organisation with a limit uses.
func (s State) LimitUses() (list []LimitUse) {
	positions := map[string]int{}
	for _, o := range s.configuration.Organisations {
		if _, isKnown := positions[o.Name]; isKnown || o.Limit.IsZero() {
			continue
		}
		positions[o.Name] = len(list)
		list = append(list, LimitUse{
			Organisation: o.Name,
			Limit:        o.Limit,
		})
	}
	if len(list) == 0 {
		return nil
	}
	for _, w := range s.ActiveWorkflows() {
		if i, ok := positions[w.Spec.Organisation]; ok {
			list[i].Used = list[i].Used.Plus(workflow.UseOf(w.PlacedTasks()))
		}
	}
	return list
}
