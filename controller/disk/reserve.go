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

// keep creates the file with room for two snapshots like the last one, unless there is one
// of half that size. It does nothing if little room would be left.
func (r *reserve) keep(snapshotBytes int64) (err error) {
	defer util.Annotate(&err, "disk: keep reserve")
	if r.minBytes == 0 {
		return nil
	}
	size := max(r.minBytes, 2*snapshotBytes)
	if s, spaceErr := r.files.Space(r.folder); spaceErr == nil {
		size = min(size, s.Total/maxReserveShare)
		if s.Free < 2*size {
			return nil
		}
	}
	if 2*r.bytes >= size {
		return nil
	}
	if err = r.release(); err != nil {
		return err
	}
	if err = r.create(size); err != nil {
		return asFullError(err, nil)
	}
	r.bytes = size
	return nil
}

func (r *reserve) create(size int64) (err error) {
	path := filepath.Join(r.folder, reserveFile)
	file, err := r.files.OpenFile(path+tempSuffix, os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	zeros := make([]byte, min(size, 1<<16))
	for left := size; left > 0 && err == nil; left -= int64(len(zeros)) {
		_, err = file.Write(zeros[:min(left, int64(len(zeros)))])
	}
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = r.files.Rename(path+tempSuffix, path)
	}
	if err != nil {
		return errors.Join(err, r.files.Remove(path+tempSuffix))
	}
	return nil
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
