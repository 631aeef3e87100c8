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

// Nothing may be sent on a connection that is established after its attempt was canceled, or after its server was
// drained or moved, even if the server is up again by then.
func TestLateConnectionSendsNothing(t *testing.T) {
	for name, meanwhile := range map[string]func(h *harness, c *client){
		"":          nil, // control case: the request is sent
		"timed out": func(h *harness, _ *client) { h.advance(longAim) },
		"left":      func(_ *harness, c *client) { c.Close() },
		"draining":  func(h *harness, _ *client) { h.UpdateServers(decide.ListFull, serverList("draining")) },
		"drained and up again": func(h *harness, _ *client) {
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

// Idle connections must be closed well before the server may close them.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	server := h.completeDial(attempt)
	mustWrite(t, server, testbed.FormatReply("v"))
	h.firstOutcome()
	p := h.pool()
	if _, ok := p.OldestIdle(); !ok {
		t.Fatal("the connection is not pooled")
	}
	h.advance(p.endpoint.IdleTimeout() - 1)
	if h.Stats().ServerConns != 1 {
		t.Fatal("closed before the idle timeout")
	}
	if h.advance(1); h.Stats().ServerConns != 0 || p.endpoint.IdleTimeout() > 30*time.Second { // servers close idle connections after 60 s
		t.Errorf("%d connections after %v", h.Stats().ServerConns, p.endpoint.IdleTimeout())
	}
	readAll(t, server)
}

// A connection that becomes idle while the limit on connections, lowered in the meantime, is exceeded must be closed.
func TestLoweredLimitClosesIdleConnections(t *testing.T) {
	h := newHarness(t, longAim)
	first, _, _ := h.openRequest("one")
	second, _, _ := h.openRequest("two")
	server := h.completeDial(first)
	h.completeDial(second)
	h.updateTuning(func(t *tuning.Tuning) { t.Nodes.MaxConns = 1 })
	mustWrite(t, server, testbed.FormatReply("v"))
	h.firstOutcome()
	readAll(t, server)
	if n := h.Stats().ServerConns; n != 1 {
		t.Errorf("%d connections are left, want 1, that of the open attempt", n)
	}
}

// Bytes that follow a reply put the connection out of sync: it must be closed, and the bytes must not be taken for
// the reply to another request.
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
		t.Error("the connection is still pooled")
	}
	c.Close()
	if got := readAll(t, client); got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A duplicate reply that arrives after its connection was returned to the pool must not be taken for the reply to the
// next request. Between replies the reader leaves it in the kernel's receive queue, where the next send detects it.
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
			t.Fatal("the duplicate was read, or did not arrive")
		}
	}
	h.advance(h.tuning.Nodes.ReuseDelay)
	h.openRequest("second") // must not use the pooled connection
	if !conn.closed {
		t.Error("a connection that is out of sync is not closed")
	}
	c.Close()
	if got := readAll(t, client); got != "$5\r\nfirst\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A connection must be reused only after it has been idle for Nodes.Rest, as a duplicate reply may still be in flight.
func TestConnectionReusedOnlyAfterRest(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	mustWrite(t, h.completeDial(attempt), testbed.FormatReply("v"))
	h.firstOutcome()
	c := h.pool().idle[0]
	if h.advance(h.tuning.Nodes.ReuseDelay - 1); h.pool().takeIdle() != nil {
		t.Error("a connection is reused too soon")
	}
	if h.advance(1); h.pool().takeIdle() != c {
		t.Error("a connection is not reused after Nodes.Rest")
	}
}

// An invalid reply must end its attempt as one that may have run, and close the connection, at once, without waiting
// for the bytes that it announces. A reply that trickles must be given up after Nodes.Answer, long before the
// request's deadline.
func TestInvalidReplies(t *testing.T) {
	for _, invalid := range []string{"+x\r\n", ":1\r\n", "noise", "*3\r\n$3000000000\r\nv", "*3\r\n$-1\r\n", "*1\r\n$1\r\nv\r\n", "*3\r\n$1\r\nvv",
		"-ERR " + strings.Repeat("x", maxFieldSize), "*3\r\n$10\r\ntrickle"} {
		h := newHarness(t, longAim)
		h.updateTuning(func(t *tuning.Tuning) { t.Nodes.ResponseReadTimeout = 30 * time.Millisecond })
		attempt, _, _ := h.openRequest("id")
		server := h.completeDial(attempt)
		mustWrite(t, server, invalid)
		if o := h.firstOutcome(); o != decide.Error || h.Stats().ServerConns > len(h.backend.attempts)-1 {
			t.Errorf("%.20q: outcome %v, %d connections", invalid, o, h.Stats().ServerConns)
		}
	}
}

// startLargeRequest starts a request that the kernel does not take at once, on a connection with a small send buffer.
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
		t.Fatal("the request was written at once")
	}
	return h, conn, server
}

// A large request must be written without blocking the loop, and counts as sent with its last byte.
func TestLargeRequestToSlowServer(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	go io.Copy(io.Discard, server)
	h.waitFor("the last byte", func() bool { return !conn.writer.Busy() })
	if !conn.fullySent || len(h.outcomes) > 0 {
		t.Error("the attempt is not marked as fully sent, or has ended")
	}
}

// If the connection breaks before the last byte was written, the request did not run, and the outcome must say so.
func TestConnectionLostBeforeLastByte(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	server.Close()
	if o := h.firstOutcome(); o != decide.NoConnection || !conn.closed {
		t.Errorf("outcome %v, closed %v", o, conn.closed)
	}
}

// If the connection breaks after the last byte was written, the request may have run.
func TestConnectionLostAfterLastByte(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, _, _ := h.openRequest("id")
	server := h.completeDial(attempt)
	server.Close()
	if o := h.firstOutcome(); o != decide.Reset {
		t.Errorf("outcome %v", o)
	}
}

// A reply to an incomplete request is invalid. It must be held for Nodes.Answer, in case only the writer's report of
// the last byte is late, and no longer.
func TestReplyBeforeRequestIsComplete(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	mustWrite(t, server, testbed.FormatReply("early"))
	h.waitFor("the early reply", func() bool { return conn.earlyReply != nil })
	if h.advance(h.tuning.Nodes.ResponseReadTimeout - 1); len(h.outcomes) > 0 {
		t.Fatalf("ended as %v before the time limit", h.outcomes[0])
	}
	h.clock.now.Add(1)
	if o := h.firstOutcome(); o == decide.OK || !conn.closed {
		t.Errorf("outcome %v, closed %v", o, conn.closed)
	}
}

// A reply that overtakes the writer's report of the last byte is valid, as the server had the whole request. When
// such a reply was taken for an invalid one, a served request ended as one that may have run.
func TestReplyBeforeWriterCompletion(t *testing.T) {
	h, conn, server := startLargeRequest(t)
	go io.Copy(io.Discard, server)
	<-h.Wakeups() // the writer is done, and its report waits for the loop
	conn.handleReply(nodeReply{value: []byte("v"), inSync: true})
	if len(h.outcomes) > 0 {
		t.Fatalf("ended as %v before the writer's report was processed", h.outcomes[0])
	}
	if o := h.firstOutcome(); o != decide.OK || conn.closed {
		t.Errorf("outcome %v, closed %v", o, conn.closed)
	}
}

// A dial that fails for lack of a local resource must not be counted as a failure of the server.
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

// A request that arrived by another protocol must be encoded with all its values.
func TestCommandForOtherProtocols(t *testing.T) {
	req := &gateway.Request{Customer: customer, ID: "id", Class: "book", Plan: "p", Key: "77", Units: 2.5, GatewayCount: 2, FirstGateway: 1, ClientRetry: true, Write: true,
		Body: []byte("BODY")}
	const want = "*5\r\n$4\r\nQ.DO\r\n$16\r\n" + customer + "\r\n$2\r\nid\r\n$52\r\nc=book,t=p,d=250,k=77,r=1,units=2.5,spread=2,first=1\r\n$4\r\nBODY\r\n"
	if got := string(commandFor(req).encode(250 * time.Millisecond)); got != want {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}
