// Package replica exchanges messages and snapshots with the other controllers,
// and asks them to add this controller to the group.
package replica

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/plantainladder/plantainladder/consensus"
	"github.com/plantainladder/plantainladder/controller/disk"
	"github.com/plantainladder/plantainladder/formation"
	"github.com/plantainladder/plantainladder/rpc"
	"github.com/plantainladder/plantainladder/util"
	"github.com/plantainladder/plantainladder/wire"
)

const (
	dialTimeout         = 500 * time.Millisecond
	chunkTimeout        = 3 * time.Second
	chunkBytes          = 256 << 10
	queueLength         = 256
	transferQueueLength = 16
)

// A Config holds the settings of Peers.
type Config struct {
	// Token is the cluster's shared secret.
	Token string
	// Source is the IP address to dial from; empty for any.
	Source string
	// Self is the identity of this controller.
	Self string
	// Folder holds the snapshot to send.
	Folder *disk.Folder
	// Logger is the logger of this component.
	Logger zerolog.Logger
	// SnapshotSent is called with the identity of the member once the transfer of a
	// snapshot has ended, whether the snapshot has arrived or not.
	SnapshotSent func(to string)
	// CountBytes is called with the numbers of bytes written and read.
	CountBytes func(written, read int)
}

// Peers sends messages and snapshots to the other controllers. One goroutine owns
// the connections for messages; a second one sends the snapshots.
type Peers struct {
	cfg       Config
	messages  chan outgoingMessage
	transfers chan snapshotTransfer
}

// outgoingMessage is a message on the first group if formation is set.
type outgoingMessage struct {
	address   string
	message   wire.Message
	formation *wire.FormationMessage
}

type snapshotTransfer struct {
	address string
	send    consensus.SendSnapshot
}

// NewPeers returns Peers without connections; Run starts sending.
func NewPeers(cfg Config) *Peers {
	return &Peers{
		cfg:       cfg,
		messages:  make(chan outgoingMessage, queueLength),
		transfers: make(chan snapshotTransfer, transferQueueLength),
	}
}

// QueueMessage queues a message without blocking. It drops the message if the
// queue is full, since replicas repeat messages that stay unanswered.
func (p *Peers) QueueMessage(address, senderAddress string, m consensus.Message) {
	select {
	case p.messages <- outgoingMessage{
		address: address,
		message: wire.FromMessage(m, senderAddress),
	}:
	default:
	}
}

// QueueFormation queues a message on the first group like QueueMessage.
func (p *Peers) QueueFormation(address string, m formation.Message) {
	encoded, err := wire.FromFormation(m)
	if err != nil {
		p.cfg.Logger.Error().Err(err).Msg("Encoding a message on the first group failed.")
		return
	}
	select {
	case p.messages <- outgoingMessage{
		address:   address,
		formation: &encoded,
	}:
	default:
	}
}

// QueueSnapshot queues a transfer of the latest snapshot without blocking. It
// drops the transfer if the queue is full.
func (p *Peers) QueueSnapshot(address string, s consensus.SendSnapshot) {
	select {
	case p.transfers <- snapshotTransfer{
		address: address,
		send:    s,
	}:
	default:
	}
}

// Run sends queued messages and snapshots until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	go p.runTransfers(ctx)
	clients := rpc.NewPool(p.cfg.clientConfig())
	defer clients.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.messages:
			if m.address == "" {
				continue
			}
			if m.formation != nil {
				rpc.Send(clients.Get(m.address), wire.MethodFormation, *m.formation)
				continue
			}
			rpc.Send(clients.Get(m.address), wire.MethodMessage, m.message)
		}
	}
}

func (cfg Config) clientConfig() rpc.ClientConfig {
	return rpc.ClientConfig{
		Token:       cfg.Token,
		Source:      cfg.Source,
		DialTimeout: dialTimeout,
		QueueLength: queueLength,
		CountBytes:  cfg.CountBytes,
	}
}

func (p *Peers) runTransfers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.transfers:
			if err := p.sendSnapshot(ctx, t); err != nil {
				p.cfg.Logger.Warn().Err(err).Str("to", t.address).Msg("Sending a snapshot to a controller failed.")
			}
			p.cfg.SnapshotSent(t.send.To)
		}
	}
}

func (p *Peers) sendSnapshot(ctx context.Context, t snapshotTransfer) (err error) {
	defer util.Annotate(&err, "replica: send snapshot")
	file, err := p.cfg.Folder.OpenSnapshot()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	c := rpc.NewClient(p.cfg.clientConfig().WithAddress(t.address))
	defer c.Close()
	isLast := false
	for offset := int64(0); !isLast; {
		var n int
		if n, isLast, err = p.sendChunk(ctx, c, file, offset, t.send); err != nil {
			return err
		}
		offset += int64(n)
	}
	return nil
}

func (p *Peers) sendChunk(ctx context.Context, c *rpc.Client, file *os.File, offset int64, s consensus.SendSnapshot) (n int, isLast bool, err error) {
	chunk, isLast, err := p.cfg.Folder.ReadSnapshotChunk(file, offset, chunkBytes)
	if err != nil {
		return 0, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	_, err = rpc.Call[wire.SnapshotChunk, wire.Empty](ctx, c, wire.MethodSnapshot, wire.SnapshotChunk{
		From:   p.cfg.Self,
		Group:  s.Group,
		Term:   s.Term,
		Offset: offset,
		Data:   chunk,
		Last:   isLast,
	})
	return len(chunk), isLast, err
}
