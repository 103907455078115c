package control

import (
	"time"

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
	// SnapshotBytes is the size of the entries between two snapshots, in bytes, or that of
	// the last snapshot if it is larger. A snapshot is due when either bound is reached.
	// Zero means no bound in bytes.
	SnapshotBytes uint64
	// TrailingEntries is the number of entries that the log retains before a
	// snapshot, so that a follower that lags slightly needs no snapshot.
	TrailingEntries uint64
	// TrailingBytes bounds the size of these entries, in bytes.
	TrailingBytes uint64
	// Policy is the placement policy of the job scheduler.
	Policy schedule.Policy
	// Dispatch configures the dispatch of workflows; its zero value disables it.
	Dispatch dispatch.Config
	// Voters is the number of voters up to which the group admits controllers
	// that ask to join. Zero means that only operators add members.
	Voters int
	// CatchUpDuration is the time after its start for which a controller that takes the
	// place of another counts as lost; zero if that is not specified.
	CatchUpDuration time.Duration
}

const (
	// defaultDeadMemberTimeout is how long a member may be silent before a controller at
	// another address may replace it, unless a time to catch up is specified.
	defaultDeadMemberTimeout = 6 * time.Second
	// minDeadMemberTimeout is three election timeouts of the controllers, so that a member
	// with one slow answer is not replaced.
	minDeadMemberTimeout = 1500 * time.Millisecond
	// The silence takes this part of the time to catch up. The rest is for an election
	// and the three changes of the group.
	silenceNumerator   = 3
	silenceDenominator = 8
)

// deadMemberTimeout returns how long a member may be silent before a controller at
// another address may replace it.
func (cfg Config) deadMemberTimeout() time.Duration {
	if cfg.CatchUpDuration == 0 {
		return defaultDeadMemberTimeout
	}
	return max(minDeadMemberTimeout, cfg.CatchUpDuration*silenceNumerator/silenceDenominator)
}
