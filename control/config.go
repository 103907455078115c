package control

import (
	plantainladder "github.com/plantainladder/plantainladder"
	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/schedule"
)

// Codec converts envelopes to and from the entries of the replicated log.
type Codec struct {
	// Encode serialises an envelope.
	Encode func(e plantainladder.Envelope) ([]byte, error)
	// Decode is the inverse of Encode.
	Decode func(b []byte) (plantainladder.Envelope, error)
}

// Config configures a Core.
type Config struct {
	// Codec converts envelopes to log entries and back.
	Codec Codec
	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery uint64
	// TrailingEntries is the number of entries that the log retains before a
	// snapshot, so that a follower that lags slightly needs no snapshot.
	TrailingEntries uint64
	// Policy is the placement policy of the job scheduler.
	Policy schedule.Policy
	// Dispatch configures the dispatch of workflows; its zero value disables it.
	Dispatch dispatch.Config
	// Voters is the number of voters up to which the group admits controllers
	// that ask to join. Zero means that only operators add members.
	Voters int
}
