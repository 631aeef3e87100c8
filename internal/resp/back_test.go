package resp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
	"sloepick/internal/tuning"
)

// A connection that comes up after its attempt was called off, or after its server was drained or moved, must
// transport nothing, also when the server is back by then.
func TestLateConnectionCarriesNothing(t *testing.T) {
	for name, meanwhile := range map[string]func(b *bench, c *client){
		"":          nil, // without a fault in between it carries the request, so that the others can fail
		"timed out": func(b *bench, _ *client) { b.later(long) },
		"left":      func(_ *bench, c *client) { c.Close() },
		"draining":  func(b *bench, _ *client) { b.UpdateServers(decide.ListFull, server("draining")) },
		"drained and back": func(b *bench, _ *client) {
			b.UpdateServers(decide.ListFull, server("draining"))
			b.UpdateServers(decide.ListFull, server("up"))
		},
		"moved": func(b *bench, _ *client) {
			moved := server("up")
			moved.Servers[0].Addr = "127.0.0.1:2"
			b.UpdateServers(decide.ListFull, moved)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, long)
			try, c, _ := b.attempted("id")
			if meanwhile != nil {
				meanwhile(b, c)
			}
			far := b.bring(try)
			b.node().Drain()
			b.node().Cancel(try)
			if got := text(t, far); strings.Contains(got, askName) != (meanwhile == nil) {
				t.Errorf("the server got %q", got)
			}
		})
	}
}

// Idle connections are retired before a server may close them.
func TestIdleConnectionsAreRetired(t *testing.T) {
	b := newBench(t, long)
	try, _, _ := b.attempted("id")
	far := b.bring(try)
	write(t, far, testbed.FormatReply("v"))
	b.ended()
	n := b.node()
	if _, any := n.OldestIdle(); !any {
		t.Fatal("the connection is not kept")
	}
	b.later(n.place.IdleTimeout() - 1)
	if b.Stats().ServerConns != 1 {
		t.Fatal("retired before its time")
	}
	if b.later(1); b.Stats().ServerConns != 0 || n.place.IdleTimeout() > 30*time.Second { // of the platform's 60 s
		t.Errorf("%d connections after %v", b.Stats().ServerConns, n.place.IdleTimeout())
	}
	text(t, far)
}

// A connection that falls idle over a bound that was lowered meanwhile is closed.
func TestLowerBoundClosesIdleConnections(t *testing.T) {
	b := newBench(t, long)
	first, _, _ := b.attempted("one")
	second, _, _ := b.attempted("two")
	far := b.bring(first)
	b.bring(second)
	b.retune(func(t *tuning.Tuning) { t.Nodes.Connections = 1 })
	write(t, far, testbed.FormatReply("v"))
	b.ended()
	text(t, far)
	if n := b.Stats().ServerConns; n != 1 {
		t.Errorf("%d connections are left, want that of the open attempt", n)
	}
}

// Bytes behind an answer, at once or later, leave its connection out of step: it carries nothing more, and what is behind passes
// for no other request's answer.
func TestMoreThanAnAnswerClosesTheConnection(t *testing.T) {
	b := newBench(t, long)
	try, c, client := b.attempted("id")
	far := b.bring(try)
	write(t, far, testbed.FormatReply("v")+testbed.FormatReply("w"))
	if o := b.ended(); o != decide.OK {
		t.Errorf("outcome %v", o)
	}
	text(t, far)
	if _, any := b.node().OldestIdle(); any {
		t.Error("the connection is kept")
	}
	c.Close()
	if got := text(t, client); got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A copy that comes after its connection was put by must not pass for the next request's answer. Between answers
// the reader leaves it in the kernel, where the next write finds it.
func TestLateCopyIsNoAnswer(t *testing.T) {
	b := newBench(t, long)
	try, c, client := b.attempted("id")
	far := b.bring(try)
	write(t, far, testbed.FormatReply("first"))
	b.ended()
	out := b.node().idle[0]
	write(t, far, testbed.FormatReply("first"))
	for end := time.Now().Add(patience); out.out.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the copy was read, or never came")
		}
	}
	b.later(b.tune.Nodes.Rest)
	b.attempted("second") // waits for another connection
	if !out.closed {
		t.Error("a connection that is out of step is kept")
	}
	c.Close()
	if got := text(t, client); got != "$5\r\nfirst\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A connection rests before it carries the next request, as a copy may be on its way; then it is used again.
func TestConnectionRests(t *testing.T) {
	b := newBench(t, long)
	try, _, _ := b.attempted("id")
	write(t, b.bring(try), testbed.FormatReply("v"))
	b.ended()
	c := b.node().idle[0]
	if b.later(b.tune.Nodes.Rest - 1); b.node().rested() != nil {
		t.Error("a connection that was just used is taken")
	}
	if b.later(1); b.node().rested() != c {
		t.Error("a connection that has rested is not taken")
	}
}

// What is no answer ends its attempt as one that may have run and ends the connection, at once: it never waits for
// the bytes that it promises. An answer that trickles is given up long before its request's time is.
func TestSpoiltAnswers(t *testing.T) {
	for _, spoilt := range []string{"+x\r\n", ":1\r\n", "noise", "*3\r\n$3000000000\r\nv", "*3\r\n$-1\r\n", "*1\r\n$1\r\nv\r\n", "*3\r\n$1\r\nvv",
		"-ERR " + strings.Repeat("x", fieldMost), "*3\r\n$10\r\ntrickle"} {
		b := newBench(t, long)
		b.retune(func(t *tuning.Tuning) { t.Nodes.Answer = 30 * time.Millisecond })
		try, _, _ := b.attempted("id")
		far := b.bring(try)
		write(t, far, spoilt)
		if o := b.ended(); o != decide.Error || b.Stats().ServerConns > len(b.held.tries)-1 {
			t.Errorf("%.20q: outcome %v, %d connections", spoilt, o, b.Stats().ServerConns)
		}
	}
}

// large opens a request whose body the kernel does not take at once, on a narrow connection to a server.
func large(t *testing.T) (*bench, *conn, net.Conn) {
	t.Helper()
	b := newBench(t, long)
	try, _, _ := b.attempted("id")
	c := try.Request().Native.(*command)
	c.args = append(c.args, bytes.Repeat([]byte("x"), 4<<20))
	near, far := narrow(t)
	b.node().dialed(try, 0, near, nil)
	out, ok := try.TransportData.(*conn)
	if !ok || !out.out.Busy() || out.whole {
		t.Fatal("the request went at once")
	}
	return b, out, far
}

// A large request is written while the loop goes on, and counts as sent with its last byte.
func TestSlowServerTakesALargeRequest(t *testing.T) {
	b, out, far := large(t)
	go io.Copy(io.Discard, far)
	b.until("the last byte", func() bool { return !out.out.Busy() })
	if !out.whole || len(b.ends) > 0 {
		t.Error("the attempt is not known to be out")
	}
}

// A connection that breaks before the last byte proves that the request never ran: it may be refused.
func TestBreakBeforeTheLastByte(t *testing.T) {
	b, out, far := large(t)
	far.Close()
	if o := b.ended(); o != decide.NoConnection || !out.closed {
		t.Errorf("outcome %v, closed %v", o, out.closed)
	}
}

// A connection that breaks behind the last byte proves nothing.
func TestBreakAfterTheLastByte(t *testing.T) {
	b := newBench(t, long)
	try, _, _ := b.attempted("id")
	far := b.bring(try)
	far.Close()
	if o := b.ended(); o != decide.Reset {
		t.Errorf("outcome %v", o)
	}
}

// An answer before its request was written whole is no answer to it. It is held for as long as an answer may take, in case only
// the news of the last byte is late, and no longer.
func TestAnswerBeforeTheRequestIsWhole(t *testing.T) {
	b, out, far := large(t)
	write(t, far, testbed.FormatReply("early"))
	b.until("the early answer", func() bool { return out.early != nil })
	if b.later(b.tune.Nodes.Answer - 1); len(b.ends) > 0 {
		t.Fatalf("ended as %v before its time", b.ends[0])
	}
	b.clock.now.Add(1)
	if o := b.ended(); o == decide.OK || !out.closed {
		t.Errorf("outcome %v, closed %v", o, out.closed)
	}
}

// An answer that overtakes the news that its request's last byte was handed over is the answer. The server had all of the
// request; taking its answer for noise ended a request that was served as one that may have run.
func TestAnswerOvertakesTheWritersNews(t *testing.T) {
	b, out, far := large(t)
	go io.Copy(io.Discard, far)
	<-b.Wakeups() // the writer is done, and the loop has not heard of it
	out.answered(answer{value: []byte("v"), inStep: true})
	if len(b.ends) > 0 {
		t.Fatalf("ended as %v before the writer was heard", b.ends[0])
	}
	if o := b.ended(); o != decide.OK || out.closed {
		t.Errorf("outcome %v, closed %v", o, out.closed)
	}
}

// What fails for want of something on this machine says nothing of the server.
func TestLocalFaultsBlameNobody(t *testing.T) {
	for _, c := range []struct {
		err  error
		want decide.Outcome
	}{{fmt.Errorf("dialing: %w", syscall.EMFILE), decide.NotSent}, {errors.New("refused"), decide.NoConnection}} {
		b := newBench(t, long)
		try, _, _ := b.attempted("id")
		b.node().dialed(try, 0, nil, c.err)
		if o := b.ended(); o != c.want {
			t.Errorf("%v: outcome %v", c.err, o)
		}
	}
}

// A request that came by another protocol is sent as RESP2 has it, with all that its values tell.
func TestCommandOfOtherProtocols(t *testing.T) {
	v := &gateway.Request{Customer: customer, ID: "id", Class: "book", Plan: "p", Key: "77", Units: 2.5, GatewayCount: 2, FirstGateway: 1, ClientRetry: true, Write: true,
		Body: []byte("BODY")}
	const want = "*5\r\n$4\r\nQ.DO\r\n$16\r\n" + customer + "\r\n$2\r\nid\r\n$52\r\nc=book,t=p,d=250,k=77,r=1,units=2.5,spread=2,first=1\r\n$4\r\nBODY\r\n"
	if got := string(commandOf(v).frame(250 * time.Millisecond)); got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}
