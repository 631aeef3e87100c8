package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestColdServerLoadOverAllGateways guards against cold servers that many small gateways overload together: 300
// gateways with two and a half requests a second each send a starting server some requests, but less than the
// overload factor allows.
func TestColdServerLoadOverAllGateways(t *testing.T) {
	var servers []Server
	for i := 0; i < 20; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	cfg := testConfig()
	cfg.Limits.PeerMessages = false // the quota doesn't matter here
	cfg.Gateways = 300
	cold, warm := 0, 0
	for i := 0; i < cfg.Gateways; i++ {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, ServerListUpdate{Kind: ListFull, Servers: servers})
		for n := 0; n < 30; n++ {
			now := time.Duration(n+1) * 400 * ms
			g.Handle(now, TimerFired{tickToken})
			if n == 25 {
				g.Handle(now, ServerListUpdate{Kind: ListDelta, Servers: []Server{{ID: "s0", Zone: "a", Started: now}}})
			}
			id := fmt.Sprint(n)
			for _, s := range actionsOf[SendAttempt](g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: "x",
				Units: 1, Deadline: now + time.Second, GatewayCount: 1})) {
				if n >= 25 && s.Server == "s0" {
					cold++
				} else if n >= 25 {
					warm++
				}
				g.Handle(now+50*ms, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Latency: 50 * ms, RequestDone: true})
			}
		}
	}
	usual := float64(warm) / 19
	if most := cfg.Safety.OverloadFactor * 0.4 * usual; float64(cold) > most || cold == 0 {
		t.Errorf("the cold server got %d requests in 2 s, a warm one %v: want some, %v at most", cold, usual, most)
	}
}

// TestAllServersCold: while no server is warm, as after a power failure, servers get the rate from before the start,
// as far as they can take it, or if it is unknown a gateway's even share of one request at a time; and never nothing.
func TestAllServersCold(t *testing.T) {
	sent := map[float64]int{}
	for _, rate := range []float64{0, 5} {
		g, err := New(testConfig(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		list := []Server{{ID: "s1", Started: now}, {ID: "s2", Started: now}, {ID: "s3", Started: now}}
		g.Handle(now, ServerListUpdate{Kind: ListFull, Servers: list})
		g.Handle(now, StateRestored{WarmServerRate: rate})
		for i := range 3000 {
			now += ms
			id := fmt.Sprint("r", i)
			for _, a := range g.Handle(now, Request{ID: id, Class: "get", Plan: "small", Customer: id, Units: 1,
				Deadline: now + time.Second}) {
				if s, ok := a.(SendAttempt); ok {
					sent[rate]++
					g.Handle(now, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Latency: 100 * ms, RequestDone: true})
				}
			}
		}
	}
	t.Logf("sent in 3 s, by rate before the start: %v", sent)
	if most := 3 * 3 * 5; sent[5] < 10 || sent[5] > most || sent[0] < 3 {
		t.Errorf("sent in 3 s, by rate before the start: %v, want 10 to %d, as warm servers get, and some where the rate is unknown",
			sent, most)
	}
}
