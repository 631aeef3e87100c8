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

// event is something that happens in the world at a time.
type event struct {
	at time.Duration
	n  int // in the order of making, so that a seed repeats a run
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sent is an attempt as the world sees it.
type sent struct {
	server  string
	cell    int
	at, end time.Duration
	over    bool
	outcome decide.Outcome
	ran     bool // it had, or may have had, an effect
}

// asked is a request in the world.
type asked struct {
	id       string
	class    *decide.Class
	route    *Route
	bounds   *decide.RetryPolicy
	came     time.Duration
	deadline time.Duration
	sent     []*sent
	answered time.Duration // 0: not yet
	refused  bool
}

// world drives a decision module in virtual time and holds every action to the rules and to the request's bounds.
type world struct {
	t       *testing.T
	g       *decide.Gateway
	cfg     *decide.Config
	table   *Table
	now     time.Duration
	queue   events
	made    int
	open    map[string]*asked
	all     []*asked
	cells   map[string]int
	fate    func(w *world, a *asked, s *sent) (decide.Outcome, time.Duration) // how an attempt ends, and after what
	firsts  map[int]int
	further map[int]int // by cell
	broken  []string
}

const servers = 6

func newWorld(t *testing.T, cfg *decide.Config, routes []*Route) *world {
	t.Helper()
	g, err := decide.New(*cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, g: g, cfg: cfg, table: NewTable(routes, cfg), now: time.Hour, open: map[string]*asked{}, cells: map[string]int{},
		firsts: map[int]int{}, further: map[int]int{}}
	u := decide.ServerListUpdate{Kind: decide.ListFull, Version: 1}
	for i := range servers {
		s := decide.Server{ID: fmt.Sprintf("s%d", i), Zone: "z", Cell: i % 2, Weight: 1}
		w.cells[s.ID] = s.Cell
		u.Servers = append(u.Servers, s)
	}
	w.feed(u)
	return w
}

func (w *world) breach(a *asked, format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s (%s, route %s): ", a.id, a.class.Name, a.route.Name)+fmt.Sprintf(format, args...))
}

func (w *world) at(t time.Duration, do func()) {
	w.made++
	heap.Push(&w.queue, event{t, w.made, do})
}

func (w *world) feed(ev decide.Event) {
	for _, a := range w.g.Handle(w.now, ev) {
		w.perform(a)
	}
}

// ask lets a request come now, and its client leave at the deadline.
func (w *world) ask(class, plan string, patience time.Duration) *asked {
	n := w.table.Match(Request{Class: class, Plan: plan, Customer: "0000000000000001", ClientTimeout: patience})
	if n < 0 {
		return nil
	}
	a := &asked{id: fmt.Sprintf("r%d", len(w.all)), route: w.table.Route(n), came: w.now, deadline: w.now + patience - margins.Response}
	for i := range w.cfg.Classes {
		if w.cfg.Classes[i].Name == class {
			a.class = &w.cfg.Classes[i]
		}
	}
	w.table.Acquire(n)
	a.bounds = w.table.RetryPolicy(n, class, w.now)
	w.open[a.id] = a
	w.all = append(w.all, a)
	w.feed(decide.Request{ID: a.id, Class: class, Plan: plan, Customer: "0000000000000001", Units: 1, Deadline: a.deadline, RetryPolicy: a.bounds})
	return a
}

func (w *world) perform(act decide.Action) {
	switch act := act.(type) {
	case decide.SendAttempt:
		w.send(w.open[act.ID], act)
	case decide.CancelAttempt:
		if a := w.open[act.ID]; a != nil {
			w.end(a, act.Attempt, decide.Cancelled)
		}
	case decide.Refuse:
		a := w.open[act.ID]
		w.answer(a)
		a.refused = true
		if a.class.Effect != decide.Safe && slices.ContainsFunc(a.sent, func(s *sent) bool { return s.ran || !s.over }) {
			w.breach(a, "refused though it may have run")
		}
	case decide.Fail:
		w.answer(w.open[act.ID])
	case decide.SetTimer:
		w.at(act.At, func() { w.feed(decide.TimerFired{Token: act.Token}) })
	}
}

func (w *world) answer(a *asked) {
	if a.answered > 0 {
		w.breach(a, "a second answer")
	}
	a.answered = w.now
	if w.now > a.deadline+time.Millisecond {
		w.breach(a, "answered %v past its time", w.now-a.deadline)
	}
}

// send holds an attempt to the rules and to the bounds, and draws its fate.
func (w *world) send(a *asked, act decide.SendAttempt) {
	s := &sent{server: act.Server, cell: w.cells[act.Server], at: w.now, end: w.now + act.Timeout}
	b, out := a.bounds, 0
	for _, o := range a.sent {
		if !o.over {
			out++
		}
		if o.over && !o.ran || a.class.Effect == decide.Safe {
			continue
		}
		switch {
		case a.class.Effect == decide.Unsafe:
			w.breach(a, "an unsafe request that may have run is sent again")
		case o.cell != s.cell:
			w.breach(a, "a keyed request that may have run is sent to another group")
		case w.now-o.at >= a.class.DedupWindow:
			w.breach(a, "a keyed repeat %v after an attempt that may have run", w.now-o.at)
		}
	}
	last, worth := time.Duration(0), len(a.sent) == 0 || out > 0
	for _, o := range a.sent {
		last = max(last, o.end)
	}
	for _, o := range a.sent { // what ended last decides; where two copies end at once, either may
		worth = worth || o.end == last && b.RetryOn.Has(o.outcome)
	}
	if !worth {
		w.breach(a, "another attempt after an outcome that is not worth one")
	}
	if out == 0 && len(a.sent) > 0 && float64(w.now-last) < float64(leastWait(b))*(1-b.Jitter)-1 {
		w.breach(a, "another attempt after a wait of %v", w.now-last)
	}
	switch {
	case a.answered > 0:
		w.breach(a, "sent after its answer")
	case len(a.sent) >= b.MaxAttempts:
		w.breach(a, "attempt %d", len(a.sent)+1)
	case out > 1 || out == 1 && !b.Hedge:
		w.breach(a, "a second copy")
	case out == 1 && b.HedgeDelay > 0 && w.now-a.sent[0].at < b.HedgeDelay && len(a.sent) == 1:
		w.breach(a, "a second copy after %v", w.now-a.sent[0].at)
	case b.AttemptTimeout > 0 && act.Timeout > b.AttemptTimeout:
		w.breach(a, "an attempt has %v", act.Timeout)
	case s.end > a.deadline+time.Millisecond || b.TotalTimeout > 0 && s.end > a.came+b.TotalTimeout+time.Millisecond:
		w.breach(a, "an attempt lasts past the request's end")
	}
	if len(a.sent) == 0 {
		w.firsts[s.cell]++
	} else {
		w.further[s.cell]++
	}
	a.sent = append(a.sent, s)
	n := len(a.sent) - 1
	o, after := w.fate(w, a, s)
	if after >= act.Timeout {
		o, after = decide.TimedOut, act.Timeout
	}
	w.at(w.now+after, func() { w.end(a, n, o) })
}

// leastWait is the shortest wait between two attempts, before jitter.
func leastWait(b *decide.RetryPolicy) time.Duration {
	if b.MaxBackoff > 0 {
		return min(b.InitialBackoff, b.MaxBackoff)
	}
	return b.InitialBackoff
}

// end tells the module how an attempt ended, once.
func (w *world) end(a *asked, n int, o decide.Outcome) {
	s := a.sent[n]
	if s.over {
		return
	}
	s.over, s.end, s.outcome = true, w.now, o
	s.ran = o != decide.Rejected && o != decide.NoConnection && o != decide.NotSent
	if o == decide.OK && a.answered == 0 {
		w.answer(a)
	}
	w.at(w.now, func() { // as the gateway does: after the actions at hand
		w.feed(decide.AttemptEnded{ID: a.id, Server: s.server, Attempt: n, Outcome: o, Latency: s.end - s.at, RequestDone: a.answered > 0})
	})
}

// run lets the world go on until a time.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = until
}

// drawRoute makes a random route, safe or not.
func drawRoute(r *rand.Rand, name string, cfg *decide.Config) *Route {
	ms := func(most int) time.Duration { return time.Duration(1+r.IntN(most)) * time.Millisecond }
	maybe := func(d time.Duration) time.Duration {
		if r.IntN(3) == 0 {
			return 0
		}
		return d
	}
	scale := []int{300, 1500, 6000, 20000}[r.IntN(4)]
	t := &Route{Name: name, AttemptTimeout: maybe(ms(scale)), TotalTimeout: maybe(ms(scale * 2)), MaxAttempts: 1 + r.IntN(5), InitialBackoff: maybe(ms(scale / 2)),
		BackoffFactor: 1 + 2*r.Float64(), Jitter: r.Float64(), RetryRatio: r.Float64() * 3, MinRetriesPerSecond: r.Float64() * 20}
	if r.IntN(2) == 0 {
		t.MaxBackoff = ms(scale)
	}
	for _, word := range outcomeWords {
		if r.IntN(2) == 0 {
			t.RetryOn |= outcomes[word]
		}
	}
	if r.IntN(2) == 0 {
		t.Hedge = HedgePolicy{Enabled: true, Delay: maybe(ms(scale)), MinTimeLeft: ms(100)}
		if r.IntN(2) == 0 {
			t.Hedge.Quantile = 0.5 + r.Float64()/2
		}
	}
	for _, k := range cfg.Classes {
		if r.IntN(3) == 0 {
			t.Classes = append(t.Classes, k.Name)
		}
	}
	return t
}

// Whatever routes the proof accepts, in no schedule of outcomes is a rule broken or a bound passed.
func TestWhatIsProvenKeepsTheRules(t *testing.T) {
	seeds.Run(t, []uint64{1, 2}, func(t *testing.T, seed uint64) { provenKeepsTheRules(t, seeds.Rand(seed), seeds.Rounds(150)) })
}

func provenKeepsTheRules(t *testing.T, r *rand.Rand, rounds int) {
	taken, sends := 0, 0
	for round := 0; taken < rounds; round++ {
		cfg := platform()
		rt := drawRoute(r, fmt.Sprintf("r%d", round), cfg)
		if len(Validate([]*Route{rt}, cfg, margins)) > 0 {
			continue
		}
		taken++
		w := newWorld(t, cfg, []*Route{rt})
		mood := r.IntN(4) // of the fleet: mixed, failing fast, silent, one class slow
		w.fate = func(w *world, a *asked, s *sent) (decide.Outcome, time.Duration) {
			switch mood {
			case 1:
				return []decide.Outcome{decide.Error, decide.Rejected, decide.Reset, decide.NoConnection}[r.IntN(4)], time.Millisecond
			case 2:
				return decide.TimedOut, time.Hour
			case 3:
				if a.class.Name == "slot-lookup" && s.server == "s0" {
					return decide.OK, time.Second
				}
			}
			o := []decide.Outcome{decide.OK, decide.OK, decide.Error, decide.Rejected, decide.TimedOut, decide.NoConnection, decide.Reset, decide.NotSent}[r.IntN(8)]
			return o, time.Duration(r.ExpFloat64() * float64([]time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second}[r.IntN(3)]))
		}
		for range 30 {
			k := cfg.Classes[r.IntN(len(cfg.Classes))]
			w.ask(k.Name, "plus", max(20*time.Millisecond, time.Duration(float64(k.Deadline)*r.Float64())))
			w.run(w.now + time.Duration(r.ExpFloat64()*float64(300*time.Millisecond)))
		}
		w.run(w.now + time.Minute)
		for _, a := range w.all {
			sends += len(a.sent)
			if a.answered == 0 {
				w.breach(a, "no answer")
			}
		}
		for cell, n := range w.further {
			span := (w.now - time.Hour).Seconds() + burstSeconds
			if most := float64(w.firsts[cell])*rt.RetryRatio + rt.MinRetriesPerSecond*span; float64(n) > most+1e-6 {
				w.broken = append(w.broken, fmt.Sprintf("cell %d got %d further attempts, %.1f at most", cell, n, most))
			}
		}
		if len(w.broken) > 0 {
			t.Fatalf("round %d, mood %d, route %+v:\n%s", round, mood, *rt, strings.Join(w.broken, "\n"))
		}
	}
	t.Logf("%d routes, %d attempts", taken, sends)
	if sends < taken {
		t.Error("too little happened for a test")
	}
}

// naive runs a request by the letter of its route and nothing else, with every attempt ending in the worst way for it.
// It tells which rule breaks. This is what the proof is there to refuse.
func naive(r *Route, k *decide.Class, o decide.Outcome, slow bool) (broken []string) {
	whole := r.TotalTimeout
	if whole == 0 {
		whole = k.Deadline - margins.Response
	}
	attempt := whole
	if r.AttemptTimeout > 0 {
		attempt = r.AttemptTimeout
	}
	now, wait := time.Duration(0), r.InitialBackoff
	for n := 0; n < r.MaxAttempts; n++ {
		if n > 0 {
			if k.Effect == decide.Unsafe && o != decide.NoConnection {
				broken = append(broken, "effect twice")
			}
			if k.Effect == decide.Keyed && o != decide.NoConnection && now+attempt > k.DedupWindow-margins.Dedup && now < whole {
				broken = append(broken, "outside the window")
			}
		}
		if r.Hedge.Enabled && n == 0 && k.Effect == decide.Unsafe {
			broken = append(broken, "effect twice")
		}
		if r.Hedge.Enabled && n == 0 && k.Effect == decide.Keyed && whole > k.DedupWindow-margins.Dedup {
			broken = append(broken, "outside the window")
		}
		if slow {
			now += attempt
		}
		if !r.RetryOn.Has(o) {
			break
		}
		if n < r.MaxAttempts-1 {
			now += time.Duration(float64(wait) * (1 + r.Jitter))
			if wait = time.Duration(float64(wait) * max(1, r.BackoffFactor)); r.MaxBackoff > 0 {
				wait = min(wait, r.MaxBackoff)
			}
		}
	}
	if max(now, whole) > k.Deadline-margins.Response {
		broken = append(broken, "answered too late")
	}
	if now > whole {
		broken = append(broken, "attempts outlast the whole")
	}
	return broken
}

// For each named kind of what the proof rejects there is a schedule that breaks the rule, were the route followed.
func TestWhatIsRejectedWouldBreak(t *testing.T) {
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
		routes, cfg, diags := judge(t, s, "testdata/unsafe/"+file+".sloe")
		if !diags.Failed() {
			t.Errorf("%s is accepted", file)
		}
		var broken []string
		for _, r := range routes {
			for i := range cfg.Classes {
				if k := &cfg.Classes[i]; len(r.Classes) == 0 || slices.Contains(r.Classes, k.Name) {
					for _, o := range []decide.Outcome{decide.TimedOut, decide.Error, decide.Reset, decide.NoConnection} {
						broken = append(broken, naive(r, k, o, false)...)
						broken = append(broken, naive(r, k, o, true)...) // at the attempt's last moment
					}
				}
			}
		}
		if !slices.Contains(broken, want) {
			t.Errorf("%s: no schedule shows %q: %v", file, want, broken)
		}
	}
}
