package rpc

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/coder/websocket"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/intake"
)

// errNoRoom is the error of a frame that does not fit into the budget.
var errNoRoom = errors.New("rpc: no room for a frame")

// A chargedReader charges a budget for what it reads.
type chargedReader struct {
	io.Reader
	charge   *intake.Charge
	progress intake.Progress
}

// Read reads from the reader. It returns errNoRoom if what it has read does not fit.
func (r *chargedReader) Read(b []byte) (n int, err error) {
	n, err = r.Reader.Read(b)
	if n > 0 {
		now := time.Now()
		r.progress = r.progress.WithBytes(n, now)
		if !r.charge.Grow(r.progress, now) {
			return 0, errNoRoom
		}
	}
	return n, err
}

// readBoundedFrame reads a frame as readFrame does, and charges a budget until the frame is
// complete. The connection of a frame that makes room for another one is closed.
func readBoundedFrame(ctx context.Context, conn *websocket.Conn, frames *intake.Budget) (f frame, n int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, r, err := conn.Reader(ctx)
	if err != nil {
		return f, 0, err
	}
	p := intake.NewProgress(time.Now())
	charged := &chargedReader{
		Reader:   r,
		charge:   frames.Open(p, cancel),
		progress: p,
	}
	defer charged.charge.Release()
	b, err := io.ReadAll(charged)
	if err != nil {
		return f, 0, err
	}
	f, err = codec.Unmarshal[frame](b)
	return f, len(b), err
}
