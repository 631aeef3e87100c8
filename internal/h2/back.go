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
func NewBackend(c BackendConfig) *Backend { return &Backend{c} }

// NewTransport implements gateway.Back.
func (b *Backend) NewTransport(d *gateway.Core, p *gateway.Endpoint) gateway.Transport {
	return &node{cfg: b.cfg, d: d, place: p, spots: map[*gateway.Attempt]spot{}}
}

// node is a node at an address. All of it is the loop's.
type node struct {
	cfg     BackendConfig
	d       *gateway.Core
	place   *gateway.Endpoint
	conns   []*nodeConn
	dialing bool
	stale   bool               // the connection that is being made leads to what has drained or moved since
	waiting []*gateway.Attempt // for the connection that is being made
	spots   map[*gateway.Attempt]spot
}

// spot is where a try is out.
type spot struct {
	c      *nodeConn
	stream uint32
}

// Start implements gateway.Transport. A try goes on the connection with the fewest open; where all are full, or still write,
// another is made, one at a time, and as many wait for it as it will take.
func (n *node) Start(t *gateway.Attempt) {
	if c := n.free(); c != nil {
		c.send(t)
		return
	}
	switch {
	case len(n.waiting) >= n.cfg.MaxStreams, !n.dialing && (len(n.conns) >= n.cfg.MaxConns || !n.place.ReserveConn()):
		t.Fail(gateway.NoLocalCapacity)
		return
	case !n.dialing:
		n.dial()
	}
	n.waiting = append(n.waiting, t)
}

// free is the connection that a try may go out on now.
func (n *node) free() (best *nodeConn) {
	for _, c := range n.conns {
		if !c.last && c.clear() && c.wire.AvailableStreams() > 0 && (best == nil || c.wire.OpenStreams() < best.wire.OpenStreams()) {
			best = c
		}
	}
	return best
}

func (n *node) dial() {
	n.dialing = true
	n.place.Dial(n.d, n.place.ConnectTimeout(), n.dialed)
}

func (n *node) dialed(nc net.Conn, err error) {
	stale, waiting := n.stale, n.waiting
	n.dialing, n.stale, n.waiting = false, false, nil
	if err == nil && stale {
		nc.Close()
	}
	if err != nil || stale {
		n.place.ReleaseConn()
		result := gateway.DialFailureResult(err)
		for _, t := range waiting {
			t.Fail(result)
		}
		return
	}
	n.begin(nc)
	for _, t := range waiting {
		if t.Revalidate() {
			n.Start(t)
		}
	}
}

func (n *node) begin(nc net.Conn) {
	limits := wire.DefaultLimits()
	limits.MaxStreams = n.cfg.MaxStreams
	now := n.d.Now()
	c := &nodeConn{n: n, nc: nc, out: gateway.NewWriter(nc), wire: wire.NewClient(limits, now), tries: map[uint32]*gateway.Attempt{},
		heard: now, used: now, resume: gateway.NewMailbox[struct{}]()}
	n.conns = append(n.conns, c)
	c.flush()
	c.watch()
	go c.read()
}

// Cancel implements gateway.Transport: the stream is reset, the connection stays. One that still writes is ended: the rest of the
// request could go out after its end.
func (n *node) Cancel(t *gateway.Attempt) {
	if i := slices.Index(n.waiting, t); i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
		return
	}
	if s, ok := n.spots[t]; ok {
		s.c.forget(s.stream)
		if !s.c.clear() {
			s.c.end()
			return
		}
		s.c.wire.ResetStream(s.stream, http2.ErrCodeCancel)
		s.c.flush()
	}
}

// Drain implements gateway.Transport.
func (n *node) Drain() {
	n.stale = n.dialing
	for _, c := range slices.Clone(n.conns) {
		c.last = true
		c.endIfDone()
	}
}

// OldestIdle implements gateway.Transport.
func (n *node) OldestIdle() (since time.Duration, any bool) {
	c := n.idlest()
	if c == nil {
		return 0, false
	}
	return c.used, true
}

// EvictIdle implements gateway.Transport.
func (n *node) EvictIdle() { n.idlest().end() }

// idlest is the connection on which nothing has been open for longest; nil: there is none.
func (n *node) idlest() (idlest *nodeConn) {
	for _, c := range n.conns {
		if len(c.tries) == 0 && c.clear() && (idlest == nil || c.used < idlest.used) {
			idlest = c
		}
	}
	return idlest
}

// nodeConn is a connection to a node.
type nodeConn struct {
	n      *node
	nc     net.Conn
	out    *gateway.Writer
	wire   *wire.Conn
	tries  map[uint32]*gateway.Attempt // by stream
	heard  time.Duration               // when something came
	used   time.Duration               // when something was open
	pinged bool                        // since something came
	last   bool                        // nothing new goes out on it
	unsent []byte
	closed bool
	resume gateway.Mailbox[struct{}]
	alarm  func()
}

// clear reports that what is written goes to the kernel at once: a request must not wait here, where it could be called off and
// written all the same.
func (c *nodeConn) clear() bool { return !c.out.Busy() && len(c.unsent) == 0 }

// send puts a try on the connection.
func (c *nodeConn) send(t *gateway.Attempt) {
	v := t.Request()
	stream, ok := c.wire.SendRequest(askFields(v, t.RemainingTime()), v.Body)
	if !ok { // free has seen room
		t.Fail(gateway.NoLocalCapacity)
		return
	}
	c.tries[stream], c.n.spots[t] = t, spot{c, stream}
	c.used = c.n.d.Now()
	t.MarkConnected()
	c.flush()
}

// askFields are a request's, by the same mapping as the front's.
func askFields(v *gateway.Request, left time.Duration) []hpack.HeaderField {
	path := pathAsk + v.Class
	if v.Write {
		path = pathDo + v.Class
	}
	fields := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path},
		{Name: fieldCustomer, Value: v.Customer}, {Name: fieldPlan, Value: v.Plan},
		{Name: fieldID, Value: v.ID, Sensitive: true}, // new with each: not worth a place in the table
		{Name: fieldPatience, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10), Sensitive: true},
		{Name: fieldUnits, Value: strconv.FormatFloat(v.Units, 'f', -1, 64)}}
	if v.Key != "" {
		fields = append(fields, hpack.HeaderField{Name: fieldKey, Value: strconv.Quote(v.Key), Sensitive: true})
	}
	if v.GatewayCount > 0 {
		fields = append(fields, hpack.HeaderField{Name: fieldSet, Value: strconv.Itoa(v.GatewayCount) + ";" + strconv.Itoa(v.FirstGateway)})
	}
	if v.ClientRetry {
		fields = append(fields, hpack.HeaderField{Name: fieldAgain, Value: "1"})
	}
	if len(v.Body) > 0 {
		fields = append(fields, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(v.Body))})
	}
	return fields
}

// flush writes what the connection has to say. Tries of which all is handed over may run from then on.
func (c *nodeConn) flush() {
	c.unsent = append(c.unsent, c.wire.TakeOutput()...)
	if c.closed || c.out.Busy() || len(c.unsent) == 0 {
		return
	}
	n, err := c.out.TryWrite(c.unsent)
	if err != nil {
		c.end()
		return
	}
	for stream, t := range c.tries {
		if c.wire.UnsentBytes(stream) == 0 {
			t.MarkFullySent()
		}
	}
	if n == len(c.unsent) {
		c.unsent = c.unsent[:0]
		return
	}
	rest := c.unsent[n:]
	c.unsent = nil
	c.out.WriteAsync(rest, c.n.d.Tuning().Clients.Write, c.n.d, func(err error) {
		if err != nil {
			c.end()
			return
		}
		c.flush()
		c.endIfDone()
	})
}

// read hands on what comes, a piece at a time.
func (c *nodeConn) read() {
	buf := make([]byte, chunk)
	for {
		n, err := c.nc.Read(buf)
		if n > 0 {
			c.n.d.Post(func() { c.fed(buf[:n]) })
			if _, going := c.resume.Receive(); !going {
				return
			}
		}
		if err != nil {
			c.n.d.Post(c.end)
			return
		}
	}
}

func (c *nodeConn) fed(b []byte) {
	if c.closed {
		return
	}
	c.heard, c.pinged = c.n.d.Now(), false
	for _, e := range c.wire.Feed(c.heard, b) {
		c.event(e)
	}
	if c.closed {
		return
	}
	c.flush()
	c.endIfDone()
	c.resume.TrySend(struct{}{})
}

func (c *nodeConn) event(e wire.Event) {
	switch e.Kind {
	case wire.GoAwayReceived:
		c.last = true
		return
	case wire.ConnFailed:
		c.n.d.Log().Debug("an HTTP/2 connection to a node ended", "node", c.n.place.Addr(), "code", e.Code.String(), "why", e.Reason)
		c.end()
		return
	}
	t := c.forget(e.Stream)
	if t == nil {
		return
	}
	switch {
	case e.Kind == wire.RequestRefused:
		t.Fail(gateway.RefusedByNode)
	case e.Kind == wire.ResponseReceived:
		conclude(t, e.Response)
	case e.Local:
		t.Fail(gateway.BadResponse)
	default:
		t.Fail(gateway.ConnectionLost)
	}
}

// conclude takes an answer.
func conclude(t *gateway.Attempt, a *wire.Response) {
	never := slices.ContainsFunc(a.Fields, func(f hpack.HeaderField) bool { return f.Name == fieldRan && f.Value == ranNever })
	switch {
	case a.Status == statusOK:
		t.Succeed(a.Body, figures(a))
	case never:
		t.Fail(gateway.RefusedByNode)
	default:
		t.Fail(gateway.BadResponse)
	}
}

// figures are what a node told of a request's use.
func figures(a *wire.Response) []byte {
	for _, f := range a.Fields {
		if f.Name == fieldUse {
			return []byte(f.Value)
		}
	}
	return nil
}

// forget takes a try off its stream.
func (c *nodeConn) forget(stream uint32) *gateway.Attempt {
	t := c.tries[stream]
	delete(c.tries, stream)
	delete(c.n.spots, t)
	c.used = c.n.d.Now()
	return t
}

// endIfDone closes a connection that takes nothing new once nothing is open on it.
func (c *nodeConn) endIfDone() {
	if c.last && len(c.tries) == 0 && c.clear() {
		c.end()
	}
}

// end closes the connection. What is open on it broke.
func (c *nodeConn) end() {
	if c.closed {
		return
	}
	c.closed = true
	c.nc.Close()
	c.resume.Close()
	if c.alarm != nil {
		c.alarm()
	}
	c.n.conns = slices.DeleteFunc(c.n.conns, func(o *nodeConn) bool { return o == c })
	c.n.place.ReleaseConn()
	for _, stream := range slices.Sorted(maps.Keys(c.tries)) {
		c.forget(stream).Fail(gateway.ConnectionLost)
	}
}

// watch finds connections that are silent, and retires those that are idle well before the node may close them.
func (c *nodeConn) watch() {
	if c.closed {
		return
	}
	now, next := c.n.d.Now(), time.Duration(0)
	switch {
	case len(c.tries) == 0:
		if next = c.used + c.n.cfg.IdleTimeout; next <= now {
			c.end()
			return
		}
		next = min(next, now+c.n.cfg.PingInterval)
	case now-max(c.heard, c.used) < c.n.cfg.PingInterval && !c.pinged:
		next = max(c.heard, c.used) + c.n.cfg.PingInterval
	case c.pinged:
		c.n.d.Log().Info("a connection to a node is silent", "node", c.n.place.Addr(), "open", len(c.tries))
		c.end()
		return
	default:
		c.pinged = true
		c.wire.Ping()
		c.flush()
		next = now + c.n.cfg.PingInterval
	}
	if !c.closed {
		c.alarm = c.n.d.Schedule(next, c.watch)
	}
}
