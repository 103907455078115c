package disk

import (
	"errors"
	"syscall"
	"time"

	"github.com/plantainladder/plantainladder/consensus"
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

// A FullReport says that writes wait for room on the disk, or that they have found it.
type FullReport struct {
	// Err is the error of the write that found no room; nil once there is room.
	Err *FullError
	// Waited is how long writes have waited.
	Waited time.Duration
	// Entries and Bytes are the number of the entries that wait and the length of
	// their data.
	Entries int
	Bytes   int64
}

// dataBytes returns the length of the data of entries.
func dataBytes(entries []consensus.Entry) (n int64) {
	for _, e := range entries {
		if d, ok := e.Payload.(consensus.Data); ok {
			n += int64(len(d.Bytes))
		}
	}
	return n
}
