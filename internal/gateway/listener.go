package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	acceptRetryDelay   = 10 * time.Millisecond // after a failed accept, for example when descriptors are exhausted
	backlogIdleTimeout = 5 * time.Millisecond  // a draining listener closes when no connection arrives for this long
)

// Listener is a TCP listener, for embedding in frontends.
type Listener struct {
	name  string // for error messages
	addr  string
	ln    net.Listener
	ready chan struct{} // closed when ln is set
	// Deadline for draining the backlog, in nanoseconds of Unix time; 0: not draining.
	drainDeadline *atomic.Int64
}

// NewListener creates a listener that is not open yet. The name is for error messages.
func NewListener(name, addr string) Listener {
	return Listener{name: name, addr: addr, ready: make(chan struct{}), drainDeadline: &atomic.Int64{}}
}

// UseSocket sets a socket that is already listening.
func (l *Listener) UseSocket(ln net.Listener) { l.ln = ln }

// Listen opens the listener, unless UseSocket has set a socket.
func (l *Listener) Listen(ctx context.Context) (err error) {
	if l.ln != nil {
		close(l.ready)
		return nil
	}
	var lc net.ListenConfig
	if l.ln, err = lc.Listen(ctx, "tcp", l.addr); err != nil {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	close(l.ready)
	return nil
}

// Addr returns the address of the listener. It blocks until Listen has been called.
func (l *Listener) Addr() net.Addr {
	<-l.ready
	return l.ln.Addr()
}

// AcceptLoop accepts connections until the listener is closed or drained, or the context ends, and calls take
// with each of them on the event loop.
func (l *Listener) AcceptLoop(ctx context.Context, core *Core, take func(net.Conn)) {
	for {
		draining := l.drainDeadline.Load() != 0
		if draining && !l.extendDeadline() {
			l.Close()
			return
		}
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			if !core.postAccepted(ctx, conn, take) {
				return
			}
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if draining { // the backlog is empty
				l.Close()
				return
			}
		default:
			core.l.acceptFailures.warn("accepting a connection failed", err)
			sleep(ctx, acceptRetryDelay) // descriptors may have been exhausted; some may be free by then
		}
	}
}

// extendDeadline gives a draining listener the time to accept one more connection. It reports false if the time
// for draining is over.
func (l *Listener) extendDeadline() bool {
	now := time.Now()
	timed, ok := l.ln.(interface{ SetDeadline(time.Time) error })
	return ok && now.UnixNano() < l.drainDeadline.Load() && timed.SetDeadline(now.Add(backlogIdleTimeout)) == nil
}

// DrainBacklog makes AcceptLoop accept the connections that are waiting in the kernel's accept queue, until the
// deadline at most, and then close the listener. Closing it with connections in the queue would reset these and
// lose the requests that their clients have already sent.
func (l *Listener) DrainBacklog(by time.Time) {
	l.drainDeadline.Store(by.UnixNano())
	timed, ok := l.ln.(interface{ SetDeadline(time.Time) error })
	if !ok || timed.SetDeadline(time.Unix(1, 0)) != nil { // wakes AcceptLoop
		l.Close()
	}
}

// Close closes the listener. It may be called repeatedly.
func (l *Listener) Close() error {
	if err := l.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	return nil
}
