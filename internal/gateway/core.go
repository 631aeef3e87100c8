package gateway

import (
	"log/slog"
	"time"

	"sloepick/decide"
)

// Stepper is the gateway's loop without sockets of its own, stepped by its owner: one call in, and all that follows from it is done
// when the call returns. Fronts and backs are those of the configuration; its clock, lists and peers' messages are handed in. It
// is the same code that Run drives, and for one goroutine.
type Stepper struct{ l *eventLoop }

// NewStepper makes one. Nothing listens, and no list but the configuration's is known.
func NewStepper(cfg Config, clock Clock, peers PeerTransport, log *slog.Logger) (*Stepper, error) {
	l, err := newLoop(cfg, clock, log)
	if err != nil {
		return nil, err
	}
	l.peers = peers
	return &Stepper{l}, nil
}

// Core is what its fronts and backs see.
func (c *Stepper) Core() *Core { return c.l.core }

// Observe has every event of the decision module shown, with what the module wants done, before it is.
func (c *Stepper) Observe(see func(decide.Event, []decide.Action)) { c.l.observer = see }

// Wakeups is told when there is something for Step that another goroutine posted.
func (c *Stepper) Wakeups() <-chan struct{} { return c.l.inbox.ready }

// Step does what was posted and what is due, to the end of the turn.
func (c *Stepper) Step() {
	c.l.processPending()
	c.l.runPosted()
	c.l.fireTimers()
	c.l.runDeferred()
}

// NextTimer is when something is due; false: nothing is.
func (c *Stepper) NextTimer() (at time.Duration, any bool) {
	if len(c.l.timers) == 0 {
		return 0, false
	}
	return c.l.timers[0].at, true
}

// UpdateServers hands it a list of servers.
func (c *Stepper) UpdateServers(kind decide.ListKind, list ServerList) {
	c.l.updateServers(kind, list)
	c.Step()
}

// DeliverMessage hands it a message of the gateway of that number.
func (c *Stepper) DeliverMessage(from int, text string) {
	c.l.enqueue(decide.PeerMessage{From: from, Text: text})
	c.Step()
}

// Reload hands it other values. Discovery is its owner's.
func (c *Stepper) Reload(r Reload) {
	c.l.reload(r)
	c.Step()
}

// Stop begins its end; it has come once Stopped.
func (c *Stepper) Stop() {
	c.l.stop()
	c.Step()
}

// Stopped reports that it has stopped and owes nothing.
func (c *Stepper) Stopped() bool { return c.l.finished() }

// Stats are what it holds.
type Stats struct {
	Requests     int // open, or with an attempt out
	RequestBytes int // bytes of open requests
	Clients      int // connections of clients
	Servers      int // known
	ServerConns  int // to servers, open or being made
	Timers       int
}

// Stats tells them.
func (c *Stepper) Stats() Stats {
	l := c.l
	return Stats{len(l.requests), l.requestBytes, len(l.clients), len(l.pool.servers), l.pool.conns, len(l.timers)}
}
