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
	if d.Version == 0 {
		return newFieldError("version", "must be above 0")
	}
	if len(d.Queues) > MaxQueues {
		return newFieldError("queues", fmt.Sprintf("more than %d", MaxQueues))
	}
	if err := d.checkQueues(); err != nil {
		return err
	}
	return d.checkOrganisations()
}

func (d Document) checkQueues() *shape.FieldError {
	pools := make(map[string]bool, len(d.Pools))
	for _, p := range d.Pools {
		pools[p.Name] = true
	}
	type route struct {
		host, prefix string
	}
	routes := make(map[route]string, len(d.Queues))
	for _, q := range d.Queues {
		at := route{
			host:   q.Host,
			prefix: q.Prefix,
		}
		other, taken := routes[at]
		switch {
		case q.Name == "":
			return newFieldError("queues.name", "must not be empty")
		case q.Timeout <= 0:
			return newFieldError("queues.timeout", fmt.Sprintf("queue %q has no timeout", q.Name))
		case !pools[q.Pool]:
			return newFieldError("queues.pool", fmt.Sprintf("queue %q names the unknown pool %q", q.Name, q.Pool))
		case taken:
			return newFieldError("queues.prefix", fmt.Sprintf("queues %q and %q share a host and a prefix", other, q.Name))
		}
		routes[at] = q.Name
	}
	return nil
}

func (d Document) checkOrganisations() *shape.FieldError {
	owners := map[string]string{}
	for _, o := range d.Organisations {
		if err := o.check(); err != nil {
			return err
		}
		for _, t := range o.Tokens {
			if other, taken := owners[t]; taken && other != o.Name {
				return newFieldError("organisations.tokens", fmt.Sprintf("%q and %q share a token", other, o.Name))
			}
			owners[t] = o.Name
		}
	}
	return nil
}

func newFieldError(field, problem string) *shape.FieldError {
	return &shape.FieldError{
		Field:   field,
		Problem: problem,
	}
}
