package h2

import (
	"bytes"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// clientConn is a client's connection. Apart from readLoop and handshake, everything runs in the core's loop.
type clientConn struct {
	frontend        *Frontend
	core            *gateway.Core
	nc              net.Conn // raw, or TLS on top of it, whose Close could wait for the peer
	raw             net.Conn
	writer          *gateway.Writer
	rawWriter       *gateway.Writer // of raw
	proto           *wire.Conn
	requests        map[uint32]*openRequest // by stream
	boundToCustomer bool                    // it may send requests for certCustomer only
	certCustomer    string                  // the customer named by the client's certificate
	acceptedAt      time.Duration
	lastUsed        time.Duration
	rejected        int                       // requests that were not valid
	resumeRead      gateway.Mailbox[struct{}] // lets readLoop continue
	readWaits       bool                      // readLoop has not been told to continue
	writing         int                       // bytes that the writer has yet to write
	unsent          *gateway.UnsentResponses
	input           *gateway.InputMemory
	load            *gateway.InputLoad
	readPause       gateway.ReadPause
	flushScheduled  bool // flush runs at the end of this loop turn
	writeClosed     bool // nothing more is written
	closeAfterFlush bool // to be closed once everything is written
	draining        bool
	closed          bool
	cancelTimer     func()
}

// openRequest is a request that was submitted to the core and not answered yet.
type openRequest struct {
	conn   *clientConn
	stream uint32
	req    *gateway.Request
	handle gateway.RequestHandle
	done   bool
}

const readBufferBytes = 4 << 10 // the memory that a connection's reader costs while it is idle

// readLoop passes received bytes to the core's loop. It reads the next chunk only after the loop has processed the last one, so
// that the data of a client that sends faster than it is served waits in the kernel.
func (c *clientConn) readLoop() {
	if t, ok := c.nc.(*tls.Conn); ok && !c.handshake(t) {
		c.core.Post(c.Close)
		return
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.nc.Read(buf[:c.load.ReadSize(len(buf))])
		if n > 0 {
			readAt := c.core.Now()
			c.readPause.Begin(readAt)
			c.load.Acquire()
			c.load.Post(func() { c.receive(buf[:n], readAt) })
			if _, open := c.resumeRead.Receive(); !open {
				return
			}
			c.readPause.End()
		}
		if err != nil {
			c.core.Post(c.Close)
			return
		}
	}
}

// handshake does the TLS handshake within HandshakeTimeout and reads the customer from the client's certificate.
func (c *clientConn) handshake(t *tls.Conn) bool {
	if err := c.raw.SetDeadline(time.Now().Add(c.frontend.cfg.HandshakeTimeout)); err != nil {
		return false
	}
	if err := t.Handshake(); err != nil {
		c.core.Log().Debug("TLS handshake failed", "listener", c.frontend.cfg.Name, "err", err)
		return false
	}
	state := t.ConnectionState()
	customer := ""
	if len(state.PeerCertificates) > 0 {
		customer = customerFromCert(state.PeerCertificates[0])
	}
	c.core.Post(func() {
		c.boundToCustomer, c.certCustomer = c.frontend.cfg.TLS.BindCustomer, customer
		c.scheduleFlush()
	})
	return state.NegotiatedProtocol == http2.NextProtoTLS && c.raw.SetDeadline(time.Time{}) == nil
}

// receive processes a chunk of bytes that were read at a time.
func (c *clientConn) receive(b []byte, readAt time.Duration) {
	if c.closed {
		return
	}
	start, rejected := c.core.Now(), c.rejected
	defer func() { c.load.Track(start, len(b), c.rejected-rejected) }()
	for _, e := range c.proto.Feed(c.core.Now(), b) {
		c.handleEvent(e, readAt)
		c.core.ProcessPending() // may show that the client has left: its other requests must not be submitted then
	}
	c.updateInput()
	c.readWaits = true // after each chunk
	c.scheduleFlush()
}

// updateInput accounts for the requests that are not complete. If there is no memory for them, they are refused.
func (c *clientConn) updateInput() {
	if !c.closed && !c.setInput() {
		c.refuseIncomplete()
	}
}

// giveUpInput refuses the requests that are not complete if other connections need their memory.
func (c *clientConn) giveUpInput() {
	if !c.closed && c.input.Evicted() {
		c.proto.EndIfFrameIncomplete()
		c.refuseIncomplete()
	}
}

func (c *clientConn) refuseIncomplete() {
	if c.closed {
		return
	}
	refused := c.proto.RefuseIncomplete()
	c.core.Log().Debug("refused requests that were not complete, to free memory", "listener", c.frontend.cfg.Name, "requests", refused)
	if c.proto.Failed() {
		c.startClose()
	}
	c.setInput()
	c.scheduleFlush()
}

func (c *clientConn) setInput() (fits bool) {
	return c.core.SetInput(c.input, c.proto.IncompleteBytes(), c.proto.IncompleteSince(), c.lastUsed > c.acceptedAt)
}

// resumeReading lets readLoop continue, unless the connection has failed or the client leaves too much output unread.
func (c *clientConn) resumeReading() {
	if c.readWaits && !c.proto.Failed() && c.proto.OutputBytes()+c.writing <= c.core.Tuning().Clients.MaxUnreadBytes {
		c.readWaits = false
		c.resumeRead.TrySend(struct{}{})
	}
}

// handleEvent handles an event of the protocol that follows from bytes that were read at a time.
func (c *clientConn) handleEvent(e wire.Event, readAt time.Duration) {
	switch e.Kind {
	case wire.RequestReceived:
		c.submit(e.Stream, e.Request, readAt)
	case wire.RequestTooLarge:
		c.sendResponse(e.Stream, (&problem{e.Status, "too-large", "the request is larger than this gateway takes"}).response())
	case wire.StreamAborted:
		if r := c.requests[e.Stream]; r != nil {
			c.abandonRequest(r)
		}
	case wire.ConnFailed:
		c.core.Log().Debug("HTTP/2 connection failed", "listener", c.frontend.cfg.Name, "code", e.Code.String(), "why", e.Reason)
		c.startClose()
	}
}

// abandonRequest abandons a request whose stream has ended: the core starts no further attempts for it.
func (c *clientConn) abandonRequest(r *openRequest) {
	delete(c.requests, r.stream)
	r.done = true
	if r.handle.Open() {
		c.core.Abandon(r.handle)
	}
}

// submit passes a request, which was read at a time, to the core, unless an earlier request of the same chunk has ended the connection, as the response
// could not be sent.
func (c *clientConn) submit(stream uint32, msg *wire.Request, readAt time.Duration) {
	if c.closeAfterFlush || c.closed {
		return
	}
	req, prob := parseRequest(msg, readAt)
	if prob == nil && c.boundToCustomer && req.Customer != c.certCustomer {
		prob = &problem{statusForbidden, "foreign-customer", "the certificate is another customer's"}
	}
	if prob != nil {
		c.rejected++
		c.sendResponse(stream, prob.response())
		return
	}
	r := &openRequest{conn: c, stream: stream, req: req}
	c.requests[stream] = r
	r.handle = c.core.Submit(r, req)
}

// Respond sends the core's response to the client.
func (r *openRequest) Respond(res gateway.Response) {
	if r.done {
		return
	}
	r.done = true
	delete(r.conn.requests, r.stream)
	if len(res.Value) > 0 && !r.conn.hasRoom(len(res.Value)) {
		res = gateway.UnsentLimitResponse()
	}
	if res.Kind == gateway.Rejected {
		r.conn.rejected++
	}
	out := newResponse(res)
	if allowance, ok := r.conn.core.Allowance(r.req.Customer, r.req.Plan); ok && res.Kind != gateway.Rejected {
		out.addQuotaFields(r.req.Plan, r.req.Units, allowance)
	}
	r.conn.sendResponse(r.stream, out)
}

// CheckClient implements gateway.Responder.
func (r *openRequest) CheckClient() (connected bool) {
	c, now := r.conn, r.conn.core.Now()
	if c.rawWriter.Disconnected(now) {
		c.Close()
		return false
	}
	return !c.readPause.HidesEnd(now, c.rawWriter)
}

// hasRoom reports whether there is memory for a response's value. A connection that holds nothing yet always has room for one.
func (c *clientConn) hasRoom(n int) bool {
	held := c.proto.BufferedBytes() + c.writing
	return held == 0 || c.unsent.MakeRoom(n)
}

func (c *clientConn) sendResponse(stream uint32, resp *response) {
	if c.closed {
		return
	}
	c.proto.Advance(c.core.Now())
	c.proto.Respond(stream, resp.status, resp.fields, resp.body)
	c.lastUsed = c.core.Now()
	if c.proto.Failed() {
		c.startClose()
	}
	c.updateUnsent()
	c.scheduleFlush()
}

func (c *clientConn) updateUnsent() { c.unsent.Set(c.proto.BufferedBytes() + c.writing) }

// scheduleFlush schedules one flush at the end of the loop turn, so that all output of the turn is written at once.
func (c *clientConn) scheduleFlush() {
	if !c.flushScheduled && !c.closed {
		c.flushScheduled = true
		c.core.Defer(c.flush)
	}
}

// flush writes the output, piece by piece, until the client takes no more. Then the rest stays in proto, and the end of the write
// that is in progress, or a WINDOW_UPDATE, calls flush again.
func (c *clientConn) flush() {
	c.flushScheduled = false
	c.proto.Advance(c.core.Now())
	for !c.closed && !c.writer.Busy() {
		output := c.proto.TakeOutput()
		if len(output) == 0 {
			break
		}
		c.write(output)
	}
	if c.closed {
		return
	}
	c.updateUnsent()
	c.unsent.SetBlocked(c.proto.BufferedBytes()+c.writing > 0)
	c.resumeReading()
	if !c.writer.Busy() && (c.closeAfterFlush || c.draining && c.proto.Drained()) {
		c.lingerClose()
	}
}

// write writes output. What the kernel does not take at once is left to a goroutine, which gives up when the client takes
// nothing for Clients.WriteTimeout.
func (c *clientConn) write(output []byte) {
	n, err := c.writer.TryWrite(output)
	if err != nil {
		c.Close()
		return
	}
	c.unsent.Taken(n)
	if n < len(output) {
		rest := bytes.Clone(output[n:])
		c.writing = len(rest)
		c.writer.WriteAsyncUntilStall(rest, c.core.Tuning().Clients.WriteTimeout, c.core, c.finishWrite)
	}
}

// finishWrite handles the end of a write that the kernel did not take at once.
func (c *clientConn) finishWrite(err error) {
	if err != nil {
		c.Close()
	}
	if c.closed {
		return
	}
	c.unsent.Taken(c.writing)
	c.writing = 0
	c.proto.Advance(c.core.Now())
	c.proto.MarkProgress()
	c.flush()
}

// startClose abandons the open requests and closes the connection once the pending output is written.
func (c *clientConn) startClose() {
	c.closeAfterFlush = true
	c.abandonAll()
}

// abandonAll abandons all open requests, in the order of their streams.
func (c *clientConn) abandonAll() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.abandonRequest(c.requests[id])
	}
}

// lingerClose closes the write side first and the connection later, so that the client can read the last frames. If it still
// sent data to a closed socket, the resulting TCP reset would make its kernel discard what it has not read yet.
func (c *clientConn) lingerClose() {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	// Nothing is in flight in either direction: no received bytes are unread, and no response was sent recently, if at all.
	nothingInFlight := c.rawWriter.ReceiveQueueEmpty() && (c.lastUsed == c.acceptedAt || c.core.Now()-c.lastUsed > c.core.Tuning().Clients.ProtocolErrorTimeout)
	writeCloser, ok := c.nc.(interface{ CloseWrite() error })
	if nothingInFlight || !ok {
		c.Close()
		return
	}
	go writeCloser.CloseWrite() // for TLS it waits for space in the socket buffer; after an error, Close does the rest
	c.core.Schedule(c.core.Now()+c.core.Tuning().Clients.ProtocolErrorTimeout, c.Close)
}

// checkTimeouts drains a connection that is idle for too long, and resets streams whose request is not completed, or whose
// response is not accepted, in time. It schedules itself again.
func (c *clientConn) checkTimeouts() {
	t, now := &c.core.Tuning().Clients, c.core.Now()
	if c.closed || c.proto.Failed() {
		return
	}
	c.proto.Advance(now)
	if c.writer.Busy() { // its own limit tells whether the client still reads
		c.proto.MarkProgress()
	}
	if c.proto.ResetStalled(t.WriteTimeout) > 0 {
		c.scheduleFlush()
	}
	next := now + t.WriteTimeout
	if since, ok := c.proto.WaitingSince(); ok {
		next = min(next, since+t.WriteTimeout+time.Millisecond)
	} else if c.proto.OpenStreams() == 0 {
		idleUntil := c.lastUsed + t.IdleTimeout
		if c.lastUsed == c.acceptedAt { // no response was sent yet
			idleUntil = c.acceptedAt + t.ReadTimeout
		}
		if idleUntil <= now {
			c.Drain()
		} else {
			next = idleUntil
		}
	}
	c.cancelTimer = c.core.Schedule(next, c.checkTimeouts)
}

// Idle implements gateway.ClientConn: no stream is open, and the connection is not closing.
func (c *clientConn) Idle() bool {
	return c.proto.OpenStreams() == 0 && !c.draining && !c.closeAfterFlush
}

// LastUsed implements gateway.ClientConn: when a response was last sent, or when the connection was accepted.
func (c *clientConn) LastUsed() time.Duration { return c.lastUsed }

// Drain implements gateway.ClientConn. While the gateway stops, it shuts down in the two steps of RFC 9113, 6.8: requests that
// cross the first GOAWAY are still accepted. Otherwise the connection is needed for another client at once: there is a single
// GOAWAY, and it tells a client whose request crosses it that the request did not run.
func (c *clientConn) Drain() {
	if c.draining || c.closed {
		return
	}
	c.draining = true
	select {
	case <-c.core.Closing():
		c.proto.Shutdown()
		c.core.Schedule(c.core.Now()+c.core.Tuning().Shutdown.LateConnTimeout, func() {
			c.proto.RefuseNewStreams()
			c.scheduleFlush()
		})
	default:
		c.proto.RefuseNewStreams()
	}
	c.scheduleFlush()
}

// Close implements gateway.ClientConn: it closes the connection at once and abandons its requests.
func (c *clientConn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.cancelTimer != nil {
		c.cancelTimer()
	}
	c.raw.Close()
	c.resumeRead.Close()
	c.unsent.Set(0)
	c.input.Close()
	c.abandonAll()
	c.core.RemoveConn(c)
}
