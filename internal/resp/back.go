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

const readFirst = 1 << 10 // bytes of a connection's first read buffer

// Backend reaches nodes: an attempt is a command on a connection that carries nothing else meanwhile.
type Backend struct{}

// NewTransport implements gateway.Back.
func (Backend) NewTransport(d *gateway.Core, p *gateway.Endpoint) gateway.Transport {
	return &node{d: d, place: p}
}

// node is a node at an address. All of it is the loop's.
type node struct {
	d        *gateway.Core
	place    *gateway.Endpoint
	idle     []*conn // the last used last: it is the least likely to have been closed
	retired  int     // counts; a connection from before the last one takes nothing new
	sweeping bool
}

// conn is a connection to a node. It carries one attempt at a time, as giving an attempt up closes it.
type conn struct {
	n       *node
	nc      net.Conn
	out     *gateway.Writer
	retired int                            // the node's, when it was asked for
	try     *gateway.Attempt               // whose answer is owed
	whole   bool                           // the last byte of it was handed over
	early   *answer                        // came before it was known here that the last byte was handed over
	asked   gateway.Mailbox[time.Duration] // tells the reader that an answer is owed, and how long one may take once it has begun
	used    time.Duration
	closed  bool
}

// Start implements gateway.Transport: on an idle connection, or on a new one.
func (n *node) Start(t *gateway.Attempt) {
	for c := n.rested(); c != nil; c = n.rested() {
		if c.write(t) {
			return
		}
	}
	if !n.place.ReserveConn() {
		t.Fail(gateway.NoLocalCapacity)
		return
	}
	n.dial(t)
}

// rested takes the idle connection that was used last, of those that have stood for a while. What a server sends
// right behind an answer, such as a second copy, is on its way as long as the answer was, give or take the network's
// jitter. A connection that has stood for this long with nothing in the kernel is in step; one that is used sooner
// might bring the next request another one's answer.
func (n *node) rested() *conn {
	by := n.d.Now() - n.d.Tuning().Nodes.Rest
	for i := len(n.idle) - 1; i >= 0; i-- {
		if c := n.idle[i]; c.used <= by {
			n.idle = slices.Delete(n.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (n *node) dial(t *gateway.Attempt) {
	retired := n.retired
	n.place.Dial(n.d, t.RemainingTime(), func(nc net.Conn, err error) { n.dialed(t, retired, nc, err) })
}

// dialed looks again before the first byte: while the connection was made the attempt may have been called
// off or its request answered, and its server may have been drained or moved. Without this a request would
// go out after its final answer, or to a server that was told to be let alone.
func (n *node) dialed(t *gateway.Attempt, retired int, nc net.Conn, err error) {
	if err != nil {
		n.place.ReleaseConn()
		t.Fail(gateway.DialFailureResult(err))
		return
	}
	c := newConn(n, nc, retired)
	go c.read()
	if retired != n.retired {
		c.close()
		t.Fail(gateway.NotFullySent)
		return
	}
	if !t.Revalidate() {
		c.park()
		return
	}
	if !c.write(t) {
		t.Fail(gateway.NotFullySent)
	}
}

func newConn(n *node, nc net.Conn, retired int) *conn {
	return &conn{n: n, nc: nc, out: gateway.NewWriter(nc), retired: retired, used: n.d.Now(), asked: gateway.NewMailbox[time.Duration]()}
}

// Cancel implements gateway.Transport.
func (n *node) Cancel(t *gateway.Attempt) {
	if c, ok := t.TransportData.(*conn); ok {
		c.close() // an answer is owed on it, so it can't be used again
	}
}

// Drain implements gateway.Transport.
func (n *node) Drain() {
	n.retired++
	for len(n.idle) > 0 {
		n.idle[len(n.idle)-1].close()
	}
}

// OldestIdle implements gateway.Transport.
func (n *node) OldestIdle() (since time.Duration, any bool) {
	if len(n.idle) == 0 {
		return 0, false
	}
	return n.idle[0].used, true
}

// EvictIdle implements gateway.Transport.
func (n *node) EvictIdle() { n.idle[0].close() }

// sweep retires connections well before the server may close them: a request written to one that is being
// closed would end as a reset, which for a request that must not run twice is the end.
func (n *node) sweep() {
	idleFor := n.place.IdleTimeout()
	for now := n.d.Now(); len(n.idle) > 0 && n.idle[0].used+idleFor <= now; {
		n.idle[0].close()
	}
	if n.sweeping = len(n.idle) > 0; n.sweeping {
		n.d.Schedule(n.idle[0].used+idleFor, n.sweep)
	}
}

// write sends an attempt on a connection. It reports false if the connection took nothing of it, so that
// another may be tried: nothing has reached the server. A connection on which something waits unasked is out
// of step, or at its end, and takes nothing.
func (c *conn) write(t *gateway.Attempt) bool {
	if !c.out.ReceiveQueueEmpty() {
		c.close()
		return false
	}
	b := commandOf(t.Request()).frame(t.RemainingTime())
	n, err := c.out.TryWrite(b)
	if err != nil {
		c.close()
		if n > 0 {
			t.Fail(gateway.NotFullySent) // broken before the last byte
		}
		return n > 0
	}
	c.try, c.whole, c.used = t, false, c.n.d.Now()
	t.TransportData = c
	t.MarkConnected()
	c.asked.TrySend(c.n.d.Tuning().Nodes.Answer) // the reader has taken the one before
	if n == len(b) {
		c.whole = true
		t.MarkFullySent()
		return true
	}
	c.out.WriteAsync(b[n:], t.RemainingTime(), c.n.d, func(err error) { c.sent(t, err) })
	return true
}

// sent takes how the writing of a large request ended. The server may have answered by then.
func (c *conn) sent(t *gateway.Attempt, err error) {
	early := c.early
	c.early = nil
	if err == nil {
		c.whole = true
		t.MarkFullySent()
	}
	if err != nil || c.closed {
		c.close()
		t.Fail(gateway.ConnectionLost)
		return
	}
	if early != nil {
		c.answered(*early)
	}
}

// hold keeps an answer that came while its request was still being written here. The writer tells the loop that it is done
// after the kernel has taken the last byte, and a fast server's answer may overtake that; a server that answers half a request
// leaves the writer waiting, and what it said is no answer.
func (c *conn) hold(a answer) {
	c.early = &a
	c.n.d.Schedule(c.n.d.Now()+c.n.d.Tuning().Nodes.Answer, func() {
		if c.early == &a {
			c.early = nil
			c.broke(false)
		}
	})
}

// park keeps a connection for the next attempt.
func (c *conn) park() {
	n := c.n
	if c.closed || c.out.Busy() || c.retired != n.retired || n.place.OverLimit() {
		c.close()
		return
	}
	c.used = n.d.Now()
	n.idle = append(n.idle, c)
	if idleFor := n.place.IdleTimeout(); !n.sweeping && idleFor > 0 {
		n.sweeping = true
		n.d.Schedule(c.used+idleFor, n.sweep)
	}
}

func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	c.asked.Close()
	if i := slices.Index(c.n.idle, c); i >= 0 {
		c.n.idle = slices.Delete(c.n.idle, i, i+1)
	}
	c.n.place.ReleaseConn()
}

// answered takes a server's whole answer.
func (c *conn) answered(a answer) {
	if c.closed {
		return
	}
	t := c.try
	if t != nil && !c.whole && c.out.Busy() && c.early == nil {
		c.hold(a)
		return
	}
	if t == nil || !c.whole { // nobody asked, or not all of it: what a server says to that is no answer
		c.broke(false)
		return
	}
	c.try = nil
	if a.inStep {
		c.park()
	} else {
		c.close()
	}
	if a.result != 0 {
		t.Fail(a.result)
		return
	}
	t.Succeed(a.value, a.figures)
}

// broke takes that a connection ended, or carried what is no answer.
func (c *conn) broke(spoilt bool) {
	if c.closed {
		return
	}
	c.close()
	switch t := c.try; {
	case t == nil || c.out.Busy(): // the writer still has to tell whether it had written the last byte
	case spoilt && c.whole:
		t.Fail(gateway.BadResponse) // the server answered, so the request may have run
	default:
		t.Fail(gateway.ConnectionLost)
	}
}

// read hands on one answer for each request that is written, until the connection ends or carries what is no
// answer. In between it reads nothing: what comes unasked stays in the kernel, where write finds it. If it were
// read here, a copy in the reader's hands could meet the next request and pass for its answer.
func (c *conn) read() {
	buf := make([]byte, 0, readFirst)
	for within, going := c.asked.Receive(); going; within, going = c.asked.Receive() {
		a, err := c.readAnswer(&buf, within)
		if err != nil {
			c.n.d.Post(func() { c.broke(errors.Is(err, errSpoilt)) })
			return
		}
		c.n.d.Post(func() { c.answered(a) })
		if !a.inStep {
			return // the loop closes it
		}
		if buf = buf[:0]; cap(buf) > readFirst {
			buf = make([]byte, 0, readFirst)
		}
	}
}

// readAnswer reads one. A server writes an answer in one go: one that has begun and is not whole within the time
// trickles, and the request has better uses for the time that is left to it.
func (c *conn) readAnswer(buf *[]byte, within time.Duration) (answer, error) {
	b := *buf
	for begun := false; ; {
		if len(b) == cap(b) {
			b = slices.Grow(b, cap(b))
		}
		n, err := c.nc.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*buf = b
		a, used, fault := parseAnswer(b)
		switch {
		case fault != nil, errors.Is(err, os.ErrDeadlineExceeded):
			return a, errSpoilt
		case used > 0:
			a.value, a.figures = bytes.Clone(a.value), bytes.Clone(a.figures)
			a.inStep = a.inStep && used == len(b) && err == nil
			if begun {
				err = c.nc.SetReadDeadline(time.Time{})
			}
			return a, err
		case err != nil:
			return a, err
		case !begun:
			begun = true
			if err := c.nc.SetReadDeadline(time.Now().Add(within)); err != nil {
				return a, err
			}
		}
	}
}
