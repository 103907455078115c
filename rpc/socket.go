package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/coder/websocket"
)

// A socket is a network connection that counts the bytes that the kernel has taken.
type socket struct {
	net.Conn
	taken atomic.Int64
}

// Write writes b and counts what was taken of it.
func (s *socket) Write(b []byte) (n int, err error) {
	n, err = s.Conn.Write(b)
	s.taken.Add(int64(n))
	return n, err
}

// isClosedByPeer reports whether the peer has closed the connection or reset it, as far as
// the kernel knows. A server closes both directions at once, so it reads nothing that is
// written afterwards.
func (s *socket) isClosedByPeer() bool {
	conn, ok := s.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isClosed := false
	// Control does not wait for the goroutine that reads, as Read would.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isClosed = isEndOfStream(n, err)
	})
	return err == nil && isClosed
}

// isEndOfStream reports whether the result of reading without waiting shows that the peer
// sends and reads nothing any more.
func isEndOfStream(n int, err error) bool {
	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isIncomplete reports whether a frame of the given size, whose writing failed, has not
// reached the kernel as a whole. A server drops the beginning of a frame. Pings that were
// written meanwhile count as taken, so that a frame that may be whole is never taken for
// incomplete.
func isIncomplete(frameSize int, taken int64) bool {
	return taken < int64(frameSize)
}

// dialSocket opens a WebSocket connection and returns the connection below it, which is
// nil if it is not known.
func (c *Client) dialSocket(ctx context.Context) (conn *websocket.Conn, below *socket, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			below, _ = info.Conn.(*socket)
		},
	})
	conn, _, err = websocket.Dial(ctx, c.cfg.URL, &websocket.DialOptions{
		HTTPClient: c.http,
		HTTPHeader: http.Header{
			"Authorization": {"Bearer " + c.cfg.Token},
		},
	})
	return conn, below, err
}

// counted returns a dial function whose connections are sockets.
func counted(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &socket{
			Conn: conn,
		}, nil
	}
}
