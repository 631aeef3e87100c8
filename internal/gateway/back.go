package gateway

import (
	"context"
	"net"
	"time"

	"sloepick/decide"
)

// Backend reaches nodes by a protocol of its own. Which nodes, discovery's kind tells (Config.Backs).
type Backend interface {
	// NewTransport is asked for a node at an address, by the loop.
	NewTransport(d *Core, p *Endpoint) Transport
}

// Transport carries attempts to one node at one address. Its methods are called by the loop.
type Transport interface {
	Start(t *Attempt)  // it must tell how the try ended, once, unless GiveUp comes first
	Cancel(t *Attempt) // nothing of it is waited for any more, and nothing of it may be written from now on
	Drain()            // the connections that are there or being made take nothing new, and close once nothing is open on them

	// OldestIdle is since when the connection has stood that has stood idle for longest; false: none is idle.
	OldestIdle() (since time.Duration, any bool)
	EvictIdle() // closes that connection
}

// AttemptResult is what became of an attempt that was not served, in no protocol's words.
type AttemptResult int

// The results.
const (
	NoLocalCapacity AttemptResult = iota + 1 // nothing went out, for want of something here
	NotFullySent                             // no connection came up, or it broke before the last byte was handed over
	RefusedByNode                            // the node said that it did not begin it
	ConnectionLost                           // the connection, or its part in it, broke after the last byte
	BadResponse                              // the node answered, with an error or with what is no answer
)

// outcome is the one table of what may have run, for all protocols: after NoRoom, NeverLeft and TurnedAway nothing has, after
// the others it may. RESP2 tells TurnedAway by -BUSY; HTTP/2 by REFUSED_STREAM, by GOAWAY with a lower last stream (RFC 9113,
// 8.7), or by an answer that promises it.
func (f AttemptResult) outcome() decide.Outcome {
	switch f {
	case NoLocalCapacity:
		return decide.NotSent
	case NotFullySent:
		return decide.NoConnection
	case RefusedByNode:
		return decide.Rejected
	case ConnectionLost:
		return decide.Reset
	}
	return decide.Error
}

// Endpoint is a node as its transport sees it: connections to it are counted with all others.
type Endpoint struct {
	p    *pool
	s    *upstream
	addr string
}

// Addr is host:port.
func (n *Endpoint) Addr() string { return n.addr }

// ReserveConn counts a connection that is to be made. It reports false if there is no room for it.
func (n *Endpoint) ReserveConn() bool {
	if n.p.conns >= n.p.room() {
		n.p.evict()
	}
	if n.s.conns >= n.p.perNode || n.p.conns >= n.p.room() {
		return false
	}
	n.s.conns++
	n.p.conns++
	return true
}

// Dial makes a connection that was taken, within the time for connecting or a shorter one, and lets the loop call done.
func (n *Endpoint) Dial(d *Core, within time.Duration, done func(net.Conn, error)) {
	within, addr := min(within, n.ConnectTimeout()), n.addr
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		dialer := net.Dialer{KeepAlive: -1}
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		d.Post(func() { done(conn, err) })
	}()
}

// DialFailureResult is what becomes of an attempt whose connection was not made, or came up to a node that is not there any more (nil).
func DialFailureResult(err error) AttemptResult {
	if err != nil && localFault(err) {
		return NoLocalCapacity
	}
	return NotFullySent
}

// ReleaseConn counts a connection off.
func (n *Endpoint) ReleaseConn() { n.p.dropped(n.s) }

// OverLimit reports that there are more connections than there may be, as a reload has lowered the bound: one that falls idle is to
// be closed.
func (n *Endpoint) OverLimit() bool { return n.p.conns > n.p.most || n.s.conns > n.p.perNode }

// ConnectTimeout is how long the making of a connection may take.
func (n *Endpoint) ConnectTimeout() time.Duration { return n.p.dialFor }

// IdleTimeout is how long a connection may stand idle, well within the time after which nodes may close it; 0: for ever.
func (n *Endpoint) IdleTimeout() time.Duration { return n.p.idleFor }

// Attempt is one attempt, for a transport.
type Attempt struct {
	l             *loop
	a             *attempt
	transport     Transport // that it was started by: a node that has moved has another; nil: by none
	TransportData any       // the transport's own
}

// Request are the request's. Patience and Came are not for the node: Left is what it may take.
func (t *Attempt) Request() *Request { return t.a.req.v }

// RemainingTime is how long it will be waited for.
func (t *Attempt) RemainingTime() time.Duration { return t.a.until - t.l.clock.Now() }

// Revalidate looks again before the first byte, as all may have changed while a connection was made: the attempt may have been
// called off or its request answered, its node may drain or have moved, and the time in which nodes know its key may be over. If it reports false, the try has ended.
func (t *Attempt) Revalidate() bool {
	switch a := t.a; {
	case a.over:
		return false
	case a.req.done:
		t.l.ended(a, decide.Cancelled)
		return false
	case a.server.entry.State != decide.Serving, a.writeBy > 0 && t.l.clock.Now() >= a.writeBy:
		t.l.ended(a, decide.NoConnection)
		return false
	}
	return true
}

// MarkConnected tells that it has a connection: a time-out from now on is the node's.
func (t *Attempt) MarkConnected() { t.a.placed = true }

// MarkFullySent tells that the last byte may have been handed over.
func (t *Attempt) MarkFullySent() { t.a.whole = true }

// Succeed ends it with a node's value, and with what the node told of its use, as "used=86,units=3"; nil: nothing.
func (t *Attempt) Succeed(value, figures []byte) {
	if !t.a.over {
		t.l.served(t.a, value, figures)
	}
}

// Fail ends it. What broke before it was whole never left.
func (t *Attempt) Fail(f AttemptResult) {
	if f == ConnectionLost && !t.a.whole {
		f = NotFullySent
	}
	t.l.ended(t.a, f.outcome())
}
