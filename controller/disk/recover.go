package disk

import (
	"errors"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
)

// Recovered is the content of a data folder at start.
type Recovered struct {
	// StoredState is the state to start the replica from.
	StoredState consensus.StoredState
	// State is the encoded state in the snapshot; nil if there is no snapshot.
	State []byte
	// TornBytes is the length of the torn write that was truncated from the log.
	TornBytes int64
	// IsRewritten is LogContent.IsRewritten.
	IsRewritten bool
}

// Recover reads the snapshot and the log of a folder and opens the log for
// appending. It returns a *DamageError or a *GapError if a file is damaged or
// entries are missing.
func Recover(f *Folder) (l *Log, r Recovered, err error) {
	defer util.Annotate(&err, "disk: recover")
	snapshot, err := f.LoadSnapshot()
	if err != nil {
		return nil, r, err
	}
	l, content, err := OpenLog(FolderConfig{
		Path:  f.path,
		Files: f.files,
	})
	if err != nil {
		return nil, r, err
	}
	if err = l.openVote(); err != nil {
		return nil, r, errors.Join(err, l.Close())
	}
	l.coveredIndex = snapshot.Meta.Index
	r = Recovered{
		StoredState: consensus.StoredState{
			Hard:     l.content.Hard,
			Snapshot: snapshot.Meta,
		},
		State:       snapshot.State,
		TornBytes:   content.TornBytes,
		IsRewritten: content.IsRewritten,
	}
	nextIndex := snapshot.Meta.Index + 1
	for _, e := range content.Entries {
		// A process that was killed may not have removed what a received snapshot has
		// replaced; terms never decrease within a log.
		if e.Index < nextIndex || e.Term < snapshot.Meta.Term {
			continue
		}
		if e.Index > nextIndex {
			return nil, r, &GapError{
				Index: e.Index,
			}
		}
		r.StoredState.Entries = append(r.StoredState.Entries, e)
		nextIndex++
	}
	return l, r, nil
}
