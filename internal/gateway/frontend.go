package gateway

import (
	"context"
	"log/slog"
	"net"
	"time"

	"sloepick/decide"
	"sloepick/internal/tuning"
)

// Frontend accepts clients over one protocol. Listen is called first, during startup. Serve accepts
// connections, in a goroutine of its own, until the backlog is drained or the frontend is closed. DrainBacklog
// and Close may be called repeatedly and from any goroutine.
type Frontend interface {
	Listen(ctx context.Context) error
	Serve(ctx context.Context, core *Core)
	DrainBacklog(by time.Time) // accepts pending connections, until that time at most, and then closes the listener
	Close() error
}

// ClientConn is a client's connection over any protocol. The core counts it towards the descriptor limit and
// calls its methods on the event loop.
type ClientConn interface {
	Idle() bool              // no response is owed on it, so it may be drained to make room for another one
	LastUsed() time.Duration // when it was last answered; if it never was, when it was accepted

	// Drain reads what has arrived, answers everything and closes. Over HTTP/2, only a shutdown leaves time to
	// read: otherwise streams that have not been read yet are ignored, and the client is told so.
	Drain()
	Close() // closes at once and abandons open requests
}

// Responder stands for the client of a request. Its methods are called on the event loop. Respond is called once,
// possibly before Submit returns.
type Responder interface {
	Respond(r Response)

	// CheckClient is called before anything is sent to a node. It closes the connection if the client has left. It reports false
	// if the client has left, or may have left without a sign of it: then nothing may be sent for it.
	CheckClient() (connected bool)
}

// RequestHandle identifies a request. The zero value identifies none.
type RequestHandle struct{ r *requestState }

// Open reports whether the handle identifies a request, that is, is not the zero value. It stays true after the
// response, unless the holder sets the handle to the zero value then.
func (h RequestHandle) Open() bool { return h.r != nil }

// Core is the interface of the gateway's core for frontends, backends and fleet members. Post, Closing, Log,
// Now, Tuning, SetMembership, DeliverMessage and DeliverRecoverySnapshot may also be called from other goroutines,
// and those of them that post must not be called on the event loop (see Post). All other methods must be called
// on the event loop, which also runs the functions given to Post, Schedule and Defer.
type Core struct{ l *eventLoop }

// Post runs a function on the event loop. It blocks while the inbox of the event loop is full, so the event loop
// itself must not call it: nothing else empties the inbox.
func (c *Core) Post(f func()) { c.l.inbox.post(f) }

// postAccepted passes an accepted connection to the event loop. Only a limited number of connections is
// accepted before the event loop has counted them: this bounds the number of descriptors, and a burst of
// connections waits in the kernel. It reports false if the context has ended.
func (c *Core) postAccepted(ctx context.Context, conn net.Conn, take func(net.Conn)) bool {
	select {
	case c.l.acceptSlots <- struct{}{}:
		c.l.inbox.post(func() {
			<-c.l.acceptSlots
			take(conn)
		})
		return true
	case <-ctx.Done():
		conn.Close()
		return false
	}
}

// Closing returns a channel that is closed when a shutdown starts to drain the listeners and connections.
// Connections from the backlog may still be admitted after that (see AdmitConn).
func (c *Core) Closing() <-chan struct{} { return c.l.closingCh }

// Log returns the gateway's logger.
func (c *Core) Log() *slog.Logger { return c.l.log }

// Now returns the current time of the gateway's clock.
func (c *Core) Now() time.Duration { return c.l.clock.Now() }

// Tuning returns the current tuning values.
func (c *Core) Tuning() *tuning.Tuning { return c.l.tuning.Load() }

// Schedule calls a function at a given time, unless it is cancelled before.
func (c *Core) Schedule(t time.Duration, f func()) (cancel func()) {
	a := c.l.schedule(t, f)
	return func() { c.l.cancelTimer(a) }
}

// Defer calls a function at the end of the current turn of the event loop.
func (c *Core) Defer(f func()) { c.l.deferred = append(c.l.deferred, f) }

// AdmitConn counts a client's connection and reports false if there is no room for it. A connection that is
// admitted during shutdown is drained soon after.
func (c *Core) AdmitConn(conn ClientConn) bool { return c.AdmitLargeConn(conn, 0) }

// AdmitLargeConn is AdmitConn for a connection that holds more memory than others while it is idle, by that many bytes. Such
// connections have a share of the memory that they don't exceed together.
func (c *Core) AdmitLargeConn(conn ClientConn, extraBytes int) bool {
	if !c.l.admitConn(conn, extraBytes) {
		return false
	}
	if c.l.closing {
		c.l.schedule(c.Now()+c.l.tuning.Load().Shutdown.LateConnTimeout, conn.Drain)
	}
	return true
}

// RemoveConn removes a connection that was closed.
func (c *Core) RemoveConn(conn ClientConn) {
	c.l.removeConn(conn)
}

// HoldMemory accounts for bytes that a client connection holds or, if negative, releases. It may be called from any goroutine.
func (c *Core) HoldMemory(bytes int) { c.l.memory.add(bytes) }

// MemoryShort reports whether that many bytes would leave less memory than is kept for the requests of clients that read and
// write steadily. It may be called from any goroutine.
func (c *Core) MemoryShort(bytes int) bool { return !c.l.memory.hasUnreserved(bytes) }

// Submit submits a request to the core.
func (c *Core) Submit(responder Responder, v *Request) RequestHandle {
	return RequestHandle{c.l.submit(responder, v)}
}

// ProcessPending passes pending events, such as requests submitted or abandoned in this turn, to the decision
// module at once, instead of when the current function on the event loop returns. Frontends call it after each
// command of a batch: if the response to a request that is answered at once can't be written, or the client has left,
// the connection is closed, and the rest of the batch must not be submitted.
func (c *Core) ProcessPending() { c.l.processPending() }

// Abandon ends a request whose client has disconnected.
func (c *Core) Abandon(h RequestHandle) { c.l.abandon(h.r) }

// Allowance returns what the customer's bucket at this gateway has room for; the other gateways' buckets are not
// considered. It reports false for an unknown plan and for one without a rate.
func (c *Core) Allowance(customer, plan string) (decide.Allowance, bool) {
	return c.l.decider.Allowance(c.Now(), customer, plan)
}

// SetInput is InputMemory.Set on the event loop. If there is no room, it closes connections whose clients have stopped reading.
func (c *Core) SetInput(m *InputMemory, bytes int, since time.Duration, established bool) (fits bool) {
	for fits = m.Set(bytes, since, established); !fits; fits = m.fits() {
		if m.shareIsFull() || !c.l.closeLongestStalled() {
			return false
		}
	}
	return true
}

// MakeRoomForInput closes connections whose clients have stopped reading, if what their responses hold is missing to a
// connection that waits for input memory.
func (c *Core) MakeRoomForInput() {
	for c.l.memory.waiterNeeds() > 0 && c.l.closeLongestStalled() {
	}
}
