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

const clientBufferSize = 1 << 10 // bytes of a connection's read buffer between commands

// Frontend serves clients at an address.
type Frontend struct{ gateway.Listener }

// NewFrontend makes a front that does not listen yet.
func NewFrontend(addr netip.AddrPort) *Frontend {
	return &Frontend{gateway.NewListener("listening for clients", addr.String())}
}

// Serve implements gateway.Front.
func (f *Frontend) Serve(ctx context.Context, core *gateway.Core) {
	f.AcceptLoop(ctx, core, func(nc net.Conn) { acceptClient(core, nc) })
}

// acceptClient begins a connection, in the loop.
func acceptClient(core *gateway.Core, nc net.Conn) *client {
	c := newClient(core, nc)
	if !core.AdmitConn(c) {
		nc.Close() // unread: the client sends what it may have written once more, elsewhere
		return nil
	}
	go newReader(c).run()
	return c
}

// pendingReply holds the place of an answer among those of its connection.
type pendingReply struct {
	client   *client
	handle   gateway.RequestHandle // of a request that is open
	response gateway.Response
	reply    []byte // in place of an ending: it needed no decision
	ready    bool
}

// Respond implements gateway.Responder: it fills the slot and writes what is next in order.
func (p *pendingReply) Respond(r gateway.Response) {
	p.handle, p.response, p.ready = gateway.RequestHandle{}, r, true
	p.client.flush()
}

func (p *pendingReply) appendTo(b []byte) []byte {
	if p.reply != nil {
		return append(b, p.reply...)
	}
	return appendResponse(b, &p.response)
}

// appendResponse is an ending as RESP2 has it.
func appendResponse(b []byte, r *gateway.Response) []byte {
	switch r.Kind {
	case gateway.Served:
		return redcon.AppendBulk(b, r.Value)
	case gateway.Refused:
		b = append(b, "-BUSY"...)
		if r.RetryAfter > 0 {
			ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
			b = strconv.AppendInt(append(b, ' '), int64(ms), 10)
		}
		return append(b, "\r\n"...)
	}
	return redcon.AppendError(b, "ERR "+r.Reason)
}

// client is a connection of a client. What is not atomic is the loop's.
type client struct {
	core       *gateway.Core
	conn       net.Conn
	writer     *gateway.Writer
	pending    []*pendingReply // in the order of the commands
	backlog    []byte          // answers behind those that are being written
	acceptedAt time.Duration
	lastUsed   time.Duration // when it was last answered, or came
	unanswered atomic.Int32  // answers that the reader counts on the loop to give
	// maxUnanswered is the bound by which the reader waits; it takes a new one with each read.
	maxUnanswered atomic.Int32
	resume        gateway.Mailbox[struct{}]
	draining      atomic.Bool // no further command is waited for
	closing       bool        // to be closed once all is answered
	readDone      bool        // nothing more is read from it
	writeClosed   bool        // nothing more is written to it: the client is to close
	closed        bool
}

func newClient(core *gateway.Core, nc net.Conn) *client {
	now := core.Now()
	return &client{core: core, conn: nc, writer: gateway.NewWriter(nc), acceptedAt: now, lastUsed: now, resume: gateway.NewMailbox[struct{}]()}
}

// parsedCommand is one command as the reader found it: a request, or an answer that needs no decision.
type parsedCommand struct {
	request *command
	reply   []byte
}

// commandBatch are what a client sent, for the loop.
type commandBatch struct {
	commands      []parsedCommand
	last          bool // nothing more is read from it
	protocolError bool // it sent what can't be read
}

func (c *client) handleBatch(batch commandBatch) {
	for _, cmd := range batch.commands {
		if c.closed { // by an answer that could not be written: what is left of the piece has nobody who waits for it
			return
		}
		p := &pendingReply{client: c}
		c.pending = append(c.pending, p)
		if cmd.request == nil {
			p.reply, p.ready = cmd.reply, true
		} else if handle := c.core.Submit(p, &cmd.request.Request); !p.ready {
			p.handle = handle
		}
		c.core.ProcessPending()
	}
	if c.closed {
		return
	}
	if len(batch.commands) > 0 {
		c.flush()
	}
	if batch.last {
		c.closing, c.readDone = true, true
		c.closeIfDone()
	}
	if batch.protocolError && !c.closed {
		c.core.Schedule(c.core.Now()+c.core.Tuning().Clients.Fault, c.Close)
	}
}

// Idle reports that nothing is owed on the connection.
func (c *client) Idle() bool { return len(c.pending) == 0 && !c.writer.Busy() && !c.closing }

// LastUsed is when it was last answered, or came.
func (c *client) LastUsed() time.Duration { return c.lastUsed }

// Drain ends it between requests: its reader stops once nothing more waits in the kernel, and when what
// it had read is answered the connection is closed. Closing at once would lose a request that has come.
func (c *client) Drain() {
	if c.readDone {
		return // it ends already
	}
	c.closing = true
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
	for n < len(c.pending) && c.pending[n].ready {
		c.backlog = c.pending[n].appendTo(c.backlog)
		n++
	}
	if n > 0 {
		c.pending = slices.Delete(c.pending, 0, n)
		c.lastUsed = c.core.Now()
		if previous := c.unanswered.Add(int32(-n)) + int32(n); previous >= c.maxUnanswered.Load() {
			c.resume.TrySend(struct{}{})
			if !c.readDone {
				c.wakeReader()
			}
		}
	}
	c.writeBacklog()
	c.closeIfDone()
}

// writeBacklog writes the backlog, unless an earlier write is still going on.
func (c *client) writeBacklog() {
	if c.closed {
		c.backlog = nil
		return
	}
	if len(c.backlog) > c.core.Tuning().Clients.Unread {
		c.Close()
		return
	}
	if c.writer.Busy() || len(c.backlog) == 0 {
		return
	}
	n, err := c.writer.TryWrite(c.backlog)
	if err != nil {
		c.Close()
		return
	}
	if n == len(c.backlog) {
		c.backlog = c.backlog[:0]
		return
	}
	remaining := c.backlog[n:]
	c.backlog = nil
	c.writer.WriteAsyncUntilStall(remaining, c.core.Tuning().Clients.Write, c.core, func(err error) {
		if err != nil {
			c.Close()
			return
		}
		c.writeBacklog()
		c.closeIfDone()
	})
}

// closeIfDone ends a connection whose reader has stopped and on which nothing is owed. Closing it while something lies unread in
// the kernel, or comes as it closes, resets it, and the client's kernel may throw answers away that it has not read. So unless
// nothing is under way either way, the connection is only shut for writing; it is closed once the client has closed its side, or
// has had time to. Nothing is read any more: a client whose request is not read sends it once more, elsewhere.
func (c *client) closeIfDone() {
	if !c.readDone || c.closed || c.writeClosed || len(c.pending) > 0 || c.writer.Busy() || len(c.backlog) > 0 {
		return
	}
	timeout := c.core.Tuning().Clients.Fault
	if c.writer.ReceiveQueueEmpty() && (c.lastUsed == c.acceptedAt || c.core.Now()-c.lastUsed > timeout) {
		c.Close()
		return
	}
	c.writeClosed = true
	c.writer.Shutdown(timeout, c.core, c.Close)
}

// Close ends a connection, as gateway.Mailbox tells. What was open on it is over: no one waits for it any more.
func (c *client) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.conn.Close()
	c.resume.Close()
	c.core.RemoveConn(c)
	for _, p := range c.pending {
		if p.handle.Open() {
			c.core.Abandon(p.handle)
		}
	}
	c.pending, c.backlog = nil, nil
}
