// Package datacentre defines the state of a data centre, which operators take
// out of service and put back.
package datacentre

// A DataCentre is a data centre with the state that operators set for it.
type DataCentre struct {
	// Name is the data centre's name.
	Name string `json:"name"`
	// OutOfService is true while no task or request may start there.
	OutOfService bool `json:"out"`
	// Revision counts the accepted edits from 1.
	Revision uint64 `json:"revision"`
}

// WithOutOfService returns a copy of d, in or out of service, with the next
// revision.
func (d DataCentre) WithOutOfService(out bool) DataCentre {
	d.OutOfService = out
	d.Revision++
	return d
}
