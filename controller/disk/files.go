package disk

import (
	"errors"
	"io"
	"os"

	"github.com/google/renameio/v2"
)

// A FileSystem changes files and folders. What a change leaves behind is read from
// the operating system. A change survives the end of the process, but a loss of power
// only once it was synced.
type FileSystem interface {
	// MakeFolder creates a folder in one that exists, unless it exists.
	MakeFolder(path string) error
	// OpenFile opens a file with the flags of os.OpenFile.
	OpenFile(path string, flags int) (File, error)
	// ReplaceFile writes a temporary file in the same folder, syncs it and renames it to
	// path.
	ReplaceFile(folder, path string, content []byte) error
	// Rename renames a file.
	Rename(oldPath, newPath string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFolder makes the creation, renaming and removal of files in a folder durable.
	SyncFolder(path string) error
	// Space returns the space of the file system that holds a folder.
	Space(path string) (s Space, err error)
}

// A File is open for writing.
type File interface {
	io.Writer
	io.WriterAt
	io.Closer
	// Stat returns the file's size.
	Stat() (os.FileInfo, error)
	// Truncate changes the file's size.
	Truncate(size int64) error
	// Sync makes the file's content durable.
	Sync() error
}

// OperatingSystem is the FileSystem of the operating system.
type OperatingSystem struct{}

// MakeFolder calls os.MkdirAll.
func (OperatingSystem) MakeFolder(path string) error {
	return os.MkdirAll(path, folderPerm)
}

// OpenFile calls os.OpenFile.
func (OperatingSystem) OpenFile(path string, flags int) (File, error) {
	return os.OpenFile(path, flags, filePerm)
}

// ReplaceFile calls renameio.WriteFile.
func (OperatingSystem) ReplaceFile(folder, path string, content []byte) error {
	return renameio.WriteFile(path, content, filePerm, renameio.WithTempDir(folder))
}

// Rename calls os.Rename.
func (OperatingSystem) Rename(oldPath, newPath string) error {
	return os.Rename(oldPath, newPath)
}

// Remove calls os.Remove.
func (OperatingSystem) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder opens the folder and syncs it.
func (OperatingSystem) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
