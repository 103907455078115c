package disk

import (
	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/util"
)

// A Recovered value is all that a data folder held.
type Recovered struct {
	// StoredState is what the replica needs.
	StoredState consensus.StoredState
	// State is the encoded state of the snapshot; nil for none.
	State []byte
	// TornBytes is the number of bytes that a crash left unfinished.
	TornBytes int64
}

// Recover reads the snapshot and the log of a folder and opens the log for
// more. It returns a *DamageError or a *GapError if they cannot be trusted.
func Recover(f *Folder) (l *Log, r Recovered, err error) {
	defer util.Annotate(&err, "disk: recover")
	snapshot, err := f.LoadSnapshot()
	if err != nil {
		return nil, r, err
	}
	l, content, err := OpenLog(f.Path())
	if err != nil {
		return nil, r, err
	}
	r = Recovered{
		StoredState: consensus.StoredState{
			Hard:     content.Hard,
			Snapshot: snapshot.Meta,
		},
		State:     snapshot.State,
		TornBytes: content.TornBytes,
	}
	nextIndex := snapshot.Meta.Index + 1
	for _, e := range content.Entries {
		if e.Index < nextIndex {
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
