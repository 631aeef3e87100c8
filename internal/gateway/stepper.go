package gateway

import (
	"log/slog"
	"time"

	"sloepick/decide"
)

// Stepper runs a gateway without a goroutine of its own: its caller steps the event loop, and each call returns
// when everything that follows from it is done. It uses the frontends and backends of the configuration; the
// caller provides the clock, the server lists and the peer messages. The code is the same as under Run. A
// Stepper is for use by one goroutine.
type Stepper struct{ l *eventLoop }

// NewStepper creates a gateway that is stepped by its caller. It knows only the server list of the
// configuration.
func NewStepper(cfg Config, clock Clock, peers PeerTransport, log *slog.Logger) (*Stepper, error) {
	l, err := newLoop(cfg, clock, log)
	if err != nil {
		return nil, err
	}
	l.peers = peers
	return &Stepper{l}, nil
}

// Core returns the interface for frontends and backends.
func (s *Stepper) Core() *Core { return s.l.core }

// Observe registers a function that is called with every event for the decision module and the resulting
// actions, before these are performed.
func (s *Stepper) Observe(f func(decide.Event, []decide.Action)) { s.l.observer = f }

// Wakeups receives a value when another goroutine has posted a function for Step to run.
func (s *Stepper) Wakeups() <-chan struct{} { return s.l.inbox.ready }

// Step runs the posted functions and the due timers, and then the deferred functions.
func (s *Stepper) Step() {
	s.l.processPending()
	s.l.runPosted()
	s.l.fireTimers()
	s.l.runDeferred()
}

// NextTimer returns the time of the next timer; false: there is none.
func (s *Stepper) NextTimer() (at time.Duration, any bool) {
	if len(s.l.timers) == 0 {
		return 0, false
	}
	return s.l.timers[0].at, true
}

// UpdateServers passes a list of servers from discovery to the gateway.
func (s *Stepper) UpdateServers(kind decide.ListKind, list ServerList) {
	s.l.updateServers(kind, list)
	s.Step()
}

// DeliverMessage passes a message from a peer gateway, given by its number, to the gateway.
func (s *Stepper) DeliverMessage(from int, text string) {
	s.l.enqueue(decide.PeerMessage{From: from, Text: text})
	s.Step()
}

// Reload applies new values. It ignores Reload.Discovery, because the caller provides the server lists.
func (s *Stepper) Reload(r Reload) {
	s.l.reload(r)
	s.Step()
}

// Stop starts the shutdown. It is complete when Stopped reports true.
func (s *Stepper) Stop() {
	s.l.stop()
	s.Step()
}

// Stopped reports that the shutdown is complete and all requests are answered.
func (s *Stepper) Stopped() bool { return s.l.finished() }

// Stats counts what a gateway holds.
type Stats struct {
	Requests     int // open, or with an attempt in progress
	RequestBytes int // held by open requests
	UnsentBytes  int // of responses that clients have not taken
	Clients      int // connections of clients
	Servers      int // in the server table
	ServerConns  int // connections to servers, open or being established
	Timers       int
}

// Stats returns the current counts.
func (s *Stepper) Stats() Stats {
	l := s.l
	return Stats{len(l.requests), l.requestBytes, l.unsent.bytes, len(l.clients), len(l.pool.servers), l.pool.conns, len(l.timers)}
}
