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
	acceptRetryDelay   = 10 * time.Millisecond // after an accept that failed, as when descriptors are short
	backlogIdleTimeout = 5 * time.Millisecond  // a listener that finishes closes when no connection has come for so long
)

// Listener is a front's socket, for fronts to embed.
type Listener struct {
	name  string // in errors
	addr  string
	ln    net.Listener
	ready chan struct{} // closed when ln is there
	// drainDeadline is when it closes at the latest, in nanoseconds of Unix time; 0: it does not drainDeadline yet.
	drainDeadline *atomic.Int64
}

// NewListener makes one that does not listen yet. The name stands in its errors.
func NewListener(name, addr string) Listener {
	return Listener{name: name, addr: addr, ready: make(chan struct{}), drainDeadline: &atomic.Int64{}}
}

// UseSocket has it use a socket that listens already.
func (l *Listener) UseSocket(ln net.Listener) { l.ln = ln }

// Listen opens it, unless it was given.
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

// Addr is where it listens. It waits until it does.
func (l *Listener) Addr() net.Addr {
	<-l.ready
	return l.ln.Addr()
}

// AcceptLoop takes connections until the listener is closed or has finished, or the context ends, and lets the loop call take for each.
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
			if draining { // no connection waits
				l.Close()
				return
			}
		default:
			core.l.acceptFailures.warn("accepting a connection", err)
			sleep(ctx, acceptRetryDelay) // out of descriptors: some may be free then
		}
	}
}

// extendDeadline gives a listener that finishes the time for one more connection. It reports false if its time is over.
func (l *Listener) extendDeadline() bool {
	now := time.Now()
	timed, ok := l.ln.(interface{ SetDeadline(time.Time) error })
	return ok && now.UnixNano() < l.drainDeadline.Load() && timed.SetDeadline(now.Add(backlogIdleTimeout)) == nil
}

// DrainBacklog has Accept take the connections that the kernel has accepted and that wait, until that time at most, and close the listener. Closing
// it with some of them in its queue would reset them, and with them the requests that their clients have sent.
func (l *Listener) DrainBacklog(by time.Time) {
	l.drainDeadline.Store(by.UnixNano())
	timed, ok := l.ln.(interface{ SetDeadline(time.Time) error })
	if !ok || timed.SetDeadline(time.Unix(1, 0)) != nil { // wakes Accept
		l.Close()
	}
}

// Close ends it. One that is closed already stays so.
func (l *Listener) Close() error {
	if err := l.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	return nil
}
