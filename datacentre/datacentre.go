// Package datacentre holds the aggregate of a data centre, which operators
// take out of service and bring back.
package datacentre

// A DataCentre is a data centre as its operators want it.
type DataCentre struct {
	// Name is the data centre's name.
	Name string `json:"name"`
	// OutOfService is true while nothing may start there.
	OutOfService bool `json:"out"`
	// Revision counts the accepted edits, starting at 1.
	Revision uint64 `json:"revision"`
}

// WithOutOfService returns d in or out of service, one revision further.
func (d DataCentre) WithOutOfService(out bool) DataCentre {
	d.OutOfService = out
	d.Revision++
	return d
}
