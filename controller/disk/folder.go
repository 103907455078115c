package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

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

// A FolderConfig describes a data folder.
type FolderConfig struct {
	// Path is the folder's path.
	Path string
	// Files changes the files of the folder; nil for OperatingSystem.
	Files FileSystem
}

func (cfg FolderConfig) withDefaults() FolderConfig {
	if cfg.Files == nil {
		cfg.Files = OperatingSystem{}
	}
	return cfg
}

// A Folder is a controller's data folder, held under an exclusive lock.
type Folder struct {
	path  string
	files FileSystem
	id    string
	lock  *os.File
	// savedFormation is what SaveFormation has stored last; nil if it has not.
	savedFormation []byte
	// snapshotBytes is the length of the last snapshot file.
	snapshotBytes int64
}

// OpenFolder opens and locks a data folder, and creates it if it does not exist.
// A folder without a log and an identity gets a new identity. It returns a
// *LockedError if another process has locked the folder, and a *NoIdentityError
// if the folder has a log but no identity.
func OpenFolder(cfg FolderConfig) (f *Folder, err error) {
	cfg = cfg.withDefaults()
	path := cfg.Path
	defer util.Annotate(&err, "disk: open folder "+path)
	// A folder with an identity was made durable before it got that.
	if _, err = os.Stat(filepath.Join(path, identityFile)); err != nil {
		if err = makeFolders(cfg.Files, path); err != nil {
			return nil, err
		}
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
		path:  path,
		files: cfg.Files,
		lock:  lock,
	}
	if err = f.removeLeftovers(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	if f.id, err = f.readOrCreateIdentity(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	f.snapshotBytes = fileSize(f.snapshotPath())
	return f, nil
}

// makeFolders creates a folder and the folders above it that are missing, and makes each
// durable before the next.
func makeFolders(files FileSystem, path string) error {
	_, err := os.Stat(path)
	if err == nil {
		// A process that was killed may have created this one and not made it durable.
		// The folder above it may belong to others and be closed to this process.
		_ = files.SyncFolder(filepath.Dir(path))
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err = makeFolders(files, filepath.Dir(path)); err != nil {
		return err
	}
	if err = files.MakeFolder(path); err != nil {
		return err
	}
	return files.SyncFolder(filepath.Dir(path))
}

// A LockedError reports a data folder that another process has locked.
type LockedError struct {
	// Path is the folder.
	Path string
}

// Error returns the folder.
func (e *LockedError) Error() string {
	return fmt.Sprintf("another process has locked %s", e.Path)
}

// A NoIdentityError reports a data folder whose identity file is missing although
// it has a log.
type NoIdentityError struct {
	// Path is the folder.
	Path string
}

// Error returns the folder and how to recover.
func (e *NoIdentityError) Error() string {
	return fmt.Sprintf("%s has a log but no identity; treat this disk as lost and replace it", e.Path)
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
	if err = f.files.ReplaceFile(f.path, path, []byte(id+"\n")); err != nil {
		return "", err
	}
	return id, f.files.SyncFolder(f.path)
}

// ID returns the identity stored in the folder, which is the replica's ID.
func (f *Folder) ID() string {
	return f.id
}

// Path returns the folder's path.
func (f *Folder) Path() string {
	return f.path
}

// Close releases the lock.
func (f *Folder) Close() error {
	return f.lock.Close()
}

// A Snapshot is an encoded state with the position in the log that it covers.
type Snapshot struct {
	// Meta is the index and term of the last entry covered, and the members.
	Meta consensus.SnapshotMeta `json:"meta"`
	// State is the state as encoded by wire.MarshalState.
	State []byte `json:"state"`
}

// SaveSnapshot durably replaces the last snapshot. If the disk is full, it keeps
// the last snapshot and returns a *FullError.
func (f *Folder) SaveSnapshot(s Snapshot) (err error) {
	defer util.Annotate(&err, "disk: save snapshot")
	body, err := codec.Marshal(s)
	if err != nil {
		return err
	}
	frame := encodeFrame(body)
	if err = f.files.ReplaceFile(f.path, f.snapshotPath(), frame); err != nil {
		return asFullError(err, nil)
	}
	f.snapshotBytes = int64(len(frame))
	return asFullError(f.files.SyncFolder(f.path), nil)
}

// LoadSnapshot returns the last snapshot, or the zero value if there is none. It
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

// ReadSnapshotChunk reads up to size bytes of an open snapshot file at an offset,
// and reports whether they reach the end of the file.
func (f *Folder) ReadSnapshotChunk(file *os.File, offset int64, size int) (chunk []byte, isLast bool, err error) {
	defer util.Annotate(&err, "disk: read snapshot chunk")
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

// OpenSnapshot opens the file of the last snapshot for reading. Saving a newer
// snapshot does not change the content of the open file.
func (f *Folder) OpenSnapshot() (file *os.File, err error) {
	return os.Open(f.snapshotPath())
}

// WriteSnapshotChunk writes a chunk of a snapshot received from another
// controller. An offset of zero discards the chunks received before, and so does
// an error, which is a *FullError if the disk is full.
func (f *Folder) WriteSnapshotChunk(offset int64, chunk []byte) (err error) {
	defer util.Annotate(&err, "disk: write snapshot chunk")
	flags := os.O_WRONLY
	if offset == 0 {
		flags |= os.O_CREATE | os.O_TRUNC
	}
	file, err := f.files.OpenFile(f.receivedSnapshotPath(), flags)
	if err != nil {
		return asFullError(err, nil)
	}
	_, err = file.WriteAt(chunk, offset)
	if err = errors.Join(err, file.Close()); err != nil {
		return asFullError(err, f.files.Remove(f.receivedSnapshotPath()))
	}
	return nil
}

// LoadReceivedSnapshot verifies and returns the snapshot whose chunks were
// received, and removes these. It takes effect only once SaveSnapshot has stored it.
func (f *Folder) LoadReceivedSnapshot() (s Snapshot, err error) {
	defer util.Annotate(&err, "disk: load received snapshot")
	b, err := os.ReadFile(f.receivedSnapshotPath())
	if err != nil {
		return s, err
	}
	if err = f.files.Remove(f.receivedSnapshotPath()); err != nil {
		return s, err
	}
	return f.decodeSnapshot(b)
}

func (f *Folder) receivedSnapshotPath() string {
	return filepath.Join(f.path, receivedSnapshotFile)
}
