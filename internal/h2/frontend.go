// Package h2 is HTTP/2's front: clients that speak it, with prior knowledge on plain TCP or over TLS by ALPN, are served by
// the same core as RESP2's. A connection's protocol is the state machine of package wire; here it meets sockets and the
// core. One goroutine a connection reads; everything else happens in the core's loop.
package h2

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// FrontendConfig is one listener of the operators' file.
type FrontendConfig struct {
	Name             string
	Address          string // host:port
	MaxStreams       int    // requests open at once on a connection
	HandshakeTimeout time.Duration
	TLS              *TLSFiles // nil: plain TCP, with prior knowledge
}

// Frontend serves a listener.
type Frontend struct {
	gateway.Listener
	cfg FrontendConfig
	tls *identity // nil: plain TCP
}

// NewFrontend makes a front that does not listen yet. It reads the files of its identity.
func NewFrontend(cfg FrontendConfig) (f *Frontend, err error) {
	f = &Frontend{Listener: gateway.NewListener("listener "+cfg.Name, cfg.Address), cfg: cfg}
	if cfg.TLS != nil {
		if f.tls, err = newIdentity(*cfg.TLS); err != nil {
			return nil, fmt.Errorf("listener %s: %w", cfg.Name, err)
		}
	}
	return f, nil
}

// Reload reads the files of its identity again. New connections go by them once take is called; if they can't be used,
// nothing changes.
func (f *Frontend) Reload() (apply func(), err error) {
	if f.tls == nil {
		return func() {}, nil
	}
	next, err := f.tls.files.load()
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", f.cfg.Name, err)
	}
	return func() { f.tls.current.Store(next) }, nil
}

// Serve implements gateway.Front.
func (f *Frontend) Serve(ctx context.Context, core *gateway.Core) {
	f.AcceptLoop(ctx, core, func(nc net.Conn) { f.accept(core, nc) })
}

// accept begins a connection, in the loop.
func (f *Frontend) accept(core *gateway.Core, nc net.Conn) {
	now := core.Now()
	c := &clientConn{frontend: f, core: core, nc: nc, raw: nc, lastUsed: now, acceptedAt: now, requests: map[uint32]*openRequest{}, resumeRead: gateway.NewMailbox[struct{}]()}
	if !core.AdmitConn(c) {
		nc.Close() // unread, so nothing is lost
		return
	}
	c.writer = gateway.NewWriter(nc)
	c.rawWriter = c.writer
	if f.tls != nil {
		c.nc = tls.Server(nc, f.tls.config())
		c.writer = gateway.NewWriter(c.nc)
	}
	limits := wire.DefaultLimits()
	limits.MaxStreams = f.cfg.MaxStreams
	c.proto = wire.NewServer(limits, now)
	c.checkTimeouts()
	if f.tls == nil {
		c.scheduleFlush()
	}
	go c.readLoop()
}

// clientConn is a client's connection. All but read is the loop's.
type clientConn struct {
	frontend        *Frontend
	core            *gateway.Core
	nc              net.Conn // raw, or TLS on it, whose closing would wait for the peer
	raw             net.Conn
	writer          *gateway.Writer
	rawWriter       *gateway.Writer // raw's
	proto           *wire.Conn
	requests        map[uint32]*openRequest // by stream
	boundToCustomer bool                    // it may ask for owner alone
	certCustomer    string                  // the customer that its certificate names
	acceptedAt      time.Duration
	lastUsed        time.Duration
	resumeRead      gateway.Mailbox[struct{}] // lets the reader go on
	pending         []byte                    // behind what Finish writes
	flushScheduled  bool                      // to be flushed at the turn's end
	writeClosed     bool                      // nothing more is written
	closeAfterFlush bool                      // to be closed once all is written
	draining        bool
	closed          bool
	cancelTimer     func()
}

// openRequest is a request that is open.
type openRequest struct {
	conn   *clientConn
	stream uint32
	req    *gateway.Request
	handle gateway.RequestHandle
	done   bool
}

const readBufferBytes = 4 << 10 // bytes of a read: what a connection costs while it is quiet

// readLoop hands on what comes, piece by piece: the loop takes one before the next is readLoop, so that a client that sends
// faster than it is served waits in the kernel.
func (c *clientConn) readLoop() {
	if t, ok := c.nc.(*tls.Conn); ok && !c.handshake(t) {
		c.core.Post(c.Close)
		return
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.nc.Read(buf)
		if n > 0 {
			c.core.Post(func() { c.receive(buf[:n]) })
			if _, open := c.resumeRead.Receive(); !open {
				return
			}
		}
		if err != nil {
			c.core.Post(c.Close)
			return
		}
	}
}

// handshake does the TLS handshake, within its time, and reads the peer's identity.
func (c *clientConn) handshake(t *tls.Conn) bool {
	if err := c.raw.SetDeadline(time.Now().Add(c.frontend.cfg.HandshakeTimeout)); err != nil {
		return false
	}
	if err := t.Handshake(); err != nil {
		c.core.Log().Debug("a TLS handshake failed", "listener", c.frontend.cfg.Name, "err", err)
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

// receive takes a piece of what the client sent.
func (c *clientConn) receive(b []byte) {
	if c.closed {
		return
	}
	for _, e := range c.proto.Feed(c.core.Now(), b) {
		c.handleEvent(e)
	}
	c.scheduleFlush()
	if !c.proto.Failed() {
		c.resumeRead.TrySend(struct{}{}) // the reader waits for it, one piece at a time
	}
}

func (c *clientConn) handleEvent(e wire.Event) {
	switch e.Kind {
	case wire.RequestReceived:
		c.submit(e.Stream, e.Request)
	case wire.RequestTooLarge:
		c.sendResponse(e.Stream, (&problem{e.Status, "too-large", "the request is larger than this gateway takes"}).response())
	case wire.StreamAborted:
		if r := c.requests[e.Stream]; r != nil {
			c.abandonRequest(r)
		}
	case wire.ConnFailed:
		c.core.Log().Debug("an HTTP/2 connection ended", "listener", c.frontend.cfg.Name, "code", e.Code.String(), "why", e.Reason)
		c.startClose()
	}
}

// abandonRequest abandons a request whose stream is gone: nothing more goes out for it.
func (c *clientConn) abandonRequest(r *openRequest) {
	delete(c.requests, r.stream)
	r.done = true
	if r.handle.Open() {
		c.core.Abandon(r.handle)
	}
}

// submit hands a request to the core, unless the connection came to its end by an earlier one of the same piece: nobody would
// hear the answer.
func (c *clientConn) submit(stream uint32, msg *wire.Request) {
	if c.closeAfterFlush || c.closed {
		return
	}
	req, prob := parseRequest(msg, c.core.Now())
	if prob == nil && c.boundToCustomer && req.Customer != c.certCustomer {
		prob = &problem{statusForbidden, "foreign-customer", "the certificate is another customer's"}
	}
	if prob != nil {
		c.sendResponse(stream, prob.response())
		return
	}
	r := &openRequest{conn: c, stream: stream, req: req}
	c.requests[stream] = r
	r.handle = c.core.Submit(r, req)
}

// Respond answers the request.
func (r *openRequest) Respond(res gateway.Response) {
	if r.done {
		return
	}
	r.done = true
	delete(r.conn.requests, r.stream)
	out := newResponse(res)
	if allowance, ok := r.conn.core.Allowance(r.req.Customer, r.req.Plan); ok && res.Kind != gateway.Rejected {
		out.addQuotaFields(r.req.Plan, r.req.Units, allowance)
	}
	r.conn.sendResponse(r.stream, out)
}

func (c *clientConn) sendResponse(stream uint32, resp *response) {
	c.proto.Respond(stream, resp.status, resp.fields, resp.body)
	c.lastUsed = c.core.Now()
	if c.proto.Failed() {
		c.startClose()
	}
	c.scheduleFlush()
}

// scheduleFlush has what is to be written go out at the turn's end, all at once.
func (c *clientConn) scheduleFlush() {
	if !c.flushScheduled && !c.closed {
		c.flushScheduled = true
		c.core.Defer(c.flush)
	}
}

func (c *clientConn) flush() {
	c.flushScheduled = false
	if c.closed {
		return
	}
	c.pending = append(c.pending, c.proto.TakeOutput()...)
	if len(c.pending) > c.core.Tuning().Clients.Unread {
		c.Close()
		return
	}
	if c.writer.Busy() {
		return
	}
	n, err := 0, error(nil)
	if len(c.pending) > 0 {
		n, err = c.writer.TryWrite(c.pending)
	}
	if err != nil {
		c.Close()
		return
	}
	if n < len(c.pending) {
		rest := c.pending[n:]
		c.pending = nil
		c.writer.WriteAsyncUntilStall(rest, c.core.Tuning().Clients.Write, c.core, func(err error) {
			if err != nil {
				c.Close()
				return
			}
			c.flush()
		})
		return
	}
	c.pending = c.pending[:0]
	if c.closeAfterFlush || c.draining && c.proto.Drained() {
		c.lingerClose()
	}
}

// startClose closes the connection once what is written has gone. What was open is abandoned.
func (c *clientConn) startClose() {
	c.closeAfterFlush = true
	c.abandonAll()
}

// abandonAll ends all that is open, in the order of streams.
func (c *clientConn) abandonAll() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		c.abandonRequest(c.requests[id])
	}
}

// lingerClose lets the client read the last frames before the connection goes: what it still sends to one that is closed makes its
// kernel throw away what it has not read.
func (c *clientConn) lingerClose() {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	// Nothing is under way, either way: nothing was answered yet, or long ago.
	nothingInFlight := c.rawWriter.ReceiveQueueEmpty() && (c.lastUsed == c.acceptedAt || c.core.Now()-c.lastUsed > c.core.Tuning().Clients.Fault)
	writeCloser, ok := c.nc.(interface{ CloseWrite() error })
	if nothingInFlight || !ok {
		c.Close()
		return
	}
	go writeCloser.CloseWrite() // TLS's waits for room in the kernel; that it fails shows at Close
	c.core.Schedule(c.core.Now()+c.core.Tuning().Clients.Fault, c.Close)
}

// checkTimeouts ends what a client lets wait: a connection that is quiet for too long, a request that does not come to its end, and
// an answer that is not taken.
func (c *clientConn) checkTimeouts() {
	t, now := &c.core.Tuning().Clients, c.core.Now()
	if c.closed || c.proto.Failed() {
		return
	}
	if c.proto.ResetStalled(now-t.Write) > 0 {
		c.scheduleFlush()
	}
	next := now + t.Write
	if since, ok := c.proto.WaitingSince(); ok {
		next = min(next, since+t.Write+time.Millisecond)
	} else if c.proto.OpenStreams() == 0 {
		idleUntil := c.lastUsed + t.Idle
		if c.lastUsed == c.acceptedAt { // nothing was answered yet
			idleUntil = c.acceptedAt + t.FirstCommand
		}
		if idleUntil <= now {
			c.Drain()
		} else {
			next = idleUntil
		}
	}
	c.cancelTimer = c.core.Schedule(next, c.checkTimeouts)
}

// Idle reports that nothing is owed.
func (c *clientConn) Idle() bool {
	return c.proto.OpenStreams() == 0 && !c.draining && !c.closeAfterFlush
}

// LastUsed is when it was last answered.
func (c *clientConn) LastUsed() time.Duration { return c.lastUsed }

// Drain ends it. While the gateway ends this is in the two steps of RFC 9113, 6.8, and what crosses the first GOAWAY is still
// taken; else room is wanted at once, and a client whose request crosses the one GOAWAY reads there that it never ran.
func (c *clientConn) Drain() {
	if c.draining || c.closed {
		return
	}
	c.draining = true
	select {
	case <-c.core.Closing():
		c.proto.Shutdown()
		c.core.Schedule(c.core.Now()+c.core.Tuning().Stop.LastCall, func() {
			c.proto.RefuseNewStreams()
			c.scheduleFlush()
		})
	default:
		c.proto.RefuseNewStreams()
	}
	c.scheduleFlush()
}

// Close ends it at once.
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
	c.abandonAll()
	c.core.RemoveConn(c)
}
