package gateway

import (
	"cmp"
	"container/heap"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"sloepick/decide"
	"sloepick/internal/route"
	"sloepick/internal/tuning"
)

// eventLoop owns the decision module and all that changes. Only its own goroutine touches it.
type eventLoop struct {
	cfg            Config
	log            *slog.Logger
	clock          Clock
	core           *Core
	decider        *decide.Gateway
	inbox          *inbox
	peers          PeerTransport // nil where messages are not allowed
	timers         timerHeap
	pending        []decide.Event
	decidedAt      time.Duration // when the module was last asked: times that it tells count from then
	requests       map[string]*requestState
	clientIDs      map[string]struct{} // of the requests that are owed an answer, as their clients named them
	nextID         uint64
	pool           pool
	clients        map[ClientConn]uint64 // by when they came
	connSeq        uint64
	tuning         *atomic.Pointer[tuning.Tuning] // stored by the loop, read by the goroutines of connections too
	routes         *route.Table                   // nil: none
	acceptSlots    chan struct{}                  // holds one for each connection that was taken and is not counted yet
	accepting      int                            // that still accept
	acceptFailures *failureLog
	requestBytes   int           // bytes of the commands of open requests
	batch          []func()      // of the inbox, as it was taken last
	deferred       []func()      // to be done once the turn's events are handled
	closingCh      chan struct{} // closed when nothing new is taken
	closing        bool
	membership     membership // in a fleet
	rank           int        // that the module goes by
	restarts       int
	observer       func(decide.Event, []decide.Action) // nil: none
	recovery       *recoverer                          // nil: off
}

const (
	deadlineMargin = 10 * time.Millisecond // an answer leaves so long before the client stops waiting: it
	// covers the way from the client, whose clock began when it sent the request, and the way back
	overdueGrace = 5 * time.Millisecond // past its end, a request that the module left open is failed
)

func newLoop(cfg Config, clock Clock, log *slog.Logger) (*eventLoop, error) {
	l := &eventLoop{cfg: cfg, log: log, clock: clock, inbox: newInbox(), requests: map[string]*requestState{},
		clientIDs: map[string]struct{}{}, clients: map[ClientConn]uint64{}, tuning: &atomic.Pointer[tuning.Tuning]{}, closingCh: make(chan struct{})}
	if cfg.Tuning == (tuning.Tuning{}) {
		cfg.Tuning = tuning.Default()
	}
	l.core, l.rank, l.membership.number = &Core{l}, cfg.Settings.Decide.Rank, -1
	l.tuning.Store(&cfg.Tuning)
	l.acceptSlots = make(chan struct{}, cfg.Tuning.Clients.AcceptAhead)
	l.acceptFailures = &failureLog{log: log}
	l.pool = newPool(l, cfg)
	l.setRoutes(cfg.Routes)
	if err := l.startDecider(); err != nil {
		return nil, err
	}
	if cfg.Recovery != nil {
		l.recovery = l.newRecoverer(cfg.Recovery)
	}
	l.updateServers(decide.ListStale, cfg.KnownServers)
	l.processPending()
	return l, nil
}

func (l *eventLoop) startDecider() error {
	decider, err := decide.New(l.cfg.Settings.Decide, l.cfg.Seed+int64(l.restarts))
	if err != nil {
		return fmt.Errorf("starting the decision module: %w", err)
	}
	l.decider = decider
	return nil
}

// run handles events until the gateway has stopped and owes nothing.
func (l *eventLoop) run() {
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	for !l.finished() {
		if len(l.timers) > 0 {
			wakeup.Reset(l.timers[0].at - l.clock.Now())
		} else {
			wakeup.Reset(time.Hour)
		}
		select {
		case <-l.inbox.ready:
			l.runPosted()
		case <-wakeup.C:
		}
		l.fireTimers()
		l.runDeferred()
	}
	l.enqueue(decide.Shutdown{})
	l.processPending()
}

// runPosted does what was posted.
func (l *eventLoop) runPosted() {
	l.batch = l.inbox.take(l.batch)
	for i, f := range l.batch {
		l.batch[i] = nil // what it holds can go
		f()
		l.processPending()
	}
}

// runDeferred does what waits for the end of a turn, such as writing all answers of a connection at once.
func (l *eventLoop) runDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i]()
		l.deferred[i] = nil
		l.processPending()
	}
	l.deferred = l.deferred[:0]
}

// fireTimers makes the calls that are due.
func (l *eventLoop) fireTimers() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*timer).fn()
		l.processPending()
	}
}

func (l *eventLoop) schedule(t time.Duration, fn func()) *timer {
	tm := &timer{at: t, fn: fn}
	heap.Push(&l.timers, tm)
	return tm
}

// cancelTimer takes an alarm back, if it has not rung. An alarm left to ring would hold what it is about until then: a
// client's request for as long as the client would have waited.
func (l *eventLoop) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// enqueue queues an event for the module. What an action brings about at once waits until the actions before it
// are carried out.
func (l *eventLoop) enqueue(ev decide.Event) { l.pending = append(l.pending, ev) }

func (l *eventLoop) processPending() {
	for i := 0; i < len(l.pending); i++ {
		if l.pending[i] == nil {
			continue // dropped by a restart
		}
		for _, a := range l.handle(l.pending[i]) {
			l.perform(a)
		}
	}
	clear(l.pending)
	l.pending = l.pending[:0]
}

// handle hands an event to the module. Should the module panic, every request still gets its one answer and
// the gateway goes on as after a restart; without this a single bad event would lose all that is open.
func (l *eventLoop) handle(ev decide.Event) (actions []decide.Action) {
	decider := l.decider
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("the decision module panicked", "panic", p, "stack", string(debug.Stack()))
			l.restart(decider)
		}
	}()
	l.decidedAt = l.clock.Now()
	actions = decider.Handle(l.decidedAt, ev)
	if l.observer != nil {
		l.observer(ev, actions)
	}
	return actions
}

func (l *eventLoop) restart(broken *decide.Gateway) {
	if l.decider != broken {
		return
	}
	l.restarts++
	if err := l.startDecider(); err != nil {
		l.log.Error("no new decision module", "err", err) // the settings were good before
		return
	}
	for _, r := range slices.SortedFunc(maps.Values(l.requests), func(a, b *requestState) int { return cmp.Compare(a.seq, b.seq) }) {
		l.respond(r, Response{Kind: Failed, Reason: "internal error"})
		for _, a := range r.attempts {
			l.pool.cancel(a)
		}
	}
	clear(l.pending) // all of it was about what is over
	l.enqueue(decide.ServerListUpdate{Kind: decide.ListFull, Servers: l.pool.snapshot()})
}

// perform carries out what the module wants.
func (l *eventLoop) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.SendAttempt:
		l.startAttempt(a)
	case decide.CancelAttempt:
		if r := l.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.pool.cancel(r.attempts[a.Attempt])
		}
	case decide.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.respond(r, Response{Kind: Refused, RetryAfter: a.RetryAfter, QuotaExceeded: a.OverQuota})
		}
	case decide.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.respond(r, Response{Kind: Failed, Reason: "failed", TimedOut: r.timedOut()})
		}
	case decide.SetTimer:
		decider := l.decider
		l.schedule(a.At, func() {
			if decider == l.decider { // else it was set before a restart
				l.enqueue(decide.TimerFired{Token: a.Token})
			}
		})
	case decide.SendToPeer:
		if l.peers == nil {
			return
		}
		if err := l.peers.Send(a.To, a.Text); err != nil {
			l.log.Debug("a message was not sent", "err", err) // as if lost
		}
	case decide.Log:
		l.log.Info(a.Text)
	default:
		l.log.Error("the module wants what this gateway does not do", "action", fmt.Sprintf("%T", a))
	}
}

// updateServers takes a list of servers.
func (l *eventLoop) updateServers(kind decide.ListKind, list ServerList) {
	u := decide.ServerListUpdate{Kind: kind, Version: list.Version}
	listed := map[string]bool{}
	for i := range list.Servers {
		s := list.Servers[i].toServer()
		listed[s.ID] = true
		u.Servers = append(u.Servers, s)
		l.pool.update(s, list.Servers[i].Addr)
	}
	if kind != decide.ListDelta {
		l.pool.removeUnlisted(listed)
	}
	if l.recovery != nil {
		l.recovery.updateNodes(kind)
	}
	l.enqueue(u)
}
