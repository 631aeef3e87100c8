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
	l   FrontendConfig
	tls *identity // nil: plain TCP
}

// NewFrontend makes a front that does not listen yet. It reads the files of its identity.
func NewFrontend(l FrontendConfig) (f *Frontend, err error) {
	f = &Frontend{Listener: gateway.NewListener("listener "+l.Name, l.Address), l: l}
	if l.TLS != nil {
		if f.tls, err = newIdentity(*l.TLS); err != nil {
			return nil, fmt.Errorf("listener %s: %w", l.Name, err)
		}
	}
	return f, nil
}

// Reload reads the files of its identity again. New connections go by them once take is called; if they can't be used,
// nothing changes.
func (f *Frontend) Reload() (take func(), err error) {
	if f.tls == nil {
		return func() {}, nil
	}
	next, err := f.tls.files.load()
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", f.l.Name, err)
	}
	return func() { f.tls.now.Store(next) }, nil
}

// Serve implements gateway.Front.
func (f *Frontend) Serve(ctx context.Context, d *gateway.Core) {
	f.AcceptLoop(ctx, d, func(nc net.Conn) { f.take(d, nc) })
}

// take begins a connection, in the loop.
func (f *Frontend) take(d *gateway.Core, nc net.Conn) {
	now := d.Now()
	c := &conn{f: f, d: d, nc: nc, raw: nc, used: now, came: now, asks: map[uint32]*ask{}, resume: gateway.NewMailbox[struct{}]()}
	if !d.AdmitConn(c) {
		nc.Close() // unread, so nothing is lost
		return
	}
	c.out = gateway.NewWriter(nc)
	c.peek = c.out
	if f.tls != nil {
		c.nc = tls.Server(nc, f.tls.config())
		c.out = gateway.NewWriter(c.nc)
	}
	limits := wire.DefaultLimits()
	limits.MaxStreams = f.l.MaxStreams
	c.wire = wire.NewServer(limits, now)
	c.watch()
	if f.tls == nil {
		c.touch()
	}
	go c.read()
}

// conn is a client's connection. All but read is the loop's.
type conn struct {
	f        *Frontend
	d        *gateway.Core
	nc       net.Conn // raw, or TLS on it, whose closing would wait for the peer
	raw      net.Conn
	out      *gateway.Writer
	peek     *gateway.Writer // raw's
	wire     *wire.Conn
	asks     map[uint32]*ask // by stream
	bound    bool            // it may ask for owner alone
	owner    string          // the customer that its certificate names
	came     time.Duration
	used     time.Duration
	resume   gateway.Mailbox[struct{}] // lets the reader go on
	unsent   []byte                    // behind what Finish writes
	later    bool                      // to be flushed at the turn's end
	half     bool                      // nothing more is written
	ending   bool                      // to be closed once all is written
	draining bool
	closed   bool
	alarm    func()
}

// ask is a request that is open.
type ask struct {
	c      *conn
	stream uint32
	v      *gateway.Request
	handle gateway.RequestHandle
	over   bool
}

const chunk = 4 << 10 // bytes of a read: what a connection costs while it is quiet

// read hands on what comes, piece by piece: the loop takes one before the next is read, so that a client that sends
// faster than it is served waits in the kernel.
func (c *conn) read() {
	if t, ok := c.nc.(*tls.Conn); ok && !c.shake(t) {
		c.d.Post(c.Close)
		return
	}
	buf := make([]byte, chunk)
	for {
		n, err := c.nc.Read(buf)
		if n > 0 {
			c.d.Post(func() { c.fed(buf[:n]) })
			if _, going := c.resume.Receive(); !going {
				return
			}
		}
		if err != nil {
			c.d.Post(c.Close)
			return
		}
	}
}

// shake does the TLS handshake, within its time, and reads the peer's identity.
func (c *conn) shake(t *tls.Conn) bool {
	if err := c.raw.SetDeadline(time.Now().Add(c.f.l.HandshakeTimeout)); err != nil {
		return false
	}
	if err := t.Handshake(); err != nil {
		c.d.Log().Debug("a TLS handshake failed", "listener", c.f.l.Name, "err", err)
		return false
	}
	state := t.ConnectionState()
	owner := ""
	if len(state.PeerCertificates) > 0 {
		owner = customerOf(state.PeerCertificates[0])
	}
	c.d.Post(func() {
		c.bound, c.owner = c.f.l.TLS.BindCustomer, owner
		c.touch()
	})
	return state.NegotiatedProtocol == http2.NextProtoTLS && c.raw.SetDeadline(time.Time{}) == nil
}

// fed takes a piece of what the client sent.
func (c *conn) fed(b []byte) {
	if c.closed {
		return
	}
	for _, e := range c.wire.Feed(c.d.Now(), b) {
		c.event(e)
	}
	c.touch()
	if !c.wire.Failed() {
		c.resume.TrySend(struct{}{}) // the reader waits for it, one piece at a time
	}
}

func (c *conn) event(e wire.Event) {
	switch e.Kind {
	case wire.RequestReceived:
		c.begin(e.Stream, e.Request)
	case wire.RequestTooLarge:
		c.tell(e.Stream, (&problem{e.Status, "too-large", "the request is larger than this gateway takes"}).tell())
	case wire.StreamAborted:
		if a := c.asks[e.Stream]; a != nil {
			c.forget(a)
		}
	case wire.ConnFailed:
		c.d.Log().Debug("an HTTP/2 connection ended", "listener", c.f.l.Name, "code", e.Code.String(), "why", e.Reason)
		c.end()
	}
}

// forget abandons a request whose stream is gone: nothing more goes out for it.
func (c *conn) forget(a *ask) {
	delete(c.asks, a.stream)
	a.over = true
	if a.handle.Open() {
		c.d.Abandon(a.handle)
	}
}

// begin hands a request to the core, unless the connection came to its end by an earlier one of the same piece: nobody would
// hear the answer.
func (c *conn) begin(stream uint32, q *wire.Request) {
	if c.ending || c.closed {
		return
	}
	v, p := read(q, c.d.Now())
	if p == nil && c.bound && v.Customer != c.owner {
		p = &problem{statusForeign, "foreign-customer", "the certificate is another customer's"}
	}
	if p != nil {
		c.tell(stream, p.tell())
		return
	}
	a := &ask{c: c, stream: stream, v: v}
	c.asks[stream] = a
	a.handle = c.d.Submit(a, v)
}

// Respond answers the request.
func (a *ask) Respond(e gateway.Response) {
	if a.over {
		return
	}
	a.over = true
	delete(a.c.asks, a.stream)
	r := respond(e)
	if room, ok := a.c.d.Allowance(a.v.Customer, a.v.Plan); ok && e.Kind != gateway.Rejected {
		r.limits(a.v.Plan, a.v.Units, room)
	}
	a.c.tell(a.stream, r)
}

func (c *conn) tell(stream uint32, r *response) {
	c.wire.Respond(stream, r.status, r.fields, r.body)
	c.used = c.d.Now()
	if c.wire.Failed() {
		c.end()
	}
	c.touch()
}

// touch has what is to be written go out at the turn's end, all at once.
func (c *conn) touch() {
	if !c.later && !c.closed {
		c.later = true
		c.d.Defer(c.flush)
	}
}

func (c *conn) flush() {
	c.later = false
	if c.closed {
		return
	}
	c.unsent = append(c.unsent, c.wire.TakeOutput()...)
	if len(c.unsent) > c.d.Tuning().Clients.Unread {
		c.Close()
		return
	}
	if c.out.Busy() {
		return
	}
	n, err := 0, error(nil)
	if len(c.unsent) > 0 {
		n, err = c.out.TryWrite(c.unsent)
	}
	if err != nil {
		c.Close()
		return
	}
	if n < len(c.unsent) {
		rest := c.unsent[n:]
		c.unsent = nil
		c.out.WriteAsyncUntilStall(rest, c.d.Tuning().Clients.Write, c.d, func(err error) {
			if err != nil {
				c.Close()
				return
			}
			c.flush()
		})
		return
	}
	c.unsent = c.unsent[:0]
	if c.ending || c.draining && c.wire.Drained() {
		c.finish()
	}
}

// end closes the connection once what is written has gone. What was open is abandoned.
func (c *conn) end() {
	c.ending = true
	c.abandon()
}

// abandon ends all that is open, in the order of streams.
func (c *conn) abandon() {
	for _, id := range slices.Sorted(maps.Keys(c.asks)) {
		c.forget(c.asks[id])
	}
}

// finish lets the client read the last frames before the connection goes: what it still sends to one that is closed makes its
// kernel throw away what it has not read.
func (c *conn) finish() {
	if c.half {
		return
	}
	c.half = true
	// Nothing is under way, either way: nothing was answered yet, or long ago.
	settled := c.peek.ReceiveQueueEmpty() && (c.used == c.came || c.d.Now()-c.used > c.d.Tuning().Clients.Fault)
	w, ok := c.nc.(interface{ CloseWrite() error })
	if settled || !ok {
		c.Close()
		return
	}
	go w.CloseWrite() // TLS's waits for room in the kernel; that it fails shows at Close
	c.d.Schedule(c.d.Now()+c.d.Tuning().Clients.Fault, c.Close)
}

// watch ends what a client lets wait: a connection that is quiet for too long, a request that does not come to its end, and
// an answer that is not taken.
func (c *conn) watch() {
	t, now := &c.d.Tuning().Clients, c.d.Now()
	if c.closed || c.wire.Failed() {
		return
	}
	if c.wire.ResetStalled(now-t.Write) > 0 {
		c.touch()
	}
	next := now + t.Write
	if at, ok := c.wire.WaitingSince(); ok {
		next = min(next, at+t.Write+time.Millisecond)
	} else if c.wire.OpenStreams() == 0 {
		quiet := c.used + t.Idle
		if c.used == c.came { // nothing was answered yet
			quiet = c.came + t.FirstCommand
		}
		if quiet <= now {
			c.Drain()
		} else {
			next = quiet
		}
	}
	c.alarm = c.d.Schedule(next, c.watch)
}

// Idle reports that nothing is owed.
func (c *conn) Idle() bool { return c.wire.OpenStreams() == 0 && !c.draining && !c.ending }

// LastUsed is when it was last answered.
func (c *conn) LastUsed() time.Duration { return c.used }

// Drain ends it. While the gateway ends this is in the two steps of RFC 9113, 6.8, and what crosses the first GOAWAY is still
// taken; else room is wanted at once, and a client whose request crosses the one GOAWAY reads there that it never ran.
func (c *conn) Drain() {
	if c.draining || c.closed {
		return
	}
	c.draining = true
	select {
	case <-c.d.Closing():
		c.wire.Shutdown()
		c.d.Schedule(c.d.Now()+c.d.Tuning().Stop.LastCall, func() {
			c.wire.RefuseNewStreams()
			c.touch()
		})
	default:
		c.wire.RefuseNewStreams()
	}
	c.touch()
}

// Close ends it at once.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.alarm != nil {
		c.alarm()
	}
	c.raw.Close()
	c.resume.Close()
	c.abandon()
	c.d.RemoveConn(c)
}
