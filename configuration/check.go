package configuration

import (
	"fmt"

	"github.com/plantainladder/plantainladder/shape"
)

// MaxQueues is the maximum number of queues of a document.
const MaxQueues = 20_000

// Check returns a *shape.FieldError for the first field whose value is not
// allowed, or nil if the document is valid.
func (d Document) Check() *shape.FieldError {
	if faults := d.faults(); len(faults) > 0 {
		return faults[0].fieldError()
	}
	return nil
}

// faults returns the reasons for which the document is refused. There is one for each
// queue and token at most.
func (d Document) faults() (faults []Finding) {
	if d.Version == 0 {
		faults = append(faults, newDocumentFault("version", "must be above 0"))
	}
	if len(d.Queues) > MaxQueues {
		return append(faults, newDocumentFault("queues", fmt.Sprintf("more than %d", MaxQueues)))
	}
	faults = append(faults, d.queueFaults()...)
	return append(faults, d.tokenFaults()...)
}

func (d Document) queueFaults() (faults []Finding) {
	pools := make(map[string]bool, len(d.Pools))
	for _, p := range d.Pools {
		pools[p.Name] = true
	}
	type route struct {
		host, prefix string
	}
	routes := make(map[route]string, len(d.Queues))
	for i, q := range d.Queues {
		at := route{
			host:   q.Host,
			prefix: q.Prefix,
		}
		other, taken := routes[at]
		var field, problem string
		switch {
		case q.Name == "":
			field, problem = "name", "must not be empty"
		case q.Timeout <= 0:
			field, problem = "timeout", fmt.Sprintf("queue %q has no timeout", q.Name)
		case !pools[q.Pool]:
			field, problem = "pool", fmt.Sprintf("queue %q names the unknown pool %q", q.Name, q.Pool)
		case taken:
			field, problem = "prefix", fmt.Sprintf("queues %q and %q share a host and a prefix", other, q.Name)
		}
		if field != "" {
			faults = append(faults, newFinding(SeverityError, ListQueues, i, q.Name, field, problem))
		}
		if !taken {
			routes[at] = q.Name
		}
	}
	return faults
}

func (d Document) tokenFaults() (faults []Finding) {
	owners := map[string]string{}
	for i, o := range d.Organisations {
		if o.Name == "" {
			faults = append(faults, newFinding(SeverityError, ListOrganisations, i, o.Name, "name", "must not be empty"))
		}
		for _, t := range o.Tokens {
			other, taken := owners[t]
			if taken && other != o.Name {
				faults = append(faults, newFinding(SeverityError, ListOrganisations, i, o.Name, "tokens",
					fmt.Sprintf("%q and %q share a token", other, o.Name)))
			}
			if !taken {
				owners[t] = o.Name
			}
		}
	}
	return faults
}
