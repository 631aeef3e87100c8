package decide

import (
	"math"
	"testing"
	"time"
)

// TestExpectedTimeFollowsUnits guards against large requests that are sent where they can't be answered in time, and
// against their answers counting as slowness of the server. Here the units are the work: a request of 8 units takes
// eight times as long as one of 1.
func TestExpectedTimeFollowsUnits(t *testing.T) {
	r := newRig(t, func(c *Config) { c.Classes[0].LatencyTarget = 750 * ms })
	serve := func(units float64, took time.Duration) bool {
		id, acts := r.request("get", "wide", "c", units)
		sent := actionsOf[SendAttempt](acts)
		if len(sent) == 0 {
			return false
		}
		r.now += took
		r.handle(AttemptEnded{ID: id, Server: sent[0].Server, Outcome: OK, Latency: took, RequestDone: true})
		return true
	}
	for n := range 400 {
		serve(float64(1+n%4), time.Duration(1+n%4)*75*ms)
	}
	k := r.g.classes["get"]
	for _, units := range []float64{1, 2, 4, 8} {
		if got := k.expectedTime(units); math.Abs(got-0.075*units) > 0.2*0.075*units {
			t.Errorf("%v units are expected to take %.3f s, want about %.3f", units, got, 0.075*units)
		}
	}
	if !serve(6, 450*ms) {
		t.Error("a request that takes 0.45 s was refused under a latency target of 0.75 s")
	}
	for _, s := range r.g.serversByID {
		if x := r.g.slowness(s); x > 1.15 {
			t.Errorf("%s counts as %.2f times slower than usual because of the large requests that it served", s.ID, x)
		}
	}
	if serve(16, 0) {
		t.Error("a request that takes 1.2 s at least was sent under a latency target of 0.75 s")
	}
	if !serve(4, 300*ms) {
		t.Error("a request that takes 0.3 s was refused")
	}
}

// TestLoadCountsWork guards against large requests that pile up where small ones do: one of 8 units keeps a server as
// busy as eight of 1.
func TestLoadCountsWork(t *testing.T) {
	r := newRig(t, nil, Server{ID: "s1", Zone: "a"}, Server{ID: "s2", Zone: "a"})
	for n := range 400 {
		units := float64(1 + 7*(n%2))
		id, acts := r.request("get", "wide", "c", units)
		took := time.Duration(20*units) * ms
		r.now += took
		r.handle(AttemptEnded{ID: id, Server: actionsOf[SendAttempt](acts)[0].Server, Outcome: OK, Latency: took, RequestDone: true})
	}
	_, acts := r.request("get", "wide", "c", 8)
	large := actionsOf[SendAttempt](acts)[0].Server
	for range 4 {
		if _, acts := r.request("get", "wide", "c", 1); actionsOf[SendAttempt](acts)[0].Server == large {
			t.Errorf("a small request went to %s, which works on a large one, while the other server has less work", large)
		}
	}
	if out := r.g.servers[large].openWork; math.Abs(out-16.0/9) > 0.2 {
		t.Errorf("the large request counts as %.2f typical ones, want about %.2f", out, 16.0/9)
	}
}

// TestOpenWorkIsReleased: the sums of open work match the open attempts: an attempt that ends with any outcome
// subtracts what it added, and an abandoned one counts until a later answer or for abandonedLoadTime.
func TestOpenWorkIsReleased(t *testing.T) {
	for _, o := range []Outcome{OK, Error, Rejected, TimedOut, NoConnection, Reset, Cancelled, NotSent} {
		r := newRig(t, nil)
		id, acts := r.request("pay", "wide", "c", 5)
		r.handle(AttemptEnded{ID: id, Server: actionsOf[SendAttempt](acts)[0].Server, Outcome: o, Latency: 40 * ms, RequestDone: true})
		r.now += abandonedLoadTime + time.Second
		r.handle(TimerFired{tickToken})
		if sum := r.g.totals.openWork; math.Abs(sum) > 1e-9 {
			t.Errorf("%v left %v of open work behind", o, sum)
		}
		for _, s := range r.g.serversByID {
			if math.Abs(s.openWork) > 1e-9 {
				t.Errorf("%v left %v of work at %s", o, s.openWork, s.ID)
			}
		}
	}
}

// TestColdBudgetIsInWork: a large request takes as much of a cold server's budget as the small ones that equal its
// work, and what the server may be sent is bounded by the overload factor and by its capacity, whichever is less.
func TestColdBudgetIsInWork(t *testing.T) {
	rate := func(multiple float64) (float64, *rig, *server) {
		r := newRig(t, func(c *Config) { c.Safety.OverloadFactor = multiple })
		for n := range 400 {
			units := float64(1 + 7*(n%2))
			id, acts := r.request("get", "wide", "c", units)
			took := time.Duration(20*units) * ms
			r.now += took
			r.handle(AttemptEnded{ID: id, Server: actionsOf[SendAttempt](acts)[0].Server, Outcome: OK, Latency: took, RequestDone: true})
		}
		r.handle(ServerListUpdate{Kind: ListDelta, Servers: []Server{{ID: "new", Zone: "a", Started: r.now}}})
		s := r.g.servers["new"]
		return r.g.coldServerRate(s), r, s
	}
	two, r, s := rate(2)
	four, _, _ := rate(4)
	if got, want := four/two, maxColdLoadFactor/(2*coldMargin); math.Abs(got-want) > 1e-6 {
		t.Errorf("twice the overload factor lets %.3f times as much through, want %.3f", got, want)
	}
	spend := func(units float64) float64 {
		s.coldBudget, s.coldBudgetAt = 1, r.now
		r.g.sendAttempt(&request{Request: Request{ID: "x"}, class: r.g.classes["get"], customer: r.g.quota.Customer(1, 0),
			units: units, expires: r.now + time.Second}, s)
		return 1 - s.coldBudget
	}
	if large, small := spend(8), spend(1); large < 6*small {
		t.Errorf("a request of 8 units takes %.2f of the cold budget, one of 1 unit %.2f", large, small)
	}
}
