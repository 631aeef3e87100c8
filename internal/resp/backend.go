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

const initialReadBuffer = 1 << 10 // bytes; size of a connection's read buffer until a reply needs more

// Backend sends requests to nodes by RESP2. It implements gateway.Backend. An attempt is one command on a connection
// that carries nothing else until the reply has arrived: commands are not pipelined.
type Backend struct{}

// NewTransport implements gateway.Backend.
func (Backend) NewTransport(core *gateway.Core, endpoint *gateway.Endpoint) gateway.Transport {
	return &connPool{core: core, endpoint: endpoint}
}

// connPool is the pool of connections to one node at one address. It implements gateway.Transport. It is accessed
// only by the loop.
type connPool struct {
	core              *gateway.Core
	endpoint          *gateway.Endpoint
	idle              []*conn // least recently used first; the last one is the least likely to have been closed by the server
	generation        int     // incremented by Drain; a connection of an earlier generation takes no new attempts
	evictionScheduled bool
}

// conn is a connection to a node. It carries one attempt at a time, because canceling an attempt closes the connection.
type conn struct {
	pool         *connPool
	nc           net.Conn
	writer       *gateway.Writer
	generation   int                            // the pool's generation when the connection was requested
	attempt      *gateway.Attempt               // the attempt whose reply is expected; nil if none
	fullySent    bool                           // the kernel has taken the last byte of the attempt's command
	earlyReply   *nodeReply                     // a reply that the loop saw before the writer reported the last byte as sent
	replyTimeout gateway.Mailbox[time.Duration] // tells the reader to expect a reply, and the maximum time from its first byte to its last
	lastUsed     time.Duration
	closed       bool
}

// Start implements gateway.Transport. It sends the attempt on an idle connection or on a new one.
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

// takeIdle removes and returns the most recently used idle connection among those that have been idle for at least
// Nodes.Rest, or nil. Bytes that a server sends right after a reply, such as a duplicate of it, arrive about as long
// after they were sent as the reply did, give or take network jitter. A connection that has been idle for this time
// with an empty receive queue is in sync. If it were reused sooner, the next request could receive another request's
// reply.
func (p *connPool) takeIdle() *conn {
	cutoff := p.core.Now() - p.core.Tuning().Nodes.ReuseDelay
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

// finishDial sends the attempt on the new connection, after checking that it is still wanted: while the connection
// was being established, the attempt may have been canceled or its request answered, and the server may have been
// drained or moved to another address. Without this check a request could be sent after its final response, or to a
// server that must not get new requests.
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
		t.Fail(gateway.NotFullySent)
		return
	}
	if !t.Revalidate() {
		c.putIdle()
		return
	}
	if !c.send(t) {
		t.Fail(gateway.NotFullySent)
	}
}

func newConn(pool *connPool, nc net.Conn, generation int) *conn {
	return &conn{pool: pool, nc: nc, writer: gateway.NewWriter(nc), generation: generation, lastUsed: pool.core.Now(), replyTimeout: gateway.NewMailbox[time.Duration]()}
}

// Cancel implements gateway.Transport.
func (p *connPool) Cancel(t *gateway.Attempt) {
	if c, ok := t.TransportData.(*conn); ok {
		c.close() // its reply is still outstanding, so the connection can't be reused
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

// evictExpired closes idle connections well before the server may close them. A request written to a connection that
// the server is closing would fail with a reset, and a request that must not run twice can't be retried after that.
func (p *connPool) evictExpired() {
	idleTimeout := p.endpoint.IdleTimeout()
	for now := p.core.Now(); len(p.idle) > 0 && p.idle[0].lastUsed+idleTimeout <= now; {
		p.idle[0].close()
	}
	if p.evictionScheduled = len(p.idle) > 0; p.evictionScheduled {
		p.core.Schedule(p.idle[0].lastUsed+idleTimeout, p.evictExpired)
	}
}

// send writes the attempt's command to the connection. It reports false if no byte was written: nothing has reached
// the server, so another connection can be used. A connection with unexpected bytes in its receive queue is out of
// sync or closed by the server; it is closed without a write.
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
			t.Fail(gateway.NotFullySent) // the connection broke before the last byte
		}
		return n > 0
	}
	c.attempt, c.fullySent, c.lastUsed = t, false, c.pool.core.Now()
	t.TransportData = c
	t.MarkConnected()
	c.replyTimeout.TrySend(c.pool.core.Tuning().Nodes.ResponseReadTimeout) // never full: the reader has received the previous value
	if n == len(b) {
		c.fullySent = true
		t.MarkFullySent()
		return true
	}
	c.writer.WriteAsync(b[n:], t.RemainingTime(), c.pool.core, func(err error) { c.finishWrite(t, err) })
	return true
}

// finishWrite handles the end of the asynchronous write of a large command. The server may have replied already.
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

// holdEarlyReply keeps a reply that arrived while its command was still being written, for at most Nodes.Answer. The
// writer reports completion to the loop only after the kernel has taken the last byte, and the reply of a fast server
// can overtake that report. If the server replied to an incomplete command, the writer does not complete and the
// reply is invalid.
func (c *conn) holdEarlyReply(reply nodeReply) {
	c.earlyReply = &reply
	c.pool.core.Schedule(c.pool.core.Now()+c.pool.core.Tuning().Nodes.ResponseReadTimeout, func() {
		if c.earlyReply == &reply {
			c.earlyReply = nil
			c.handleFailure(false)
		}
	})
}

// putIdle returns the connection to the pool for the next attempt, or closes it if it can't be reused.
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

// handleReply processes a complete reply of the server.
func (c *conn) handleReply(reply nodeReply) {
	if c.closed {
		return
	}
	t := c.attempt
	if t != nil && !c.fullySent && c.writer.Busy() && c.earlyReply == nil {
		c.holdEarlyReply(reply)
		return
	}
	if t == nil || !c.fullySent { // unsolicited, or the command was not fully sent: not a valid reply
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

// handleFailure handles the loss of the connection, or an invalid reply on it.
func (c *conn) handleFailure(invalidReply bool) {
	if c.closed {
		return
	}
	c.close()
	switch t := c.attempt; {
	case t == nil || c.writer.Busy(): // finishWrite will report whether the last byte was written
	case invalidReply && c.fullySent:
		t.Fail(gateway.BadResponse) // the server replied, so the request may have run
	default:
		t.Fail(gateway.ConnectionLost)
	}
}

// readLoop reads one reply for each command that was sent, until the connection ends or a reply is invalid. Between
// replies it reads nothing: unsolicited bytes stay in the kernel's receive queue, where send detects them. If they
// were read here, a duplicate reply already in the reader's buffer could be taken for the reply to the next request.
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
			return // handleReply closes the connection
		}
		if buf = buf[:0]; cap(buf) > initialReadBuffer {
			buf = make([]byte, 0, initialReadBuffer)
		}
	}
}

// readReply reads one reply. A server writes a reply in one go; one that is not complete within the timeout after its
// first byte is treated as invalid, so that the request's remaining time is not spent waiting for it.
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
