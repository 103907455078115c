package plantainladder

import (
	"fmt"

	"github.com/plantainladder/plantainladder/configuration"
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
