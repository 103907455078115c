package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxDrained bounds the connections that are accepted from the queue of a listener that
// closes.
const maxDrained = 4096

// A listener accepts the connections in its queue when it closes: the kernel resets
// those that it finds there.
type listener struct {
	*net.TCPListener
	newConnection func(*net.TCPConn) *connection
	// isStopping is true once the listener is to be closed.
	isStopping atomic.Bool
	// drained holds the connections that were in the queue and that Accept has not
	// returned yet. Only Accept uses it.
	drained []*net.TCPConn
	// isClosed is true once Accept has closed the listener. Only Accept uses it.
	isClosed bool
	// ended is closed once Accept has returned all connections.
	ended     chan struct{}
	endOnce   sync.Once
	closeOnce sync.Once
}

func newListener(l *net.TCPListener, newConnection func(*net.TCPConn) *connection) *listener {
	return &listener{
		TCPListener:   l,
		newConnection: newConnection,
		ended:         make(chan struct{}),
	}
}

// listenTCP listens at an address. The connections inherit the sizes of the socket buffers;
// zero for those of the system.
func listenTCP(address string, socketBytes int) (*net.TCPListener, error) {
	cfg := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) (err error) {
			if socketBytes == 0 {
				return nil
			}
			controlErr := raw.Control(func(fd uintptr) {
				err = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes),
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes),
				)
			})
			return errors.Join(controlErr, err)
		},
	}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// Accept returns the next connection. Once the listener is to be closed, it closes it
// and returns net.ErrClosed after the connections that were in the queue.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.isStopping.Load() && !l.isClosed {
			l.isClosed = true
			l.drained = drain(l.TCPListener)
			_ = l.Close()
		}
		if len(l.drained) > 0 {
			conn := l.drained[0]
			l.drained = l.drained[1:]
			return l.newConnection(conn), nil
		}
		if l.isClosed {
			l.endOnce.Do(func() { close(l.ended) })
			return nil, net.ErrClosed
		}
		conn, err := l.AcceptTCP()
		if err == nil {
			return l.newConnection(conn), nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// drain makes the kernel refuse further connections and returns those in the queue. The
// two are system calls that follow each other directly, since a connection that arrives
// between them is reset.
func drain(l *net.TCPListener) (list []*net.TCPConn) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var descriptors []int
	_ = raw.Control(func(fd uintptr) {
		for len(descriptors) < maxDrained {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				break
			}
			descriptors = append(descriptors, accepted)
		}
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	for _, fd := range descriptors {
		file := os.NewFile(uintptr(fd), "connection")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
			list = append(list, tcp)
		}
	}
	return list
}

// Close closes the listener, unless it is closed already.
func (l *listener) Close() (err error) {
	l.closeOnce.Do(func() { err = l.TCPListener.Close() })
	return err
}

// stop closes the listener and waits until Accept has returned the connections in its
// queue, or ctx ends.
func (l *listener) stop(ctx context.Context, now time.Time) error {
	l.isStopping.Store(true)
	if err := l.SetDeadline(now); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ended:
		return nil
	}
}
