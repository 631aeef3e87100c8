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

// lateness is how late the loop may come to a time-out, when the core was busy elsewhere. From so much on, what the server
// said may lie unread, and the time-out says nothing of the server.
const lateness = 20 * time.Millisecond

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
	l       *loop
	servers map[string]*upstream
	conns   int // open or being made, of all servers
	most    int
	dialFor time.Duration
	idleFor time.Duration
	perNode int // connections to one server, open or being made
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
	p.perNode = t.Connections
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
		s.retire() // it leads to a process that is gone
		s.addr = addr
		s.transport = p.l.cfg.back(e.Kind).NewTransport(p.l.door, &Endpoint{p, s, addr})
	}
	if e.State != decide.Serving {
		s.retire()
	}
	p.forget(s)
}

func (s *upstream) retire() {
	if s.transport != nil {
		s.transport.Drain()
	}
}

// forget drops a server that is gone once no connection leads to it. Fleets renew their machines under new ids,
// so without this the table would grow for as long as the gateway runs.
func (p *pool) forget(s *upstream) {
	if s.entry.State == decide.Gone && s.conns == 0 {
		delete(p.servers, s.id)
	}
}

// all are the servers in the order of ids.
func (p *pool) all() []*upstream {
	return slices.SortedFunc(maps.Values(p.servers), func(a, b *upstream) int { return cmp.Compare(a.id, b.id) })
}

// keepOnly takes that a whole list leaves servers out.
func (p *pool) keepOnly(listed map[string]bool) {
	for _, s := range p.all() {
		if !listed[s.id] {
			s.entry.State = decide.Gone
			s.retire()
			p.forget(s)
		}
	}
}

// listed is the list as last told, in the order of ids.
func (p *pool) listed() (list []decide.Server) {
	for _, s := range p.all() {
		list = append(list, s.entry)
	}
	return list
}

// start hands an attempt to its server's transport.
func (p *pool) start(a *attempt) {
	s := a.server
	if s == nil || s.entry.State != decide.Serving {
		p.l.ended(a, decide.NoConnection)
		return
	}
	a.try = Attempt{l: p.l, a: a, transport: s.transport}
	s.transport.Start(&a.try)
}

// room is how many connections there may be, of all servers: clients over their share take from it.
func (p *pool) room() int {
	return min(p.most, p.l.cfg.Sockets-reserveSockets-len(p.l.clients))
}

// evict closes the connection that has stood idle for longest.
func (p *pool) evict() {
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
	case !a.placed:
		o = decide.NoConnection
	case p.l.clock.Now()-a.until > lateness:
		o = decide.Cancelled
	}
	p.giveUp(a, o)
}

// dropUnwritten gives up an attempt whose last byte was not written in time. It never ran.
func (p *pool) dropUnwritten(a *attempt) {
	if !a.whole {
		p.giveUp(a, decide.NoConnection)
	}
}

// cancel stops waiting for an attempt. Whether it ran is not known once its request may have been written.
func (p *pool) cancel(a *attempt) { p.giveUp(a, decide.Cancelled) }

func (p *pool) giveUp(a *attempt, o decide.Outcome) {
	if a.over {
		return
	}
	if a.try.transport != nil {
		a.try.transport.Cancel(&a.try)
	}
	p.l.ended(a, o)
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
