package gateway

import (
	"context"
	"log/slog"
	"net"
	"time"

	"sloepick/decide"
	"sloepick/internal/tuning"
)

// Frontend takes clients in by a protocol of its own. Listen comes first, in the goroutine of the start; Serve takes
// connections, in one of its own, until the front has finished or is closed; Finish and Close may come more than once, from any
// goroutine.
type Frontend interface {
	Listen(ctx context.Context) error
	Serve(ctx context.Context, core *Core)
	DrainBacklog(by time.Time) // takes the connections that wait to be accepted, until that time at most, and closes
	Close() error
}

// ClientConn is a client's connection of any protocol, as the core counts it among the descriptors. Its methods are called by
// the loop.
type ClientConn interface {
	Idle() bool              // nothing is owed on it, so that it may be drained to make room
	LastUsed() time.Duration // when it was last answered, or came
	Drain()                  // takes what has come, answers all, and ends
	Close()                  // ends at once; what is open on it is abandoned
}

// Responder is a request's place on a front. Ended is called by the loop once, possibly before Ask returns.
type Responder interface{ Respond(r Response) }

// RequestHandle is an open request. The zero value is none: it has had its ending.
type RequestHandle struct{ r *requestState }

// Open reports that the handle is of a request.
func (h RequestHandle) Open() bool { return h.r != nil }

// Core is what fronts and backs see of the core. Post, Accept, Closing, Log, Now and Tuning may be called from any goroutine;
// the others are for the loop's, in which what Post is given runs, and what At and Later are.
type Core struct{ l *eventLoop }

// Post lets the loop call a function. It waits while the loop's inbox is full.
func (c *Core) Post(f func()) { c.l.inbox.post(f) }

// postAccepted lets the loop take a connection that was accepted. Only so many are accepted ahead of the loop, which bounds the
// descriptors: hundreds that come at once wait in the kernel. It reports false once the context has ended.
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

// Closing is closed when nothing new is taken any more.
func (c *Core) Closing() <-chan struct{} { return c.l.closingCh }

// Log is the gateway's.
func (c *Core) Log() *slog.Logger { return c.l.log }

// Now is the core's time.
func (c *Core) Now() time.Duration { return c.l.clock.Now() }

// Tuning is what operators set.
func (c *Core) Tuning() *tuning.Tuning { return c.l.tuning.Load() }

// Schedule calls a function at a time, unless it is called off.
func (c *Core) Schedule(t time.Duration, f func()) (cancel func()) {
	a := c.l.schedule(t, f)
	return func() { c.l.cancelTimer(a) }
}

// Defer calls a function at the end of the loop's turn.
func (c *Core) Defer(f func()) { c.l.deferred = append(c.l.deferred, f) }

// AdmitConn counts a connection, and reports false if there is no room for it. One that comes while the gateway ends is drained
// soon.
func (c *Core) AdmitConn(conn ClientConn) bool {
	if !c.l.admitConn(conn) {
		return false
	}
	if c.l.closing {
		c.l.schedule(c.Now()+c.l.tuning.Load().Stop.LastCall, conn.Drain)
	}
	return true
}

// RemoveConn forgets a connection that was closed.
func (c *Core) RemoveConn(conn ClientConn) { delete(c.l.clients, conn) }

// Submit takes a request into the core.
func (c *Core) Submit(responder Responder, v *Request) RequestHandle {
	return RequestHandle{c.l.submit(responder, v)}
}

// ProcessPending has the module hear at once of what was asked and abandoned in this turn; otherwise it does when the call that the loop
// makes returns. A front with many requests at hand calls it between them, so that each is held to what the one before left.
func (c *Core) ProcessPending() { c.l.processPending() }

// Abandon ends a request whose client has gone away.
func (c *Core) Abandon(h RequestHandle) { c.l.abandon(h.r) }

// Allowance is what the customer's bucket has room for now.
func (c *Core) Allowance(customer, plan string) (decide.Allowance, bool) {
	return c.l.decider.Allowance(c.Now(), customer, plan)
}

// admitConn counts a client's connection among the descriptors. It reports false if there is no room.
func (l *eventLoop) admitConn(c ClientConn) bool {
	if len(l.clients) >= descriptorShare(l.cfg.Sockets, l.tuning.Load().Clients.Descriptors) {
		l.evictClient()
	}
	if len(l.clients) >= l.cfg.Sockets-minSockets {
		return false
	}
	l.connSeq++
	l.clients[c] = l.connSeq
	return true
}

// evictClient makes room for a new connection by closing the one that has been quiet for longest. (Closing those
// that have not asked yet in its place was measured: in a crowd of newcomers it is they who are about to ask.) If
// all are owed answers nothing is closed, and the new one takes from the servers' share of descriptors.
func (l *eventLoop) evictClient() {
	var oldest ClientConn
	for c, n := range l.clients {
		if c.Idle() && (oldest == nil || c.LastUsed() < oldest.LastUsed() || c.LastUsed() == oldest.LastUsed() && n < l.clients[oldest]) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.Drain()
	}
}
