package gateway

import (
	"bytes"
	"context"
	"net"
	"slices"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/decide"
)

const (
	perServerMost = 64       // connections to one server, open or being made
	idlePart      = 3        // an idle connection is retired after this part of the servers' idle limit
	answerMost    = 80 << 10 // bytes of a whole answer: a value of 64 KiB and what stands round it
	readFirst     = 1 << 10  // bytes of a connection's first read buffer
)

// upstream is one server.
type upstream struct {
	id    string
	addr  string
	entry decide.Server
	conns int       // open or being made
	idle  []*upConn // the last used last: it is the least likely to have been closed
}

// upConn is a connection to a server. It carries one attempt at a time, as giving an attempt up closes it.
type upConn struct {
	outlet
	server *upstream
	att    *attempt // whose answer is owed
	used   time.Duration
	closed bool
}

// attempt is one try at one server.
type attempt struct {
	req       *request
	n         int
	server    *upstream // nil: unknown to this gateway
	at, until time.Duration
	conn      *upConn // nil until it has one
	whole     bool    // the last byte may have been written
	over      bool
}

// pool keeps the servers and the connections to them.
type pool struct {
	l        *loop
	servers  map[string]*upstream
	conns    int // open or being made, of all servers
	most     int
	dialFor  time.Duration
	idleFor  time.Duration
	sweeping bool
}

func newPool(l *loop, cfg Config) pool {
	return pool{l: l, servers: map[string]*upstream{}, most: upstreamSockets(cfg.Sockets),
		dialFor: cfg.Settings.Decide.Limits.ConnectTimeout, idleFor: cfg.Settings.ConnIdle / idlePart}
}

// update takes an entry of the list. The id is the server; its address and its process may change.
func (p *pool) update(e decide.Server, addr string) {
	s := p.servers[e.ID]
	if s == nil {
		s = &upstream{id: e.ID}
		p.servers[e.ID] = s
	}
	moved := s.addr != addr || s.entry.Started != e.Started
	s.addr, s.entry = addr, e
	if moved || e.State != decide.Serving {
		p.closeIdle(s) // they lead to a process that is gone, or are not needed again
	}
}

// keepOnly takes that a whole list leaves servers out.
func (p *pool) keepOnly(listed map[string]bool) {
	for id, s := range p.servers {
		if !listed[id] {
			s.entry.State = decide.Gone
			p.closeIdle(s)
		}
	}
}

func (p *pool) closeIdle(s *upstream) {
	for len(s.idle) > 0 {
		p.close(s.idle[len(s.idle)-1])
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
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if p.write(c, a) {
			return
		}
	}
	if p.conns >= p.room() {
		p.evict()
	}
	if s.conns >= perServerMost || p.conns >= p.room() {
		p.l.ended(a, decide.NoConnection)
		return
	}
	p.dial(a)
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
		c = &upConn{outlet: out, server: s, used: p.l.clock.now()}
	}
	if d.err != nil {
		s.conns--
		p.conns--
		p.l.ended(a, decide.NoConnection)
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

// write sends an attempt on a connection. It reports false if the connection took nothing of it, so that
// another may be tried: nothing has reached the server.
func (p *pool) write(c *upConn, a *attempt) bool {
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
	o := decide.NoConnection
	if a.whole {
		o = decide.Reset
	}
	p.l.ended(a, o)
}

// park keeps a connection for the next attempt.
func (p *pool) park(c *upConn) {
	if c.closed || c.busy {
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
	c.server.conns--
	p.conns--
	if i := slices.Index(c.server.idle, c); i >= 0 {
		c.server.idle = slices.Delete(c.server.idle, i, i+1)
	}
}

// expire ends an attempt whose time is up. One that has no connection yet never ran.
func (p *pool) expire(a *attempt) {
	o := decide.TimedOut
	if a.conn == nil {
		o = decide.NoConnection
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
	p.l.ended(a, o)
}

// answered hands a server's whole answer to the loop.
type answered struct {
	c       *upConn
	outcome decide.Outcome
	value   []byte // as it goes to the client
	more    bool   // bytes stood behind it, so the connection is not in step
}

func (e answered) apply(l *loop) {
	c, a := e.c, e.c.att
	if c.closed {
		return
	}
	if a == nil { // nobody asked: never let it pass for the next request's answer
		l.pool.close(c)
		return
	}
	c.att = nil
	if e.more || !a.whole {
		l.pool.close(c)
	} else if c.server.entry.State != decide.Serving {
		l.pool.close(c)
	} else {
		l.pool.park(c)
	}
	if e.outcome == decide.OK {
		l.served(a, e.value)
		return
	}
	l.ended(a, e.outcome)
}

// broke tells that a connection ended or carried what is no answer.
type broke struct{ c *upConn }

func (e broke) apply(l *loop) {
	c, a := e.c, e.c.att
	if c.closed {
		return
	}
	l.pool.close(c)
	if a != nil && !c.busy { // else the writer still has to tell whether it had written the last byte
		l.pool.broken(a)
	}
}

// read hands on answers until the connection ends.
func (c *upConn) read(post func(event)) {
	buf := make([]byte, 0, readFirst)
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= answerMost {
				break
			}
			buf = slices.Grow(buf, cap(buf))
		}
		n, err := c.conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			used, outcome, value, ok := parseAnswer(buf)
			if !ok {
				break
			}
			if used > 0 {
				post(answered{c, outcome, value, used < len(buf)})
				if used < len(buf) {
					break
				}
				buf = buf[:0]
				if cap(buf) > readFirst {
					buf = make([]byte, 0, readFirst)
				}
			}
		}
		if err != nil {
			break
		}
	}
	post(broke{c})
}

// parseAnswer reads a server's answer. used is 0 while more must come; ok is false if it can't become one.
func parseAnswer(b []byte) (used int, o decide.Outcome, value []byte, ok bool) {
	defer func() {
		if recover() != nil { // the library overflows on absurd lengths
			used, o, value, ok = 0, 0, nil, false
		}
	}()
	used, resp := redcon.ReadNextRESP(b)
	switch {
	case used == 0:
		return 0, 0, nil, bytes.IndexByte([]byte("*$+-:"), b[0]) >= 0
	case resp.Type == redcon.Array && resp.Count > 0:
		n, first := redcon.ReadNextRESP(resp.Data)
		if n == 0 || first.Type != redcon.Bulk || first.Data == nil {
			return used, decide.Error, nil, true
		}
		return used, decide.OK, bytes.Clone(first.Raw), true
	case resp.Type == redcon.Error && isBusy(resp.Data):
		return used, decide.Full, nil, true
	}
	return used, decide.Error, nil, true
}

func isBusy(line []byte) bool {
	word, _, _ := bytes.Cut(line, []byte(" "))
	return string(word) == "BUSY"
}
