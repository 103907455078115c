package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
)

const (
	filePerm             = 0o600
	folderPerm           = 0o700
	identityFile         = "identity"
	lockFile             = "lock"
	snapshotFile         = "snapshot"
	receivedSnapshotFile = "snapshot.arriving"
)

// A Folder is a controller's data folder, locked for this process.
type Folder struct {
	path string
	id   string
	lock *os.File
}

// OpenFolder opens a data folder and locks it. An empty folder gets a new
// identity; a folder with a log but no identity is refused.
func OpenFolder(path string) (f *Folder, err error) {
	defer util.Annotate(&err, "disk: open folder "+path)
	if err = os.MkdirAll(path, folderPerm); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(&LockedError{
			Path: path,
		}, lock.Close())
	}
	f = &Folder{
		path: path,
		lock: lock,
	}
	if f.id, err = f.readOrCreateIdentity(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return f, nil
}

// A LockedError reports a data folder that another process uses.
type LockedError struct {
	// Path is the folder.
	Path string
}

// Error returns the folder.
func (e *LockedError) Error() string {
	return fmt.Sprintf("another process uses %s", e.Path)
}

// A NoIdentityError reports a folder with a log but no identity.
type NoIdentityError struct {
	// Path is the folder.
	Path string
}

// Error returns the folder and what to do.
func (e *NoIdentityError) Error() string {
	return fmt.Sprintf("%s has a log but no identity; replace this disk as a lost one", e.Path)
}

func (f *Folder) readOrCreateIdentity() (id string, err error) {
	path := filepath.Join(f.path, identityFile)
	b, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(b)), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	numbers, err := segmentNumbers(f.path)
	if err != nil {
		return "", err
	}
	if len(numbers) > 0 {
		return "", &NoIdentityError{
			Path: f.path,
		}
	}
	id = util.NewID()
	if err = renameio.WriteFile(path, []byte(id+"\n"), filePerm); err != nil {
		return "", err
	}
	return id, syncFolder(f.path)
}

// ID returns the identity of the disk.
func (f *Folder) ID() string {
	return f.id
}

// Path returns the folder's path.
func (f *Folder) Path() string {
	return f.path
}

// Close gives up the lock.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// A Snapshot is a saved state and what it covers.
type Snapshot struct {
	// Meta describes the snapshot.
	Meta consensus.SnapshotMeta `json:"meta"`
	// State is the encoded state.
	State []byte `json:"state"`
}

// SaveSnapshot makes a snapshot durable in place of the last one. It returns a
// *FullError, and the last one stays, if the disk has no room.
func (f *Folder) SaveSnapshot(s Snapshot) (err error) {
	defer util.Annotate(&err, "disk: save snapshot")
	body, err := codec.Marshal(s)
	if err != nil {
		return err
	}
	if err = renameio.WriteFile(f.snapshotPath(), appendFrame(nil, body), filePerm); err != nil {
		return asFullError(err, nil)
	}
	return syncFolder(f.path)
}

// LoadSnapshot returns the last snapshot; its zero value if there is none. It
// returns a *DamageError if the file is damaged.
func (f *Folder) LoadSnapshot() (s Snapshot, err error) {
	defer util.Annotate(&err, "disk: load snapshot")
	b, err := os.ReadFile(f.snapshotPath())
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	return f.decodeSnapshot(b)
}

func (f *Folder) decodeSnapshot(b []byte) (s Snapshot, err error) {
	body, rest, ok := readFrame(b)
	if !ok || len(rest) > 0 {
		return s, &DamageError{
			Path: f.snapshotPath(),
		}
	}
	return codec.Unmarshal[Snapshot](body)
}

func (f *Folder) snapshotPath() string {
	return filepath.Join(f.path, snapshotFile)
}

// ReadSnapshotChunk returns a part of the snapshot's file from an offset on and
// whether it is the last part.
func (f *Folder) ReadSnapshotChunk(file *os.File, offset int64, size int) (chunk []byte, isLast bool, err error) {
	defer util.Annotate(&err, "disk: read snapshot")
	info, err := file.Stat()
	if err != nil {
		return nil, false, err
	}
	chunk = make([]byte, min(int64(size), info.Size()-offset))
	if _, err = file.ReadAt(chunk, offset); err != nil {
		return nil, false, err
	}
	return chunk, offset+int64(len(chunk)) == info.Size(), nil
}

// OpenSnapshot opens the snapshot's file; a newer snapshot does not change
// what is read from it.
func (f *Folder) OpenSnapshot() (file *os.File, err error) {
	return os.Open(f.snapshotPath())
}

// WriteSnapshotChunk writes a part of a snapshot that arrives from another
// controller. An offset of zero begins anew.
func (f *Folder) WriteSnapshotChunk(offset int64, chunk []byte) (err error) {
	defer util.Annotate(&err, "disk: write arriving snapshot")
	flags := os.O_CREATE | os.O_WRONLY
	if offset == 0 {
		flags |= os.O_TRUNC
	}
	file, err := os.OpenFile(f.receivedSnapshotPath(), flags, filePerm)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(chunk, offset)
	return errors.Join(err, file.Close())
}

// LoadReceivedSnapshot checks the snapshot that has arrived and returns it. It counts
// only once it was saved.
func (f *Folder) LoadReceivedSnapshot() (s Snapshot, err error) {
	defer util.Annotate(&err, "disk: take arriving snapshot")
	b, err := os.ReadFile(f.receivedSnapshotPath())
	if err != nil {
		return s, err
	}
	return f.decodeSnapshot(b)
}

func (f *Folder) receivedSnapshotPath() string {
	return filepath.Join(f.path, receivedSnapshotFile)
}
