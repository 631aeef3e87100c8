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

// BackendConfig is how nodes of a kind are reached.
type BackendConfig struct {
	MaxStreams   int           // attempts out on a connection
	MaxConns     int           // to a node
	PingInterval time.Duration // a connection on which something is open and nothing comes for so long is asked whether it is there
	IdleTimeout  time.Duration // one on which nothing is open is closed after so long
}

// Backend reaches nodes that speak HTTP/2 with prior knowledge: an attempt is a stream.
type Backend struct{ cfg BackendConfig }

// NewBackend makes one.
func NewBackend(cfg BackendConfig) *Backend { return &Backend{cfg} }

// NewTransport implements gateway.Back.
func (b *Backend) NewTransport(core *gateway.Core, endpoint *gateway.Endpoint) gateway.Transport {
	return &nodeTransport{cfg: b.cfg, core: core, endpoint: endpoint, streams: map[*gateway.Attempt]attemptStream{}}
}

// nodeTransport is a nodeTransport at an address. All of it is the loop's.
type nodeTransport struct {
	cfg         BackendConfig
	core        *gateway.Core
	endpoint    *gateway.Endpoint
	conns       []*nodeConn
	dialing     bool
	discardDial bool               // the connection that is being made leads to what has drained or moved since
	waiting     []*gateway.Attempt // for the connection that is being made
	streams     map[*gateway.Attempt]attemptStream
}

// attemptStream is where a try is out.
type attemptStream struct {
	conn   *nodeConn
	stream uint32
}

// Start implements gateway.Transport. A try goes on the connection with the fewest open; where all are full, or still write,
// another is made, one at a time, and as many wait for it as it will take.
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

// availableConn is the connection that a try may go out on now.
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

// Cancel implements gateway.Transport: the stream is reset, the connection stays. One that still writes is ended: the rest of the
// request could go out after its end.
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

// longestIdle is the connection on which nothing has been open for longest; nil: there is none.
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
	lastReceived    time.Duration               // when something came
	lastUsed        time.Duration               // when something was open
	pingOutstanding bool                        // since something came
	draining        bool                        // nothing new goes out on it
	pending         []byte
	closed          bool
	resumeRead      gateway.Mailbox[struct{}]
	cancelTimer     func()
}

// writable reports that what is written goes to the kernel at once: a request must not wait here, where it could be called off and
// written all the same.
func (c *nodeConn) writable() bool { return !c.writer.Busy() && len(c.pending) == 0 }

// send puts a try on the connection.
func (c *nodeConn) send(a *gateway.Attempt) {
	req := a.Request()
	stream, ok := c.proto.SendRequest(requestFields(req, a.RemainingTime()), req.Body)
	if !ok { // free has seen room
		a.Fail(gateway.NoLocalCapacity)
		return
	}
	c.attempts[stream], c.transport.streams[a] = a, attemptStream{c, stream}
	c.lastUsed = c.transport.core.Now()
	a.MarkConnected()
	c.flush()
}

// requestFields are a request's, by the same mapping as the front's.
func requestFields(req *gateway.Request, remaining time.Duration) []hpack.HeaderField {
	path := pathRead + req.Class
	if req.Write {
		path = pathWrite + req.Class
	}
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: fieldCustomer, Value: req.Customer}, {Name: fieldPlan, Value: req.Plan},
		{Name: fieldID, Value: req.ID, Sensitive: true}, // new with each: not worth a place in the table
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

// flush writes what the connection has to say. Tries of which all is handed over may run from then on.
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
	c.writer.WriteAsync(rest, c.transport.core.Tuning().Clients.Write, c.transport.core, func(err error) {
		if err != nil {
			c.close()
			return
		}
		c.flush()
		c.closeIfDrained()
	})
}

// readLoop hands on what comes, a piece at a time.
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
		c.transport.core.Log().Debug("an HTTP/2 connection to a node ended", "node", c.transport.endpoint.Addr(), "code", e.Code.String(), "why", e.Reason)
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

// finishAttempt takes an answer.
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

// usageReport are what a node told of a request's use.
func usageReport(resp *wire.Response) []byte {
	for _, f := range resp.Fields {
		if f.Name == fieldUsage {
			return []byte(f.Value)
		}
	}
	return nil
}

// removeAttempt takes a try off its stream.
func (c *nodeConn) removeAttempt(stream uint32) *gateway.Attempt {
	a := c.attempts[stream]
	delete(c.attempts, stream)
	delete(c.transport.streams, a)
	c.lastUsed = c.transport.core.Now()
	return a
}

// closeIfDrained closes a connection that takes nothing new once nothing is open on it.
func (c *nodeConn) closeIfDrained() {
	if c.draining && len(c.attempts) == 0 && c.writable() {
		c.close()
	}
}

// close closes the connection. What is open on it broke.
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

// checkLiveness finds connections that are silent, and retires those that are idle well before the node may close them.
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
		c.transport.core.Log().Info("a connection to a node is silent", "node", c.transport.endpoint.Addr(), "open", len(c.attempts))
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
