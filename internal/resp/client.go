package resp

import (
	"net"
	"slices"
	"sync/atomic"
	"time"

	"sloepick/internal/gateway"
)

const (
	clientBufferSize = 1 << 10 // bytes; size of a connection's read buffer between commands
	// writeChunkSize is the number of bytes from which on no further reply is added to a write. A chunk is at most
	// this and one reply long.
	writeChunkSize   = gateway.MaxPayloadSize
	keptChunkMaxSize = 4 << 10 // bytes; a write buffer up to this capacity is kept for the next write
)

// client is one client connection. Fields that are not atomic are accessed only by the loop.
type client struct {
	core       *gateway.Core
	conn       net.Conn
	writer     *gateway.Writer
	pending    []*pendingReply // not yet handed to the writer, in the order in which the commands arrived
	readyBytes int             // held by pending replies that are ready
	writing    int             // bytes that the writer has yet to write
	unsent     *gateway.UnsentResponses
	input      *gateway.InputMemory
	load       *gateway.InputLoad
	chunk      []byte // write buffer, for reuse
	acceptedAt time.Duration
	lastUsed   time.Duration // when the last reply was written; initially acceptedAt
	intake     intake
	draining   atomic.Bool // the reader stops once it has read what has already arrived
	readPause  gateway.ReadPause
	closing    bool // close once all commands are answered
	readDone   bool // the reader has stopped
	// writeClosed means shut down for writing; the connection waits for the client to close its side.
	writeClosed bool
	closed      bool
}

func newClient(core *gateway.Core, nc net.Conn) *client {
	now := core.Now()
	c := &client{core: core, conn: nc, writer: gateway.NewClientWriter(nc), acceptedAt: now, lastUsed: now}
	c.unsent = core.NewUnsentResponses(c)
	c.load = core.NewInputLoad()
	c.input = core.NewInputMemory(func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
	c.intake.maxHeldBytes.Store(int64(c.unsent.Allowance()))
	return c
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
	bytes         int           // size of the commands as received
	last          bool          // the reader has stopped after this batch
	protocolError bool          // the client violated the protocol
	connectedAt   time.Duration // when the client was last found connected; 0: not known
}

// memory is what the batch holds until the loop has handled it, in bytes.
func (b *commandBatch) memory() int { return b.bytes + len(b.commands)*commandOverhead }

func (c *client) handleBatch(batch commandBatch) {
	start, overhead := c.core.Now(), 0
	defer func() { c.load.Track(start, batch.bytes, overhead) }()
	c.core.HoldMemory(-batch.memory()) // the core and the replies account for themselves
	c.writer.MarkConnected(batch.connectedAt)
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
		if cmd.request == nil || p.response.Kind == gateway.Rejected {
			overhead++
		}
	}
	if c.closed {
		return
	}
	if len(batch.commands) > 0 {
		c.flush()
		c.holdAll()
		c.updateIntake(progress{handledBytes: batch.bytes})
	}
	if c.closed {
		return
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

// LastUsed implements gateway.ClientConn. It returns when the last reply was written, or when the connection was
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

// flush writes the replies that are ready and next in order, chunk by chunk, until the client takes no more. Then the
// rest waits in pending, and the end of the write that is in progress calls flush again.
func (c *client) flush() {
	for !c.closed && !c.writer.Busy() {
		n := c.encodeChunk()
		if n == 0 {
			break
		}
		c.writeChunk(n)
	}
	if c.closed {
		return
	}
	c.unsent.SetBlocked(c.writer.Busy())
	c.closeIfDone()
}

// encodeChunk encodes the replies that are ready and next in order into the write buffer, up to writeChunkSize, and
// removes them from pending. It returns their number.
func (c *client) encodeChunk() (n int) {
	c.chunk = c.chunk[:0]
	for n < len(c.pending) && c.pending[n].ready && len(c.chunk) < writeChunkSize {
		p := c.pending[n]
		c.chunk = p.appendTo(c.chunk)
		p.sent = true
		c.readyBytes -= p.held
		n++
	}
	c.pending = slices.Delete(c.pending, 0, n)
	return n
}

// writeChunk writes the write buffer, which holds that many replies. What the kernel does not take at once is left to
// a goroutine, which gives up when the client takes nothing for Clients.WriteTimeout.
func (c *client) writeChunk(replies int) {
	n, err := c.writer.TryWrite(c.chunk)
	if err != nil {
		c.Close()
		return
	}
	c.lastUsed = c.core.Now()
	c.unsent.Taken(n)
	rest := c.chunk[n:]
	c.writing = len(rest)
	if len(rest) > 0 || cap(c.chunk) > keptChunkMaxSize {
		c.chunk = nil
	}
	if len(rest) > 0 {
		c.writer.WriteAsyncUntilStall(rest, c.core.Tuning().Clients.WriteTimeout, c.core, c.finishWrite)
	}
	c.updateIntake(progress{replies: replies})
}

// finishWrite handles the end of a write that the kernel did not take at once.
func (c *client) finishWrite(err error) {
	if err != nil {
		c.Close()
	}
	if c.closed {
		return
	}
	c.lastUsed = c.core.Now()
	c.unsent.Taken(c.writing)
	c.writing = 0
	c.updateIntake(progress{})
	c.flush()
}

// hold accounts for a reply that is ready and waits for the client to take earlier ones, or for an earlier command.
// If there is no memory for a long one, an error takes its place.
func (c *client) hold(p *pendingReply) {
	if c.closed || p.sent {
		return
	}
	if p.isLong() && !c.unsent.MakeRoom(p.size()) {
		p.discardValue()
	}
	if c.closed { // to make room
		return
	}
	p.held = p.size()
	c.readyBytes += p.held
	c.updateIntake(progress{})
}

// holdAll accounts for all replies that are ready and not yet accounted for.
func (c *client) holdAll() {
	for _, p := range slices.Clone(c.pending) {
		if p.ready && p.held == 0 {
			c.hold(p)
		}
	}
}

// updateIntake updates the account of held bytes and the intake, and wakes the reader if it waits for room that there is
// now.
func (c *client) updateIntake(p progress) {
	if c.closed {
		return
	}
	held := c.readyBytes + c.writing
	c.unsent.Set(held)
	if c.intake.update(p, held, c.unsent.Allowance(), c.core.MemoryShort(0)) && !c.readDone {
		c.wakeReader()
	}
}

// closeIfDone closes a connection whose reader has stopped and whose commands are all answered. Closing a socket with
// unread bytes in its receive queue, or on which bytes arrive during the close, resets the connection, and the
// client's kernel may then discard replies that the client has not read. So unless no bytes are in flight in either
// direction, the connection is first shut down for writing only, and closed when the client closes its side or after
// a timeout. Nothing more is read: a client whose request was not read can safely resend it to another gateway.
func (c *client) closeIfDone() {
	if !c.readDone || c.closed || c.writeClosed || len(c.pending) > 0 || c.writer.Busy() {
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
	c.core.RemoveConn(c)
	c.unsent.Set(0)
	for _, p := range c.pending {
		if p.handle.Open() {
			c.core.Abandon(p.handle)
		}
	}
	c.pending, c.chunk = nil, nil
}
