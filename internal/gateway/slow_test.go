package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/tidwall/redcon"

	"sloepick/decide"
)

// narrow is a pair whose kernel buffer takes little, so that large writes don't go at once.
func narrow(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = pair(t)
	if err := near.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// next is the next event that another goroutine posted.
func next(t *testing.T, l *loop) event {
	t.Helper()
	<-l.in.ready
	return l.in.take(nil)[0]
}

// step applies all that other goroutines have posted, once there is something.
func step(l *loop) {
	<-l.in.ready
	for _, e := range l.in.take(nil) {
		e.apply(l)
	}
}

// large opens a request whose body the kernel does not take at once, on a narrow connection to a server.
func large(t *testing.T) (*loop, *attempt, net.Conn) {
	t.Helper()
	l := still(t, unreachable(t))
	l.pool.dialFor = 0 // the attempt's own dial fails; the test brings the connection
	r, _ := open(t, l)
	if d := next(t, l).(dialed); d.err == nil {
		t.Fatal("the dial did not fail")
	}
	r.cmd.args = append(r.cmd.args, bytes.Repeat([]byte("x"), 4<<20))
	near, far := narrow(t)
	a := r.attempts[0]
	dialed{a, a.server.addr, near, nil}.apply(l)
	if a.conn == nil || !a.conn.busy || a.whole {
		t.Fatal("the request went at once")
	}
	return l, a, far
}

// A large request is written while the loop goes on, and counts as sent with its last byte.
func TestSlowServerTakesALargeRequest(t *testing.T) {
	l, a, far := large(t)
	go io.Copy(io.Discard, far)
	for a.conn.busy {
		step(l)
	}
	if !a.whole || a.over {
		t.Error("the attempt is not known to be out")
	}
}

// A connection that breaks before the last byte proves that the request never ran: it may be refused.
func TestBreakBeforeTheLastByte(t *testing.T) {
	l, a, far := large(t)
	far.Close()
	for !a.over {
		step(l)
	}
	if e := l.todo[len(l.todo)-1].(decide.AttemptEnded); e.Outcome != decide.NoConnection {
		t.Errorf("the outcome is %v", e.Outcome)
	}
	if !a.conn.closed || l.pool.conns != 0 {
		t.Error("the connection is kept")
	}
}

// A client that reads nothing must not make the loop wait, nor its answers fill the memory.
func TestClientThatReadsNothing(t *testing.T) {
	l := still(t, nil)
	near, _ := narrow(t)
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	c := newClient(l, out)
	l.clients[c] = struct{}{}
	answer := redcon.AppendBulk(nil, bytes.Repeat([]byte("x"), valueMost))
	for n := 0; !c.closed; n++ {
		if n*len(answer) > 64<<20 {
			t.Fatal("the client's answers pile up without end")
		}
		commands{c: c, got: []received{{reply: answer}}}.apply(l)
	}
	if len(c.backlog) != 0 || len(l.clients) != 0 {
		t.Error("the client is kept")
	}
}

// Many commands at once are all answered, though only so many may be owed at a time.
func TestDeepPipeline(t *testing.T) {
	c := newRig(t, long, newBackend(t)).dial(t)
	n := 5 * usual.Clients.Pipeline
	go io.WriteString(c.conn, strings.Repeat("*1\r\n$4\r\nPING\r\n", n))
	for range n {
		c.want("+PONG")
	}
}

// Over the bound of open requests, or of the memory that they hold, a request is refused at once.
func TestOpenRequestsAreBounded(t *testing.T) {
	for name, fill := range map[string]func(l *loop){
		"open": func(l *loop) { l.cfg.Settings.OpenCap = 1 },
		"held": func(l *loop) { l.held = l.heldMost() },
	} {
		l := still(t, unreachable(t))
		first, _ := open(t, l)
		fill(l)
		near, far := pair(t)
		out, err := newOutlet(near)
		if err != nil {
			t.Fatal(err)
		}
		c := newClient(l, out)
		second := *first.cmd
		second.args = append([][]byte{}, first.cmd.args...)
		second.args[idArg] = []byte("id-2")
		commands{c: c, got: []received{{cmd: &second}}}.apply(l)
		l.closeClient(c)
		if got := text(t, far); got != "-BUSY 1000\r\n" {
			t.Errorf("%s: got %q, want a refusal", name, got)
		}
	}
}

// Clients and servers together stay within the descriptors, and a client over the last of them is sent away.
func TestDescriptorsAreBounded(t *testing.T) {
	l := still(t, unreachable(t))
	for range l.cfg.Sockets - leastSockets {
		c := &client{slots: []*slot{{}}} // owed an answer, so not to be evicted
		l.clients[c] = struct{}{}
	}
	if room := l.pool.room(); room+len(l.clients)+reserveSockets > l.cfg.Sockets || room < 1 {
		t.Errorf("room for %d connections to servers beside %d clients", room, len(l.clients))
	}
	near, far := pair(t)
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	before := len(l.clients)
	join(l, newClient(l, out))
	if got := text(t, far); got != "" || len(l.clients) != before {
		t.Errorf("the client got %q, %d are kept of %d", got, len(l.clients), before)
	}
}

// A command of which a part has come when its connection is to end is still read to its end and answered.
func TestWeanedConnectionFinishesItsCommand(t *testing.T) {
	l := still(t, nil)
	near, far := pair(t)
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	c := newClient(l, out)
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI"); err != nil {
		t.Fatal(err)
	}
	join(l, c)
	step(l)
	l.wean(c)
	if _, err := io.WriteString(far, "NG\r\n"); err != nil {
		t.Fatal(err)
	}
	for !c.closed {
		step(l)
	}
	if got := text(t, far); got != "+PONG\r\n+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}
