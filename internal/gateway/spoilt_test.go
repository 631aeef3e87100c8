package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloepick/decide"
)

// outcome is what the module was last told of an attempt.
func outcome(t *testing.T, l *loop) decide.Outcome {
	t.Helper()
	for i := len(l.todo) - 1; i >= 0; i-- {
		if e, ok := l.todo[i].(decide.AttemptEnded); ok {
			return e.Outcome
		}
	}
	t.Fatal("no attempt has ended")
	return 0
}

// attempted opens a request and puts its attempt on a connection.
func attempted(t *testing.T, l *loop) (a *attempt, client, server net.Conn) {
	t.Helper()
	l.pool.dialFor = 0 // the attempt's own dial fails; the test brings the connection
	r, client := open(t, l)
	next(t, l)
	near, server := pair(t)
	a = r.attempts[0]
	dialed{a, a.server.addr, near, nil}.apply(l)
	return a, client, server
}

// What is no answer ends its attempt as one that may have run and ends the connection, at once: it never waits for
// the bytes that it promises.
func TestSpoiltAnswers(t *testing.T) {
	for _, spoilt := range []string{"+x\r\n", ":1\r\n", "noise", "*3\r\n$3000000000\r\nv", "*3\r\n$-1\r\n", "*1\r\n$1\r\nv\r\n", "*3\r\n$1\r\nvv",
		"-ERR " + strings.Repeat("x", fieldMost)} {
		l := still(t, unreachable(t))
		a, _, server := attempted(t, l)
		if _, err := io.WriteString(server, spoilt); err != nil {
			t.Fatal(err)
		}
		for !a.over {
			step(l)
		}
		if o := outcome(t, l); o != decide.Error || !a.conn.closed {
			t.Errorf("%.20q: outcome %v, closed %v", spoilt, o, a.conn.closed)
		}
	}
}

// An answer that trickles is given up long before its request's time is.
func TestTricklingAnswerEnds(t *testing.T) {
	l := still(t, unreachable(t))
	a, _, server := attempted(t, l)
	if _, err := io.WriteString(server, "*3\r\n$10\r\nv"); err != nil {
		t.Fatal(err)
	}
	for !a.over {
		step(l)
	}
	if o := outcome(t, l); o != decide.Error || a.until-l.clock.now() < long/2 {
		t.Errorf("outcome %v with %v left", o, a.until-l.clock.now())
	}
}

// A use or a report that can't be read does no harm to the value before it, but ends the connection.
func TestUnreadableReportKeepsTheValue(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
	c.look("id-1")
	b.next(t).answer(t, "*3\r\n$1\r\nv\r\n:7\r\n$oops")
	c.want("$v")
	if x := b.next(t); x.args != nil {
		t.Errorf("the server got %q, want the connection's end", x.args)
	}
}

// A copy that comes after its connection was put by must not pass for the next request's answer. Between answers
// the reader leaves it in the kernel, where the next write finds it.
func TestLateCopyIsNoAnswer(t *testing.T) {
	l := still(t, unreachable(t))
	a, client, server := attempted(t, l)
	if _, err := io.WriteString(server, served("first")); err != nil {
		t.Fatal(err)
	}
	for !a.over {
		step(l)
	}
	c := a.conn
	if len(a.server.idle) != 1 {
		t.Fatal("the connection was not put by")
	}
	if _, err := io.WriteString(server, served("first")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(patience); c.quiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the copy was read, or never came")
		}
	}
	c.used -= usual.Nodes.Rest
	second := &attempt{req: &request{id: "r", cmd: a.req.cmd}, server: a.server, until: l.clock.now() + long}
	l.pool.start(second)
	if !c.closed || second.conn != nil {
		t.Error("the request went out on a connection that is out of step")
	}
	l.closeClient(clientOf(a.req))
	if got := text(t, client); got != "$5\r\nfirst\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A connection rests before it carries the next request, as a copy may be on its way; then it is used again.
func TestConnectionRests(t *testing.T) {
	l := still(t, unreachable(t))
	a, _, server := attempted(t, l)
	if _, err := io.WriteString(server, served("v")); err != nil {
		t.Fatal(err)
	}
	for !a.over {
		step(l)
	}
	s, c := a.server, a.conn
	c.used = l.clock.now() + long
	if l.pool.rested(s) != nil {
		t.Error("a connection that was just used is taken")
	}
	c.used = l.clock.now() - usual.Nodes.Rest
	if l.pool.rested(s) != c {
		t.Error("a connection that has rested is not taken")
	}
}

// An answer before its request was written whole is no answer to it.
func TestAnswerBeforeTheRequestIsWhole(t *testing.T) {
	l, a, far := large(t)
	if _, err := io.WriteString(far, served("early")); err != nil {
		t.Fatal(err)
	}
	for !a.over {
		step(l)
	}
	if o := outcome(t, l); o == decide.OK || !a.conn.closed {
		t.Errorf("outcome %v, closed %v", o, a.conn.closed)
	}
}

// What fails for want of something on this machine says nothing of the server.
func TestLocalFaultsBlameNobody(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	a := r.attempts[0]
	dialed{a, a.server.addr, nil, fmt.Errorf("dialing: %w", syscall.EMFILE)}.apply(l)
	if o := outcome(t, l); o != decide.Moot {
		t.Errorf("no descriptor: outcome %v", o)
	}
	l.pool.conns = l.pool.most
	b := &attempt{req: &request{id: "r"}, server: a.server}
	l.pool.start(b)
	if o := outcome(t, l); o != decide.Moot {
		t.Errorf("full pool: outcome %v", o)
	}
	l = still(t, unreachable(t))
	r, _ = open(t, l)
	a = r.attempts[0]
	dialed{a, a.server.addr, nil, errors.New("refused")}.apply(l)
	if o := outcome(t, l); o != decide.NoConnection {
		t.Errorf("refused: outcome %v", o)
	}
}

// A time-out that the loop comes to late, as the core was busy, is not the server's.
func TestLateTimeOutBlamesNobody(t *testing.T) {
	for late, want := range map[time.Duration]decide.Outcome{-long: decide.TimedOut, long: decide.Cancelled} {
		l := still(t, unreachable(t))
		a, _, _ := attempted(t, l)
		a.until = l.clock.now() - late
		l.pool.expire(a)
		if o := outcome(t, l); o != want {
			t.Errorf("%v late: outcome %v, want %v", late, o, want)
		}
	}
}
