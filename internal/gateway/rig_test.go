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
	patience = 20 * time.Second // for what must come; no test waits for it to pass
	long     = 30 * time.Second // an aim that no test reaches
)

// backend is a server under a test's control: it hands over each command with its connection.
type backend struct {
	addr string
	got  chan exchange
}

type exchange struct {
	conn net.Conn
	args []string
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	b := &backend{got: make(chan exchange, 64)}
	s, err := testbed.NewScriptedNode(func(conn net.Conn, args []string) { b.got <- exchange{conn, args} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closed := make(chan struct{})
		go func() { // some may wait to hand over what no test took
			for {
				select {
				case <-b.got:
				case <-closed:
					return
				}
			}
		}()
		s.Close()
		close(closed) // b.got stays open: a test's own reader would spin on it
	})
	b.addr = s.Addr()
	return b
}

func (b *backend) next(t *testing.T) exchange {
	t.Helper()
	select {
	case x := <-b.got:
		return x
	case <-time.After(patience):
		t.Fatal("nothing came to the server")
		panic("unreachable")
	}
}

func (x exchange) answer(t *testing.T, reply string) {
	t.Helper()
	if _, err := io.WriteString(x.conn, reply); err != nil {
		t.Error(err)
	}
}

// registry is discovery under a test's control.
type registry struct {
	*testbed.Discovery
	calls chan string
}

// newRegistry starts discovery with a list and tells its address.
func newRegistry(t *testing.T, list gateway.ServerList) (*registry, netip.AddrPort) {
	t.Helper()
	d, err := testbed.NewDiscovery(list.Version, list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return &registry{d, d.Queries}, d.Addr()
}

func (r *registry) set(list gateway.ServerList) {
	if err := r.Set(list.Version, list); err != nil {
		panic(err)
	}
}

func entries(state string, backends ...*backend) []gateway.ServerEntry {
	var all []gateway.ServerEntry
	for i, b := range backends {
		all = append(all, gateway.ServerEntry{ID: fmt.Sprintf("s-%d", i), Addr: b.addr, Zone: "a", Cell: i, State: state, Weight: 1})
	}
	return all
}

// rig is a gateway at work.
type rig struct {
	addr  string
	reg   *registry
	moves chan gateway.Reload
	stop  context.CancelFunc
	done  chan error
}

func newRig(t *testing.T, aim time.Duration, backends ...*backend) *rig {
	t.Helper()
	return startRig(t, gateway.SmallConfig(t, aim, entries("up", backends...)))
}

// startRig starts a gateway with a configuration, but for its discovery.
func startRig(t *testing.T, cfg gateway.Config) *rig {
	t.Helper()
	r := &rig{moves: make(chan gateway.Reload), done: make(chan error, 1)}
	r.reg, cfg.Discovery = newRegistry(t, cfg.KnownServers)
	front := resp.NewFrontend(netip.MustParseAddrPort("127.0.0.1:0"))
	cfg.Frontends, cfg.DefaultBackend = []gateway.Frontend{front}, resp.Backend{}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- gateway.Run(ctx, cfg, r.moves, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(cancel)
	r.addr = front.Addr().String()
	return r
}

// caller is a client's connection.
type caller struct {
	*testbed.Client
	t    *testing.T
	conn net.Conn
}

func (r *rig) dial(t *testing.T) *caller {
	t.Helper()
	c, err := testbed.Dial(r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return &caller{c, t, c.Conn}
}

func (c *caller) send(words ...string) {
	c.t.Helper()
	if err := c.Send(words...); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) raw(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, s); err != nil {
		c.t.Fatal(err)
	}
}

// read returns a whole answer: a line, or the value of a bulk string after a '$'.
func (c *caller) read() string {
	c.t.Helper()
	got, err := c.Read()
	if err != nil {
		return err.Error()
	}
	return got
}

func (c *caller) want(answer string) {
	c.t.Helper()
	if got := c.read(); got != answer {
		c.t.Fatalf("got answer %q, want %q", got, answer)
	}
}

const customer = "00000000b4d65521"

func (c *caller) look(id string) {
	c.send("Q.ASK", customer, id, "c=look,t=p,d=30000,units=1,spread=2,first=0")
}

func (c *caller) book(id string) {
	c.send("Q.DO", customer, id, "c=book,t=p,d=30000,k=77,units=1,spread=2,first=0", "BODY")
}

func served(value string) string { return testbed.FormatReply(value) }
