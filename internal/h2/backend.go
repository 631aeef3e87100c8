package h2

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// BackendConfig configures how the nodes of one kind are reached.
type BackendConfig struct {
	MaxStreams   int           // concurrent attempts per connection
	MaxConns     int           // per node
	PingInterval time.Duration // silence with attempts open before a PING is sent, and after it before the connection is closed
	IdleTimeout  time.Duration // a connection without open attempts is closed after this time
}

// Backend reaches nodes that speak HTTP/2 with prior knowledge. Each attempt is a stream.
type Backend struct{ cfg BackendConfig }

// NewBackend returns a backend for one kind of nodes.
func NewBackend(cfg BackendConfig) *Backend { return &Backend{cfg} }

// NewTransport implements gateway.Backend.
func (b *Backend) NewTransport(core *gateway.Core, endpoint *gateway.Endpoint) gateway.Transport {
	return &nodeTransport{cfg: b.cfg, core: core, endpoint: endpoint, streams: map[*gateway.Attempt]attemptStream{}}
}

// nodeTransport holds the connections to one node at one address. All of it runs in the core's loop.
type nodeTransport struct {
	cfg         BackendConfig
	core        *gateway.Core
	endpoint    *gateway.Endpoint
	conns       []*nodeConn
	dialing     bool
	discardDial bool               // the node has drained or moved since dialing began: close the new connection
	waiting     []*gateway.Attempt // for the connection being dialed
	streams     map[*gateway.Attempt]attemptStream
}

// attemptStream is the stream that carries an attempt.
type attemptStream struct {
	conn   *nodeConn
	stream uint32
}

// Start implements gateway.Transport. An attempt goes to the connection with the fewest open streams. If all are full or still
// writing, another connection is dialed, one at a time, and as many attempts wait for it as it may carry.
func (n *nodeTransport) Start(a *gateway.Attempt) {
	if c := n.availableConn(); c != nil {
		c.send(a)
		return
	}
	switch {
	case len(n.waiting) >= n.cfg.MaxStreams, !n.dialing && (len(n.conns) >= n.cfg.MaxConns || !n.endpoint.ReserveConn()):
		a.Fail(gateway.NoLocalCapacity)
		return
	case !n.dialing:
		n.dial()
	}
	n.waiting = append(n.waiting, a)
}

// availableConn returns the connection that can carry an attempt now, or nil.
func (n *nodeTransport) availableConn() (best *nodeConn) {
	for _, c := range n.conns {
		if !c.draining && c.writable() && c.proto.AvailableStreams() > 0 && (best == nil || c.proto.OpenStreams() < best.proto.OpenStreams()) {
			best = c
		}
	}
	return best
}

func (n *nodeTransport) dial() {
	n.dialing = true
	n.endpoint.Dial(n.core, n.endpoint.ConnectTimeout(), n.dialed)
}

func (n *nodeTransport) dialed(nc net.Conn, err error) {
	discard, waiting := n.discardDial, n.waiting
	n.dialing, n.discardDial, n.waiting = false, false, nil
	if err == nil && discard {
		nc.Close()
	}
	if err != nil || discard {
		n.endpoint.ReleaseConn()
		result := gateway.DialFailureResult(err)
		for _, a := range waiting {
			a.Fail(result)
		}
		return
	}
	n.addConn(nc)
	for _, a := range waiting {
		if a.Revalidate() {
			n.Start(a)
		}
	}
}

func (n *nodeTransport) addConn(nc net.Conn) {
	limits := wire.DefaultLimits()
	limits.MaxStreams = n.cfg.MaxStreams
	now := n.core.Now()
	c := &nodeConn{transport: n, nc: nc, writer: gateway.NewWriter(nc), proto: wire.NewClient(limits, now), attempts: map[uint32]*gateway.Attempt{},
		lastReceived: now, lastUsed: now, resumeRead: gateway.NewMailbox[struct{}]()}
	n.conns = append(n.conns, c)
	c.flush()
	c.checkLiveness()
	go c.readLoop()
}

// Cancel implements gateway.Transport. The stream is reset and the connection stays open, except if it is still writing: then
// it is closed, as the rest of the request could be written after the cancellation.
func (n *nodeTransport) Cancel(a *gateway.Attempt) {
	if i := slices.Index(n.waiting, a); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		return
	}
	if s, ok := n.streams[a]; ok {
		s.conn.removeAttempt(s.stream)
		if !s.conn.writable() {
			s.conn.close()
			return
		}
		s.conn.proto.ResetStream(s.stream, http2.ErrCodeCancel)
		s.conn.flush()
	}
}

// Drain implements gateway.Transport.
func (n *nodeTransport) Drain() {
	n.discardDial = n.dialing
	for _, c := range slices.Clone(n.conns) {
		c.draining = true
		c.closeIfDrained()
	}
}

// OldestIdle implements gateway.Transport.
func (n *nodeTransport) OldestIdle() (since time.Duration, any bool) {
	c := n.longestIdle()
	if c == nil {
		return 0, false
	}
	return c.lastUsed, true
}

// EvictIdle implements gateway.Transport.
func (n *nodeTransport) EvictIdle() { n.longestIdle().close() }

// longestIdle returns the connection that has been idle for longest, or nil if none is.
func (n *nodeTransport) longestIdle() (best *nodeConn) {
	for _, c := range n.conns {
		if len(c.attempts) == 0 && c.writable() && (best == nil || c.lastUsed < best.lastUsed) {
			best = c
		}
	}
	return best
}

// nodeConn is a connection to a node.
type nodeConn struct {
	transport       *nodeTransport
	nc              net.Conn
	writer          *gateway.Writer
	proto           *wire.Conn
	attempts        map[uint32]*gateway.Attempt // by stream
	lastReceived    time.Duration               // when bytes were last received
	lastUsed        time.Duration               // when an attempt last started or ended
	pingOutstanding bool                        // a PING was sent since lastReceived
	draining        bool                        // takes no new attempts
	pending         []byte
	closed          bool
	resumeRead      gateway.Mailbox[struct{}]
	cancelTimer     func()
}

// writable reports whether the kernel has taken all earlier output, so that a new request can go to it at once. A request must
// not wait in this process, where it could be written after it was cancelled.
func (c *nodeConn) writable() bool { return !c.writer.Busy() && len(c.pending) == 0 }

// send sends an attempt on the connection.
func (c *nodeConn) send(a *gateway.Attempt) {
	req := a.Request()
	stream, ok := c.proto.SendRequest(requestFields(req, a.RemainingTime()), req.Body)
	if !ok { // not expected: availableConn found an available stream
		a.Fail(gateway.NoLocalCapacity)
		return
	}
	c.attempts[stream], c.transport.streams[a] = a, attemptStream{c, stream}
	c.lastUsed = c.transport.core.Now()
	a.MarkConnected()
	c.flush()
}

// requestFields returns the header fields of a request, by the same mapping as the frontend's.
func requestFields(req *gateway.Request, remaining time.Duration) []hpack.HeaderField {
	path := pathRead + req.Class
	if req.Write {
		path = pathWrite + req.Class
	}
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: fieldCustomer, Value: req.Customer}, {Name: fieldPlan, Value: req.Plan},
		{Name: fieldID, Value: req.ID, Sensitive: true}, // differs in each request, so it is kept out of the HPACK table
		{Name: fieldClientTimeout, Value: strconv.FormatInt(max(remaining.Milliseconds(), 1), 10), Sensitive: true},
		{Name: fieldUnits, Value: strconv.FormatFloat(req.Units, 'f', -1, 64)}}
	if req.Key != "" {
		fields = append(fields, hpack.HeaderField{Name: fieldIdempotencyKey, Value: strconv.Quote(req.Key), Sensitive: true})
	}
	if req.GatewayCount > 0 {
		fields = append(fields, hpack.HeaderField{Name: fieldGatewaySet, Value: strconv.Itoa(req.GatewayCount) + ";" + strconv.Itoa(req.FirstGateway)})
	}
	if req.ClientRetry {
		fields = append(fields, hpack.HeaderField{Name: fieldClientRetry, Value: "1"})
	}
	if len(req.Body) > 0 {
		fields = append(fields, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(req.Body))})
	}
	return fields
}

// flush writes the pending output. An attempt that is completely handed to the kernel may run from then on.
func (c *nodeConn) flush() {
	c.pending = append(c.pending, c.proto.TakeOutput()...)
	if c.closed || c.writer.Busy() || len(c.pending) == 0 {
		return
	}
	n, err := c.writer.TryWrite(c.pending)
	if err != nil {
		c.close()
		return
	}
	for stream, a := range c.attempts {
		if c.proto.UnsentBytes(stream) == 0 {
			a.MarkFullySent()
		}
	}
	if n == len(c.pending) {
		c.pending = c.pending[:0]
		return
	}
	rest := c.pending[n:]
	c.pending = nil
	c.writer.WriteAsync(rest, c.transport.core.Tuning().Clients.WriteTimeout, c.transport.core, func(err error) {
		if err != nil {
			c.close()
			return
		}
		c.flush()
		c.closeIfDrained()
	})
}

// readLoop passes received bytes to the core's loop, one chunk at a time.
func (c *nodeConn) readLoop() {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.nc.Read(buf)
		if n > 0 {
			c.transport.core.Post(func() { c.receive(buf[:n]) })
			if _, open := c.resumeRead.Receive(); !open {
				return
			}
		}
		if err != nil {
			c.transport.core.Post(c.close)
			return
		}
	}
}

func (c *nodeConn) receive(b []byte) {
	if c.closed {
		return
	}
	c.lastReceived, c.pingOutstanding = c.transport.core.Now(), false
	for _, e := range c.proto.Feed(c.lastReceived, b) {
		c.handleEvent(e)
	}
	if c.closed {
		return
	}
	c.flush()
	c.closeIfDrained()
	c.resumeRead.TrySend(struct{}{})
}

func (c *nodeConn) handleEvent(e wire.Event) {
	switch e.Kind {
	case wire.GoAwayReceived:
		c.draining = true
		return
	case wire.ConnFailed:
		c.transport.core.Log().Debug("HTTP/2 connection to a node failed", "node", c.transport.endpoint.Addr(), "code", e.Code.String(), "why", e.Reason)
		c.close()
		return
	}
	a := c.removeAttempt(e.Stream)
	if a == nil {
		return
	}
	switch {
	case e.Kind == wire.RequestRefused:
		a.Fail(gateway.RefusedByNode)
	case e.Kind == wire.ResponseReceived:
		finishAttempt(a, e.Response)
	case e.Local:
		a.Fail(gateway.BadResponse)
	default:
		a.Fail(gateway.ConnectionLost)
	}
}

// finishAttempt ends an attempt by the node's response.
func finishAttempt(a *gateway.Attempt, resp *wire.Response) {
	notRun := slices.ContainsFunc(resp.Fields, func(f hpack.HeaderField) bool { return f.Name == fieldRan && f.Value == ranNever })
	switch {
	case resp.Status == statusOK:
		a.Succeed(resp.Body, usageReport(resp))
	case notRun:
		a.Fail(gateway.RefusedByNode)
	default:
		a.Fail(gateway.BadResponse)
	}
}

// usageReport returns the node's report of what the request used, or nil.
func usageReport(resp *wire.Response) []byte {
	for _, f := range resp.Fields {
		if f.Name == fieldUsage {
			return []byte(f.Value)
		}
	}
	return nil
}

// removeAttempt removes and returns the attempt on a stream.
func (c *nodeConn) removeAttempt(stream uint32) *gateway.Attempt {
	a := c.attempts[stream]
	delete(c.attempts, stream)
	delete(c.transport.streams, a)
	c.lastUsed = c.transport.core.Now()
	return a
}

// closeIfDrained closes a draining connection once no attempt is open on it.
func (c *nodeConn) closeIfDrained() {
	if c.draining && len(c.attempts) == 0 && c.writable() {
		c.close()
	}
}

// close closes the connection. Its open attempts fail with ConnectionLost.
func (c *nodeConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	c.resumeRead.Close()
	if c.cancelTimer != nil {
		c.cancelTimer()
	}
	c.transport.conns = slices.DeleteFunc(c.transport.conns, func(o *nodeConn) bool { return o == c })
	c.transport.endpoint.ReleaseConn()
	for _, stream := range slices.Sorted(maps.Keys(c.attempts)) {
		c.removeAttempt(stream).Fail(gateway.ConnectionLost)
	}
}

// checkLiveness closes connections that stay silent after a PING, and idle ones well before the node may close them. It
// schedules itself again.
func (c *nodeConn) checkLiveness() {
	if c.closed {
		return
	}
	now, next := c.transport.core.Now(), time.Duration(0)
	switch {
	case len(c.attempts) == 0:
		if next = c.lastUsed + c.transport.cfg.IdleTimeout; next <= now {
			c.close()
			return
		}
		next = min(next, now+c.transport.cfg.PingInterval)
	case now-max(c.lastReceived, c.lastUsed) < c.transport.cfg.PingInterval && !c.pingOutstanding:
		next = max(c.lastReceived, c.lastUsed) + c.transport.cfg.PingInterval
	case c.pingOutstanding:
		c.transport.core.Log().Info("connection to a node is silent", "node", c.transport.endpoint.Addr(), "open", len(c.attempts))
		c.close()
		return
	default:
		c.pingOutstanding = true
		c.proto.Ping()
		c.flush()
		next = now + c.transport.cfg.PingInterval
	}
	if !c.closed {
		c.cancelTimer = c.transport.core.Schedule(next, c.checkLiveness)
	}
}
