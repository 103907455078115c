package plantainladder

import (
	"github.com/plantainladder/plantainladder/contract"
	"github.com/plantainladder/plantainladder/datacentre"
)

// ContractsSince returns the contracts that were changed after the given log
// index, dropped ones included.
func (s State) ContractsSince(index uint64) []Versioned[contract.Contract] {
	return changedSince(s.contracts, index)
}

// DataCentresSince returns the data centres that were changed after the given
// log index.
func (s State) DataCentresSince(index uint64) []Versioned[datacentre.DataCentre] {
	return changedSince(s.dataCentres, index)
}

func changedSince[T any](t table[Versioned[T]], index uint64) []Versioned[T] {
	var list []Versioned[T]
	for _, v := range t.all() {
		if v.Index > index {
			list = append(list, v)
		}
	}
	return list
}

// A View is the part of the replicated state that gateways act on. Its index never
// decreases.
type View struct {
	index       uint64
	contracts   table[contract.Contract]
	dataCentres table[datacentre.DataCentre]
}

// NewView returns an empty view.
func NewView() View {
	return View{
		contracts:   newTable[contract.Contract](),
		dataCentres: newTable[datacentre.DataCentre](),
	}
}

// Index returns the log index of the replicated state that the view reflects.
func (v View) Index() uint64 {
	return v.index
}

// Contract returns an organisation's contract.
func (v View) Contract(organisation string) (contract.Contract, bool) {
	return v.contracts.get(organisation)
}

// Contracts returns all contracts in the order of their names.
func (v View) Contracts() []contract.Contract {
	return v.contracts.all()
}

// DataCentres returns the data centres that were edited, in the order of their
// names.
func (v View) DataCentres() []datacentre.DataCentre {
	return v.dataCentres.all()
}

// IsOutOfService reports whether a data centre is out of service. One that was
// never edited is in service.
func (v View) IsOutOfService(name string) bool {
	d, ok := v.dataCentres.get(name)
	return ok && d.OutOfService
}

// WithChanges returns a copy of v at the given index with the changed records
// applied. It returns v unchanged if the index is not higher than that of v, as
// for a reply that arrives late.
func (v View) WithChanges(
	index uint64,
	contracts []Versioned[contract.Contract],
	dataCentres []Versioned[datacentre.DataCentre],
) View {
	if index <= v.index {
		return v
	}
	v.index = index
	for _, c := range contracts {
		if c.Dropped {
			v.contracts = v.contracts.without(c.Value.Organisation)
			continue
		}
		v.contracts = v.contracts.with(c.Value.Organisation, c.Value)
	}
	for _, d := range dataCentres {
		v.dataCentres = v.dataCentres.with(d.Value.Name, d.Value)
	}
	return v
}
