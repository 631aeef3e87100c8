package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// thinFleet is many gateways that see a few requests a second each, and the servers that these go to.
type thinFleet struct {
	gws  []*Gateway
	n    int
	sent map[string]int
}

func newThinFleet(t *testing.T, gateways int, servers []Server) *thinFleet {
	t.Helper()
	f := &thinFleet{gws: make([]*Gateway, gateways), sent: map[string]int{}}
	cfg := testConfig()
	cfg.Limits.PeerMessages, cfg.Gateways = false, gateways // the quota is no matter here
	cfg.Safety.OverloadFactor = 4
	for i := range f.gws {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, ServerListUpdate{Kind: ListFull, Servers: servers})
		f.gws[i] = g
	}
	return f
}

// play sends each gateway a request every gap from one time to another, each answered within 50 ms, and tells which servers each met.
func (f *thinFleet) play(from, to, gap time.Duration) []map[string]bool {
	met := make([]map[string]bool, len(f.gws))
	for i, g := range f.gws {
		met[i] = map[string]bool{}
		for now := from; now < to; now += gap {
			f.n++
			id := fmt.Sprint(f.n)
			g.Handle(now, TimerFired{beatToken})
			for _, s := range find[SendAttempt](g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
				Deadline: now + time.Second, GatewayCount: 1})) {
				met[i][s.Server] = true
				f.sent[s.Server]++
				g.Handle(now+50*ms, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Latency: 50 * ms, RequestDone: true})
			}
		}
	}
	return met
}

func numbered(from, to int, started time.Duration) (list []Server) {
	for i := from; i < to; i++ {
		list = append(list, Server{ID: fmt.Sprintf("s%03d", i), Zone: "a", Started: started})
	}
	return list
}

// TestThinGatewaysKeepToFewServers: each of 300 gateways meets a few of 150 servers, all servers get about the same of all
// together, and when half of the servers go each gateway keeps to those that it knew.
func TestThinGatewaysKeepToFewServers(t *testing.T) {
	f := newThinFleet(t, 300, numbered(0, 150, 0))
	met := f.play(time.Second, 21*time.Second, 200*ms)
	for i, m := range met {
		if len(m) > nearLeast {
			t.Fatalf("gateway %d met %d servers with 5 requests a second, want %d at most", i, len(m), nearLeast)
		}
	}
	most, mean := 0, 0
	for _, n := range f.sent {
		most, mean = max(most, n), mean+n
	}
	if mean /= 150; len(f.sent) != 150 || most > 5*mean/2 {
		t.Errorf("%d of 150 servers used, %d requests at one where %d are the mean", len(f.sent), most, mean)
	}
	for _, g := range f.gws {
		g.Handle(21*time.Second, ServerListUpdate{Kind: ListFull, Servers: numbered(0, 75, 0)})
	}
	for i, m := range f.play(22*time.Second, 42*time.Second, 200*ms) {
		for _, s := range f.gws[i].near[:nearLeast] {
			delete(met[i], s.ID)
			delete(m, s.ID)
		}
		for id := range met[i] {
			if id < "s075" {
				t.Fatalf("gateway %d knew %s, and does not keep to it after half of the others went", i, id)
			}
		}
		if len(m) > 0 {
			t.Fatalf("gateway %d met others too: %v", i, m)
		}
	}
}

// TestColdServersNearFew: servers that start are near few gateways, whose budgets for them are so much larger: all of these together
// get some of what warm ones get, and none as much as the rule allows in any time of its length.
func TestColdServersNearFew(t *testing.T) {
	f := newThinFleet(t, 300, numbered(0, 60, 0))
	f.play(time.Second, 6*time.Second, 200*ms)
	cfg := f.gws[0].cfg
	const starts = 6 * time.Second
	for _, g := range f.gws {
		g.Handle(starts, ServerListUpdate{Kind: ListDelta, Servers: numbered(60, 90, starts)})
	}
	cold := 0
	for at := starts; at < starts+8*time.Second; at += cfg.Safety.OverloadWindow {
		f.sent = map[string]int{}
		f.play(at, at+cfg.Safety.OverloadWindow, 200*ms)
		warm, all := 0, 0
		for _, s := range numbered(0, 60, 0) {
			warm += f.sent[s.ID]
		}
		for _, s := range numbered(60, 90, 0) {
			age := (at - starts).Seconds() / cfg.Safety.ColdDuration.Seconds()
			can := cfg.Safety.ColdCapacity + (1-cfg.Safety.ColdCapacity)*age
			if most := cfg.Safety.OverloadFactor * can * float64(warm) / 60; float64(f.sent[s.ID]) > most {
				t.Errorf("%s got %d in the %v from %v on, want %.0f at most", s.ID, f.sent[s.ID], cfg.Safety.OverloadWindow, at-starts, most)
			}
			all += f.sent[s.ID]
		}
		cold += all
	}
	if cold < 30*20 {
		t.Errorf("30 cold servers got %d requests in 8 s, want 20 each or more", cold)
	}
}

// TestNearFollowsTheNumber: two gateways have orders of their own, the same at each start.
func TestNearFollowsTheNumber(t *testing.T) {
	ids := func(g *Gateway) (out []string) {
		for _, s := range g.near {
			out = append(out, s.ID)
		}
		return out
	}
	a, b := newThinFleet(t, 2, numbered(0, 40, 0)), newThinFleet(t, 2, numbered(0, 40, 0))
	if slices.Equal(ids(a.gws[0]), ids(a.gws[1])) || !slices.Equal(ids(a.gws[0]), ids(b.gws[0])) {
		t.Errorf("orders: %v and %v, again %v", ids(a.gws[0]), ids(a.gws[1]), ids(b.gws[0]))
	}
}
