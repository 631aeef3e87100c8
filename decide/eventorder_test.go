package decide

import (
	"testing"
	"time"
)

// The tests here force the order of two events that may arrive in either order. docs/design/crossings.md lists them.

// fireTimers fires the timers among the actions, at the time of the latest, and returns the actions that follow.
func (r *rig) fireTimers(acts []Action) (out []Action) {
	timers := actionsOf[SetTimer](acts)
	for _, t := range timers {
		r.now = max(r.now, t.At)
	}
	for _, t := range timers {
		out = append(out, r.handle(TimerFired{t.Token})...)
	}
	return out
}

// rigWithPendingRetry returns a rig with a request whose first attempt failed and whose retry waits for its backoff.
func rigWithPendingRetry(t *testing.T, deadline time.Duration) (r *rig, id string, timers []Action) {
	t.Helper()
	r = newRig(t, nil, Server{ID: "s1", Zone: "a"})
	id = "q"
	policy := &RetryPolicy{MaxAttempts: 3, InitialBackoff: 500 * ms, RetryOn: NewOutcomeSet(Error)}
	sent := actionsOf[SendAttempt](r.handle(Request{ID: id, Class: "get", Plan: "wide", Customer: "c", Units: 1, GatewayCount: 3,
		Deadline: r.now + deadline, RetryPolicy: policy}))
	if len(sent) != 1 {
		t.Fatal("the request was not sent")
	}
	r.now += 10 * ms
	timers = r.end(id, 0, "s1", Error)
	if len(actionsOf[SetTimer](timers)) == 0 || len(actionsOf[SendAttempt](timers)) != 0 {
		t.Fatalf("after the failure: %+v", timers)
	}
	return r, id, timers
}

// TestRetryTimerSeesEventsDuringBackoff: what happens during a backoff counts when its timer fires.
func TestRetryTimerSeesEventsDuringBackoff(t *testing.T) {
	for name, x := range map[string]struct {
		meanwhile Event
		sends     int
	}{
		"nothing":                  {nil, 1},
		"the client's end":         {ClientDisconnected{"q"}, 0},
		"its server's drain":       {ServerListUpdate{Kind: ListDelta, Servers: []Server{{ID: "s1", Zone: "a", State: Draining}}}, 0},
		"a list without it":        {ServerListUpdate{Kind: ListFull, Servers: []Server{}}, 0},
		"its server's replacement": {ServerListUpdate{Kind: ListFull, Servers: []Server{{ID: "s2", Zone: "a"}}}, 1},
	} {
		r, id, timers := rigWithPendingRetry(t, 2*time.Second)
		ended := 0
		if x.meanwhile != nil {
			acts := r.handle(x.meanwhile)
			ended += len(actionsOf[Refuse](acts)) + len(actionsOf[Fail](acts))
		}
		acts := r.fireTimers(timers)
		sent := actionsOf[SendAttempt](acts)
		if len(sent) != x.sends {
			t.Errorf("%s: %d attempts", name, len(sent))
		}
		for _, s := range sent {
			if s.ID != id || name != "nothing" && s.Server == "s1" {
				t.Errorf("%s: sent %+v", name, s)
			}
		}
		if ended += len(actionsOf[Refuse](acts)) + len(actionsOf[Fail](acts)); x.sends == 0 && name != "the client's end" && ended != 1 {
			t.Errorf("%s: %d final answers", name, ended)
		}
	}
}

// TestRetryTimerAfterDeadline: a timer that fires late, after the request's deadline, sends nothing.
func TestRetryTimerAfterDeadline(t *testing.T) {
	r, _, timers := rigWithPendingRetry(t, 2*time.Second)
	r.now += 2 * time.Second
	acts := r.fireTimers(timers)
	if len(actionsOf[SendAttempt](acts)) != 0 || len(actionsOf[Refuse](acts))+len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("after the deadline: %+v", acts)
	}
}

// TestClientDisconnectsWhileGrantIsPending: a coordinator's reply that arrives after the client has left sends nothing.
func TestClientDisconnectsWhileGrantIsPending(t *testing.T) {
	for name, leaves := range map[string]bool{"stays": false, "leaves": true} {
		j := newTestFleet(t, 60, func(cfg *Config) { cfg.PeerIntake = 10 })
		j.loss = 0
		asked, sent := 0, 0
		j.onActions = func(_ int, acts []Action) {
			for _, s := range actionsOf[SendAttempt](acts) {
				if s.ID[0] == 'w' {
					sent++
				}
			}
		}
		for i := range 20 { // some of these gateways are the customer's coordinators and ask nobody
			id := string([]byte{'w', byte('a' + i)})
			before := sent
			j.handle(i, Request{ID: id, Class: "get", Plan: "wide", Customer: "x", Units: 1,
				Deadline: j.now + time.Second, GatewayCount: 60})
			if sent > before {
				sent--
				continue
			}
			asked++
			if leaves {
				j.handle(i, ClientDisconnected{ID: id})
			}
			j.advance(100 * ms)
		}
		if asked < 10 {
			t.Fatalf("only %d of 20 asked a coordinator: the test proves nothing", asked)
		}
		if want := map[bool]int{false: asked, true: 0}[leaves]; sent != want {
			t.Errorf("%s: %d of %d were sent on", name, sent, asked)
		}
	}
}

// TestRetryHasWriteDeadline: a retry of a keyed request that may have run has a write deadline, by the first of the
// deduplication windows; other attempts have none.
func TestRetryHasWriteDeadline(t *testing.T) {
	r := newRig(t, nil)
	began := r.now
	id, first := r.send("put", "wide")
	if first.WriteDeadline != 0 {
		t.Errorf("the first attempt has the write deadline %v, want none", first.WriteDeadline)
	}
	r.now += 100 * ms
	second := actionsOf[SendAttempt](r.end(id, 0, first.Server, Reset))
	if len(second) != 1 || second[0].WriteDeadline != began+2*time.Second-targetMargin {
		t.Fatalf("after one attempt that may have run: %+v", second)
	}
	r.now += 100 * ms
	third := actionsOf[SendAttempt](r.end(id, 1, second[0].Server, Reset))
	if len(third) != 1 || third[0].WriteDeadline != second[0].WriteDeadline {
		t.Errorf("after two attempts that may have run: %+v", third)
	}
	id, first = r.send("put", "wide")
	if again := actionsOf[SendAttempt](r.end(id, 0, first.Server, NoConnection)); len(again) != 1 || again[0].WriteDeadline != 0 {
		t.Errorf("after an attempt that never ran: %+v", again)
	}
	id, first = r.send("get", "wide")
	if again := actionsOf[SendAttempt](r.end(id, 0, first.Server, Reset)); len(again) != 1 || again[0].WriteDeadline != 0 {
		t.Errorf("retry of a safe request: %+v", again)
	}
}

// TestUnsafeRequestNeverRunsTwice: whatever happens while an attempt of an unsafe request is open, or after it may
// have run, there is no other attempt.
func TestUnsafeRequestNeverRunsTwice(t *testing.T) {
	for outcome, again := range map[Outcome]bool{Error: false, Reset: false, TimedOut: false, Cancelled: false,
		Rejected: true, NoConnection: true} {
		r := newRig(t, func(c *Config) { c.Limits.ParallelAttempts = true })
		id, acts := r.request("pay", "wide", "c", 1)
		s, timers := actionsOf[SendAttempt](acts)[0], actionsOf[SetTimer](acts)
		if len(timers) == 0 || timers[0].At >= r.now+time.Second {
			t.Fatalf("no timer for an overdue attempt: %+v", acts)
		}
		if more := actionsOf[SendAttempt](r.fireTimers([]Action{timers[0]})); len(more) != 0 {
			t.Fatalf("a second attempt while the first is open: %+v", more)
		}
		if more := actionsOf[SendAttempt](r.end(id, 0, s.Server, outcome)); len(more) > 0 != again {
			t.Errorf("after outcome %v: %+v", outcome, more)
		}
	}
}
