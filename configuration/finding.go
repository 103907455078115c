package configuration

import "github.com/plantainladder/plantainladder/shape"

// A Severity says whether a finding prevents the use of a document.
type Severity string

// Severities of a finding.
const (
	// SeverityError means that the document is refused, or that an entry can never work.
	SeverityError Severity = "error"
	// SeverityWarning means that the document is accepted, but probably has a mistake.
	SeverityWarning Severity = "warning"
)

// A List names the list of a document that an entry belongs to.
type List string

// Lists of a document. An empty name stands for the document itself.
const (
	ListQueues        List = "queues"
	ListPools         List = "pools"
	ListOrganisations List = "organisations"
)

// A Finding is a problem of a document.
type Finding struct {
	// Severity says whether the problem prevents the use of the document.
	Severity Severity
	// List and Index tell the entry that has the problem. If List is empty, it is the
	// document itself, or a list as a whole.
	List  List
	Index int
	// Name is the name of the entry.
	Name string
	// Field is the name of the field, which begins with that of its list.
	Field string
	// Problem describes what is wrong. It contains no token.
	Problem string
}

// fieldError returns the refusal of a document for the problem.
func (f Finding) fieldError() *shape.FieldError {
	return &shape.FieldError{
		Field:   f.Field,
		Problem: f.Problem,
	}
}

// newDocumentFault returns a finding about a field of the document itself.
func newDocumentFault(field, problem string) Finding {
	return Finding{
		Severity: SeverityError,
		Field:    field,
		Problem:  problem,
	}
}

// newFinding returns a finding about a field of an entry of a list.
func newFinding(severity Severity, list List, index int, name, field, problem string) Finding {
	return Finding{
		Severity: severity,
		List:     list,
		Index:    index,
		Name:     name,
		Field:    string(list) + "." + field,
		Problem:  problem,
	}
}
