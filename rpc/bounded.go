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

// A heldFrame is a whole frame and its charge.
type heldFrame struct {
	frame
	// size is its number of bytes.
	size     int
	progress intake.Progress
	charge   *intake.Charge
}

// readBoundedFrame reads a frame as readFrame does, and charges a budget as it arrives. The
// connection of a frame that makes room for another one is closed. The caller must release the
// charge of a frame that is returned without an error.
func readBoundedFrame(ctx context.Context, conn *websocket.Conn, frames *intake.Budget) (h heldFrame, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, r, err := conn.Reader(ctx)
	if err != nil {
		return h, err
	}
	p := intake.NewProgress(time.Now())
	charged := &chargedReader{
		Reader:   r,
		charge:   frames.Open(p, cancel),
		progress: p,
	}
	defer func() {
		if err != nil {
			charged.charge.Release()
		}
	}()
	b, err := io.ReadAll(charged)
	if err != nil {
		return h, err
	}
	if !charged.charge.Complete() {
		return h, errNoRoom
	}
	f, err := codec.Unmarshal[frame](b)
	return heldFrame{
		frame:    f,
		size:     len(b),
		progress: charged.progress,
		charge:   charged.charge,
	}, err
}

// moveTo charges another budget for a frame until its call is answered, and releases the charge
// of its arrival. It returns false if the frame does not fit there.
func (h heldFrame) moveTo(calls *intake.Budget) (charge *intake.Charge, ok bool) {
	defer h.charge.Release()
	charge = calls.Open(h.progress, func() {})
	// A call that waits is not given up for another one, since it may have had effects.
	charge.Complete()
	if !charge.Grow(h.progress, time.Now()) {
		charge.Release()
		return nil, false
	}
	return charge, true
}
