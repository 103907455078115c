package node

import (
	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/dispatch"
)

// A Config describes a Node.
type Config struct {
	// Listen is the address to serve the system's processes on.
	Listen string
	// Advertise is the address that other controllers know this one by; Listen
	// if it is empty.
	Advertise string
	// DataDir is the folder for the identity, the log and the snapshots.
	DataDir string
	// ClusterToken is the secret shared by controllers and gateways.
	ClusterToken string
	// WorkerToken is the secret shared with workers.
	WorkerToken string
	// Source is the IP number to dial from; empty for any.
	Source string
	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery int
	// Voters is the number of voters that the group fills itself up to; zero if
	// operators bring members in.
	Voters int
	// FormGroup is true for the controller that forms the group, if it has none.
	FormGroup bool
	// Seeds returns addresses of controllers to ask for being brought in.
	Seeds func() []string
	// Dispatch bounds the decisions on workflows; its zero value turns them off.
	Dispatch dispatch.Config
	// Send sends an order to a pool's worker and calls back with the answer. It
	// must not block.
	Send func(o dispatch.Order, answer func(a dispatch.OrderCompleted))
	// Logger takes the log lines.
	Logger zerolog.Logger
}
