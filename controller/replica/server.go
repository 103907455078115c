package replica

import (
	"context"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/control"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/wire"
)

// A ServerConfig holds the dependencies of the methods that other controllers
// call.
type ServerConfig struct {
	// Post queues an event for the event loop.
	Post func(ctx context.Context, e control.Event) error
	// Folder stores the chunks of received snapshots.
	Folder *disk.Folder
}

// Register registers the methods for messages and snapshots with s.
func Register(s *rpc.Server, cfg ServerConfig) {
	rpc.Handle(s, wire.MethodMessage, func(ctx context.Context, m wire.Message) (wire.Empty, error) {
		message, ok := m.ToMessage()
		if !ok {
			return wire.Empty{}, nil
		}
		return wire.Empty{}, cfg.Post(ctx, control.PeerMessageReceived{
			Message:       message,
			SenderAddress: m.SenderAddress,
		})
	})
	rpc.Handle(s, wire.MethodFormation, func(ctx context.Context, m wire.FormationMessage) (wire.Empty, error) {
		message, err := m.ToFormation()
		if err != nil {
			return wire.Empty{}, err
		}
		return wire.Empty{}, cfg.Post(ctx, control.FormationReceived{
			Message: message,
		})
	})
	rpc.Handle(s, wire.MethodSnapshot, cfg.receiveChunk)
}

// receiveChunk stores a chunk of a snapshot. After the last chunk, it verifies
// the snapshot, decodes it and posts it to the event loop.
func (cfg ServerConfig) receiveChunk(ctx context.Context, c wire.SnapshotChunk) (wire.Empty, error) {
	if err := cfg.Folder.WriteSnapshotChunk(c.Offset, c.Data); err != nil || !c.Last {
		return wire.Empty{}, err
	}
	s, err := cfg.Folder.LoadReceivedSnapshot()
	if err != nil {
		return wire.Empty{}, err
	}
	state, err := wire.UnmarshalState(s.State)
	if err != nil {
		return wire.Empty{}, err
	}
	return wire.Empty{}, cfg.Post(ctx, control.SnapshotReceived{
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
