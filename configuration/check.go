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
	if faults := d.faults(1); len(faults) > 0 {
		return faults[0].fieldError()
	}
	return nil
}

// faults returns the reasons for which the document is refused, in the order of the lists.
// It stops after an entry with which there are as many as limit: the leader needs one only,
// and a document may have tens of thousands.
func (d Document) faults(limit int) (faults []Finding) {
	if d.Version == 0 {
		faults = append(faults, newDocumentFault("version", "must be above 0"))
	}
	if len(d.Queues) > MaxQueues {
		return append(faults, newDocumentFault("queues", fmt.Sprintf("more than %d", MaxQueues)))
	}
	faults = append(faults, d.queueFaults(limit-len(faults))...)
	return append(faults, d.organisationFaults(limit-len(faults))...)
}

func (d Document) queueFaults(limit int) (faults []Finding) {
	pools := make(map[string]bool, len(d.Pools))
	for _, p := range d.Pools {
		pools[p.Name] = true
	}
	type route struct {
		host, prefix string
	}
	routes := make(map[route]string, len(d.Queues))
	for i, q := range d.Queues {
		if len(faults) >= limit {
			break
		}
		at := route{
			host:   q.Host,
			prefix: q.Prefix,
		}
		other, taken := routes[at]
		report := func(field, problem string) {
			faults = append(faults, newFinding(SeverityError, ListQueues, i, q.Name, field, problem))
		}
		if q.Name == "" {
			report("name", "must not be empty")
		}
		if q.Timeout <= 0 {
			report("timeout", fmt.Sprintf("queue %q has no timeout", q.Name))
		}
		if !pools[q.Pool] {
			report("pool", fmt.Sprintf("queue %q names the unknown pool %q", q.Name, q.Pool))
		}
		if taken {
			report("prefix", fmt.Sprintf("queues %q and %q share a host and a prefix", other, q.Name))
		}
		if !taken {
			routes[at] = q.Name
		}
	}
	return faults
}

func (d Document) organisationFaults(limit int) (faults []Finding) {
	owners := map[string]string{}
	for i, o := range d.Organisations {
		if len(faults) >= limit {
			break
		}
		faults = append(faults, o.faults(i)...)
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
