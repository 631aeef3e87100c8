package h2

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
)

// TestRequestCrossesIdleClose sends a request while the gateway closes the connection because it was idle for too long. The client
// reads a GOAWAY with the last accepted stream and a regular end of the connection, not a TCP reset. The request reaches no node,
// so the client can send it again.
func TestRequestCrossesIdleClose(t *testing.T) {
	r := newHarness(t, testPlatform(), func(cfg *gateway.Config, _ *FrontendConfig) {
		cfg.Tuning.Clients.IdleTimeout, cfg.Tuning.Clients.ProtocolErrorTimeout = 50*time.Millisecond, testTimeout
	})
	c := r.dial(nil)
	first := r.send(c, lookup("one"))
	if a := r.readResponse(c); a.Stream != first || a.Status != 200 {
		t.Fatalf("got %+v", a)
	}
	goAway := r.readResponse(c)
	if !goAway.GoAway || goAway.LastStream != first {
		t.Fatalf("got %+v", goAway)
	}
	r.send(c, lookup("two")) // the gateway has closed its side, the client has not seen it
	if a, err := c.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("got %+v, %v, want EOF", a, err)
	}
	if err := socketError(t, c); err != 0 {
		t.Errorf("the connection was reset: %v", err)
	}
	c.Close()
	if n := len(r.site.Recorder.Arrivals()); n != 1 {
		t.Errorf("%d requests arrived at the nodes", n)
	}
}

// socketError returns the kernel's pending error (SO_ERROR) of a connection after its end was read.
func socketError(t *testing.T, c *testbed.H2Client) syscall.Errno {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	code := 0
	if opErr := raw.Control(func(fd uintptr) { code, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); opErr != nil || err != nil {
		t.Fatal(opErr, err)
	}
	return syscall.Errno(code)
}

// TestNoAttemptAfterStreamReset resets a stream while an attempt is open, and then closes the attempt's node. The request must
// not be attempted again.
func TestNoAttemptAfterStreamReset(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	release := r.holdResponses()
	c := r.dial(nil)
	stream := r.send(c, lookup("one"))
	r.waitArrivals(1)
	if err := c.Framer.WriteRSTStream(stream, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	r.waitProcessed(c)
	nodeID := r.site.Recorder.Arrivals()[0].Node
	for _, n := range r.site.Nodes {
		if n.ID() == nodeID {
			go n.Close() // Close waits for the requests in progress
		}
	}
	time.Sleep(20 * time.Millisecond) // lets the node's connections close; if that takes longer, the test checks less
	release()
	if a := r.roundTrip(c, lookup("two")); a.Status != 200 {
		t.Errorf("got %+v", a)
	}
	for _, a := range r.site.Recorder.Arrivals()[1:] {
		if a.ID == "one" {
			t.Errorf("it arrived at %s too", a.Node)
		}
	}
}
