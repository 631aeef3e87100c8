package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"sloepick/internal/gateway"
	"sloepick/internal/resp"
	"sloepick/internal/testbed"
)

const (
	testTimeout  = 20 * time.Second // for what must happen; no test waits this long
	longDeadline = 30 * time.Second // a deadline that no test reaches
)

// fakeServer is a server controlled by the test: it passes on each command with its connection.
type fakeServer struct {
	addr     string
	commands chan received
}

type received struct {
	conn net.Conn
	args []string
}

func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	b := &fakeServer{commands: make(chan received, 64)}
	s, err := testbed.NewScriptedNode(func(conn net.Conn, args []string) { b.commands <- received{conn, args} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closed := make(chan struct{})
		go func() { // some handlers may be blocked on commands that no test has received
			for {
				select {
				case <-b.commands:
				case <-closed:
					return
				}
			}
		}()
		s.Close()
		close(closed) // commands stays open, because a test's own reader would spin on a closed channel
	})
	b.addr = s.Addr()
	return b
}

func (b *fakeServer) next(t *testing.T) received {
	t.Helper()
	select {
	case x := <-b.commands:
		return x
	case <-time.After(testTimeout):
		t.Fatal("no command received by the server")
		panic("unreachable")
	}
}

func (x received) answer(t *testing.T, reply string) {
	t.Helper()
	if _, err := io.WriteString(x.conn, reply); err != nil {
		t.Error(err)
	}
}

// fakeDiscovery is a discovery service controlled by the test.
type fakeDiscovery struct {
	*testbed.Discovery
	calls chan string
}

// newFakeDiscovery starts a discovery service with a list and returns it with its address.
func newFakeDiscovery(t *testing.T, list gateway.ServerList) (*fakeDiscovery, netip.AddrPort) {
	t.Helper()
	d, err := testbed.NewDiscovery(list.Version, list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return &fakeDiscovery{d, d.Queries}, d.Addr()
}

func (r *fakeDiscovery) set(list gateway.ServerList) {
	if err := r.Set(list.Version, list); err != nil {
		panic(err)
	}
}

func entries(state string, backends ...*fakeServer) []gateway.ServerEntry {
	var all []gateway.ServerEntry
	for i, b := range backends {
		all = append(all, gateway.ServerEntry{ID: fmt.Sprintf("s-%d", i), Addr: b.addr, Zone: "a", Cell: i, State: state, Weight: 1})
	}
	return all
}

// testGateway is a running gateway.
type testGateway struct {
	addr      string
	discovery *fakeDiscovery
	reloads   chan gateway.Reload
	stop      context.CancelFunc
	done      chan error
}

func newTestGateway(t *testing.T, aim time.Duration, backends ...*fakeServer) *testGateway {
	t.Helper()
	return startTestGateway(t, gateway.SmallConfig(t, aim, entries("up", backends...)))
}

// startTestGateway starts a gateway with a configuration, in which it sets the discovery address.
func startTestGateway(t *testing.T, cfg gateway.Config) *testGateway {
	t.Helper()
	r := &testGateway{reloads: make(chan gateway.Reload), done: make(chan error, 1)}
	r.discovery, cfg.Discovery = newFakeDiscovery(t, cfg.KnownServers)
	front := resp.NewFrontend(netip.MustParseAddrPort("127.0.0.1:0"))
	cfg.Frontends, cfg.DefaultBackend = []gateway.Frontend{front}, resp.Backend{}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- gateway.Run(ctx, cfg, r.reloads, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(cancel)
	r.addr = front.Addr().String()
	return r
}

// testClient is a client's connection.
type testClient struct {
	*testbed.Client
	t    *testing.T
	conn net.Conn
}

func (r *testGateway) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := testbed.Dial(r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testClient{c, t, c.Conn}
}

func (c *testClient) send(words ...string) {
	c.t.Helper()
	if err := c.Send(words...); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testClient) raw(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, s); err != nil {
		c.t.Fatal(err)
	}
}

// read returns a whole response: a line, or the value of a bulk string after a '$'.
func (c *testClient) read() string {
	c.t.Helper()
	got, err := c.Read()
	if err != nil {
		return err.Error()
	}
	return got
}

func (c *testClient) want(answer string) {
	c.t.Helper()
	if got := c.read(); got != answer {
		c.t.Fatalf("got answer %q, want %q", got, answer)
	}
}

const customer = "00000000b4d65521"

func (c *testClient) sendSafe(id string) {
	c.send("Q.ASK", customer, id, "c=look,t=p,d=30000,units=1,spread=2,first=0")
}

func (c *testClient) sendKeyed(id string) {
	c.send("Q.DO", customer, id, "c=book,t=p,d=30000,k=77,units=1,spread=2,first=0", "BODY")
}

func served(value string) string { return testbed.FormatReply(value) }
