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

const clientBufferSize = 1 << 10 // bytes; size of a connection's read buffer between commands

// Frontend serves RESP2 clients on one listen address. It implements gateway.Frontend.
type Frontend struct{ gateway.Listener }

// NewFrontend returns a Frontend for addr that is not listening yet.
func NewFrontend(addr netip.AddrPort) *Frontend {
	return &Frontend{gateway.NewListener("listening for clients", addr.String())}
}

// Serve implements gateway.Frontend.
func (f *Frontend) Serve(ctx context.Context, core *gateway.Core) {
	f.AcceptLoop(ctx, core, func(nc net.Conn) { acceptClient(core, nc) })
}

// acceptClient registers a new connection with the core and starts its reader. It runs in the loop. It returns nil if
// the core has no room for the connection.
func acceptClient(core *gateway.Core, nc net.Conn) *client {
	c := newClient(core, nc)
	if !core.AdmitConn(c) {
		nc.Close() // nothing was read, so the client can safely resend its request to another gateway
		return nil
	}
	go newReader(c).run()
	return c
}

// pendingReply is the reply to one command. It keeps the command's position in the connection's reply order.
type pendingReply struct {
	client   *client
	handle   gateway.RequestHandle // the zero value if no request is open
	response gateway.Response
	reply    []byte // encoded reply to a command that the core does not handle; used instead of response if not nil
	ready    bool
}

// Respond implements gateway.Responder. It stores the response and writes all replies that are now next in order.
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

// appendResponse appends a response in RESP2 encoding.
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

// client is one client connection. Fields that are not atomic are accessed only by the loop.
type client struct {
	core       *gateway.Core
	conn       net.Conn
	writer     *gateway.Writer
	pending    []*pendingReply // in the order in which the commands arrived
	backlog    []byte          // encoded replies that follow those being written
	acceptedAt time.Duration
	lastUsed   time.Duration // when the last reply was queued; initially acceptedAt
	unanswered atomic.Int32  // commands that the reader has posted and the loop has not replied to
	// maxUnanswered is the value of unanswered at which the reader stops posting. The reader updates it from the
	// tuning before each batch.
	maxUnanswered atomic.Int32
	resume        gateway.Mailbox[struct{}]
	draining      atomic.Bool // the reader stops once it has read what has already arrived
	closing       bool        // close once all commands are answered
	readDone      bool        // the reader has stopped
	writeClosed   bool        // shut down for writing; waits for the client to close its side
	closed        bool
}

func newClient(core *gateway.Core, nc net.Conn) *client {
	now := core.Now()
	return &client{core: core, conn: nc, writer: gateway.NewWriter(nc), acceptedAt: now, lastUsed: now, resume: gateway.NewMailbox[struct{}]()}
}

// parsedCommand is one parsed command: either a request for the core, or the reply to a command that the core does
// not handle.
type parsedCommand struct {
	request *command
	reply   []byte
}

// commandBatch is a batch of commands that the reader posts to the loop.
type commandBatch struct {
	commands      []parsedCommand
	last          bool // the reader has stopped after this batch
	protocolError bool // the client violated the protocol
}

func (c *client) handleBatch(batch commandBatch) {
	for _, cmd := range batch.commands {
		if c.closed { // writing an earlier reply failed; nobody waits for the rest of the batch
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
		c.core.Schedule(c.core.Now()+c.core.Tuning().Clients.ProtocolErrorTimeout, c.Close)
	}
}

// Idle implements gateway.ClientConn. It reports whether the connection has no unanswered command and no reply being
// written.
func (c *client) Idle() bool { return len(c.pending) == 0 && !c.writer.Busy() && !c.closing }

// LastUsed implements gateway.ClientConn. It returns when the last reply was queued, or when the connection was
// accepted.
func (c *client) LastUsed() time.Duration { return c.lastUsed }

// Drain implements gateway.ClientConn. It closes the connection between requests: the reader stops once the kernel's
// receive queue is empty, and the connection is closed after everything read so far is answered. Closing at once
// would lose a request that has already arrived.
func (c *client) Drain() {
	if c.readDone {
		return // already closing
	}
	c.closing = true
	c.draining.Store(true)
	c.wakeReader()
}

// wakeReader makes the reader's blocked read return, so that the reader sees the state that the loop has changed.
func (c *client) wakeReader() {
	if err := c.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close() // already broken
	}
}

// flush writes all replies that are ready and next in order, in one write.
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

// writeBacklog writes the backlog unless an earlier write is still in progress. It closes the connection if the
// backlog is longer than the limit for unread replies.
func (c *client) writeBacklog() {
	if c.closed {
		c.backlog = nil
		return
	}
	if len(c.backlog) > c.core.Tuning().Clients.MaxUnreadBytes {
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
	c.writer.WriteAsyncUntilStall(remaining, c.core.Tuning().Clients.WriteTimeout, c.core, func(err error) {
		if err != nil {
			c.Close()
			return
		}
		c.writeBacklog()
		c.closeIfDone()
	})
}

// closeIfDone closes a connection whose reader has stopped and whose commands are all answered. Closing a socket with
// unread bytes in its receive queue, or on which bytes arrive during the close, resets the connection, and the
// client's kernel may then discard replies that the client has not read. So unless no bytes are in flight in either
// direction, the connection is first shut down for writing only, and closed when the client closes its side or after
// a timeout. Nothing more is read: a client whose request was not read can safely resend it to another gateway.
func (c *client) closeIfDone() {
	if !c.readDone || c.closed || c.writeClosed || len(c.pending) > 0 || c.writer.Busy() || len(c.backlog) > 0 {
		return
	}
	timeout := c.core.Tuning().Clients.ProtocolErrorTimeout
	if c.writer.ReceiveQueueEmpty() && (c.lastUsed == c.acceptedAt || c.core.Now()-c.lastUsed > timeout) {
		c.Close()
		return
	}
	c.writeClosed = true
	c.writer.Shutdown(timeout, c.core, c.Close)
}

// Close implements gateway.ClientConn. It closes the connection (see gateway.Mailbox for the rules) and abandons its
// open requests, as nobody waits for their replies any more.
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
