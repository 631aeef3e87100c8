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
func (s *Listener) UseSocket(ln net.Listener) { s.ln = ln }

// Listen opens it, unless it was given.
func (s *Listener) Listen(ctx context.Context) (err error) {
	if s.ln != nil {
		close(s.ready)
		return nil
	}
	var lc net.ListenConfig
	if s.ln, err = lc.Listen(ctx, "tcp", s.addr); err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	close(s.ready)
	return nil
}

// Addr is where it listens. It waits until it does.
func (s *Listener) Addr() net.Addr {
	<-s.ready
	return s.ln.Addr()
}

// AcceptLoop takes connections until the listener is closed or has finished, or the context ends, and lets the loop call take for each.
func (s *Listener) AcceptLoop(ctx context.Context, core *Core, take func(net.Conn)) {
	for {
		finishing := s.drainDeadline.Load() != 0
		if finishing && !s.extendDeadline() {
			s.Close()
			return
		}
		conn, err := s.ln.Accept()
		switch {
		case err == nil:
			if !core.postAccepted(ctx, conn, take) {
				return
			}
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if finishing { // no connection waits
				s.Close()
				return
			}
		default:
			core.l.acceptFailures.warn("accepting a connection", err)
			sleep(ctx, acceptRetryDelay) // out of descriptors: some may be free then
		}
	}
}

// extendDeadline gives a listener that finishes the time for one more connection. It reports false if its time is over.
func (s *Listener) extendDeadline() bool {
	now := time.Now()
	timed, ok := s.ln.(interface{ SetDeadline(time.Time) error })
	return ok && now.UnixNano() < s.drainDeadline.Load() && timed.SetDeadline(now.Add(backlogIdleTimeout)) == nil
}

// DrainBacklog has Accept take the connections that the kernel has accepted and that wait, until that time at most, and close the listener. Closing
// it with some of them in its queue would reset them, and with them the requests that their clients have sent.
func (s *Listener) DrainBacklog(by time.Time) {
	s.drainDeadline.Store(by.UnixNano())
	timed, ok := s.ln.(interface{ SetDeadline(time.Time) error })
	if !ok || timed.SetDeadline(time.Unix(1, 0)) != nil { // wakes Accept
		s.Close()
	}
}

// Close ends it. One that is closed already stays so.
func (s *Listener) Close() error {
	if err := s.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	return nil
}
