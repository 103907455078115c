package disk

import (
	"errors"
	"syscall"
)

// A FullError reports a write that failed because the disk is full. The partial
// write was undone, so it can be retried.
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

// isFull reports whether a write failed because the disk is full, or a disk
// quota or the limit on the size of a file is exhausted.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// asFullError returns a *FullError if a write failed because the disk is full
// and undoing the partial write succeeded, and both errors joined otherwise.
func asFullError(writeErr, undoErr error) error {
	if !isFull(writeErr) || undoErr != nil {
		return errors.Join(writeErr, undoErr)
	}
	return &FullError{
		Cause: writeErr,
	}
}
