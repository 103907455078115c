package disk

import (
	"errors"
	"syscall"
)

// A FullError reports a write for which the disk has no room. Nothing of it is
// left behind, so it may be tried again.
type FullError struct {
	// Cause is the error of the file system.
	Cause error
}

// Error returns the cause.
func (e *FullError) Error() string {
	return "disk is full: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error {
	return e.Cause
}

// isFull reports whether a write failed for want of room: on the disk, in a
// quota, or within the limit of a file's size.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// asFull returns a *FullError if a write failed for want of room and what it
// left behind could be removed.
func asFullError(writeErr, undoErr error) error {
	if !isFull(writeErr) || undoErr != nil {
		return errors.Join(writeErr, undoErr)
	}
	return &FullError{
		Cause: writeErr,
	}
}
