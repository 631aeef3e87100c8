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
func (s *Stepper) Core() *Core { return s.l.core }

// Observe has every event of the decision module shown, with what the module wants done, before it is.
func (s *Stepper) Observe(f func(decide.Event, []decide.Action)) { s.l.observer = f }

// Wakeups is told when there is something for Step that another goroutine posted.
func (s *Stepper) Wakeups() <-chan struct{} { return s.l.inbox.ready }

// Step does what was posted and what is due, to the end of the turn.
func (s *Stepper) Step() {
	s.l.processPending()
	s.l.runPosted()
	s.l.fireTimers()
	s.l.runDeferred()
}

// NextTimer is when something is due; false: nothing is.
func (s *Stepper) NextTimer() (at time.Duration, any bool) {
	if len(s.l.timers) == 0 {
		return 0, false
	}
	return s.l.timers[0].at, true
}

// UpdateServers hands it a list of servers.
func (s *Stepper) UpdateServers(kind decide.ListKind, list ServerList) {
	s.l.updateServers(kind, list)
	s.Step()
}

// DeliverMessage hands it a message of the gateway of that number.
func (s *Stepper) DeliverMessage(from int, text string) {
	s.l.enqueue(decide.PeerMessage{From: from, Text: text})
	s.Step()
}

// Reload hands it other values. Discovery is its owner's.
func (s *Stepper) Reload(r Reload) {
	s.l.reload(r)
	s.Step()
}

// Stop begins its end; it has come once Stopped.
func (s *Stepper) Stop() {
	s.l.stop()
	s.Step()
}

// Stopped reports that it has stopped and owes nothing.
func (s *Stepper) Stopped() bool { return s.l.finished() }

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
func (s *Stepper) Stats() Stats {
	l := s.l
	return Stats{len(l.requests), l.requestBytes, len(l.clients), len(l.pool.servers), l.pool.conns, len(l.timers)}
}
