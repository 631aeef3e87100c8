package resp

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/decide"
	"sloepick/internal/gateway"
	"sloepick/internal/settings"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/leaks"
	"sloepick/internal/tuning"
)

const (
	patience = 20 * time.Second // for what must come; no test waits for it to pass
	long     = 30 * time.Second // an aim that no test reaches
	customer = "00000000b4d65521"
	list     = "c=look,t=p,d=30000,units=1,spread=2,first=0"
)

// hand is a clock that a test moves.
type hand struct{ now atomic.Int64 }

func (h *hand) Now() time.Duration { return time.Duration(h.now.Load()) }

// held is a back whose connections the test brings: attempts wait for them in the order in which they went out.
type held struct {
	nodes []*heldNode
	tries []*gateway.Attempt
}

type heldNode struct {
	*node
	h *held
}

func (h *held) NewTransport(d *gateway.Core, p *gateway.Endpoint) gateway.Transport {
	n := &heldNode{Backend{}.NewTransport(d, p).(*node), h}
	h.nodes = append(h.nodes, n)
	return n
}

func (n *heldNode) Start(t *gateway.Attempt) {
	if c := n.rested(); c != nil && c.write(t) {
		return
	}
	if !n.place.ReserveConn() {
		t.Fail(gateway.NoLocalCapacity)
		return
	}
	n.h.tries = append(n.h.tries, t)
}

// bench is a core with one server, stepped by a test.
type bench struct {
	t *testing.T
	*gateway.Stepper
	clock *hand
	held  *held
	tune  tuning.Tuning
	ends  []decide.Outcome // of attempts
}

func newBench(t *testing.T, aim time.Duration) *bench {
	t.Helper()
	leaks.Check(t)
	set, err := settings.Parse(testbed.MinimalSettings(aim))
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, clock: &hand{}, held: &held{}, tune: tuning.Default()}
	b.clock.now.Store(int64(time.Hour))
	cfg := gateway.Config{Name: "n0", Cores: 1, MemoryMB: 64, Sockets: 256, Settings: set, Seed: 1, DefaultBackend: b.held, KnownServers: server("up")}
	if b.Stepper, err = gateway.NewStepper(cfg, b.clock, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.end)
	b.Observe(func(e decide.Event, _ []decide.Action) {
		if e, ok := e.(decide.AttemptEnded); ok {
			b.ends = append(b.ends, e.Outcome)
		}
	})
	return b
}

// end closes the connections to the server, whose readers wait for the core.
func (b *bench) end() {
	for _, n := range b.held.nodes {
		n.Drain()
		for _, t := range b.held.tries {
			n.Cancel(t)
		}
	}
}

// server is the list of the one server in a state.
func server(state string) gateway.ServerList {
	return gateway.ServerList{Version: 1, Full: true, Servers: []gateway.ServerEntry{{ID: "s-0", Addr: "127.0.0.1:1", Zone: "a", State: state, Weight: 1}}}
}

// retune gives it other limits.
func (b *bench) retune(change func(t *tuning.Tuning)) {
	change(&b.tune)
	b.Reload(gateway.Reload{Tuning: &b.tune})
}

// later moves the clock.
func (b *bench) later(d time.Duration) {
	b.clock.now.Add(int64(d))
	b.Step()
}

// until steps until something has come about.
func (b *bench) until(what string, done func() bool) {
	b.t.Helper()
	late := time.After(patience)
	for b.Step(); !done(); b.Step() {
		select {
		case <-b.Wakeups():
		case <-late:
			b.t.Fatalf("%s did not come about", what)
		}
	}
}

// ended steps until an attempt has ended, and tells how the first one did.
func (b *bench) ended() decide.Outcome {
	b.t.Helper()
	b.until("an attempt's end", func() bool { return len(b.ends) > 0 })
	return b.ends[0]
}

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	if err := far.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// narrow is a pair whose kernel buffer takes little, so that large writes don't go at once.
func narrow(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = pair(t)
	if err := near.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// connect gives the core a client's connection on which something was sent, and returns the client's end.
func (b *bench) connect(sent string) (*client, net.Conn) {
	b.t.Helper()
	near, far := pair(b.t)
	if _, err := io.WriteString(far, sent); err != nil {
		b.t.Fatal(err)
	}
	return take(b.Core(), near), far
}

// asked is a request as it stands on the wire.
func asked(id string) string { return onWire(askName, customer, id, list) }

// onWire is a command as it stands on the wire.
func onWire(args ...string) string {
	b := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return string(b)
}

// attempted opens a request of a client, with its attempt waiting for a connection.
func (b *bench) attempted(id string) (t *gateway.Attempt, c *client, far net.Conn) {
	b.t.Helper()
	before := len(b.held.tries)
	c, far = b.connect(asked(id))
	b.until("an attempt", func() bool { return len(b.held.tries) > before })
	return b.held.tries[before], c, far
}

// bring gives a waiting attempt a connection, as its dial would, and returns the server's end.
func (b *bench) bring(t *gateway.Attempt) (far net.Conn) {
	b.t.Helper()
	near, far := pair(b.t)
	b.node().dialed(t, 0, near, nil)
	return far
}

func (b *bench) node() *node { return b.held.nodes[0].node }

func write(t *testing.T, conn net.Conn, s string) {
	t.Helper()
	if _, err := io.WriteString(conn, s); err != nil {
		t.Fatal(err)
	}
}

// text is all that comes on a connection until its end.
func text(t *testing.T, conn net.Conn) string {
	t.Helper()
	b, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
