package decide

import (
	"testing"
	"time"
)

// rigWithUnreachableServer returns a rig and a function that runs a second of requests; unreachable servers make no
// connection, the others answer at once.
func rigWithUnreachableServer(t *testing.T, reachable func(id string) bool) (r *rig, second func() (sent map[string]int, refused int)) {
	r = newRig(t, nil)
	return r, func() (map[string]int, int) {
		sent, refused := map[string]int{}, 0
		for n := range 40 {
			id, acts := r.request([]string{"get", "pay"}[n%2], "wide", "c", 1)
			for attempt := 0; ; attempt++ {
				s := actionsOf[SendAttempt](acts)
				if len(s) == 0 {
					refused += len(actionsOf[Refuse](acts))
					break
				}
				sent[s[0].Server]++
				if reachable(s[0].Server) {
					r.handle(AttemptEnded{ID: id, Attempt: attempt, Server: s[0].Server, Outcome: OK, Latency: 20 * ms, RequestDone: true})
					break
				}
				acts = r.end(id, attempt, s[0].Server, NoConnection)
			}
			r.now += 25 * ms
		}
		return sent, refused
	}
}

// TestUnreachableServerIsAvoided guards against a server, or a zone, that is gone for longer than the list of servers
// shows: each class kept trying it several times a second, and each time cost a request an attempt.
func TestUnreachableServerIsAvoided(t *testing.T) {
	up := false
	r, second := rigWithUnreachableServer(t, func(id string) bool { return id != "s1" || up })
	attempts := 0
	for n := range 20 {
		sent, refused := second()
		if attempts += sent["s1"]; refused > 0 {
			t.Errorf("second %d: %d requests were refused with two servers up", n, refused)
		}
	}
	if attempts > 10 || attempts < 5 {
		t.Errorf("a server that is down for 20 s was tried %d times, want 5 (to detect that it is back) to 10", attempts)
	}
	up = true
	for range 6 { // a little longer than maxAvoidSeconds
		second()
	}
	if sent, _ := second(); sent["s1"] < 5 {
		t.Errorf("a server that is back gets %d of 40 requests, want its share", sent["s1"])
	}
	up = false
	for s := r.g.servers["s1"]; s.avoidUntil <= r.now; {
		second()
	}
	r.handle(ServerListUpdate{Kind: ListDelta, Servers: []Server{{ID: "s1", Zone: "a", Started: r.now - r.g.cfg.Safety.ColdDuration/2}}})
	if s := r.g.servers["s1"]; s.avoidUntil > r.now {
		t.Error("a server that is listed with a new start is still avoided")
	}
}

// TestOutdatedConnectFailuresAreIgnored: a failed connection of an attempt from before an answer does not count, nor
// does a second failure of the same moment.
func TestOutdatedConnectFailuresAreIgnored(t *testing.T) {
	r := newRig(t, nil, Server{ID: "s1", Zone: "a"})
	var ids []string
	for range 4 {
		id, _ := r.send("get", "wide")
		ids = append(ids, id)
	}
	r.now += 50 * ms
	r.end(ids[0], 0, "s1", OK)
	r.end(ids[1], 0, "s1", NoConnection)
	if s := r.g.servers["s1"]; s.connectFailures != 0 {
		t.Errorf("%d failures counted for an attempt from before an answer", s.connectFailures)
	}
	r.now += 50 * ms
	var late []string
	for range 4 {
		id, _ := r.send("get", "wide")
		late = append(late, id)
	}
	r.now += 50 * ms
	for _, id := range late {
		r.end(id, 0, "s1", NoConnection)
	}
	if s := r.g.servers["s1"]; s.connectFailures != 1 {
		t.Errorf("%d failures counted for four attempts of one moment, want 1", s.connectFailures)
	}
}

// TestAllServersDownAreTried: if no server can be reached the fault may be at this gateway, and the first one that is
// back is found.
func TestAllServersDownAreTried(t *testing.T) {
	up := ""
	_, second := rigWithUnreachableServer(t, func(id string) bool { return id == up })
	for range 3 {
		second()
	}
	up = "s2"
	if _, refused := second(); refused > 5 {
		t.Errorf("%d of 40 requests were refused in the second in which the first server came back", refused)
	}
}

// TestRetryAfterNoConnectionIsNotBudgeted: a retry of an attempt that reached no server can't feed an overload, so
// the retry budget does not stop it.
func TestRetryAfterNoConnectionIsNotBudgeted(t *testing.T) {
	r := newRig(t, nil)
	for n := range 3 * int(maxRetryBudget) {
		id, s := r.send("pay", "wide")
		acts := r.end(id, 0, s.Server, NoConnection)
		again := actionsOf[SendAttempt](acts)
		if len(again) != 1 || again[0].Server == s.Server {
			t.Fatalf("request %d was not sent to another server after no connection to %s: %#v", n, s.Server, acts)
		}
		r.end(id, 1, again[0].Server, OK)
		r.now += time.Second
		r.handle(TimerFired{Token: tickToken})
	}
}
