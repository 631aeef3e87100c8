package gateway

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"sloepick/decide"
)

const (
	readFirst = 1 << 10 // bytes of a connection's first read buffer
	// The loop may come to a time-out late, when the core was busy elsewhere: from so much on, what the server
	// said may lie unread, and the time-out says nothing of the server.
	lateness = 20 * time.Millisecond
)

// upstream is one server.
type upstream struct {
	id    string
	addr  string
	entry decide.Server
	conns int       // open or being made
	idle  []*upConn // the last used last: it is the least likely to have been closed
	carry Carrier   // nil: RESP2
}

// upConn is a connection to a server. It carries one attempt at a time, as giving an attempt up closes it.
type upConn struct {
	outlet
	server *upstream
	att    *attempt           // whose answer is owed
	asked  chan time.Duration // tells the reader that an answer is owed, and how long one may take once it has begun
	used   time.Duration
	closed bool
}

func newUpConn(out outlet, s *upstream, now time.Duration) *upConn {
	return &upConn{outlet: out, server: s, used: now, asked: make(chan time.Duration, 1)}
}

// attempt is one try at one server.
type attempt struct {
	req       *request
	n         int
	server    *upstream // nil: unknown to this gateway
	at, until time.Duration
	conn      *upConn // nil until it has one
	expiry    *alarm
	try       *Try // nil: by RESP2
	placed    bool // a carrier has put it on a connection
	whole     bool // the last byte may have been written
	over      bool
	outcome   decide.Outcome // once it is over
}

// pool keeps the servers and the connections to them.
type pool struct {
	l        *loop
	servers  map[string]*upstream
	conns    int // open or being made, of all servers
	most     int
	dialFor  time.Duration
	idleFor  time.Duration
	perNode  int // connections to one server, open or being made
	restFor  time.Duration
	sweeping bool
}

func newPool(l *loop, cfg Config) pool {
	p := pool{l: l, servers: map[string]*upstream{}, dialFor: cfg.Settings.Decide.Limits.ConnectTimeout}
	p.retune()
	return p
}

// retune takes the values that operators may set. Connections over a lower bound go as they fall idle.
func (p *pool) retune() {
	t := &p.l.tune.Load().Nodes
	p.most = sockets(p.l.cfg.Sockets, t.Descriptors)
	p.idleFor = p.l.cfg.Settings.ConnIdle / time.Duration(t.IdlePart)
	p.perNode, p.restFor = t.Connections, t.Rest
}

// update takes an entry of the list. The id is the server; its address and its process may change.
func (p *pool) update(e decide.Server, addr string) {
	s := p.servers[e.ID]
	if s == nil {
		if e.State == decide.Gone {
			return
		}
		s = &upstream{id: e.ID}
		p.servers[e.ID] = s
	}
	moved := s.addr != addr || s.entry.Started != e.Started
	s.addr, s.entry = addr, e
	if back := p.l.cfg.Backs[e.Kind]; back != nil && (moved || s.carry == nil) {
		if s.carry != nil {
			s.carry.Retire()
		}
		s.carry = back.Node(&Door{p.l}, &Place{p, s, addr})
	}
	if moved || e.State != decide.Serving {
		p.closeIdle(s) // they lead to a process that is gone, or are not needed again
	}
	p.forget(s)
}

// forget drops a server that is gone once no connection leads to it. Fleets renew their machines under new ids,
// so without this the table would grow for as long as the gateway runs.
func (p *pool) forget(s *upstream) {
	if s.entry.State == decide.Gone && s.conns == 0 {
		delete(p.servers, s.id)
	}
}

// keepOnly takes that a whole list leaves servers out.
func (p *pool) keepOnly(listed map[string]bool) {
	for id, s := range p.servers {
		if !listed[id] {
			s.entry.State = decide.Gone
			p.closeIdle(s)
			p.forget(s)
		}
	}
}

func (p *pool) closeIdle(s *upstream) {
	for len(s.idle) > 0 {
		p.close(s.idle[len(s.idle)-1])
	}
	if s.carry != nil {
		s.carry.Retire()
	}
}

// listed is the list as last told, in the order of ids.
func (p *pool) listed() []decide.Server {
	var all []decide.Server
	for _, s := range p.servers {
		all = append(all, s.entry)
	}
	slices.SortFunc(all, func(a, b decide.Server) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return all
}

// start puts an attempt on an idle connection, or on a new one.
func (p *pool) start(a *attempt) {
	s := a.server
	if s == nil || s.entry.State != decide.Serving {
		p.l.ended(a, decide.NoConnection)
		return
	}
	if s.carry != nil {
		a.try = &Try{p.l, a, s.carry}
		s.carry.Start(a.try)
		return
	}
	for c := p.rested(s); c != nil; c = p.rested(s) {
		if p.write(c, a) {
			return
		}
	}
	if p.conns >= p.room() {
		p.evict()
	}
	if s.conns >= p.perNode || p.conns >= p.room() {
		p.l.ended(a, decide.Moot) // no fault of the server's, which heard nothing of it
		return
	}
	p.dial(a)
}

// rested takes the idle connection that was used last, of those that have stood for restFor. What a server sends
// right behind an answer, such as a second copy, is on its way as long as the answer was, give or take the network's
// jitter. A connection that has stood for this long with nothing in the kernel is in step; one that is used sooner
// might bring the next request another one's answer.
func (p *pool) rested(s *upstream) *upConn {
	now := p.l.clock.now()
	for i := len(s.idle) - 1; i >= 0; i-- {
		if c := s.idle[i]; c.used+p.restFor <= now {
			s.idle = slices.Delete(s.idle, i, i+1)
			return c
		}
	}
	return nil
}

// room is how many connections there may be, of all servers: clients over their share take from it.
func (p *pool) room() int {
	return min(p.most, p.l.cfg.Sockets-reserveSockets-len(p.l.clients))
}

// evict closes the connection that has stood idle for longest.
func (p *pool) evict() {
	var oldest *upConn
	for _, s := range p.servers {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].used < oldest.used) {
			oldest = s.idle[0]
		}
	}
	if oldest != nil {
		p.close(oldest)
	}
}

func (p *pool) dial(a *attempt) {
	s, post := a.server, p.l.in.post
	s.conns++
	p.conns++
	within := min(p.dialFor, a.until-p.l.clock.now())
	addr := s.addr
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		d := net.Dialer{KeepAlive: -1}
		conn, err := d.DialContext(ctx, "tcp", addr)
		post(dialed{a, addr, conn, err})
	}()
}

// dialed tells how the making of a connection ended.
type dialed struct {
	a    *attempt
	addr string
	conn net.Conn
	err  error
}

func (d dialed) apply(l *loop) { l.pool.dialed(d) }

// dialed looks again before the first byte: while the connection was made the attempt may have been called
// off or its request answered, and its server may have been drained or moved. Without this a request would
// go out after its final answer, or to a server that was told to be let alone.
func (p *pool) dialed(d dialed) {
	a, s := d.a, d.a.server
	var c *upConn
	if d.err == nil {
		out, err := newOutlet(d.conn)
		if err != nil {
			d.conn.Close()
			d.err = err
		}
		c = newUpConn(out, s, p.l.clock.now())
	}
	if d.err != nil {
		p.dropped(s)
		o := decide.NoConnection
		if localFault(d.err) {
			o = decide.Moot
		}
		p.l.ended(a, o)
		return
	}
	go c.read(p.l.in.post)
	if s.entry.State != decide.Serving || s.addr != d.addr {
		p.close(c)
		p.l.ended(a, decide.NoConnection)
		return
	}
	if a.over || a.req.done {
		p.l.ended(a, decide.Cancelled)
		p.park(c)
		return
	}
	if !p.write(c, a) {
		p.l.ended(a, decide.NoConnection)
	}
}

// localFault reports whether a connection was not made for want of something on this machine. The server must
// not be held to be bad for it.
func localFault(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// write sends an attempt on a connection. It reports false if the connection took nothing of it, so that
// another may be tried: nothing has reached the server. A connection on which something waits unasked is out
// of step, or at its end, and takes nothing.
func (p *pool) write(c *upConn, a *attempt) bool {
	if !c.quiet() {
		p.close(c)
		return false
	}
	b := a.req.cmd.frame(a.until - p.l.clock.now())
	n, err := c.try(b)
	if err != nil {
		p.close(c)
		if n > 0 {
			p.l.ended(a, decide.NoConnection) // broken before the last byte
		}
		return n > 0
	}
	c.att, a.conn, c.used = a, c, p.l.clock.now()
	c.asked <- p.l.tune.Load().Nodes.Answer // the reader has taken the one before
	if n == len(b) {
		a.whole = true
		return true
	}
	c.finish(b[n:], a.until-p.l.clock.now(), p.l.in.post, func(err error) event { return sent{c, a, err} })
	return true
}

// sent tells how the writing of a large request ended.
type sent struct {
	c   *upConn
	a   *attempt
	err error
}

func (s sent) apply(l *loop) {
	s.c.busy = false
	if s.err == nil {
		s.a.whole = true
	}
	if s.err == nil && !s.c.closed {
		return
	}
	l.pool.close(s.c)
	l.pool.broken(s.a)
}

// broken ends an attempt whose connection broke. Before its last byte was written it never ran.
func (p *pool) broken(a *attempt) {
	f := NeverLeft
	if a.whole {
		f = Broke
	}
	p.l.ended(a, f.outcome())
}

// park keeps a connection for the next attempt.
func (p *pool) park(c *upConn) {
	if c.closed || c.busy || p.conns > p.most || c.server.conns > p.perNode {
		p.close(c)
		return
	}
	c.used = p.l.clock.now()
	c.server.idle = append(c.server.idle, c)
	if !p.sweeping && p.idleFor > 0 {
		p.sweeping = true
		p.l.at(c.used+p.idleFor, p.sweep)
	}
}

// sweep retires connections well before the servers may close them: a request written to one that is being
// closed would end as a reset, which for a request that must not run twice is the end.
func (p *pool) sweep() {
	now := p.l.clock.now()
	next := time.Duration(0)
	for _, s := range p.servers {
		for len(s.idle) > 0 && s.idle[0].used+p.idleFor <= now {
			p.close(s.idle[0])
		}
		if len(s.idle) > 0 && (next == 0 || s.idle[0].used < next) {
			next = s.idle[0].used
		}
	}
	if p.sweeping = next > 0; p.sweeping {
		p.l.at(next+p.idleFor, p.sweep)
	}
}

func (p *pool) close(c *upConn) {
	if c.closed {
		return
	}
	c.closed = true
	c.conn.Close()
	close(c.asked)
	p.dropped(c.server)
	if i := slices.Index(c.server.idle, c); i >= 0 {
		c.server.idle = slices.Delete(c.server.idle, i, i+1)
	}
}

// dropped counts a connection that is no more, or was never made.
func (p *pool) dropped(s *upstream) {
	s.conns--
	p.conns--
	p.forget(s)
}

// expire ends an attempt whose time is up. One that has no connection yet never ran. If the loop itself comes
// late, the server is not to blame: the attempt is called off.
func (p *pool) expire(a *attempt) {
	o := decide.TimedOut
	switch {
	case a.conn == nil && !a.placed:
		o = decide.NoConnection
	case p.l.clock.now()-a.until > lateness:
		o = decide.Cancelled
	}
	p.giveUp(a, o)
}

// cancel stops waiting for an attempt. Whether it ran is not known once its request may have been written.
func (p *pool) cancel(a *attempt) { p.giveUp(a, decide.Cancelled) }

func (p *pool) giveUp(a *attempt, o decide.Outcome) {
	if a.over {
		return
	}
	if a.conn != nil {
		p.close(a.conn) // an answer is owed on it, so it can't be used again
	}
	if a.try != nil {
		a.try.carry.GiveUp(a.try)
	}
	p.l.ended(a, o)
}

// answered hands a server's whole answer to the loop.
type answered struct {
	c *upConn
	answer
}

func (e answered) apply(l *loop) {
	c, a := e.c, e.c.att
	if c.closed {
		return
	}
	if a == nil || !a.whole { // nobody asked, or not all of it: what a server says to that is no answer
		broke{c: c}.apply(l)
		return
	}
	c.att = nil
	if !e.inStep || c.server.entry.State != decide.Serving {
		l.pool.close(c)
	} else {
		l.pool.park(c)
	}
	if e.outcome == decide.OK {
		l.served(a, e.value, e.figures)
		return
	}
	l.ended(a, e.outcome)
}

// broke tells that a connection ended, or carried what is no answer.
type broke struct {
	c      *upConn
	spoilt bool
}

func (e broke) apply(l *loop) {
	c, a := e.c, e.c.att
	if c.closed {
		return
	}
	l.pool.close(c)
	switch {
	case a == nil || c.busy: // the writer still has to tell whether it had written the last byte
	case e.spoilt && a.whole:
		l.ended(a, decide.Error) // the server answered, so the request may have run
	default:
		l.pool.broken(a)
	}
}

// read hands on one answer for each request that is written, until the connection ends or carries what is no
// answer. In between it reads nothing: what comes unasked stays in the kernel, where write finds it. If it were
// read here, a copy in the reader's hands could meet the next request and pass for its answer.
func (c *upConn) read(post func(event)) {
	buf := make([]byte, 0, readFirst)
	for within := range c.asked {
		a, err := c.readAnswer(&buf, within)
		if err != nil {
			post(broke{c, errors.Is(err, errSpoilt)})
			return
		}
		post(answered{c, a})
		if !a.inStep {
			return // the loop closes it
		}
		if buf = buf[:0]; cap(buf) > readFirst {
			buf = make([]byte, 0, readFirst)
		}
	}
}

// readAnswer reads one. A server writes an answer in one go: one that has begun and is not whole within the time
// trickles, and the request has better uses for the time that is left to it.
func (c *upConn) readAnswer(buf *[]byte, within time.Duration) (answer, error) {
	b := *buf
	for begun := false; ; {
		if len(b) == cap(b) {
			b = slices.Grow(b, cap(b))
		}
		n, err := c.conn.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		*buf = b
		a, used, fault := parseAnswer(b)
		switch {
		case fault != nil, errors.Is(err, os.ErrDeadlineExceeded):
			return a, errSpoilt
		case used > 0:
			a.value, a.figures = bytes.Clone(a.value), bytes.Clone(a.figures)
			a.inStep = a.inStep && used == len(b) && err == nil
			if begun {
				err = c.conn.SetReadDeadline(time.Time{})
			}
			return a, err
		case err != nil:
			return a, err
		case !begun:
			begun = true
			if err := c.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
				return a, err
			}
		}
	}
}
