package gateway

import (
	"cmp"
	"container/heap"
	"fmt"
	"log/slog"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"sloepick/decide"
	"sloepick/internal/route"
	"sloepick/internal/tuning"
)

// eventLoop owns the decision module and all mutable state. Only its own goroutine accesses it.
type eventLoop struct {
	cfg            Config
	log            *slog.Logger
	clock          Clock
	core           *Core
	decider        *decide.Gateway
	inbox          *inbox
	peers          PeerTransport // nil: peer messages are disabled
	timers         timerHeap
	pending        []decide.Event
	decidedAt      time.Duration // when the decision module was last called; timeouts in its actions count from then
	requests       map[string]*requestState
	clientIDs      map[string]struct{} // ids of the unanswered requests, as chosen by the clients
	nextID         uint64
	pool           pool
	clients        map[ClientConn]admittedConn
	connBytes      connBytes
	connSeq        uint64
	tuning         *atomic.Pointer[tuning.Tuning] // written by the event loop, read by other goroutines as well
	routes         *route.Table                   // nil: none
	acceptSlots    chan struct{}                  // holds one element for each accepted connection that is not counted yet
	heavySlots     chan struct{}                  // holds one element for each posted function of heavy input (see InputLoad)
	newSlots       chan struct{}                  // the same for the first input of new connections
	ended          chan struct{}                  // closed when the event loop has ended
	accepting      int                            // number of frontends that still accept connections
	acceptFailures *failureLog
	memory         *memoryAccount // of all client connections
	requestBytes   int            // held by open requests
	unsent         unsentTotal    // responses that clients have not taken
	batch          []func()       // last batch of the inbox, for reuse
	deferred       []func()       // to be called at the end of the turn
	closingCh      chan struct{}  // closed when the gateway accepts no new connections any more
	closing        bool
	membership     membership // in a fleet
	rank           int        // this gateway's number, as known to the decision module
	restarts       int
	observer       func(decide.Event, []decide.Action) // nil: none
	recovery       *recoverer                          // nil: disabled
}

const (
	// A response is sent this long before the client stops waiting. It covers both network directions, because the
	// client's time starts when it sends the request.
	deadlineMargin = 10 * time.Millisecond
	customerShare  = 0.125   // share of the memory limit for what is known of customers
	customerMemory = 1 << 10 // bytes that a customer takes, with its places in tables and what grows beside it
	// A request that the decision module leaves open past its deadline is failed after this time.
	overdueGrace = 5 * time.Millisecond
	// maxTimerWait is how long a due timer waits for posted functions, which may bring the answer that it is about. It is less
	// than deadlineMargin.
	maxTimerWait = 3 * time.Millisecond
)

func newLoop(cfg Config, clock Clock, log *slog.Logger) (*eventLoop, error) {
	l := &eventLoop{cfg: cfg, log: log, clock: clock, inbox: newInbox(), requests: map[string]*requestState{},
		clientIDs: map[string]struct{}{}, clients: map[ClientConn]admittedConn{},
		unsent: unsentTotal{holders: map[*UnsentResponses]struct{}{}}, tuning: &atomic.Pointer[tuning.Tuning]{}, closingCh: make(chan struct{})}
	if cfg.Tuning == (tuning.Tuning{}) {
		cfg.Tuning = tuning.Default()
	}
	l.core, l.rank, l.membership.number = &Core{l}, cfg.Settings.Decide.Rank, -1
	l.tuning.Store(&cfg.Tuning)
	l.memory = newMemoryAccount(clock.Now)
	l.memory.setLimit(l.memoryShareBytes())
	l.acceptSlots = make(chan struct{}, cfg.Tuning.Clients.AcceptAhead)
	l.heavySlots, l.newSlots, l.ended = make(chan struct{}, heavySlots), make(chan struct{}, heavySlots), make(chan struct{})
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
	settings := l.cfg.Settings.Decide
	settings.MaxCustomers = max(1, int(customerShare*float64(l.cfg.MemoryMB<<20))/customerMemory)
	decider, err := decide.New(settings, l.cfg.Seed+int64(l.restarts))
	if err != nil {
		return fmt.Errorf("starting the decision module: %w", err)
	}
	l.decider = decider
	return nil
}

// run handles events until the gateway has stopped and all requests are answered.
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
		// Readers that this turn has woken run first and wake the loop again. With one processor, goroutines that wait for
		// the network would otherwise not run for as long as that goes on.
		runtime.Gosched()
	}
	l.enqueue(decide.Shutdown{})
	l.processPending()
}

// runPosted runs the posted functions. If that takes long, it fires the timers in between: the deadlines of requests don't
// wait for the end of the turn.
func (l *eventLoop) runPosted() {
	l.batch = l.inbox.take(l.batch)
	for i, f := range l.batch {
		l.batch[i] = nil // releases what the function references
		f()
		l.processPending()
		if len(l.timers) > 0 && l.clock.Now()-l.timers[0].at > maxTimerWait {
			l.fireTimers()
		}
	}
}

// runDeferred runs the functions that were deferred to the end of the turn, such as writing all responses of a
// connection at once.
func (l *eventLoop) runDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i]()
		l.deferred[i] = nil
		l.processPending()
	}
	l.deferred = l.deferred[:0]
}

// fireTimers calls the functions of due timers.
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

// cancelTimer cancels a timer that has not fired. An obsolete timer would keep the objects it references in
// memory until it fires: a client's request for as long as the client would have waited.
func (l *eventLoop) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// enqueue queues an event for the decision module. Events that result from an action are handled after the
// remaining actions of the current event.
func (l *eventLoop) enqueue(ev decide.Event) { l.pending = append(l.pending, ev) }

func (l *eventLoop) processPending() {
	for i := 0; i < len(l.pending); i++ {
		if l.pending[i] == nil {
			continue // removed by a restart
		}
		for _, a := range l.handle(l.pending[i]) {
			l.perform(a)
		}
	}
	clear(l.pending)
	l.pending = l.pending[:0]
}

// handle passes an event to the decision module. If the module panics, every open request still gets a
// response, and the gateway continues with a new module. Without this, a single bad event would lose all open
// requests.
func (l *eventLoop) handle(ev decide.Event) (actions []decide.Action) {
	decider := l.decider
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("decision module panicked; restarting it", "panic", p, "stack", string(debug.Stack()))
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
		l.log.Error("restarting the decision module failed", "err", err) // the settings were valid at startup
		return
	}
	for _, r := range slices.SortedFunc(maps.Values(l.requests), func(a, b *requestState) int { return cmp.Compare(a.seq, b.seq) }) {
		l.respond(r, Response{Kind: Failed, Reason: "internal error"})
		for _, a := range r.attempts {
			l.pool.cancel(a)
		}
	}
	clear(l.pending) // these events refer to requests that are now closed
	l.enqueue(decide.ServerListUpdate{Kind: decide.ListFull, Servers: l.pool.snapshot()})
}

// perform carries out an action of the decision module.
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
			if decider == l.decider { // otherwise the timer was set before a restart
				l.enqueue(decide.TimerFired{Token: a.Token})
			}
		})
	case decide.SendToPeer:
		if l.peers == nil {
			return
		}
		if err := l.peers.Send(a.To, a.Text); err != nil {
			l.log.Debug("sending a message to a peer failed", "err", err) // treated like a lost message
		}
	case decide.Log:
		l.log.Info(a.Text)
	default:
		l.log.Error("unsupported action of the decision module", "action", fmt.Sprintf("%T", a))
	}
}

// updateServers applies a list of servers from discovery.
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
	for _, id := range l.pool.removeSuperseded() {
		l.log.Warn("another server has started at the address of a server that is listed", "server", id)
		u.Servers = append(u.Servers, decide.Server{ID: id, State: decide.Gone})
	}
	if l.recovery != nil {
		l.recovery.updateNodes(kind)
	}
	l.enqueue(u)
}
