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

// maxTimerDelay is the delay of the event loop, for example on a busy machine, up to which a timeout is
// attributed to the server. With a longer delay, the server's response may be waiting unread.
const maxTimerDelay = 20 * time.Millisecond

// upstream is one server.
type upstream struct {
	id        string
	addr      string
	entry     decide.Server
	conns     int       // open or being established
	transport Transport // to the current address; nil until the server has had one
}

// pool holds the servers and counts the connections to them.
type pool struct {
	l                 *eventLoop
	servers           map[string]*upstream
	conns             int // to all servers, open or being established
	maxConns          int
	connectTimeout    time.Duration
	idleTimeout       time.Duration
	maxConnsPerServer int // open or being established
}

func newPool(l *eventLoop, cfg Config) pool {
	p := pool{l: l, servers: map[string]*upstream{}, connectTimeout: cfg.Settings.Decide.Limits.ConnectTimeout}
	p.applyTuning()
	return p
}

// applyTuning applies the current tuning values. Connections over a lowered limit are closed when they become
// idle.
func (p *pool) applyTuning() {
	t := &p.l.tuning.Load().Nodes
	p.maxConns = descriptorShare(p.l.cfg.Sockets, t.DescriptorShare)
	p.idleTimeout = p.l.cfg.Settings.ServerIdleTimeout / time.Duration(t.IdleDivisor)
	p.maxConnsPerServer = t.MaxConns
}

// update applies an entry of the server list. The id identifies the server; its address and its process may
// change, and then it gets a new transport.
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
		s.drain() // it leads to a process that no longer exists
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

// removeSuperseded marks servers as gone at whose address a process has started later under another id, and returns their ids.
// Discovery may tell of the new process first: until it tells that the old one is gone, what is meant for the old one would reach
// the new one, in another zone or cell. Where the start times don't tell which is later, both are kept.
func (p *pool) removeSuperseded() (ids []string) {
	latest := map[string]time.Duration{}
	for _, s := range p.servers {
		if s.entry.State != decide.Gone {
			latest[s.addr] = max(latest[s.addr], s.entry.Started)
		}
	}
	for _, s := range p.sorted() {
		if s.entry.State != decide.Gone && s.entry.Started < latest[s.addr] {
			ids = append(ids, s.id)
			s.entry.State = decide.Gone
			s.drain()
			p.removeIfGone(s)
		}
	}
	return ids
}

// removeIfGone removes a server from the table once it is gone and has no connections left. Fleets replace
// their machines under new ids, so without this the table would grow for as long as the gateway runs.
func (p *pool) removeIfGone(s *upstream) {
	if s.entry.State == decide.Gone && s.conns == 0 {
		delete(p.servers, s.id)
	}
}

// sorted returns all servers, sorted by id.
func (p *pool) sorted() []*upstream {
	return slices.SortedFunc(maps.Values(p.servers), func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
}

// removeUnlisted marks servers that are missing from a whole list as gone.
func (p *pool) removeUnlisted(listed map[string]bool) {
	for _, s := range p.sorted() {
		if !listed[s.id] {
			s.entry.State = decide.Gone
			s.drain()
			p.removeIfGone(s)
		}
	}
}

// snapshot returns the current list of servers, sorted by id.
func (p *pool) snapshot() (list []decide.Server) {
	for _, s := range p.sorted() {
		list = append(list, s.entry)
	}
	return list
}

// start passes an attempt to the transport of its server.
func (p *pool) start(a *attemptState) {
	s := a.server
	if s == nil || s.entry.State != decide.Serving {
		p.l.endAttempt(a, decide.NoConnection)
		return
	}
	a.handle = Attempt{loop: p.l, state: a, transport: s.transport}
	s.transport.Start(&a.handle)
}

// connLimit is the current limit of connections to all servers together. Clients beyond their share of the
// descriptors lower it.
func (p *pool) connLimit() int {
	return min(p.maxConns, p.l.cfg.Sockets-reservedSockets-len(p.l.clients))
}

// evictIdle closes the connection that has been idle for longest.
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

// releaseConn stops counting a connection that was closed or could not be established.
func (p *pool) releaseConn(s *upstream) {
	s.conns--
	p.conns--
	p.removeIfGone(s)
}

// expire ends an attempt that has timed out. Without a connection, the request was not executed. If the event
// loop itself is late, the timeout is not attributed to the server, and the attempt counts as cancelled.
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

// expireUnwritten cancels an attempt that was not fully sent in time, so that it was not executed.
func (p *pool) expireUnwritten(a *attemptState) {
	if !a.fullySent {
		p.abort(a, decide.NoConnection)
	}
}

// cancel cancels an attempt. It is unknown whether the request was executed if it may have been fully sent.
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

// isLocalFailure reports whether a connection failed for lack of a local resource. Such a failure must not
// count against the server.
func isLocalFailure(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
