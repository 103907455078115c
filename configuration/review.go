package configuration

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/plantainladder/plantainladder/pool"
)

// shortestCall is the shortest time that a front leaves the leader for a call, also if
// the caller's deadline is earlier.
const shortestCall = 100 * time.Millisecond

// Review returns the findings about the document by itself: the reasons for which it is
// refused, entries that can never be used, and values that contradict each other.
func (d Document) Review() []Finding {
	return slices.Concat(d.faults(math.MaxInt), d.reviewNames(), d.reviewQueues(), d.reviewOrganisations())
}

// reviewNames returns findings about entries that have the name of an earlier one in
// their list. Entries are looked up by their names, which finds the first.
func (d Document) reviewNames() (findings []Finding) {
	for _, l := range d.lists() {
		first := make(map[string]bool, len(l.entries))
		for i, e := range l.entries {
			if first[e.name] && e.name != "" {
				findings = append(findings, newFinding(SeverityError, l.list, i, e.name, "name",
					"an earlier entry has the same name, so that the values of this one are not used"))
			}
			first[e.name] = true
		}
	}
	return findings
}

func (d Document) reviewQueues() (findings []Finding) {
	for i, q := range d.Queues {
		report := func(severity Severity, field, problem string) {
			findings = append(findings, newFinding(severity, ListQueues, i, q.Name, field, problem))
		}
		if q.Host == "" {
			report(SeverityWarning, "host", "is empty, so that only calls without a host match")
		}
		if strings.Count(q.Host, ":") == 1 {
			report(SeverityError, "host", "has a port, but calls are matched by their host without its port")
		}
		if q.Prefix != "" && !strings.HasPrefix(q.Prefix, "/") {
			report(SeverityError, "prefix", "does not begin with a slash, as all paths do")
		}
		if q.RequiresPlacementAdvisor {
			report(SeverityWarning, "is-advised", "queues that require a placement advisor are not supported; their submissions are refused")
		}
		if q.Timeout > 0 && q.Timeout < shortestCall {
			report(SeverityWarning, "timeout", fmt.Sprintf("no call can keep it, since a call may take %v", shortestCall))
		}
		if q.MaxAttempts < 1 {
			report(SeverityWarning, "max-attempts", fmt.Sprintf("is %d and counts as 1", q.MaxAttempts))
		}
		if q.Stretch < 1 {
			report(SeverityWarning, "stretch", fmt.Sprintf("is %v; with less than 1 a long workflow can never meet its target", q.Stretch))
		}
		if q.Slack < 0 {
			report(SeverityWarning, "slack", fmt.Sprintf("is %v; with less than 0 a short workflow can never meet its target", q.Slack))
		}
	}
	return findings
}

func (d Document) reviewOrganisations() (findings []Finding) {
	hasUrgentQueue := slices.ContainsFunc(d.Queues, func(q Queue) bool {
		return q.Priority == 0
	})
	for i, o := range d.Organisations {
		report := func(field, problem string) {
			findings = append(findings, newFinding(SeverityWarning, ListOrganisations, i, o.Name, field, problem))
		}
		if len(o.Tokens) == 0 {
			report("tokens", "there are none, so that no call is the organisation's")
		}
		if slices.Contains(o.Tokens, "") {
			report("tokens", "one is empty and never matches")
		}
		if o.GuaranteedAccelerators < 0 {
			report("guaranteed-accelerators", fmt.Sprintf("is %d and guarantees nothing", o.GuaranteedAccelerators))
		}
		if most := o.Limit.Accelerators; most > 0 && o.GuaranteedAccelerators > most {
			report("guaranteed-accelerators", fmt.Sprintf("is %d and above the organisation's limit of %d", o.GuaranteedAccelerators, most))
		}
		if o.GuaranteedAccelerators > 0 && !hasUrgentQueue {
			report("guaranteed-accelerators", "is for queues of priority 0, and there is none")
		}
	}
	return findings
}

// ReviewWorkers returns the findings about the document for workers that may be given
// work: queues that none of them serves, and guarantees that they cannot give.
func (d Document) ReviewWorkers(workers []pool.Worker) (findings []Finding) {
	served := map[string]bool{}
	accelerators := 0
	for _, w := range workers {
		if !w.Leaving && d.HasPool(w.Pool) {
			served[w.Pool] = true
			accelerators += w.Capacity.Accelerators
		}
	}
	for i, q := range d.Queues {
		if d.HasPool(q.Pool) && !served[q.Pool] {
			findings = append(findings, newFinding(SeverityWarning, ListQueues, i, q.Name, "pool",
				fmt.Sprintf("there is no worker in the pool %q", q.Pool)))
		}
	}
	guaranteed := 0
	for i, o := range d.Organisations {
		guaranteed += max(o.GuaranteedAccelerators, 0)
		if guaranteed > accelerators {
			return append(findings, newFinding(SeverityWarning, ListOrganisations, i, o.Name, "guaranteed-accelerators",
				fmt.Sprintf("the guarantees up to this one sum to %d, and all workers have %d accelerators", guaranteed, accelerators)))
		}
	}
	return findings
}

// ReviewReplacement returns the findings about the document if it is to replace another.
func (d Document) ReviewReplacement(current Document) []Finding {
	if d.Version > current.Version || len(d.DifferencesFrom(current)) == 0 {
		return nil
	}
	return []Finding{
		newDocumentFault("version", fmt.Sprintf("is %d and not above %d, so that the differences would have no effect", d.Version, current.Version)),
	}
}
