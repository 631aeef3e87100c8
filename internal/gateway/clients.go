package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

const clientBuffer = 1 << 10 // bytes of a connection's read buffer between commands

// slot holds the place of an answer among those of its connection.
type slot struct {
	client *client
	req    *request // open, else nil
	end    ending
	ready  bool
}

// ended fills the slot and writes what is next in order.
func (s *slot) ended(l *loop, e ending) {
	s.req = nil
	s.fill(e)
	l.flush(s.client)
}

func (s *slot) fill(e ending) { s.end, s.ready = e, true }

// client is a connection of a client.
type client struct {
	outlet
	l       *loop
	slots   []*slot // in the order of the commands
	backlog []byte  // answers behind those that are being written
	used    time.Duration
	owed    atomic.Int32 // answers that the reader counts on the loop to give
	// owedMost is the bound by which the reader waits; it takes a new one with each read.
	owedMost atomic.Int32
	resume   chan struct{}
	weaned   atomic.Bool // no further command is waited for
	ending   bool        // to be closed once all is answered
	read     bool        // nothing more is read from it
	closed   bool
}

// received is one command as the reader found it: a request, or an answer that needs no decision.
type received struct {
	cmd   *command
	reply []byte
}

// commands hands what a client sent to the loop.
type commands struct {
	c     *client
	got   []received
	last  bool // nothing more is read from it
	fault bool // it sent what can't be read
}

func (e commands) apply(l *loop) {
	if e.c.closed {
		return
	}
	for _, r := range e.got {
		s := &slot{client: e.c}
		e.c.slots = append(e.c.slots, s)
		if r.cmd == nil {
			s.fill(ending{kind: endReady, value: r.reply})
		} else {
			s.req = l.accept(s, r.cmd)
		}
		l.drainTodo()
	}
	if len(e.got) > 0 {
		l.flush(e.c)
	}
	if e.last {
		e.c.ending, e.c.read = true, true
		l.endIfDone(e.c)
	}
	if e.fault && !e.c.closed {
		l.at(l.clock.now()+l.tune.Load().Clients.Fault, func() { l.closeClient(e.c) })
	}
}

// left tells that a client closed its connection.
type left struct{ c *client }

func (e left) apply(l *loop) { l.closeClient(e.c) }

// joined tells of a new connection.
type joined struct{ c *client }

func (e joined) apply(l *loop) {
	<-l.ahead
	e.c.used = l.clock.now()
	if !l.admit(e.c) {
		e.c.conn.Close() // unread: the client sends what it may have written once more, elsewhere
		return
	}
	r := reader{c: e.c, cfg: &l.cfg, clock: l.clock, tune: l.tune, post: l.in.post}
	go r.run()
	if l.closing {
		l.at(e.c.used+l.tune.Load().Stop.LastCall, func() { l.wean(e.c) })
	}
}

// admit counts a client's connection among the descriptors. It reports false if there is no room.
func (l *loop) admit(c Conn) bool {
	if len(l.clients) >= sockets(l.cfg.Sockets, l.tune.Load().Clients.Descriptors) {
		l.evictClient()
	}
	if len(l.clients) >= l.cfg.Sockets-leastSockets {
		return false
	}
	l.clients[c] = struct{}{}
	return true
}

// Quiet reports that nothing is owed on the connection.
func (c *client) Quiet() bool { return len(c.slots) == 0 && !c.busy && !c.ending }

// Used is when it was last answered, or came.
func (c *client) Used() time.Duration { return c.used }

// Wean ends it between requests.
func (c *client) Wean() { c.l.wean(c) }

// Close ends it at once.
func (c *client) Close() { c.l.closeClient(c) }

// evictClient makes room for a new connection by closing the one that has been quiet for longest. (Closing those
// that have not asked yet in its place was measured: in a crowd of newcomers it is they who are about to ask.) If
// all are owed answers nothing is closed, and the new one takes from the servers' share of descriptors.
func (l *loop) evictClient() {
	var quiet Conn
	for c := range l.clients {
		if c.Quiet() && (quiet == nil || c.Used() < quiet.Used()) {
			quiet = c
		}
	}
	if quiet != nil {
		quiet.Wean()
	}
}

// wean ends a connection between requests: its reader stops once nothing more waits in the kernel, and when what
// it had read is answered the connection is closed. Closing at once would lose a request that has come.
func (l *loop) wean(c *client) {
	c.ending = true
	c.weaned.Store(true)
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		l.closeClient(c) // already broken
	}
}

// flush writes the answers that are next in order, in one write.
func (l *loop) flush(c *client) {
	n := 0
	for n < len(c.slots) && c.slots[n].ready {
		c.backlog = c.slots[n].end.appendRESP(c.backlog)
		n++
	}
	if n > 0 {
		c.slots = slices.Delete(c.slots, 0, n)
		c.used = l.clock.now()
		if before := c.owed.Add(int32(-n)) + int32(n); before >= c.owedMost.Load() {
			select {
			case c.resume <- struct{}{}:
			default:
			}
		}
	}
	l.push(c)
	l.endIfDone(c)
}

// push writes the backlog, unless an earlier write is still going on.
func (l *loop) push(c *client) {
	if c.closed {
		c.backlog = nil
		return
	}
	if len(c.backlog) > l.tune.Load().Clients.Unread {
		l.closeClient(c)
		return
	}
	if c.busy || len(c.backlog) == 0 {
		return
	}
	n, err := c.try(c.backlog)
	if err != nil {
		l.closeClient(c)
		return
	}
	if n == len(c.backlog) {
		c.backlog = c.backlog[:0]
		return
	}
	rest := c.backlog[n:]
	c.backlog = nil
	c.finish(rest, l.tune.Load().Clients.Write, l.in.post, func(err error) event { return flushed{c, err} })
}

// flushed tells how a slow write to a client ended.
type flushed struct {
	c   *client
	err error
}

func (e flushed) apply(l *loop) {
	e.c.busy = false
	if e.err != nil {
		l.closeClient(e.c)
		return
	}
	l.push(e.c)
	l.endIfDone(e.c)
}

// endIfDone closes a connection whose reader has stopped and on which nothing is owed.
func (l *loop) endIfDone(c *client) {
	if c.read && !c.closed && len(c.slots) == 0 && !c.busy && len(c.backlog) == 0 {
		l.closeClient(c)
	}
}

// closeClient ends a connection. What was open on it is over: no one waits for it any more.
func (l *loop) closeClient(c *client) {
	if c.closed {
		return
	}
	c.closed = true
	c.conn.Close()
	close(c.resume)
	delete(l.clients, c)
	for _, s := range c.slots {
		if s.req != nil {
			l.abandon(s.req)
		}
	}
	c.slots, c.backlog = nil, nil
}

// acceptClients takes connections until the listener is closed or the context ends. Only so many are taken
// ahead of the loop, which bounds the descriptors: hundreds that come at once wait in the kernel.
func acceptClients(ctx context.Context, ln net.Listener, l *loop) {
	l.accepting(ctx, ln, func(conn net.Conn) event {
		out, err := newOutlet(conn)
		if err != nil {
			l.log.Error("accepting a connection", "err", err)
			return nil
		}
		return joined{newClient(l, out)}
	})
}

// accepting takes connections and posts what comes of each; nil: nothing, and the connection is closed.
func (l *loop) accepting(ctx context.Context, ln net.Listener, take func(net.Conn) event) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("accepting a connection", "err", err)
			sleep(ctx, 10*time.Millisecond) // out of descriptors: some may be free then
			continue
		}
		e := take(conn)
		if e == nil {
			conn.Close()
			continue
		}
		select {
		case l.ahead <- struct{}{}:
			l.in.post(e)
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

func newClient(l *loop, out outlet) *client {
	return &client{outlet: out, l: l, resume: make(chan struct{}, 1)}
}
