package powerloss_test

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/gomega"

	"github.com/plantainladder/plantainladder/controller/disk"
)

// errKilled is what each operation of a process returns that was killed.
var errKilled = errors.New("killed")

// A lossyDisk changes the files in a real folder, which is what the kernel holds, and
// records what of it is durable. After a loss of power, the folder holds what was synced,
// and by chance some of what was not.
type lossyDisk struct {
	root   string
	random *rand.Rand
	// content holds the files by path as the kernel sees them, durable the names as of
	// the last syncs of their folders, with the changes of names since.
	content map[string]*lossyFile
	durable map[string]*lossyFile
	changes []nameChange
	// operationsLeft is the number of operations until the process is killed; negative
	// for never.
	operationsLeft int
	// syncFails is true while syncs of files fail.
	syncFails bool
	// isFull is true while files can be neither created nor extended.
	isFull bool
	// fullSyncs and fullFolderSyncs are the numbers of the next syncs of files and of
	// folders that find no room.
	fullSyncs, fullFolderSyncs int
	tempFiles                  int
}

// A lossyFile is the content of a file, whatever its names. A folder has none.
type lossyFile struct {
	isFolder bool
	synced   []byte
	// writes are the writes and truncations since the last sync.
	writes []fileWrite
}

// A fileWrite is a write at an offset, or the truncation to that size.
type fileWrite struct {
	isTruncation bool
	offset       int64
	bytes        []byte
}

// A nameChange removes a name, gives one to a file, or both.
type nameChange struct {
	removed string
	added   string
	file    *lossyFile
}

func newLossyDisk(root string, seed uint64) *lossyDisk {
	return &lossyDisk{
		root:           root,
		random:         rand.New(rand.NewChaCha8(sha256.Sum256(binary.LittleEndian.AppendUint64(nil, seed)))),
		content:        map[string]*lossyFile{},
		durable:        map[string]*lossyFile{},
		operationsLeft: -1,
	}
}

func (w fileWrite) appliedTo(b []byte) []byte {
	if w.isTruncation {
		return resized(b, w.offset)
	}
	if end := w.offset + int64(len(w.bytes)); int64(len(b)) < end {
		b = resized(b, end)
	}
	b = append([]byte(nil), b...)
	copy(b[w.offset:], w.bytes)
	return b
}

// resized returns b cut short or extended with zeros.
func resized(b []byte, size int64) []byte {
	return append(append([]byte(nil), b[:min(int64(len(b)), size)]...), make([]byte, max(0, size-int64(len(b))))...)
}

// survived returns what the file holds after a loss of power. Each write since the last
// sync is present, missing or torn.
func (f *lossyFile) survived(random *rand.Rand, allGone bool) []byte {
	b := f.synced
	for _, w := range f.writes {
		switch fate := random.IntN(3); {
		case allGone || fate == 0:
		case fate == 1 && !w.isTruncation && len(w.bytes) > 0:
			w.bytes = w.bytes[:random.IntN(len(w.bytes))]
			b = w.appliedTo(b)
		default:
			b = w.appliedTo(b)
		}
	}
	return b
}

// losePower ends the process and leaves in the folder what survives. If allGone is true,
// nothing survives that was not synced.
func (d *lossyDisk) losePower(allGone bool) {
	for _, c := range d.changes {
		if !allGone && d.random.IntN(2) == 0 {
			d.apply(c)
		}
	}
	Expect(os.RemoveAll(d.root)).To(Succeed())
	Expect(os.MkdirAll(d.root, 0o700)).To(Succeed())
	names, files := d.durable, map[*lossyFile]*lossyFile{}
	d.content, d.durable, d.changes = map[string]*lossyFile{}, map[string]*lossyFile{}, nil
	for path, f := range names {
		if !d.isReachable(path, names) {
			continue
		}
		if files[f] == nil {
			files[f] = &lossyFile{
				isFolder: f.isFolder,
				synced:   f.survived(d.random, allGone),
			}
		}
		d.content[path], d.durable[path] = files[f], files[f]
		d.materialise(path, files[f])
	}
}

func (d *lossyDisk) isReachable(path string, names map[string]*lossyFile) bool {
	for dir := filepath.Dir(path); strings.HasPrefix(dir, d.root+"/"); dir = filepath.Dir(dir) {
		if names[dir] == nil {
			return false
		}
	}
	return true
}

func (d *lossyDisk) materialise(path string, f *lossyFile) {
	if f.isFolder {
		Expect(os.MkdirAll(path, 0o700)).To(Succeed())
		return
	}
	Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
	Expect(os.WriteFile(path, f.synced, 0o600)).To(Succeed())
}

// apply makes a change of names durable.
func (d *lossyDisk) apply(c nameChange) {
	if c.removed != "" {
		delete(d.durable, c.removed)
	}
	if c.added != "" {
		d.durable[c.added] = c.file
	}
}

// survivesOperation counts an operation. It returns errKilled once the process was killed.
func (d *lossyDisk) survivesOperation() error {
	if d.operationsLeft > 0 {
		d.operationsLeft--
	}
	if d.operationsLeft == 0 {
		return errKilled
	}
	return nil
}

func (d *lossyDisk) changeNames(c nameChange) {
	if c.removed != "" {
		delete(d.content, c.removed)
	}
	if c.added != "" {
		d.content[c.added] = c.file
	}
	d.changes = append(d.changes, c)
}

// MakeFolder creates a folder whose name is not durable yet.
func (d *lossyDisk) MakeFolder(path string) error {
	if err := d.survivesOperation(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		added: path,
		file: &lossyFile{
			isFolder: true,
		},
	})
	return os.Mkdir(path, 0o700)
}

// OpenFile opens a file, whose name is not durable yet if it is new.
func (d *lossyDisk) OpenFile(path string, flags int) (disk.File, error) {
	if err := d.survivesOperation(); err != nil {
		return nil, err
	}
	if d.isFull && d.content[path] == nil {
		return nil, syscall.ENOSPC
	}
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err
	}
	if d.content[path] == nil {
		d.changeNames(nameChange{
			added: path,
			file:  &lossyFile{},
		})
	}
	out := &lossyHandle{
		File:     f,
		disk:     d,
		content:  d.content[path],
		isAppend: flags&os.O_APPEND != 0,
	}
	if flags&os.O_TRUNC != 0 {
		out.record(fileWrite{
			isTruncation: true,
		})
	}
	return out, nil
}

// ReplaceFile does what renameio.WriteFile does.
func (d *lossyDisk) ReplaceFile(folder, path string, content []byte) error {
	d.tempFiles++
	temp := filepath.Join(folder, "."+filepath.Base(path)+string(rune('a'+d.tempFiles%26)))
	f, err := d.OpenFile(temp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err != nil {
		return errors.Join(err, f.Close())
	}
	if err = errors.Join(f.Sync(), f.Close()); err != nil {
		return err
	}
	return d.Rename(temp, path)
}

// Rename renames a file. The new name is not durable yet, and the old one stays so.
func (d *lossyDisk) Rename(oldPath, newPath string) error {
	if err := d.survivesOperation(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		removed: oldPath,
		added:   newPath,
		file:    d.content[oldPath],
	})
	return os.Rename(oldPath, newPath)
}

// Remove removes a file, whose name stays durable.
func (d *lossyDisk) Remove(path string) error {
	if err := d.survivesOperation(); err != nil {
		return err
	}
	d.changeNames(nameChange{
		removed: path,
	})
	return os.Remove(path)
}

// SyncFolder makes the changes of names in a folder durable.
func (d *lossyDisk) SyncFolder(path string) error {
	if err := d.survivesOperation(); err != nil {
		return err
	}
	if d.fullFolderSyncs > 0 {
		d.fullFolderSyncs--
		return syscall.ENOSPC
	}
	var left []nameChange
	for _, c := range d.changes {
		if filepath.Dir(max(c.added, c.removed)) != path {
			left = append(left, c)
			continue
		}
		d.apply(c)
	}
	d.changes = left
	return nil
}

// Space returns an error: the size of the disk is not known.
func (d *lossyDisk) Space(string) (s disk.Space, err error) {
	return s, syscall.ENOSYS
}

// A lossyHandle is an open file of a lossyDisk.
type lossyHandle struct {
	*os.File
	disk     *lossyDisk
	content  *lossyFile
	isAppend bool
}

func (h *lossyHandle) record(w fileWrite) {
	h.content.writes = append(h.content.writes, w)
}

// Write appends to the file. A kill or a full disk cuts it short.
func (h *lossyHandle) Write(b []byte) (int, error) {
	info, err := h.Stat()
	if err != nil {
		return 0, err
	}
	offset := info.Size()
	cut := h.disk.survivesOperation()
	if cut == nil && h.disk.isFull {
		cut = syscall.ENOSPC
	}
	if cut != nil {
		b = b[:h.disk.random.IntN(len(b)+1)]
	}
	n, err := h.File.Write(b)
	h.record(fileWrite{
		offset: offset,
		bytes:  append([]byte(nil), b[:n]...),
	})
	return n, errors.Join(err, cut)
}

// WriteAt writes at an offset. A kill cuts it short.
func (h *lossyHandle) WriteAt(b []byte, offset int64) (int, error) {
	info, err := h.Stat()
	if err != nil {
		return 0, err
	}
	if h.disk.isFull && offset+int64(len(b)) > info.Size() {
		return 0, syscall.ENOSPC
	}
	killed := h.disk.survivesOperation()
	if killed != nil {
		b = b[:h.disk.random.IntN(len(b)+1)]
	}
	n, err := h.File.WriteAt(b, offset)
	h.record(fileWrite{
		offset: offset,
		bytes:  append([]byte(nil), b[:n]...),
	})
	return n, errors.Join(err, killed)
}

// Truncate changes the size of the file.
func (h *lossyHandle) Truncate(size int64) error {
	if err := h.disk.survivesOperation(); err != nil {
		return err
	}
	h.record(fileWrite{
		isTruncation: true,
		offset:       size,
	})
	return h.File.Truncate(size)
}

// Sync makes the writes durable. If it fails, the kernel takes them for written although
// they are not, as Linux does.
func (h *lossyHandle) Sync() error {
	if err := h.disk.survivesOperation(); err != nil {
		return err
	}
	if h.disk.fullSyncs > 0 {
		h.disk.fullSyncs--
		h.content.synced, h.content.writes = h.content.survived(h.disk.random, false), nil
		return syscall.ENOSPC
	}
	writes := h.content.writes
	h.content.writes = nil
	if h.disk.syncFails {
		return syscall.EIO
	}
	for _, w := range writes {
		h.content.synced = w.appliedTo(h.content.synced)
	}
	return nil
}
