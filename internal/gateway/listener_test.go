package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"sloepick/internal/testbed/leaks"
)

// TestBacklogIsDrained: connections that the kernel has accepted, and that wait in the listener's queue when it finishes, are
// taken; then the listener closes.
func TestBacklogIsDrained(t *testing.T) {
	leaks.Check(t)
	t.Run("before it accepts", func(t *testing.T) { testBacklogIsDrained(t, false) })
	t.Run("as it accepts", func(t *testing.T) { testBacklogIsDrained(t, true) })
}

func testBacklogIsDrained(t *testing.T, woken bool) {
	const waiting = 100 // more than are taken ahead of the loop
	l, _ := newTestLoop(t, 0)
	s := NewListener("test", "127.0.0.1:0")
	if err := s.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for range waiting {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if woken { // as by Finish, in the moment after Accept has looked whether to finish
		if err := s.ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
	} else {
		s.DrainBacklog(time.Now().Add(time.Minute))
	}
	taken, ended := 0, make(chan struct{})
	go func() {
		defer close(ended)
		s.AcceptLoop(t.Context(), l.core, func(c net.Conn) {
			taken++
			c.Close()
		})
	}()
	if woken {
		select {
		case <-ended:
			t.Fatal("it ended with connections in its queue")
		case <-time.After(20 * time.Millisecond):
		}
		s.DrainBacklog(time.Now().Add(time.Minute))
	}
	for going := true; going; {
		select {
		case <-l.inbox.ready:
		case <-ended:
			going = false
		}
		l.runPosted()
	}
	if taken != waiting {
		t.Errorf("%d of %d connections were taken", taken, waiting)
	}
	if c, err := net.Dial("tcp", s.Addr().String()); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// TestDrainBacklogWakesAccept: a listener at which nobody waits closes at once.
func TestDrainBacklogWakesAccept(t *testing.T) {
	leaks.Check(t)
	l, _ := newTestLoop(t, 0)
	s := NewListener("test", "127.0.0.1:0")
	if err := s.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.AcceptLoop(t.Context(), l.core, func(net.Conn) {})
	}()
	time.Sleep(20 * time.Millisecond) // it waits by then; if it comes later, it has nothing to wake from
	s.DrainBacklog(time.Now().Add(time.Minute))
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("it waits for a connection")
	}
}

// TestDrainBacklogHasDeadline: connections that come without end don't keep a listener open past its time.
func TestDrainBacklogHasDeadline(t *testing.T) {
	leaks.Check(t)
	s := NewListener("test", "127.0.0.1:0")
	if err := s.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.DrainBacklog(time.Now().Add(-time.Second))
	if s.extendDeadline() {
		t.Error("it goes on")
	}
}

// slowFrontend is a front that takes its last connection once it is told to finish.
type slowFrontend struct {
	finish chan struct{}
	conn   net.Conn
	taken  atomic.Bool
}

func (f *slowFrontend) Listen(context.Context) error { return nil }
func (f *slowFrontend) DrainBacklog(time.Time)       { close(f.finish) }
func (f *slowFrontend) Close() error                 { return nil }
func (f *slowFrontend) Serve(ctx context.Context, d *Core) {
	<-f.finish
	time.Sleep(10 * time.Millisecond) // as long as the loop takes to see that no client is left
	d.postAccepted(ctx, f.conn, func(c net.Conn) {
		f.taken.Store(true)
		c.Close()
	})
}

// TestStopWaitsForTheLastAccept: a gateway without clients does not end while a front still takes what waits at its listener.
func TestStopWaitsForTheLastAccept(t *testing.T) {
	leaks.Check(t)
	near, far := connectedPair(t)
	f := &slowFrontend{finish: make(chan struct{}), conn: near}
	cfg := SmallConfig(t, longDeadline, nil)
	cfg.Frontends, cfg.DefaultBackend = []Frontend{f}, &fakeBackend{}
	cfg.Tuning.Stop.Accept = 0
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if !f.taken.Load() {
		t.Error("a connection that was accepted is lost")
	}
	if _, err := io.ReadAll(far); err != nil {
		t.Errorf("the client got %v", err)
	}
}
