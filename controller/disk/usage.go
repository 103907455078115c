package disk

import (
	"os"
	"sync/atomic"
	"syscall"
)

// Space is the space of a file system.
type Space struct {
	// Total is its size in bytes.
	Total int64
	// Free is what a process without privileges can still write, in bytes.
	Free int64
}

// Space calls statfs.
func (OperatingSystem) Space(path string) (s Space, err error) {
	var st syscall.Statfs_t
	if err = syscall.Statfs(path, &st); err != nil {
		return s, err
	}
	return Space{
		Total: int64(st.Blocks * uint64(st.Bsize)),
		Free:  int64(st.Bavail * uint64(st.Bsize)),
	}, nil
}

// Space returns the space of the folder's file system, or false if it is not known.
func (f *Folder) Space() (s Space, ok bool) {
	s, err := f.files.Space(f.path)
	return s, err == nil
}

// Usage is the space that a data folder takes up.
type Usage struct {
	// LogBytes is the length of the log file.
	LogBytes int64
	// SnapshotBytes is the length of the last snapshot file.
	SnapshotBytes int64
	// IsFull is true while writes wait for room.
	IsFull bool
}

// usage holds a Usage that the Writer changes and other goroutines read.
type usage struct {
	logBytes      atomic.Int64
	snapshotBytes atomic.Int64
	isFull        atomic.Bool
}

// Usage returns the space that the folder takes up. It may be called by any goroutine.
func (w *Writer) Usage() Usage {
	return Usage{
		LogBytes:      w.usage.logBytes.Load(),
		SnapshotBytes: w.usage.snapshotBytes.Load(),
		IsFull:        w.usage.isFull.Load(),
	}
}

// updateUsage records the lengths of the files.
func (w *Writer) updateUsage() {
	w.usage.logBytes.Store(w.cfg.Log.size)
	w.usage.snapshotBytes.Store(w.cfg.Folder.snapshotBytes)
}

func fileSize(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}
