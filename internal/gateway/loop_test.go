package gateway

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
)

// still is a loop that a test drives by hand.
func still(t *testing.T, servers []serverEntry) *loop {
	t.Helper()
	l, err := newLoop(testConfig(t, long, servers), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return l
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

// open puts a request into the loop as if it had been read from a connection.
func open(t *testing.T, l *loop) (*request, net.Conn) {
	t.Helper()
	near, far := pair(t)
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	c := newClient(l, out)
	l.clients[c] = struct{}{}
	got := interpret(&l.cfg, [][]byte{[]byte("Q.ASK"), []byte(customer), []byte("id"),
		[]byte("c=look,t=p,d=30000,units=1,spread=2,first=0")}, l.clock.now())
	commands{c: c, got: []received{got}}.apply(l)
	for _, r := range l.requests {
		return r, far
	}
	t.Fatal("the request is not open")
	return nil, nil
}

// clientOf is the connection that a request came on.
func clientOf(r *request) *client { return r.from.(*slot).client }

func text(t *testing.T, conn net.Conn) string {
	t.Helper()
	b, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// unreachable is a server that no test lets a gateway reach: attempts at it stay in their dial.
func unreachable(t *testing.T) []serverEntry {
	return entries("up", newBackend(t))
}

// A connection that comes up after its attempt was called off, or after its server was drained or moved, must
// carry nothing.
func TestLateConnectionCarriesNothing(t *testing.T) {
	for name, meanwhile := range map[string]func(l *loop, r *request){
		"cancelled": func(l *loop, r *request) { l.pool.cancel(r.attempts[0]) },
		"timed out": func(l *loop, r *request) { l.pool.expire(r.attempts[0]) },
		"left":      func(l *loop, r *request) { l.closeClient(clientOf(r)) },
		"draining": func(l *loop, r *request) {
			l.fleet(decide.FleetDelta, serverList{Version: 2, Servers: []serverEntry{{ID: "s-0", Addr: r.attempts[0].server.addr, State: "draining"}}})
		},
		"moved": func(l *loop, r *request) {
			l.fleet(decide.FleetDelta, serverList{Version: 2, Servers: []serverEntry{{ID: "s-0", Addr: "127.0.0.1:1", State: "up"}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := still(t, unreachable(t))
			r, _ := open(t, l)
			a, addr := r.attempts[0], r.attempts[0].server.addr
			meanwhile(l, r)
			near, far := pair(t)
			dialed{a, addr, near, nil}.apply(l)
			l.pool.closeIdle(a.server)
			if got := text(t, far); got != "" {
				t.Errorf("the server got %q", got)
			}
		})
	}
}

// Without a fault in between the same connection carries the request, so the test above can fail.
func TestConnectionCarriesItsAttempt(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	near, far := pair(t)
	dialed{r.attempts[0], r.attempts[0].server.addr, near, nil}.apply(l)
	l.pool.cancel(r.attempts[0])
	if got := text(t, far); !strings.Contains(got, "Q.ASK") {
		t.Errorf("the server got %q", got)
	}
}

// A module that panics must cost no client its answer.
func TestPanicAnswersAll(t *testing.T) {
	l := still(t, unreachable(t))
	_, far := open(t, l)
	broken := &decide.Gateway{} // not made by New
	l.core = broken
	l.feed(decide.FleetUpdate{Servers: []decide.Server{{ID: "s"}}})
	l.drainTodo()
	if l.core == broken || len(l.requests) != 0 {
		t.Errorf("%d requests are open, new module %v", len(l.requests), l.core != broken)
	}
	for c := range l.clients {
		c.Close()
	}
	if got := text(t, far); got != "-ERR internal error\r\n" {
		t.Errorf("the client got %q", got)
	}
	r, _ := open(t, l)
	if len(r.attempts) != 1 {
		t.Error("the new module sends nothing")
	}
}

// A request that the module forgot is failed before its client stops waiting, once.
func TestOverdueRequestIsFailed(t *testing.T) {
	l := still(t, unreachable(t))
	r, far := open(t, l)
	c := clientOf(r)
	l.overdue(r)
	l.overdue(r)
	l.drainTodo()
	l.closeClient(c)
	if got := text(t, far); got != "-ERR failed\r\n" {
		t.Errorf("the client got %q", got)
	}
	if len(l.requests) != 0 {
		t.Errorf("%d requests are still known", len(l.requests))
	}
}

// Idle connections are retired before a server may close them, and none is used with an answer owed.
func TestIdleConnectionsAreRetired(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	a := r.attempts[0]
	near, far := pair(t)
	dialed{a, a.server.addr, near, nil}.apply(l)
	answered{a.conn, answer{outcome: decide.OK, value: []byte("v"), inStep: true}}.apply(l)
	if len(a.server.idle) != 1 {
		t.Fatalf("%d connections are idle, want 1", len(a.server.idle))
	}
	if l.pool.idleFor*2 > l.cfg.Settings.ConnIdle {
		t.Errorf("retired after %v, want well before %v", l.pool.idleFor, l.cfg.Settings.ConnIdle)
	}
	a.server.idle[0].used -= l.pool.idleFor
	l.pool.sweep()
	text(t, far)
	if len(a.server.idle) != 0 || l.pool.conns != 0 || a.server.conns != 0 {
		t.Errorf("idle %d, open %d, of the server %d; want none", len(a.server.idle), l.pool.conns, a.server.conns)
	}
}

// An answer that nobody asked for must not pass for that of the next request.
func TestUnaskedAnswerClosesTheConnection(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	a := r.attempts[0]
	near, far := pair(t)
	dialed{a, a.server.addr, near, nil}.apply(l)
	c := a.conn
	answered{c, answer{outcome: decide.OK, value: []byte("v"), inStep: true}}.apply(l)
	answered{c, answer{outcome: decide.OK, value: []byte("w"), inStep: true}}.apply(l)
	text(t, far)
	if len(a.server.idle) != 0 {
		t.Error("the connection is kept")
	}
}

// An answer with bytes behind it is served, but its connection is out of step and not used again.
func TestAnswerWithMoreClosesTheConnection(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	a := r.attempts[0]
	near, far := pair(t)
	dialed{a, a.server.addr, near, nil}.apply(l)
	answered{a.conn, answer{outcome: decide.OK, value: []byte("v"), inStep: false}}.apply(l)
	text(t, far)
	if len(a.server.idle) != 0 || l.pool.conns != 0 {
		t.Error("the connection is kept")
	}
}

// Connections are bounded, and the one idle for longest gives way.
func TestConnectionsAreBounded(t *testing.T) {
	l := still(t, unreachable(t))
	s := l.pool.servers["s-0"]
	for _, full := range []func(){func() { s.conns = usual.Nodes.Connections }, func() { l.pool.conns = l.pool.most }} {
		l.pool.conns, s.conns = 0, 0
		full()
		a := &attempt{req: &request{id: "r"}, server: s}
		if l.pool.start(a); !a.over {
			t.Error("a connection over the bound is made")
		}
	}
	near, far := pair(t)
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	l.pool.conns = 1
	s.conns = 1
	l.pool.park(newUpConn(out, s, 0))
	l.pool.evict()
	text(t, far)
	if l.pool.conns != 0 {
		t.Errorf("%d connections are left", l.pool.conns)
	}
}
