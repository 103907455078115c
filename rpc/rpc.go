// Package rpc implements calls between the processes of the system as CBOR
// frames over WebSocket. A Client has one connection at a time and opens a new
// one when the old one no longer responds. A Server runs each call in a
// goroutine of its own.
package rpc

import (
	"context"
	"fmt"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainladder/plantainladder/codec"
)

// MaxFrame is the size in bytes of the largest frame that either side accepts.
const MaxFrame = 8 << 20

// MaxBody is the size in bytes of the largest body of a call. The rest of a frame is for
// what the body is wrapped in, also when it is passed on.
const MaxBody = MaxFrame - 64<<10

const writeTimeout = time.Second

// A RemoteError is an error that the server returned for a call.
type RemoteError struct {
	// Method is the method that was called.
	Method string
	// Detail is the text of the server's error.
	Detail string
}

// Error returns the method and the text of the server's error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s: %s", e.Method, e.Detail)
}

// A NoReplyError reports a call that got no reply.
type NoReplyError struct {
	// Method is the method that was called.
	Method string
	// Sent is false if no server can have run the call: it could not be encoded, no
	// connection came about, the caller gave up before it was written, the server had
	// closed the connection before, or not all of it was written. It is true if the kernel
	// took the whole call, whatever became of the connection.
	Sent bool
	// Cause is the underlying error, such as an expired deadline.
	Cause error
}

// Error returns the method and the cause.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("rpc: %s: no reply: %v", e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error {
	return e.Cause
}

// A frame is one message in either direction. A frame with ID zero is not
// replied to.
type frame struct {
	ID        uint64          `json:"id,omitempty"`
	Method    string          `json:"method,omitempty"`
	Reply     bool            `json:"reply,omitempty"`
	ErrorText string          `json:"fault,omitempty"`
	Body      cbor.RawMessage `json:"body,omitempty"`
}

func writeFrame(ctx context.Context, conn *websocket.Conn, f frame) (n int, err error) {
	b, err := codec.Marshal(f)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return len(b), conn.Write(ctx, websocket.MessageBinary, b)
}

func readFrame(ctx context.Context, conn *websocket.Conn) (f frame, n int, err error) {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return f, 0, err
	}
	f, err = codec.Unmarshal[frame](b)
	return f, len(b), err
}
