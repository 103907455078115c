package node

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/dispatch"
	"github.com/plantainladder/plantainladder/http1"
	"github.com/plantainladder/plantainladder/intake"
)

// A Config holds the settings of a Node.
type Config struct {
	// Listen is the host and port to serve controllers and gateways on.
	Listen string
	// Advertise is the address at which other controllers reach this one; Listen
	// if it is empty.
	Advertise string
	// DataDir is the data folder, for the identity, the log and the snapshots.
	DataDir string
	// ClusterToken is the secret shared by controllers and gateways.
	ClusterToken string
	// WorkerToken is the secret shared with workers.
	WorkerToken string
	// Source is the IP address to dial from; empty for any.
	Source string
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery int
	// DiskBytes is the size of the disk with the data folder, in bytes; zero if it is
	// unknown.
	DiskBytes int64
	// Voters is the number of voters up to which the group admits controllers that
	// ask to join; zero if only operators add members.
	Voters int
	// CatchUpDuration is the time after its start for which a controller that takes the
	// place of another counts as lost; zero if that is not specified.
	CatchUpDuration time.Duration
	// FormGroup is true if this controller forms a new group when it belongs to
	// none.
	FormGroup bool
	// IsFirstStart is true if this controller takes part in the agreement on the first
	// group, as it does after a restart too. A controller whose disk was lost must be
	// started without it.
	IsFirstStart bool
	// Founders lists the addresses of the controllers that agree on the first group,
	// the same on all controllers.
	Founders []string
	// Founder is the position of this controller among them, or formation.NoFounder.
	Founder int
	// Seeds returns addresses of controllers to send join requests to.
	Seeds func() []string
	// Dispatch configures the dispatch of workflows; its zero value disables it.
	Dispatch dispatch.Config
	// Send sends an order to a worker of a pool and calls answer with its result. It
	// must not block.
	Send func(o dispatch.Order, answer func(a dispatch.OrderCompleted))
	// ReadInventory reads the platform's inventory of machines and calls done with
	// the result. It must not block. It is required if Dispatch.HasInventory is
	// true.
	ReadInventory func(done func(r dispatch.InventoryRead))
	// Intake bounds what clients may send; its zero value has no bounds.
	Intake IntakeConfig
	// Logger is the logger of the controller's components.
	Logger zerolog.Logger
}

// An IntakeConfig bounds what the clients of a Node may send, who are strangers if the cluster
// has no token.
type IntakeConfig struct {
	// Limits bounds connections, and the time of bodies and answers.
	Limits intake.Limits
	// Frames bounds the bytes of frames that arrive, and Calls those of calls that run.
	Frames, Calls *intake.Budget
	// CountRefusal counts a refusal; nil for none.
	CountRefusal func(reason http1.Refusal)
}

// boundByDisk returns a bound in bytes, or the given part of the disk if that is smaller.
func (cfg Config) boundByDisk(bound, part uint64) uint64 {
	if cfg.DiskBytes <= 0 {
		return bound
	}
	return min(bound, uint64(cfg.DiskBytes)/part)
}
