package resp

import (
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"sloepick/internal/gateway"
)

const initialReadBuffer = 1 << 10 // bytes of a connection's first read buffer

// Backend reaches nodes: an attempt is a command on a connection that carries nothing else meanwhile.
type Backend struct{}

// NewTransport implements gateway.Back.
func (Backend) NewTransport(core *gateway.Core, endpoint *gateway.Endpoint) gateway.Transport {
	return &connPool{core: core, endpoint: endpoint}
}

// connPool is a connPool at an address. All of it is the loop's.
type connPool struct {
	core              *gateway.Core
	endpoint          *gateway.Endpoint
	idle              []*conn // the last used last: it is the least likely to have been closed
	generation        int     // counts; a connection from before the last one takes nothing new
	evictionScheduled bool
}

// conn is a connection to a node. It carries one attempt at a time, as giving an attempt up closes it.
type conn struct {
	pool         *connPool
	nc           net.Conn
	writer       *gateway.Writer
	generation   int                            // the node's, when it was asked for
	attempt      *gateway.Attempt               // whose answer is owed
	fullySent    bool                           // the last byte of it was handed over
	earlyReply   *nodeReply                     // came before it was known here that the last byte was handed over
	replyTimeout gateway.Mailbox[time.Duration] // tells the reader that an answer is owed, and how long one may take once it has begun
	lastUsed     time.Duration
	closed       bool
}

// Start implements gateway.Transport: on an idle connection, or on a new one.
func (p *connPool) Start(t *gateway.Attempt) {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if c.send(t) {
			return
		}
	}
	if !p.endpoint.ReserveConn() {
		t.Fail(gateway.NoLocalCapacity)
		return
	}
	p.dial(t)
}

// takeIdle takes the idle connection that was used last, of those that have stood for a while. What a server sends
// right behind an answer, such as a second copy, is on its way as long as the answer was, give or take the network's
// jitter. A connection that has stood for this long with nothing in the kernel is in step; one that is used sooner
// might bring the next request another one's answer.
func (p *connPool) takeIdle() *conn {
	cutoff := p.core.Now() - p.core.Tuning().Nodes.Rest
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.lastUsed <= cutoff {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *connPool) dial(t *gateway.Attempt) {
	generation := p.generation
	p.endpoint.Dial(p.core, t.RemainingTime(), func(nc net.Conn, err error) { p.finishDial(t, generation, nc, err) })
}

// finishDial looks again before the first byte: while the connection was made the attempt may have been called
// off or its request answered, and its server may have been drained or moved. Without this a request would
// go out after its final answer, or to a server that was told to be let alone.
func (p *connPool) finishDial(t *gateway.Attempt, generation int, nc net.Conn, err error) {
	if err != nil {
		p.endpoint.ReleaseConn()
		t.Fail(gateway.DialFailureResult(err))
		return
	}
	c := newConn(p, nc, generation)
	go c.readLoop()
	if generation != p.generation {
		c.close()
		t.Fail(gateway.NotSent)
		return
	}
	if !t.Revalidate() {
		c.putIdle()
		return
	}
	if !c.send(t) {
		t.Fail(gateway.NotSent)
	}
}

func newConn(pool *connPool, nc net.Conn, generation int) *conn {
	return &conn{pool: pool, nc: nc, writer: gateway.NewWriter(nc), generation: generation, lastUsed: pool.core.Now(), replyTimeout: gateway.NewMailbox[time.Duration]()}
}

// Cancel implements gateway.Transport.
func (p *connPool) Cancel(t *gateway.Attempt) {
	if c, ok := t.TransportData.(*conn); ok {
		c.close() // an answer is owed on it, so it can't be used again
	}
}

// Drain implements gateway.Transport.
func (p *connPool) Drain() {
	p.generation++
	for len(p.idle) > 0 {
		p.idle[len(p.idle)-1].close()
	}
}

// OldestIdle implements gateway.Transport.
func (p *connPool) OldestIdle() (lastUsed time.Duration, ok bool) {
	if len(p.idle) == 0 {
		return 0, false
	}
	return p.idle[0].lastUsed, true
}

// EvictIdle implements gateway.Transport.
func (p *connPool) EvictIdle() { p.idle[0].close() }

// evictExpired retires connections well before the server may close them: a request written to one that is being
// closed would end as a reset, which for a request that must not run twice is the end.
func (p *connPool) evictExpired() {
	idleTimeout := p.endpoint.IdleTimeout()
	for now := p.core.Now(); len(p.idle) > 0 && p.idle[0].lastUsed+idleTimeout <= now; {
		p.idle[0].close()
	}
	if p.evictionScheduled = len(p.idle) > 0; p.evictionScheduled {
		p.core.Schedule(p.idle[0].lastUsed+idleTimeout, p.evictExpired)
	}
}

// send sends an attempt on a connection. It reports false if the connection took nothing of it, so that
// another may be tried: nothing has reached the server. A connection on which something waits unasked is out
// of step, or at its end, and takes nothing.
func (c *conn) send(t *gateway.Attempt) bool {
	if !c.writer.ReceiveQueueEmpty() {
		c.close()
		return false
	}
	b := commandFor(t.Request()).encode(t.RemainingTime())
	n, err := c.writer.TryWrite(b)
	if err != nil {
		c.close()
		if n > 0 {
			t.Fail(gateway.NotSent) // broken before the last byte
		}
		return n > 0
	}
	c.attempt, c.fullySent, c.lastUsed = t, false, c.pool.core.Now()
	t.TransportData = c
	t.MarkConnected()
	c.replyTimeout.TrySend(c.pool.core.Tuning().Nodes.Answer) // the reader has taken the one before
	if n == len(b) {
		c.fullySent = true
		t.MarkFullySent()
		return true
	}
	c.writer.WriteAsync(b[n:], t.RemainingTime(), c.pool.core, func(err error) { c.finishWrite(t, err) })
	return true
}

// finishWrite takes how the writing of a large request ended. The server may have answered by then.
func (c *conn) finishWrite(t *gateway.Attempt, err error) {
	earlyReply := c.earlyReply
	c.earlyReply = nil
	if err == nil {
		c.fullySent = true
		t.MarkFullySent()
	}
	if err != nil || c.closed {
		c.close()
		t.Fail(gateway.ConnectionLost)
		return
	}
	if earlyReply != nil {
		c.handleReply(*earlyReply)
	}
}

// holdEarlyReply keeps an answer that came while its request was still being written here. The writer tells the loop that it is done
// after the kernel has taken the last byte, and a fast server's answer may overtake that; a server that answers half a request
// leaves the writer waiting, and what it said is no answer.
func (c *conn) holdEarlyReply(reply nodeReply) {
	c.earlyReply = &reply
	c.pool.core.Schedule(c.pool.core.Now()+c.pool.core.Tuning().Nodes.Answer, func() {
		if c.earlyReply == &reply {
			c.earlyReply = nil
			c.handleFailure(false)
		}
	})
}

// putIdle keeps a connection for the next attempt.
func (c *conn) putIdle() {
	p := c.pool
	if c.closed || c.writer.Busy() || c.generation != p.generation || p.endpoint.OverLimit() {
		c.close()
		return
	}
	c.lastUsed = p.core.Now()
	p.idle = append(p.idle, c)
	if idleTimeout := p.endpoint.IdleTimeout(); !p.evictionScheduled && idleTimeout > 0 {
		p.evictionScheduled = true
		p.core.Schedule(c.lastUsed+idleTimeout, p.evictExpired)
	}
}

func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	c.replyTimeout.Close()
	if i := slices.Index(c.pool.idle, c); i >= 0 {
		c.pool.idle = slices.Delete(c.pool.idle, i, i+1)
	}
	c.pool.endpoint.ReleaseConn()
}

// handleReply takes a server's whole answer.
func (c *conn) handleReply(reply nodeReply) {
	if c.closed {
		return
	}
	t := c.attempt
	if t != nil && !c.fullySent && c.writer.Busy() && c.earlyReply == nil {
		c.holdEarlyReply(reply)
		return
	}
	if t == nil || !c.fullySent { // nobody asked, or not all of it: what a server says to that is no answer
		c.handleFailure(false)
		return
	}
	c.attempt = nil
	if reply.inSync {
		c.putIdle()
	} else {
		c.close()
	}
	if reply.result != 0 {
		t.Fail(reply.result)
		return
	}
	t.Succeed(reply.value, reply.usage)
}

// handleFailure takes that a connection ended, or carried what is no answer.
func (c *conn) handleFailure(invalidReply bool) {
	if c.closed {
		return
	}
	c.close()
	switch t := c.attempt; {
	case t == nil || c.writer.Busy(): // the writer still has to tell whether it had written the last byte
	case invalidReply && c.fullySent:
		t.Fail(gateway.BadResponse) // the server answered, so the request may have run
	default:
		t.Fail(gateway.ConnectionLost)
	}
}

// readLoop hands on one answer for each request that is written, until the connection ends or carries what is no
// answer. In between it reads nothing: what comes unasked stays in the kernel, where write finds it. If it were
// readLoop here, a copy in the reader's hands could meet the next request and pass for its answer.
func (c *conn) readLoop() {
	buf := make([]byte, 0, initialReadBuffer)
	for timeout, ok := c.replyTimeout.Receive(); ok; timeout, ok = c.replyTimeout.Receive() {
		reply, err := c.readReply(&buf, timeout)
		if err != nil {
			c.pool.core.Post(func() { c.handleFailure(errors.Is(err, errInvalidReply)) })
			return
		}
		c.pool.core.Post(func() { c.handleReply(reply) })
		if !reply.inSync {
			return // the loop closes it
		}
		if buf = buf[:0]; cap(buf) > initialReadBuffer {
			buf = make([]byte, 0, initialReadBuffer)
		}
	}
}

// readReply reads one. A server writes an answer in one go: one that has begun and is not whole within the time
// trickles, and the request has better uses for the time that is left to it.
func (c *conn) readReply(buf *[]byte, timeout time.Duration) (nodeReply, error) {
	b := *buf
	for started := false; ; {
		if len(b) == cap(b) {
			b = slices.Grow(b, cap(b))
		}
		n, err := c.nc.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*buf = b
		reply, used, parseErr := parseReply(b)
		switch {
		case parseErr != nil, errors.Is(err, os.ErrDeadlineExceeded):
			return reply, errInvalidReply
		case used > 0:
			reply.value, reply.usage = bytes.Clone(reply.value), bytes.Clone(reply.usage)
			reply.inSync = reply.inSync && used == len(b) && err == nil
			if started {
				err = c.nc.SetReadDeadline(time.Time{})
			}
			return reply, err
		case err != nil:
			return reply, err
		case !started:
			started = true
			if err := c.nc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				return reply, err
			}
		}
	}
}
