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

// TestBacklogIsDrained: connections waiting in the kernel's accept queue when the listener drains are accepted,
// and then the listener closes.
func TestBacklogIsDrained(t *testing.T) {
	leaks.Check(t)
	t.Run("before it accepts", func(t *testing.T) { testBacklogIsDrained(t, false) })
	t.Run("as it accepts", func(t *testing.T) { testBacklogIsDrained(t, true) })
}

func testBacklogIsDrained(t *testing.T, woken bool) {
	const waiting = 100 // more than are accepted ahead of the event loop
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
	if woken { // like DrainBacklog, just after AcceptLoop has checked whether it is draining
		if err := s.ln.(*net.TCPListener).SetDeadline(time.Unix(1, 0)); err != nil {
			t.Fatal(err)
		}
	} else {
		s.DrainBacklog(time.Now().Add(time.Minute))
	}
	accepted, ended := 0, make(chan struct{})
	go func() {
		defer close(ended)
		s.AcceptLoop(t.Context(), l.core, func(c net.Conn) {
			accepted++
			c.Close()
		})
	}()
	if woken {
		select {
		case <-ended:
			t.Fatal("AcceptLoop ended with connections in the backlog")
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
	if accepted != waiting {
		t.Errorf("%d of %d connections accepted", accepted, waiting)
	}
	if c, err := net.Dial("tcp", s.Addr().String()); err == nil {
		c.Close()
		t.Error("listener still open")
	}
}

// TestDrainBacklogWakesAccept: a listener with an empty accept queue closes at once.
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
	time.Sleep(20 * time.Millisecond) // AcceptLoop is blocked by then; if it is slower, it needs no wake-up
	s.DrainBacklog(time.Now().Add(time.Minute))
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("AcceptLoop still waits for a connection")
	}
}

// TestDrainBacklogHasDeadline: a steady stream of new connections does not keep a listener open past its
// deadline.
func TestDrainBacklogHasDeadline(t *testing.T) {
	leaks.Check(t)
	s := NewListener("test", "127.0.0.1:0")
	if err := s.Listen(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.DrainBacklog(time.Now().Add(-time.Second))
	if s.extendDeadline() {
		t.Error("accepts connections past the deadline")
	}
}

// slowFrontend is a frontend that accepts its last connection after it was told to drain.
type slowFrontend struct {
	draining chan struct{}
	conn     net.Conn
	accepted atomic.Bool
}

func (f *slowFrontend) Listen(context.Context) error { return nil }
func (f *slowFrontend) DrainBacklog(time.Time)       { close(f.draining) }
func (f *slowFrontend) Close() error                 { return nil }
func (f *slowFrontend) Serve(ctx context.Context, d *Core) {
	<-f.draining
	time.Sleep(10 * time.Millisecond) // enough for the event loop to see that no client is left
	d.postAccepted(ctx, f.conn, func(c net.Conn) {
		f.accepted.Store(true)
		c.Close()
	})
}

// TestStopWaitsForTheLastAccept: a gateway without clients does not end while a frontend is still accepting the
// connections in its backlog.
func TestStopWaitsForTheLastAccept(t *testing.T) {
	leaks.Check(t)
	server, client := connectedPair(t)
	f := &slowFrontend{draining: make(chan struct{}), conn: server}
	cfg := SmallConfig(t, longDeadline, nil)
	cfg.Frontends, cfg.DefaultBackend = []Frontend{f}, &fakeBackend{}
	cfg.Tuning.Shutdown.AcceptPeriod = 0
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if !f.accepted.Load() {
		t.Error("accepted connection lost")
	}
	if _, err := io.ReadAll(client); err != nil {
		t.Errorf("the client got %v", err)
	}
}
