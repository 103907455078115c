package replica

import (
	"context"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// A ServerConfig describes the methods that answer the other controllers.
type ServerConfig struct {
	// Post queues an event of the control state.
	Post func(ctx context.Context, e control.Event) error
	// Folder takes the snapshots that arrive.
	Folder *disk.Folder
}

// Register registers the methods with s.
func Register(s *rpc.Server, cfg ServerConfig) {
	rpc.Handle(s, wire.MethodLetter, func(ctx context.Context, l wire.Letter) (wire.Nothing, error) {
		letter, ok := l.ToLetter()
		if !ok {
			return wire.Nothing{}, nil
		}
		return wire.Nothing{}, cfg.Post(ctx, control.PeerMessageReceived{
			Message:       letter,
			SenderAddress: l.ReturnTo,
		})
	})
	rpc.Handle(s, wire.MethodSnapshot, cfg.takeChunk)
}

// takeChunk keeps a part of a snapshot; with the last part it hands the whole
// to the control state.
func (cfg ServerConfig) takeChunk(ctx context.Context, c wire.SnapshotChunk) (wire.Nothing, error) {
	if err := cfg.Folder.WriteSnapshotChunk(c.Offset, c.Data); err != nil || !c.Last {
		return wire.Nothing{}, err
	}
	s, err := cfg.Folder.LoadReceivedSnapshot()
	if err != nil {
		return wire.Nothing{}, err
	}
	state, err := wire.UnmarshalState(s.State)
	if err != nil {
		return wire.Nothing{}, err
	}
	return wire.Nothing{}, cfg.Post(ctx, control.SnapshotReceived{
		Message: consensus.Message{
			From:  c.From,
			Group: c.Group,
			Term:  c.Term,
		},
		Meta:    s.Meta,
		State:   state,
		Encoded: s.State,
	})
}
