package disk

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
)

const (
	voteFileName = "vote"
	// voteSlotBytes is the size of a block that file systems write by itself.
	voteSlotBytes = 4096
	voteSlots     = 2
)

// A voteSlot is the content of one of the slots of the vote file, which are written in
// turn. It is a frame, followed by zeros.
type voteSlot struct {
	// Sequence numbers the writes.
	Sequence uint64 `json:"sequence"`
	// Hard is the term and vote.
	Hard consensus.HardState `json:"hard"`
}

// A voteFile holds a term and vote that found no room in the log. Its blocks exist from the
// start, so that they can be overwritten on a full disk.
type voteFile struct {
	file File
	// last is the slot that was written last.
	last voteSlot
}

// openVoteFile opens the vote file of a folder, and creates it if it does not exist. It
// returns a *FullError if there is no room for it.
func openVoteFile(files FileSystem, folder string) (v *voteFile, err error) {
	defer util.Annotate(&err, "disk: open vote file")
	path := filepath.Join(folder, voteFileName)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		err = createVoteFile(files, folder, path)
	}
	if err != nil {
		return nil, asFullError(err, nil)
	}
	file, err := files.OpenFile(path, os.O_WRONLY)
	if err != nil {
		return nil, err
	}
	return &voteFile{
		file: file,
		last: lastSlot(content),
	}, nil
}

// createVoteFile makes an empty vote file durable.
func createVoteFile(files FileSystem, folder, path string) (err error) {
	file, err := files.OpenFile(path+tempSuffix, os.O_CREATE|os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err = file.Write(make([]byte, voteSlots*voteSlotBytes)); err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = files.Rename(path+tempSuffix, path)
	}
	if err != nil {
		return errors.Join(err, files.Remove(path+tempSuffix))
	}
	if err = files.SyncFolder(folder); err != nil {
		// The next attempt would take its name for durable.
		return errors.Join(err, files.Remove(path))
	}
	return nil
}

// lastSlot returns the slot that was written last. A slot whose write was cut short by a
// loss of power, so that nothing was answered for it, does not count.
func lastSlot(content []byte) (last voteSlot) {
	for ; len(content) > 0; content = content[min(voteSlotBytes, len(content)):] {
		body, _, ok := readFrame(content[:min(voteSlotBytes, len(content))])
		if !ok {
			continue
		}
		if s, err := codec.Unmarshal[voteSlot](body); err == nil && s.Sequence > last.Sequence {
			last = s
		}
	}
	return last
}

// store makes a term and vote durable in the slot that does not hold the last ones.
func (v *voteFile) store(hard consensus.HardState) error {
	return v.write(voteSlot{
		Sequence: v.last.Sequence + 1,
		Hard:     hard,
	})
}

// write makes a slot durable.
func (v *voteFile) write(s voteSlot) (err error) {
	body, err := codec.Marshal(s)
	if err != nil {
		return err
	}
	slot := make([]byte, voteSlotBytes)
	copy(slot, encodeFrame(body))
	if _, err = v.file.WriteAt(slot, int64(s.Sequence%voteSlots)*voteSlotBytes); err != nil {
		return asFullError(err, nil)
	}
	if err = v.file.Sync(); err != nil {
		return asFullError(err, nil)
	}
	v.last = s
	return nil
}

// newerHardState returns the later one of two hard states of a replica, which votes once in
// a term.
func newerHardState(a, b consensus.HardState) consensus.HardState {
	if b.Term > a.Term || b.Term == a.Term && a.Vote == "" {
		return b
	}
	return a
}

// openVote opens the vote file and takes over a term and vote that are newer than those of
// the log. A process that was killed may have left them where a loss of power takes them
// away, so their slot is written again; the other one may hold the last durable ones.
// Without room for the file, the log goes on without it.
func (l *Log) openVote() (err error) {
	l.vote, err = openVoteFile(l.files, l.folder)
	if full := (*FullError)(nil); errors.As(err, &full) {
		return nil
	}
	if err != nil {
		return err
	}
	hard := newerHardState(l.content.Hard, l.vote.last.Hard)
	if hard == l.content.Hard {
		return nil
	}
	l.content.Hard = hard
	if err = l.vote.write(l.vote.last); err != nil {
		return err
	}
	// A version that does not know the file reads only the log.
	if err = l.Append(hard, nil); err == nil {
		err = l.Sync()
	}
	if full := (*FullError)(nil); errors.As(err, &full) {
		return nil
	}
	return err
}

// keepVoteFile creates the vote file if there was no room for it before.
func (l *Log) keepVoteFile() (err error) {
	if l.vote == nil {
		l.vote, err = openVoteFile(l.files, l.folder)
	}
	return err
}

// StoreHardState makes a term and vote durable that find no room in the log. It returns a
// *FullError if there is no room either.
func (l *Log) StoreHardState(hard consensus.HardState) (err error) {
	defer util.Annotate(&err, "disk: store hard state")
	if l.hasDurable(hard) {
		return nil
	}
	if l.vote == nil {
		return &FullError{
			Cause: errNoVoteFile,
		}
	}
	return l.vote.store(hard)
}

var errNoVoteFile = errors.New("there was no room for the vote file")

// hasDurable reports whether a term and vote are durable.
func (l *Log) hasDurable(hard consensus.HardState) bool {
	return l.isDurable(hard) || l.vote != nil && hard == l.vote.last.Hard
}

// isDurable reports whether all batches of the log are durable and end with a term and vote.
func (l *Log) isDurable(hard consensus.HardState) bool {
	return hard == l.content.Hard && !l.isUnsynced && len(l.replaced) == 0
}
