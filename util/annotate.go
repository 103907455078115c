// Package util provides what all programs share: annotation of errors, settings,
// logging, identifiers and small helpers. Aggregates do not import it.
package util

import "fmt"

// An OperationError adds the operation that failed to an error.
type OperationError struct {
	// Operation names the operation, such as "controller/disk: append".
	Operation string
	// Cause is the error of the operation.
	Cause error
}

// Error returns the operation and its cause.
func (e *OperationError) Error() string {
	return fmt.Sprintf("%s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error {
	return e.Cause
}

// Annotate replaces a non-nil *err by an *OperationError that wraps it. It is
// meant for a deferred call on a named result.
func Annotate(err *error, operation string) {
	if *err == nil {
		return
	}
	*err = &OperationError{
		Operation: operation,
		Cause:     *err,
	}
}
