package gateway

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"sloepick/decide"
)

// maxTimerDelay is how late the loop may come to a time-out, when the core was busy elsewhere. From so much on, what the server
// said may lie unread, and the time-out says nothing of the server.
const maxTimerDelay = 20 * time.Millisecond

// upstream is one server.
type upstream struct {
	id        string
	addr      string
	entry     decide.Server
	conns     int       // open or being made
	transport Transport // to the address at which it is; nil until it has had one
}

// pool keeps the servers and counts the connections to them.
type pool struct {
	l                 *eventLoop
	servers           map[string]*upstream
	conns             int // open or being made, of all servers
	maxConns          int
	connectTimeout    time.Duration
	idleTimeout       time.Duration
	maxConnsPerServer int // connections to one server, open or being made
}

func newPool(l *eventLoop, cfg Config) pool {
	p := pool{l: l, servers: map[string]*upstream{}, connectTimeout: cfg.Settings.Decide.Limits.ConnectTimeout}
	p.applyTuning()
	return p
}

// applyTuning takes the values that operators may set. Connections over a lower bound go as they fall idle.
func (p *pool) applyTuning() {
	t := &p.l.tuning.Load().Nodes
	p.maxConns = descriptorShare(p.l.cfg.Sockets, t.Descriptors)
	p.idleTimeout = p.l.cfg.Settings.ConnIdle / time.Duration(t.IdlePart)
	p.maxConnsPerServer = t.Connections
}

// update takes an entry of the list. The id is the server; its address and its process may change, and with them its transport.
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
	s.entry = e
	if e.State != decide.Gone && (moved || s.transport == nil) {
		s.drain() // it leads to a process that is gone
		s.addr = addr
		s.transport = p.l.cfg.backendFor(e.Kind).NewTransport(p.l.core, &Endpoint{p, s, addr})
	}
	if e.State != decide.Serving {
		s.drain()
	}
	p.removeIfGone(s)
}

func (s *upstream) drain() {
	if s.transport != nil {
		s.transport.Drain()
	}
}

// removeIfGone drops a server that is gone once no connection leads to it. Fleets renew their machines under new ids,
// so without this the table would grow for as long as the gateway runs.
func (p *pool) removeIfGone(s *upstream) {
	if s.entry.State == decide.Gone && s.conns == 0 {
		delete(p.servers, s.id)
	}
}

// sorted are the servers in the order of ids.
func (p *pool) sorted() []*upstream {
	return slices.SortedFunc(maps.Values(p.servers), func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
}

// removeUnlisted takes that a whole list leaves servers out.
func (p *pool) removeUnlisted(listed map[string]bool) {
	for _, s := range p.sorted() {
		if !listed[s.id] {
			s.entry.State = decide.Gone
			s.drain()
			p.removeIfGone(s)
		}
	}
}

// snapshot is the list as last told, in the order of ids.
func (p *pool) snapshot() (list []decide.Server) {
	for _, s := range p.sorted() {
		list = append(list, s.entry)
	}
	return list
}

// start hands an attempt to its server's transport.
func (p *pool) start(a *attemptState) {
	s := a.server
	if s == nil || s.entry.State != decide.Serving {
		p.l.endAttempt(a, decide.NoConnection)
		return
	}
	a.handle = Attempt{loop: p.l, state: a, transport: s.transport}
	s.transport.Start(&a.handle)
}

// connLimit is how many connections there may be, of all servers: clients over their share take from it.
func (p *pool) connLimit() int {
	return min(p.maxConns, p.l.cfg.Sockets-reservedSockets-len(p.l.clients))
}

// evictIdle closes the connection that has stood idle for longest.
func (p *pool) evictIdle() {
	var oldest *upstream
	var since time.Duration
	for _, s := range p.servers {
		if s.transport == nil {
			continue
		}
		at, any := s.transport.OldestIdle()
		if any && (oldest == nil || at < since || at == since && s.id < oldest.id) {
			oldest, since = s, at
		}
	}
	if oldest != nil {
		oldest.transport.EvictIdle()
	}
}

// releaseConn counts a connection that is no more, or was never made.
func (p *pool) releaseConn(s *upstream) {
	s.conns--
	p.conns--
	p.removeIfGone(s)
}

// expire ends an attempt whose time is up. One that has no connection yet never ran. If the loop itself comes
// late, the server is not to blame: the attempt is called off.
func (p *pool) expire(a *attemptState) {
	o := decide.TimedOut
	switch {
	case !a.connected:
		o = decide.NoConnection
	case p.l.clock.Now()-a.deadline > maxTimerDelay:
		o = decide.Cancelled
	}
	p.abort(a, o)
}

// expireUnwritten gives up an attempt whose last byte was not written in time. It never ran.
func (p *pool) expireUnwritten(a *attemptState) {
	if !a.fullySent {
		p.abort(a, decide.NoConnection)
	}
}

// cancel stops waiting for an attempt. Whether it ran is not known once its request may have been written.
func (p *pool) cancel(a *attemptState) { p.abort(a, decide.Cancelled) }

func (p *pool) abort(a *attemptState, o decide.Outcome) {
	if a.ended {
		return
	}
	if a.handle.transport != nil {
		a.handle.transport.Cancel(&a.handle)
	}
	p.l.endAttempt(a, o)
}

// isLocalFailure reports whether a connection was not made for want of something on this machine. The server must
// not be held to be bad for it.
func isLocalFailure(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
