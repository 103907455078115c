// Package rpc carries calls between the system's own processes: CBOR frames
// over WebSocket. A Client owns one connection at a time and opens a new one
// when the old one goes silent; a Server answers each call in a goroutine of
// its own.
package rpc

import (
	"context"
	"fmt"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainladder/plantainladder/codec"
)

// MaxFrame is the largest frame in bytes that either side reads.
const MaxFrame = 8 << 20

const writeTimeout = time.Second

// A RemoteError is a fault that the other side reported for a call.
type RemoteError struct {
	// Method is the method that was called.
	Method string
	// Detail is the other side's message.
	Detail string
}

// Error returns the method and the other side's message.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s: %s", e.Method, e.Detail)
}

// An UnreachableError reports a call that got no answer.
type UnreachableError struct {
	// Method is the method that was called.
	Method string
	// Sent is false if no byte of the call can have left this process.
	Sent bool
	// Cause is what was seen, such as a deadline that passed.
	Cause error
}

// Error returns the method and what was seen.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("rpc: %s: no answer: %v", e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// A frame is one message of either direction. A call with ID zero wants no
// answer.
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
