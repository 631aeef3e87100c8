package gateway

import (
	"context"
	"net"
	"time"

	"sloepick/decide"
)

// Backend connects to nodes over one protocol. A node's kind, as reported by discovery, selects the backend
// (see Config.BackendsByKind).
type Backend interface {
	// NewTransport returns the transport for the node at an address. It is called on the event loop.
	NewTransport(core *Core, endpoint *Endpoint) Transport
}

// Transport sends attempts to one node at one address. Its methods are called on the event loop.
type Transport interface {
	Start(a *Attempt)  // must report the result once, by Succeed or Fail, unless Cancel is called first
	Cancel(a *Attempt) // no result is expected any more, and nothing more of the request may be written

	// Drain makes open connections accept no new attempts and close when their last attempt ends. A pending
	// connection is closed as soon as it is established, and the attempts that wait for it fail.
	Drain()

	// OldestIdle returns since when the longest idle connection has been idle; false: no connection is idle.
	OldestIdle() (since time.Duration, any bool)
	EvictIdle() // closes that connection
}

// AttemptResult is the protocol-independent result of an attempt that did not succeed.
type AttemptResult int

// Results of failed attempts.
const (
	NoLocalCapacity AttemptResult = iota + 1 // nothing was sent, for lack of a local resource
	NotFullySent                             // no connection was established, or it failed before the last byte was sent
	RefusedByNode                            // the node reported that it did not start processing the request
	ConnectionLost                           // the connection or stream failed after the last byte was sent
	BadResponse                              // the node answered with an error or an invalid response
)

// outcome maps results to outcomes, for all protocols. It decides whether a request may have been executed:
// after NoLocalCapacity, NotFullySent and RefusedByNode it was not, after the others it may have been. RESP2
// signals RefusedByNode by -BUSY; HTTP/2 by REFUSED_STREAM, by GOAWAY with a lower last stream id (RFC 9113,
// 8.7), or by a response that states it.
func (r AttemptResult) outcome() decide.Outcome {
	switch r {
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

// Endpoint is a node as seen by its transport. Its connections count towards the gateway's limits.
type Endpoint struct {
	pool   *pool
	server *upstream
	addr   string
}

// Addr returns the node's address as host:port.
func (e *Endpoint) Addr() string { return e.addr }

// ReserveConn counts a connection that is about to be made. If the limit for all nodes together is reached, it
// first closes the connection that has been idle for longest, which may be another node's. It reports false if
// there is still no room, or if the limit for this node is reached.
func (e *Endpoint) ReserveConn() bool {
	if e.pool.conns >= e.pool.connLimit() {
		e.pool.evictIdle()
	}
	if e.server.conns >= e.pool.maxConnsPerServer || e.pool.conns >= e.pool.connLimit() {
		return false
	}
	e.server.conns++
	e.pool.conns++
	return true
}

// Dial makes a connection that ReserveConn has counted, within the connect timeout or a shorter time, and then
// calls done on the event loop.
func (e *Endpoint) Dial(core *Core, within time.Duration, done func(net.Conn, error)) {
	within, addr := min(within, e.ConnectTimeout()), e.addr
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		dialer := net.Dialer{KeepAlive: -1}
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		core.Post(func() { done(conn, err) })
	}()
}

// DialFailureResult is the result of an attempt whose connection could not be established, or (err is nil) was
// established to a node that has drained or moved since.
func DialFailureResult(err error) AttemptResult {
	if err != nil && isLocalFailure(err) {
		return NoLocalCapacity
	}
	return NotFullySent
}

// ReleaseConn stops counting a connection.
func (e *Endpoint) ReleaseConn() { e.pool.releaseConn(e.server) }

// OverLimit reports that there are more connections than allowed, because a reload has lowered the limit. The
// RESP2 backend then closes a connection instead of keeping it idle; the HTTP/2 backend does not check this.
func (e *Endpoint) OverLimit() bool {
	return e.pool.conns > e.pool.maxConns || e.server.conns > e.pool.maxConnsPerServer
}

// ConnectTimeout returns the time limit for establishing a connection.
func (e *Endpoint) ConnectTimeout() time.Duration { return e.pool.connectTimeout }

// IdleTimeout returns how long a connection may stay idle, which is well below the time after which nodes may
// close it; 0: no limit. Only the RESP2 backend uses it; the HTTP/2 backend has a setting of its own.
func (e *Endpoint) IdleTimeout() time.Duration { return e.pool.idleTimeout }

// Attempt is one attempt as seen by its transport.
type Attempt struct {
	loop          *eventLoop
	state         *attemptState
	transport     Transport // the transport that started it (a node that moves gets a new one); nil: not started
	TransportData any       // for use by the transport
}

// Request returns the request. ClientTimeout and ReceivedAt are not meant for the node; RemainingTime is the
// time it has.
func (a *Attempt) Request() *Request { return a.state.req.values }

// RemainingTime returns how much longer the gateway waits for the result.
func (a *Attempt) RemainingTime() time.Duration { return a.state.deadline - a.loop.clock.Now() }

// Revalidate checks, before the first byte is sent, that the attempt is still needed. While a connection was
// established, the attempt may have been cancelled or its request answered, the client may have left, the node may
// have stopped serving, or the time for which nodes remember the request's key may have run out. If Revalidate reports false, the
// attempt has ended. It does not notice that the node has moved or restarted: a transport must check for itself
// whether Drain was called since it began to connect.
func (a *Attempt) Revalidate() bool {
	s := a.state
	if s.ended {
		return false
	}
	maySend := s.req.mayBeSentFor()
	switch {
	case s.ended: // when its request ended
		return false
	case s.req.done:
		a.loop.endAttempt(s, decide.Cancelled)
		return false
	case !maySend:
		a.loop.endAttempt(s, decide.NotSent)
		return false
	case s.server.entry.State != decide.Serving, s.writeBy > 0 && a.loop.clock.Now() >= s.writeBy:
		a.loop.endAttempt(s, decide.NoConnection)
		return false
	}
	return true
}

// MarkConnected records that the attempt has a connection. A timeout from now on is attributed to the node.
func (a *Attempt) MarkConnected() { a.state.connected = true }

// MarkFullySent records that the last byte may have been sent.
func (a *Attempt) MarkFullySent() { a.state.fullySent = true }

// Succeed ends the attempt with a node's value and the usage it reported, such as "used=86,units=3"; nil: no
// usage.
func (a *Attempt) Succeed(value, usage []byte) {
	if !a.state.ended {
		a.loop.completeAttempt(a.state, value, usage)
	}
}

// Fail ends the attempt with a result. A connection lost before the request was fully sent counts as
// NotFullySent.
func (a *Attempt) Fail(result AttemptResult) {
	if result == ConnectionLost && !a.state.fullySent {
		result = NotFullySent
	}
	a.loop.endAttempt(a.state, result.outcome())
}
