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

// loop owns the decision module and all that changes. Only its own goroutine touches it.
type loop struct {
	cfg            Config
	log            *slog.Logger
	clock          Clock
	door           *Core
	core           *decide.Gateway
	in             *inbox
	peers          PeerTransport // nil where messages are not allowed
	alarms         alarms
	todo           []decide.Event
	decided        time.Duration // when the module was last asked: times that it tells count from then
	requests       map[string]*request
	ids            map[string]struct{} // of the requests that are owed an answer, as their clients named them
	nextID         uint64
	pool           pool
	clients        map[ClientConn]uint64 // by when they came
	joined         uint64
	tune           *atomic.Pointer[tuning.Tuning] // stored by the loop, read by the goroutines of connections too
	routes         *route.Table                   // nil: none
	ahead          chan struct{}                  // holds one for each connection that was taken and is not counted yet
	fronts         int                            // that still accept
	acceptFailures *failureLog
	held           int           // bytes of the commands of open requests
	batch          []func()      // of the inbox, as it was taken last
	after          []func()      // to be done once the turn's events are handled
	closed         chan struct{} // closed when nothing new is taken
	closing        bool
	place          place // in a fleet
	rank           int   // that the module goes by
	restarts       int
	tap            func(decide.Event, []decide.Action) // nil: none
	power          *power                              // nil: off
}

const (
	deadlineMargin = 10 * time.Millisecond // an answer leaves so long before the client stops waiting: it
	// covers the way from the client, whose clock began when it sent the request, and the way back
	overdueAfter = 5 * time.Millisecond // past its end, a request that the module left open is failed
)

func newLoop(cfg Config, clock Clock, log *slog.Logger) (*loop, error) {
	l := &loop{cfg: cfg, log: log, clock: clock, in: newInbox(), requests: map[string]*request{},
		ids: map[string]struct{}{}, clients: map[ClientConn]uint64{}, tune: &atomic.Pointer[tuning.Tuning]{}, closed: make(chan struct{})}
	if cfg.Tuning == (tuning.Tuning{}) {
		cfg.Tuning = tuning.Default()
	}
	l.door, l.rank, l.place.number = &Core{l}, cfg.Settings.Decide.Rank, -1
	l.tune.Store(&cfg.Tuning)
	l.ahead = make(chan struct{}, cfg.Tuning.Clients.AcceptAhead)
	l.acceptFailures = &failureLog{log: log}
	l.pool = newPool(l, cfg)
	l.reroute(cfg.Routes)
	if err := l.startCore(); err != nil {
		return nil, err
	}
	if cfg.Recovery != nil {
		l.power = l.newPower(cfg.Recovery)
	}
	l.fleet(decide.ListStale, cfg.KnownServers)
	l.drainTodo()
	return l, nil
}

func (l *loop) startCore() error {
	core, err := decide.New(l.cfg.Settings.Decide, l.cfg.Seed+int64(l.restarts))
	if err != nil {
		return fmt.Errorf("starting the decision module: %w", err)
	}
	l.core = core
	return nil
}

// run handles events until the gateway has stopped and owes nothing.
func (l *loop) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !l.finished() {
		if len(l.alarms) > 0 {
			timer.Reset(l.alarms[0].at - l.clock.Now())
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-l.in.ready:
			l.taken()
		case <-timer.C:
		}
		l.ring()
		l.settle()
	}
	l.feed(decide.Shutdown{})
	l.drainTodo()
}

// taken does what was posted.
func (l *loop) taken() {
	l.batch = l.in.take(l.batch)
	for i, do := range l.batch {
		l.batch[i] = nil // what it holds can go
		do()
		l.drainTodo()
	}
}

// settle does what waits for the end of a turn, such as writing all answers of a connection at once.
func (l *loop) settle() {
	for i := 0; i < len(l.after); i++ {
		l.after[i]()
		l.after[i] = nil
		l.drainTodo()
	}
	l.after = l.after[:0]
}

// ring makes the calls that are due.
func (l *loop) ring() {
	now := l.clock.Now()
	for len(l.alarms) > 0 && l.alarms[0].at <= now {
		heap.Pop(&l.alarms).(*alarm).do()
		l.drainTodo()
	}
}

func (l *loop) at(t time.Duration, do func()) *alarm {
	a := &alarm{at: t, do: do}
	heap.Push(&l.alarms, a)
	return a
}

// unset takes an alarm back, if it has not rung. An alarm left to ring would hold what it is about until then: a
// client's request for as long as the client would have waited.
func (l *loop) unset(a *alarm) {
	if a != nil && a.index >= 0 {
		heap.Remove(&l.alarms, a.index)
	}
}

// feed queues an event for the module. What an action brings about at once waits until the actions before it
// are carried out.
func (l *loop) feed(ev decide.Event) { l.todo = append(l.todo, ev) }

func (l *loop) drainTodo() {
	for i := 0; i < len(l.todo); i++ {
		if l.todo[i] == nil {
			continue // dropped by a restart
		}
		for _, a := range l.handle(l.todo[i]) {
			l.perform(a)
		}
	}
	clear(l.todo)
	l.todo = l.todo[:0]
}

// handle hands an event to the module. Should the module panic, every request still gets its one answer and
// the gateway goes on as after a restart; without this a single bad event would lose all that is open.
func (l *loop) handle(ev decide.Event) (actions []decide.Action) {
	core := l.core
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("the decision module panicked", "panic", p, "stack", string(debug.Stack()))
			l.restart(core)
		}
	}()
	l.decided = l.clock.Now()
	actions = core.Handle(l.decided, ev)
	if l.tap != nil {
		l.tap(ev, actions)
	}
	return actions
}

func (l *loop) restart(broken *decide.Gateway) {
	if l.core != broken {
		return
	}
	l.restarts++
	if err := l.startCore(); err != nil {
		l.log.Error("no new decision module", "err", err) // the settings were good before
		return
	}
	for _, r := range slices.SortedFunc(maps.Values(l.requests), func(a, b *request) int { return cmp.Compare(a.n, b.n) }) {
		l.answer(r, Response{Kind: Failed, Reason: "internal error"})
		for _, a := range r.attempts {
			l.pool.cancel(a)
		}
	}
	clear(l.todo) // all of it was about what is over
	l.feed(decide.ServerListUpdate{Kind: decide.ListFull, Servers: l.pool.listed()})
}

// perform carries out what the module wants.
func (l *loop) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.SendAttempt:
		l.send(a)
	case decide.CancelAttempt:
		if r := l.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.pool.cancel(r.attempts[a.Attempt])
		}
	case decide.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.answer(r, Response{Kind: Refused, RetryAfter: a.RetryAfter, QuotaExceeded: a.OverQuota})
		}
	case decide.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.answer(r, Response{Kind: Failed, Reason: "failed", TimedOut: r.ranOut()})
		}
	case decide.SetTimer:
		core := l.core
		l.at(a.At, func() {
			if core == l.core { // else it was set before a restart
				l.feed(decide.TimerFired{Token: a.Token})
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

// fleet takes a list of servers.
func (l *loop) fleet(kind decide.ListKind, list ServerList) {
	u := decide.ServerListUpdate{Kind: kind, Version: list.Version}
	listed := map[string]bool{}
	for i := range list.Servers {
		s := list.Servers[i].server()
		listed[s.ID] = true
		u.Servers = append(u.Servers, s)
		l.pool.update(s, list.Servers[i].Addr)
	}
	if kind != decide.ListDelta {
		l.pool.keepOnly(listed)
	}
	if l.power != nil {
		l.power.listed(kind)
	}
	l.feed(u)
}
