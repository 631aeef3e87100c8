package gateway

import (
	"log/slog"
	"time"

	"sloepick/decide"
)

// Core is the gateway's loop without sockets of its own, stepped by its owner: one call in, and all that follows from it is done
// when the call returns. Fronts and backs are those of the configuration; its clock, lists and peers' messages are handed in. It
// is the same code that Run drives, and for one goroutine.
type Core struct{ l *loop }

// NewCore makes one. Nothing listens, and no list but the configuration's is known.
func NewCore(cfg Config, clock Clock, peers Peers, log *slog.Logger) (*Core, error) {
	l, err := newLoop(cfg, clock, log)
	if err != nil {
		return nil, err
	}
	l.peers = peers
	return &Core{l}, nil
}

// Door is what its fronts and backs see.
func (c *Core) Door() *Door { return c.l.door }

// Tap has every event of the decision module shown, with what the module wants done, before it is.
func (c *Core) Tap(see func(decide.Event, []decide.Action)) { c.l.tap = see }

// Posted is told when there is something for Step that another goroutine posted.
func (c *Core) Posted() <-chan struct{} { return c.l.in.ready }

// Step does what was posted and what is due, to the end of the turn.
func (c *Core) Step() {
	c.l.drainTodo()
	c.l.taken()
	c.l.ring()
	c.l.settle()
}

// Next is when something is due; false: nothing is.
func (c *Core) Next() (at time.Duration, any bool) {
	if len(c.l.alarms) == 0 {
		return 0, false
	}
	return c.l.alarms[0].at, true
}

// Fleet hands it a list of servers.
func (c *Core) Fleet(kind decide.ListKind, list ServerList) {
	c.l.fleet(kind, list)
	c.Step()
}

// Message hands it a message of the gateway of that number.
func (c *Core) Message(from int, text string) {
	c.l.feed(decide.PeerMessage{From: from, Text: text})
	c.Step()
}

// Reload hands it other values. Discovery is its owner's.
func (c *Core) Reload(r Reload) {
	c.l.retune(r)
	c.Step()
}

// Stop begins its end; it has come once Stopped.
func (c *Core) Stop() {
	c.l.stop()
	c.Step()
}

// Stopped reports that it has stopped and owes nothing.
func (c *Core) Stopped() bool { return c.l.finished() }

// Figures are what it holds.
type Figures struct {
	Requests    int // open, or with an attempt out
	Held        int // bytes of open requests
	Clients     int // connections of clients
	Servers     int // known
	Connections int // to servers, open or being made
	Alarms      int
}

// Figures tells them.
func (c *Core) Figures() Figures {
	l := c.l
	return Figures{len(l.requests), l.held, len(l.clients), len(l.pool.servers), l.pool.conns, len(l.alarms)}
}
