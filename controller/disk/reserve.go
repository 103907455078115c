package disk

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/plantainladder/plantainladder/util"
)

const reserveFile = "reserve"

// maxReserveShare is the part of the file system that the reserve takes up at most, as a
// divisor.
const maxReserveShare = 16

// reserveChunkBytes is what is written at a time, so that nothing waits long for the disk.
const reserveChunkBytes = 256 << 10

// A reserve is a file without meaning that is removed when a snapshot finds no room.
// Nothing depends on it.
type reserve struct {
	folder string
	files  FileSystem
	// minBytes is the least size; zero for no reserve.
	minBytes int64
	// bytes is the size of the file.
	bytes int64
}

func newReserve(f *Folder, minBytes int64) *reserve {
	return &reserve{
		folder:   f.path,
		files:    f.files,
		minBytes: minBytes,
		bytes:    fileSize(filepath.Join(f.path, reserveFile)),
	}
}

// grow adds a chunk to the file unless it has room for two snapshots like the last one, or
// little room would be left for others. It reports whether more is due.
func (r *reserve) grow(snapshotBytes int64) (isMoreDue bool, err error) {
	defer util.Annotate(&err, "disk: grow reserve")
	size := r.wantedBytes(snapshotBytes)
	if r.bytes >= size {
		return false, nil
	}
	file, err := r.files.OpenFile(filepath.Join(r.folder, reserveFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return false, asFullError(err, nil)
	}
	n := min(size-r.bytes, reserveChunkBytes)
	if _, err = file.Write(make([]byte, n)); err == nil {
		err = file.Sync()
	}
	if err != nil {
		return false, asFullError(err, errors.Join(file.Truncate(r.bytes), file.Close()))
	}
	r.bytes += n
	return r.bytes < size, file.Close()
}

// wantedBytes returns the size that the file should have.
func (r *reserve) wantedBytes(snapshotBytes int64) int64 {
	if r.minBytes == 0 {
		return 0
	}
	size := max(r.minBytes, 2*snapshotBytes)
	if s, err := r.files.Space(r.folder); err == nil {
		size = min(size, s.Total/maxReserveShare)
		if s.Free < 2*(size-r.bytes) {
			return 0
		}
	}
	return size
}

// release removes the file, which frees its room.
func (r *reserve) release() (err error) {
	defer util.Annotate(&err, "disk: release reserve")
	if r.bytes == 0 {
		return nil
	}
	r.bytes = 0
	return r.files.Remove(filepath.Join(r.folder, reserveFile))
}
