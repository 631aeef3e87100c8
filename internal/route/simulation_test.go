package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/seeds"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq int // order of creation; makes runs with the same seed identical
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simAttempt is an attempt in the simulation.
type simAttempt struct {
	server            string
	cell              int
	startedAt, endsAt time.Duration // endsAt: the timeout until it has finished
	finished          bool
	outcome           decide.Outcome
	mayHaveRun        bool // it may have had an effect
}

// simRequest is a request in the simulation.
type simRequest struct {
	id         string
	class      *decide.Class
	route      *Route
	policy     *decide.RetryPolicy
	startedAt  time.Duration
	deadline   time.Duration
	attempts   []*simAttempt
	answeredAt time.Duration // 0: not answered
	refused    bool
}

// simulation drives a decision module in virtual time and checks each of its actions against the rules and the request's
// retry policy.
type simulation struct {
	t            *testing.T
	gateway      *decide.Gateway
	cfg          *decide.Config
	table        *Table
	now          time.Duration
	queue        eventQueue
	eventCount   int
	requestsByID map[string]*simRequest // all requests, also answered ones
	requests     []*simRequest          // in order of submission
	cells        map[string]int
	// outcome returns how an attempt ends, and after how long.
	outcome       func(sim *simulation, req *simRequest, attempt *simAttempt) (decide.Outcome, time.Duration)
	firstAttempts map[int]int // by cell
	retries       map[int]int // by cell
	violations    []string
}

const serverCount = 6

// startTime is the virtual time at which a simulation starts. It is not 0, as a time of 0 means "not set", for example in
// simRequest.answeredAt.
const startTime = time.Hour

func newSimulation(t *testing.T, cfg *decide.Config, routes []*Route) *simulation {
	t.Helper()
	g, err := decide.New(*cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{t: t, gateway: g, cfg: cfg, table: NewTable(routes, cfg), now: startTime, requestsByID: map[string]*simRequest{}, cells: map[string]int{},
		firstAttempts: map[int]int{}, retries: map[int]int{}}
	u := decide.ServerListUpdate{Kind: decide.ListFull, Version: 1}
	for i := range serverCount {
		server := decide.Server{ID: fmt.Sprintf("s%d", i), Zone: "z", Cell: i % 2, Weight: 1}
		sim.cells[server.ID] = server.Cell
		u.Servers = append(u.Servers, server)
	}
	sim.handle(u)
	return sim
}

func (sim *simulation) addViolation(req *simRequest, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s (%s, route %s): ", req.id, req.class.Name, req.route.Name)+fmt.Sprintf(format, args...))
}

func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.queue, event{at, sim.eventCount, run})
}

func (sim *simulation) handle(ev decide.Event) {
	for _, act := range sim.gateway.Handle(sim.now, ev) {
		sim.apply(act)
	}
}

// submit starts a request now, with a deadline from the client's timeout. It returns nil if no route matches.
func (sim *simulation) submit(class, plan string, clientTimeout time.Duration) *simRequest {
	n := sim.table.Match(Request{Class: class, Plan: plan, Customer: "0000000000000001", ClientTimeout: clientTimeout})
	if n < 0 {
		return nil
	}
	req := &simRequest{id: fmt.Sprintf("r%d", len(sim.requests)), route: sim.table.Route(n), startedAt: sim.now, deadline: sim.now + clientTimeout - margins.Response}
	for i := range sim.cfg.Classes {
		if sim.cfg.Classes[i].Name == class {
			req.class = &sim.cfg.Classes[i]
		}
	}
	sim.table.Acquire(n)
	req.policy = sim.table.RetryPolicy(n, class, sim.now)
	sim.requestsByID[req.id] = req
	sim.requests = append(sim.requests, req)
	sim.handle(decide.Request{ID: req.id, Class: class, Plan: plan, Customer: "0000000000000001", Units: 1, Deadline: req.deadline, RetryPolicy: req.policy})
	return req
}

func (sim *simulation) apply(act decide.Action) {
	switch act := act.(type) {
	case decide.SendAttempt:
		sim.startAttempt(sim.requestsByID[act.ID], act)
	case decide.CancelAttempt:
		if req := sim.requestsByID[act.ID]; req != nil {
			sim.endAttempt(req, act.Attempt, decide.Cancelled)
		}
	case decide.Refuse:
		req := sim.requestsByID[act.ID]
		sim.respond(req)
		req.refused = true
		if req.class.Effect != decide.Safe && slices.ContainsFunc(req.attempts, func(attempt *simAttempt) bool { return attempt.mayHaveRun || !attempt.finished }) {
			sim.addViolation(req, "refused although it may have run")
		}
	case decide.Fail:
		sim.respond(sim.requestsByID[act.ID])
	case decide.SetTimer:
		sim.schedule(act.At, func() { sim.handle(decide.TimerFired{Token: act.Token}) })
	}
}

func (sim *simulation) respond(req *simRequest) {
	if req.answeredAt > 0 {
		sim.addViolation(req, "answered twice")
	}
	req.answeredAt = sim.now
	if sim.now > req.deadline+time.Millisecond {
		sim.addViolation(req, "answered %v after the deadline", sim.now-req.deadline)
	}
}

// startAttempt checks an attempt against the rules and the retry policy, and schedules its end.
func (sim *simulation) startAttempt(req *simRequest, act decide.SendAttempt) {
	attempt := &simAttempt{server: act.Server, cell: sim.cells[act.Server], startedAt: sim.now, endsAt: sim.now + act.Timeout}
	policy, inFlight := req.policy, 0
	for _, other := range req.attempts {
		if !other.finished {
			inFlight++
		}
		if other.finished && !other.mayHaveRun || req.class.Effect == decide.Safe {
			continue
		}
		switch {
		case req.class.Effect == decide.Unsafe:
			sim.addViolation(req, "an unsafe request that may have run is sent again")
		case other.cell != attempt.cell:
			sim.addViolation(req, "a keyed request that may have run is sent to another cell")
		case sim.now-other.startedAt >= req.class.DedupWindow:
			sim.addViolation(req, "a keyed repeat %v after an attempt that may have run", sim.now-other.startedAt)
		}
	}
	lastEnd, allowed := time.Duration(0), len(req.attempts) == 0 || inFlight > 0
	for _, other := range req.attempts {
		lastEnd = max(lastEnd, other.endsAt)
	}
	for _, other := range req.attempts { // the last outcome decides; if two attempts end at the same time, either one may
		allowed = allowed || other.endsAt == lastEnd && policy.RetryOn.Has(other.outcome)
	}
	if !allowed {
		sim.addViolation(req, "a retry after an outcome that is not in RetryOn")
	}
	// Less 1 ns, as waits are truncated to whole nanoseconds.
	if inFlight == 0 && len(req.attempts) > 0 && float64(sim.now-lastEnd) < float64(minBackoff(policy))*(1-policy.Jitter)-1 {
		sim.addViolation(req, "a retry after a wait of only %v", sim.now-lastEnd)
	}
	switch {
	case req.answeredAt > 0:
		sim.addViolation(req, "sent after the answer")
	case len(req.attempts) >= policy.MaxAttempts:
		sim.addViolation(req, "attempt %d exceeds MaxAttempts", len(req.attempts)+1)
	case inFlight > 1 || inFlight == 1 && !policy.Hedge:
		sim.addViolation(req, "a hedged attempt that is not allowed")
	case inFlight == 1 && policy.HedgeDelay > 0 && sim.now-req.attempts[0].startedAt < policy.HedgeDelay && len(req.attempts) == 1:
		sim.addViolation(req, "a hedged attempt after %v", sim.now-req.attempts[0].startedAt)
	case policy.AttemptTimeout > 0 && act.Timeout > policy.AttemptTimeout:
		sim.addViolation(req, "an attempt has a timeout of %v", act.Timeout)
	case attempt.endsAt > req.deadline+time.Millisecond || policy.TotalTimeout > 0 && attempt.endsAt > req.startedAt+policy.TotalTimeout+time.Millisecond:
		sim.addViolation(req, "an attempt ends after the end of the request")
	}
	if len(req.attempts) == 0 {
		sim.firstAttempts[attempt.cell]++
	} else {
		sim.retries[attempt.cell]++
	}
	req.attempts = append(req.attempts, attempt)
	n := len(req.attempts) - 1
	outcome, after := sim.outcome(sim, req, attempt)
	if after >= act.Timeout {
		outcome, after = decide.TimedOut, act.Timeout
	}
	sim.schedule(sim.now+after, func() { sim.endAttempt(req, n, outcome) })
}

// minBackoff returns the shortest wait between two attempts, before jitter.
func minBackoff(policy *decide.RetryPolicy) time.Duration {
	if policy.MaxBackoff > 0 {
		return min(policy.InitialBackoff, policy.MaxBackoff)
	}
	return policy.InitialBackoff
}

// endAttempt reports the end of an attempt to the module. Only the first call for an attempt has an effect.
func (sim *simulation) endAttempt(req *simRequest, n int, outcome decide.Outcome) {
	attempt := req.attempts[n]
	if attempt.finished {
		return
	}
	attempt.finished, attempt.endsAt, attempt.outcome = true, sim.now, outcome
	attempt.mayHaveRun = outcome != decide.Rejected && outcome != decide.NoConnection && outcome != decide.NotSent
	if outcome == decide.OK && req.answeredAt == 0 {
		sim.respond(req)
	}
	sim.schedule(sim.now, func() { // like the gateway: after the current actions
		sim.handle(decide.AttemptEnded{ID: req.id, Server: attempt.server, Attempt: n, Outcome: outcome, Latency: attempt.endsAt - attempt.startedAt, RequestDone: req.answeredAt > 0})
	})
}

// runUntil runs all events up to a time.
func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = max(sim.now, e.at)
		e.run()
	}
	sim.now = until
}

// randomRoute returns a random route. It may allow requests to break rules, so that Validate rejects it.
func randomRoute(r *rand.Rand, name string, cfg *decide.Config) *Route {
	ms := func(limit int) time.Duration { return time.Duration(1+r.IntN(limit)) * time.Millisecond }
	maybe := func(d time.Duration) time.Duration {
		if r.IntN(3) == 0 {
			return 0
		}
		return d
	}
	scale := []int{300, 1500, 6000, 20000}[r.IntN(4)]
	route := &Route{Name: name, AttemptTimeout: maybe(ms(scale)), TotalTimeout: maybe(ms(scale * 2)), MaxAttempts: 1 + r.IntN(5), InitialBackoff: maybe(ms(scale / 2)),
		BackoffFactor: 1 + 2*r.Float64(), Jitter: r.Float64(), RetryRatio: r.Float64() * 3, MinRetriesPerSecond: r.Float64() * 20}
	if r.IntN(2) == 0 {
		route.MaxBackoff = ms(scale)
	}
	for _, word := range retryOutcomeNames {
		if r.IntN(2) == 0 {
			route.RetryOn |= outcomesByName[word]
		}
	}
	if r.IntN(2) == 0 {
		route.Hedge = HedgePolicy{Enabled: true, Delay: maybe(ms(scale)), MinTimeLeft: ms(100)}
		if r.IntN(2) == 0 {
			route.Hedge.Quantile = 0.5 + r.Float64()/2
		}
	}
	for _, k := range cfg.Classes {
		if r.IntN(3) == 0 {
			route.Classes = append(route.Classes, k.Name)
		}
	}
	return route
}

// TestValidatedRoutesKeepTheRules checks that requests on random routes that Validate accepts never break a rule or exceed
// the policy, whatever the outcomes and their times.
func TestValidatedRoutesKeepTheRules(t *testing.T) {
	seeds.Run(t, []uint64{1, 2}, func(t *testing.T, seed uint64) { validatedRoutesKeepTheRules(t, seeds.Rand(seed), seeds.Rounds(150)) })
}

func validatedRoutesKeepTheRules(t *testing.T, r *rand.Rand, rounds int) {
	accepted, attempts := 0, 0 // rounds counts accepted routes only; candidate counts rejected ones too
	for candidate := 0; accepted < rounds; candidate++ {
		cfg := platform()
		rt := randomRoute(r, fmt.Sprintf("r%d", candidate), cfg)
		if len(Validate([]*Route{rt}, cfg, margins)) > 0 {
			continue
		}
		accepted++
		sim := newSimulation(t, cfg, []*Route{rt})
		scenario := r.IntN(4) // of the servers: mixed outcomes, failing fast, not answering, one class slow on one server
		sim.outcome = func(sim *simulation, req *simRequest, attempt *simAttempt) (decide.Outcome, time.Duration) {
			switch scenario {
			case 1:
				return []decide.Outcome{decide.Error, decide.Rejected, decide.Reset, decide.NoConnection}[r.IntN(4)], time.Millisecond
			case 2:
				return decide.TimedOut, time.Hour
			case 3:
				if req.class.Name == "slot-lookup" && attempt.server == "s0" {
					return decide.OK, time.Second
				}
			}
			outcome := []decide.Outcome{decide.OK, decide.OK, decide.Error, decide.Rejected, decide.TimedOut, decide.NoConnection, decide.Reset, decide.NotSent}[r.IntN(8)]
			return outcome, time.Duration(r.ExpFloat64() * float64([]time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second}[r.IntN(3)]))
		}
		for range 30 {
			k := cfg.Classes[r.IntN(len(cfg.Classes))]
			sim.submit(k.Name, "plus", max(20*time.Millisecond, time.Duration(float64(k.Deadline)*r.Float64())))
			sim.runUntil(sim.now + time.Duration(r.ExpFloat64()*float64(300*time.Millisecond)))
		}
		sim.runUntil(sim.now + time.Minute)
		for _, req := range sim.requests {
			attempts += len(req.attempts)
			if req.answeredAt == 0 {
				sim.addViolation(req, "no answer")
			}
		}
		for cell, n := range sim.retries {
			span := (sim.now - startTime).Seconds() + burstSeconds
			if limit := float64(sim.firstAttempts[cell])*rt.RetryRatio + rt.MinRetriesPerSecond*span; float64(n) > limit+1e-6 {
				sim.violations = append(sim.violations, fmt.Sprintf("cell %d got %d retries, want at most %.1f", cell, n, limit))
			}
		}
		if len(sim.violations) > 0 {
			t.Fatalf("candidate %d, scenario %d, route %+v:\n%s", candidate, scenario, *rt, strings.Join(sim.violations, "\n"))
		}
	}
	t.Logf("%d routes, %d attempts", accepted, attempts)
	if attempts < accepted {
		t.Error("too few attempts for a meaningful test")
	}
}

// runUnchecked runs a request as its route says, without the safeguards of package decide, and with the most jitter in
// each wait. MaxBackoff does not cap the first wait here. Every attempt ends with the same outcome, either at once or, if
// slow, at its timeout. It returns the rules that this breaks, and "attempts outlast the whole" if the attempts and waits
// do not fit into the total timeout: that breaks no rule, but the route contradicts itself.
func runUnchecked(r *Route, k *decide.Class, outcome decide.Outcome, slow bool) (violations []string) {
	totalTimeout := r.TotalTimeout
	if totalTimeout == 0 {
		totalTimeout = k.Deadline - margins.Response
	}
	attemptTimeout := totalTimeout
	if r.AttemptTimeout > 0 {
		attemptTimeout = r.AttemptTimeout
	}
	now, wait := time.Duration(0), r.InitialBackoff
	for n := 0; n < r.MaxAttempts; n++ {
		if n > 0 {
			if k.Effect == decide.Unsafe && outcome != decide.NoConnection {
				violations = append(violations, "effect twice")
			}
			if k.Effect == decide.Keyed && outcome != decide.NoConnection && now+attemptTimeout > k.DedupWindow-margins.Dedup && now < totalTimeout {
				violations = append(violations, "outside the window")
			}
		}
		if r.Hedge.Enabled && n == 0 && k.Effect == decide.Unsafe {
			violations = append(violations, "effect twice")
		}
		if r.Hedge.Enabled && n == 0 && k.Effect == decide.Keyed && totalTimeout > k.DedupWindow-margins.Dedup {
			violations = append(violations, "outside the window")
		}
		if slow {
			now += attemptTimeout
		}
		if !r.RetryOn.Has(outcome) {
			break
		}
		if n < r.MaxAttempts-1 {
			now += time.Duration(float64(wait) * (1 + r.Jitter))
			if wait = time.Duration(float64(wait) * max(1, r.BackoffFactor)); r.MaxBackoff > 0 {
				wait = min(wait, r.MaxBackoff)
			}
		}
	}
	if max(now, totalTimeout) > k.Deadline-margins.Response {
		violations = append(violations, "answered too late")
	}
	if now > totalTimeout {
		violations = append(violations, "attempts outlast the whole")
	}
	return violations
}

// TestRejectedRoutesWouldBreakRules checks that Validate is not too strict: for each listed file that it rejects, some
// outcome, repeated at every attempt, would cause the stated violation if the route were followed. The list holds examples
// of each violation, not all files in testdata/unsafe that would cause one.
func TestRejectedRoutesWouldBreakRules(t *testing.T) {
	s := schema(t)
	for file, want := range map[string]string{
		"whole-longer-than-clients-wait": "answered too late", "whole-to-the-last-moment": "answered too late", "whole-longer-for-all-classes": "answered too late",
		"attempt-longer-than-clients-wait": "answered too late", "attempts-outlast-clients": "answered too late",
		"attempts-outlast-whole": "attempts outlast the whole", "waits-outlast-whole": "attempts outlast the whole",
		"jitter-outlasts-whole": "attempts outlast the whole", "growth-outlasts-whole": "attempts outlast the whole",
		"unsafe-again-after-error": "effect twice", "unsafe-again-after-timed-out": "effect twice", "unsafe-again-after-reset": "effect twice",
		"unsafe-by-all-classes": "effect twice", "unsafe-second-copy": "effect twice", "unsafe-by-plan": "effect twice",
		"keyed-window": "outside the window", "keyed-window-by-wait": "outside the window", "keyed-window-by-copy": "outside the window",
		"keyed-window-without-a-time": "outside the window", "keyed-window-to-the-last-moment": "outside the window",
	} {
		routes, cfg, diags := loadAndValidate(t, s, "testdata/unsafe/"+file+".sloe")
		if !diags.Failed() {
			t.Errorf("%s is accepted", file)
		}
		var broken []string
		for _, r := range routes {
			for i := range cfg.Classes {
				if k := &cfg.Classes[i]; len(r.Classes) == 0 || slices.Contains(r.Classes, k.Name) {
					for _, outcome := range []decide.Outcome{decide.TimedOut, decide.Error, decide.Reset, decide.NoConnection} {
						broken = append(broken, runUnchecked(r, k, outcome, false)...)
						broken = append(broken, runUnchecked(r, k, outcome, true)...) // each attempt takes its whole timeout
					}
				}
			}
		}
		if !slices.Contains(broken, want) {
			t.Errorf("%s: no repeated outcome shows %q: %v", file, want, broken)
		}
	}
}
