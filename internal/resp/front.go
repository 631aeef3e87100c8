package resp

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/internal/gateway"
)

const clientBuffer = 1 << 10 // bytes of a connection's read buffer between commands

// Frontend serves clients at an address.
type Frontend struct{ gateway.Listener }

// NewFrontend makes a front that does not listen yet.
func NewFrontend(addr netip.AddrPort) *Frontend {
	return &Frontend{gateway.NewListener("listening for clients", addr.String())}
}

// Serve implements gateway.Front.
func (f *Frontend) Serve(ctx context.Context, d *gateway.Core) {
	f.AcceptLoop(ctx, d, func(nc net.Conn) { take(d, nc) })
}

// take begins a connection, in the loop.
func take(d *gateway.Core, nc net.Conn) *client {
	c := newClient(d, nc)
	if !d.AdmitConn(c) {
		nc.Close() // unread: the client sends what it may have written once more, elsewhere
		return nil
	}
	go newReader(c).run()
	return c
}

// slot holds the place of an answer among those of its connection.
type slot struct {
	client *client
	handle gateway.RequestHandle // of a request that is open
	end    gateway.Response
	reply  []byte // in place of an ending: it needed no decision
	ready  bool
}

// Respond implements gateway.Responder: it fills the slot and writes what is next in order.
func (s *slot) Respond(e gateway.Response) {
	s.handle, s.end, s.ready = gateway.RequestHandle{}, e, true
	s.client.flush()
}

func (s *slot) append(b []byte) []byte {
	if s.reply != nil {
		return append(b, s.reply...)
	}
	return appendEnding(b, &s.end)
}

// appendEnding is an ending as RESP2 has it.
func appendEnding(b []byte, e *gateway.Response) []byte {
	switch e.Kind {
	case gateway.Served:
		return redcon.AppendBulk(b, e.Value)
	case gateway.Refused:
		b = append(b, "-BUSY"...)
		if e.RetryAfter > 0 {
			ms := (e.RetryAfter + time.Millisecond - 1) / time.Millisecond
			b = strconv.AppendInt(append(b, ' '), int64(ms), 10)
		}
		return append(b, "\r\n"...)
	}
	return redcon.AppendError(b, "ERR "+e.Reason)
}

// client is a connection of a client. What is not atomic is the loop's.
type client struct {
	d       *gateway.Core
	conn    net.Conn
	out     *gateway.Writer
	slots   []*slot // in the order of the commands
	backlog []byte  // answers behind those that are being written
	came    time.Duration
	used    time.Duration // when it was last answered, or came
	owed    atomic.Int32  // answers that the reader counts on the loop to give
	// owedMost is the bound by which the reader waits; it takes a new one with each read.
	owedMost atomic.Int32
	resume   gateway.Mailbox[struct{}]
	draining atomic.Bool // no further command is waited for
	ending   bool        // to be closed once all is answered
	read     bool        // nothing more is read from it
	half     bool        // nothing more is written to it: the client is to close
	closed   bool
}

func newClient(d *gateway.Core, nc net.Conn) *client {
	now := d.Now()
	return &client{d: d, conn: nc, out: gateway.NewWriter(nc), came: now, used: now, resume: gateway.NewMailbox[struct{}]()}
}

// received is one command as the reader found it: a request, or an answer that needs no decision.
type received struct {
	cmd   *command
	reply []byte
}

// commands are what a client sent, for the loop.
type commands struct {
	got   []received
	last  bool // nothing more is read from it
	fault bool // it sent what can't be read
}

func (c *client) take(e commands) {
	for _, r := range e.got {
		if c.closed { // by an answer that could not be written: what is left of the piece has nobody who waits for it
			return
		}
		s := &slot{client: c}
		c.slots = append(c.slots, s)
		if r.cmd == nil {
			s.reply, s.ready = r.reply, true
		} else if t := c.d.Submit(s, &r.cmd.Request); !s.ready {
			s.handle = t
		}
		c.d.ProcessPending()
	}
	if c.closed {
		return
	}
	if len(e.got) > 0 {
		c.flush()
	}
	if e.last {
		c.ending, c.read = true, true
		c.endIfDone()
	}
	if e.fault && !c.closed {
		c.d.Schedule(c.d.Now()+c.d.Tuning().Clients.Fault, c.Close)
	}
}

// Idle reports that nothing is owed on the connection.
func (c *client) Idle() bool { return len(c.slots) == 0 && !c.out.Busy() && !c.ending }

// LastUsed is when it was last answered, or came.
func (c *client) LastUsed() time.Duration { return c.used }

// Drain ends it between requests: its reader stops once nothing more waits in the kernel, and when what
// it had read is answered the connection is closed. Closing at once would lose a request that has come.
func (c *client) Drain() {
	if c.read {
		return // it ends already
	}
	c.ending = true
	c.draining.Store(true)
	c.wakeReader()
}

// wakeReader has the reader's read return and look again at what the loop has set.
func (c *client) wakeReader() {
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close() // already broken
	}
}

// flush writes the answers that are next in order, in one write.
func (c *client) flush() {
	n := 0
	for n < len(c.slots) && c.slots[n].ready {
		c.backlog = c.slots[n].append(c.backlog)
		n++
	}
	if n > 0 {
		c.slots = slices.Delete(c.slots, 0, n)
		c.used = c.d.Now()
		if before := c.owed.Add(int32(-n)) + int32(n); before >= c.owedMost.Load() {
			c.resume.TrySend(struct{}{})
			if !c.read {
				c.wakeReader()
			}
		}
	}
	c.push()
	c.endIfDone()
}

// push writes the backlog, unless an earlier write is still going on.
func (c *client) push() {
	if c.closed {
		c.backlog = nil
		return
	}
	if len(c.backlog) > c.d.Tuning().Clients.Unread {
		c.Close()
		return
	}
	if c.out.Busy() || len(c.backlog) == 0 {
		return
	}
	n, err := c.out.TryWrite(c.backlog)
	if err != nil {
		c.Close()
		return
	}
	if n == len(c.backlog) {
		c.backlog = c.backlog[:0]
		return
	}
	rest := c.backlog[n:]
	c.backlog = nil
	c.out.WriteAsyncUntilStall(rest, c.d.Tuning().Clients.Write, c.d, func(err error) {
		if err != nil {
			c.Close()
			return
		}
		c.push()
		c.endIfDone()
	})
}

// endIfDone ends a connection whose reader has stopped and on which nothing is owed. Closing it while something lies unread in
// the kernel, or comes as it closes, resets it, and the client's kernel may throw answers away that it has not read. So unless
// nothing is under way either way, the connection is only shut for writing; it is closed once the client has closed its side, or
// has had time to. Nothing is read any more: a client whose request is not read sends it once more, elsewhere.
func (c *client) endIfDone() {
	if !c.read || c.closed || c.half || len(c.slots) > 0 || c.out.Busy() || len(c.backlog) > 0 {
		return
	}
	fault := c.d.Tuning().Clients.Fault
	if c.out.ReceiveQueueEmpty() && (c.used == c.came || c.d.Now()-c.used > fault) {
		c.Close()
		return
	}
	c.half = true
	c.out.Shutdown(fault, c.d, c.Close)
}

// Close ends a connection, as gateway.Mailbox tells. What was open on it is over: no one waits for it any more.
func (c *client) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.conn.Close()
	c.resume.Close()
	c.d.RemoveConn(c)
	for _, s := range c.slots {
		if s.handle.Open() {
			c.d.Abandon(s.handle)
		}
	}
	c.slots, c.backlog = nil, nil
}
