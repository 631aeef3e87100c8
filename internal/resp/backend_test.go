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
func TestLateConnectionSendsNothing(t *testing.T) {
	for name, meanwhile := range map[string]func(h *harness, c *client){
		"":          nil, // without a fault in between it carries the request, so that the others can fail
		"timed out": func(h *harness, _ *client) { h.advance(longAim) },
		"left":      func(_ *harness, c *client) { c.Close() },
		"draining":  func(h *harness, _ *client) { h.UpdateServers(decide.ListFull, serverList("draining")) },
		"drained and back": func(h *harness, _ *client) {
			h.UpdateServers(decide.ListFull, serverList("draining"))
			h.UpdateServers(decide.ListFull, serverList("up"))
		},
		"moved": func(h *harness, _ *client) {
			moved := serverList("up")
			moved.Servers[0].Addr = "127.0.0.1:2"
			h.UpdateServers(decide.ListFull, moved)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, longAim)
			attempt, c, _ := h.openRequest("id")
			if meanwhile != nil {
				meanwhile(h, c)
			}
			server := h.completeDial(attempt)
			h.pool().Drain()
			h.pool().Cancel(attempt)
			if got := readAll(t, server); strings.Contains(got, askName) != (meanwhile == nil) {
				t.Errorf("the server got %q", got)
			}
		})
	}
}

// Idle connections are retired before a server may close them.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	server := h.completeDial(attempt)
	mustWrite(t, server, testbed.FormatReply("v"))
	h.firstOutcome()
	p := h.pool()
	if _, ok := p.OldestIdle(); !ok {
		t.Fatal("the connection is not kept")
	}
	h.advance(p.endpoint.IdleTimeout() - 1)
	if h.Stats().ServerConns != 1 {
		t.Fatal("retired before its time")
	}
	if h.advance(1); h.Stats().ServerConns != 0 || p.endpoint.IdleTimeout() > 30*time.Second { // of the platform's 60 s
		t.Errorf("%d connections after %v", h.Stats().ServerConns, p.endpoint.IdleTimeout())
	}
	readAll(t, server)
}

// A connection that falls idle over a bound that was lowered meanwhile is closed.
func TestLoweredLimitClosesIdleConnections(t *testing.T) {
	h := newHarness(t, longAim)
	first, _, _ := h.openRequest("one")
	second, _, _ := h.openRequest("two")
	server := h.completeDial(first)
	h.completeDial(second)
	h.updateTuning(func(t *tuning.Tuning) { t.Nodes.Connections = 1 })
	mustWrite(t, server, testbed.FormatReply("v"))
	h.firstOutcome()
	readAll(t, server)
	if n := h.Stats().ServerConns; n != 1 {
		t.Errorf("%d connections are left, want that of the open attempt", n)
	}
}

// Bytes behind an answer, at once or later, leave its connection out of step: it carries nothing more, and what is behind passes
// for no other request's answer.
func TestTrailingBytesCloseConnection(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, c, client := h.openRequest("id")
	server := h.completeDial(attempt)
	mustWrite(t, server, testbed.FormatReply("v")+testbed.FormatReply("w"))
	if o := h.firstOutcome(); o != decide.OK {
		t.Errorf("outcome %v", o)
	}
	readAll(t, server)
	if _, ok := h.pool().OldestIdle(); ok {
		t.Error("the connection is kept")
	}
	c.Close()
	if got := readAll(t, client); got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A copy that comes after its connection was put by must not pass for the next request's answer. Between answers
// the reader leaves it in the kernel, where the next write finds it.
func TestLateDuplicateReplyIsDiscarded(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, c, client := h.openRequest("id")
	server := h.completeDial(attempt)
	mustWrite(t, server, testbed.FormatReply("first"))
	h.firstOutcome()
	conn := h.pool().idle[0]
	mustWrite(t, server, testbed.FormatReply("first"))
	for deadline := time.Now().Add(testTimeout); conn.writer.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the copy was read, or never came")
		}
	}
	h.advance(h.tuning.Nodes.Rest)
	h.openRequest("second") // waits for another connection
	if !conn.closed {
		t.Error("a connection that is out of step is kept")
	}
	c.Close()
	if got := readAll(t, client); got != "$5\r\nfirst\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A connection rests before it carries the next request, as a copy may be on its way; then it is used again.
func TestConnectionReusedOnlyAfterRest(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	mustWrite(t, h.completeDial(attempt), testbed.FormatReply("v"))
	h.firstOutcome()
	c := h.pool().idle[0]
	if h.advance(h.tuning.Nodes.Rest - 1); h.pool().takeIdle() != nil {
		t.Error("a connection that was just used is taken")
	}
	if h.advance(1); h.pool().takeIdle() != c {
		t.Error("a connection that has rested is not taken")
	}
}

// What is no answer ends its attempt as one that may have run and ends the connection, at once: it never waits for
// the bytes that it promises. An answer that trickles is given up long before its request's time is.
func TestInvalidReplies(t *testing.T) {
	for _, invalid := range []string{"+x\r\n", ":1\r\n", "noise", "*3\r\n$3000000000\r\nv", "*3\r\n$-1\r\n", "*1\r\n$1\r\nv\r\n", "*3\r\n$1\r\nvv",
		"-ERR " + strings.Repeat("x", maxFieldSize), "*3\r\n$10\r\ntrickle"} {
		h := newHarness(t, longAim)
		h.updateTuning(func(t *tuning.Tuning) { t.Nodes.Answer = 30 * time.Millisecond })
		attempt, _, _ := h.openRequest("id")
		server := h.completeDial(attempt)
		mustWrite(t, server, invalid)
		if o := h.firstOutcome(); o != decide.Error || h.Stats().ServerConns > len(h.backend.attempts)-1 {
			t.Errorf("%.20q: outcome %v, %d connections", invalid, o, h.Stats().ServerConns)
		}
	}
}

// startLargeRequest opens a request whose body the kernel does not take at once, on a narrow connection to a server.
func startLargeRequest(t *testing.T) (*harness, *conn, net.Conn) {
	t.Helper()
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	c := attempt.Request().Native.(*command)
	c.args = append(c.args, bytes.Repeat([]byte("x"), 4<<20))
	gatewayEnd, server := connPairWithSmallBuffer(t)
	h.pool().finishDial(attempt, 0, gatewayEnd, nil)
	conn, ok := attempt.TransportData.(*conn)
	if !ok || !conn.writer.Busy() || conn.fullySent {
		t.Fatal("the request went at once")
	}
	return h, conn, server
}

// A large request is written while the loop goes on, and counts as sent with its last byte.
func TestLargeRequestToSlowServer(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	go io.Copy(io.Discard, server)
	h.waitFor("the last byte", func() bool { return !conn.writer.Busy() })
	if !conn.fullySent || len(h.outcomes) > 0 {
		t.Error("the attempt is not known to be out")
	}
}

// A connection that breaks before the last byte proves that the request never ran: it may be refused.
func TestConnectionLostBeforeLastByte(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	server.Close()
	if o := h.firstOutcome(); o != decide.NoConnection || !conn.closed {
		t.Errorf("outcome %v, closed %v", o, conn.closed)
	}
}

// A connection that breaks behind the last byte proves nothing.
func TestConnectionLostAfterLastByte(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	server := h.completeDial(attempt)
	server.Close()
	if o := h.firstOutcome(); o != decide.Reset {
		t.Errorf("outcome %v", o)
	}
}

// An answer before its request was written whole is no answer to it. It is held for as long as an answer may take, in case only
// the news of the last byte is late, and no longer.
func TestReplyBeforeRequestIsComplete(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	mustWrite(t, server, testbed.FormatReply("early"))
	h.waitFor("the early answer", func() bool { return conn.earlyReply != nil })
	if h.advance(h.tuning.Nodes.Answer - 1); len(h.outcomes) > 0 {
		t.Fatalf("ended as %v before its time", h.outcomes[0])
	}
	h.clock.now.Add(1)
	if o := h.firstOutcome(); o == decide.OK || !conn.closed {
		t.Errorf("outcome %v, closed %v", o, conn.closed)
	}
}

// An answer that overtakes the news that its request's last byte was handed over is the answer. The server had all of the
// request; taking its answer for noise ended a request that was served as one that may have run.
func TestReplyBeforeWriterCompletion(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	go io.Copy(io.Discard, server)
	<-h.Wakeups() // the writer is done, and the loop has not heard of it
	conn.handleReply(nodeReply{value: []byte("v"), inSync: true})
	if len(h.outcomes) > 0 {
		t.Fatalf("ended as %v before the writer was heard", h.outcomes[0])
	}
	if o := h.firstOutcome(); o != decide.OK || conn.closed {
		t.Errorf("outcome %v, closed %v", o, conn.closed)
	}
}

// What fails for want of something on this machine says nothing of the server.
func TestLocalDialErrorsAreNotServerFaults(t *testing.T) {
	for _, c := range []struct {
		err  error
		want decide.Outcome
	}{{fmt.Errorf("dialing: %w", syscall.EMFILE), decide.NotSent}, {errors.New("refused"), decide.NoConnection}} {
		h := newHarness(t, longAim)
		attempt, _, _ := h.openRequest("id")
		h.pool().finishDial(attempt, 0, nil, c.err)
		if o := h.firstOutcome(); o != c.want {
			t.Errorf("%v: outcome %v", c.err, o)
		}
	}
}

// A request that came by another protocol is sent as RESP2 has it, with all that its values tell.
func TestCommandForOtherProtocols(t *testing.T) {
	req := &gateway.Request{Customer: customer, ID: "id", Class: "book", Plan: "p", Key: "77", Units: 2.5, GatewayCount: 2, FirstGateway: 1, ClientRetry: true, Write: true,
		Body: []byte("BODY")}
	const want = "*5\r\n$4\r\nQ.DO\r\n$16\r\n" + customer + "\r\n$2\r\nid\r\n$52\r\nc=book,t=p,d=250,k=77,r=1,units=2.5,spread=2,first=1\r\n$4\r\nBODY\r\n"
	if got := string(commandFor(req).encode(250 * time.Millisecond)); got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}
