package decide

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// sparseFleet is many gateways that get a few requests a second each, and the servers that these go to.
type sparseFleet struct {
	gateways     []*Gateway
	requests     int
	sentByServer map[string]int
}

func newSparseFleet(t *testing.T, gateways int, servers []Server) *sparseFleet {
	t.Helper()
	f := &sparseFleet{gateways: make([]*Gateway, gateways), sentByServer: map[string]int{}}
	cfg := testConfig()
	cfg.Limits.PeerMessages, cfg.Gateways = false, gateways // the quota doesn't matter here
	cfg.Safety.OverloadFactor = 4
	for i := range f.gateways {
		cfg.Rank = i
		g, err := New(cfg, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, ServerListUpdate{Kind: ListFull, Servers: servers})
		f.gateways[i] = g
	}
	return f
}

// run sends each gateway a request every gap between two times, answers each within 50 ms, and returns the servers
// that each used.
func (f *sparseFleet) run(from, to, gap time.Duration) []map[string]bool {
	used := make([]map[string]bool, len(f.gateways))
	for i, g := range f.gateways {
		used[i] = map[string]bool{}
		for now := from; now < to; now += gap {
			f.requests++
			id := fmt.Sprint(f.requests)
			g.Handle(now, TimerFired{tickToken})
			for _, s := range actionsOf[SendAttempt](g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
				Deadline: now + time.Second, GatewayCount: 1})) {
				used[i][s.Server] = true
				f.sentByServer[s.Server]++
				g.Handle(now+50*ms, AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Latency: 50 * ms, RequestDone: true})
			}
		}
	}
	return used
}

func numberedServers(from, to int, started time.Duration) (list []Server) {
	for i := from; i < to; i++ {
		list = append(list, Server{ID: fmt.Sprintf("s%03d", i), Zone: "a", Started: started})
	}
	return list
}

// TestSparseGatewaysUseServerSubsets: each of 300 gateways uses a few of 150 servers, all servers get about the same
// number of requests, and when half of the servers go each gateway keeps using those that it knew.
func TestSparseGatewaysUseServerSubsets(t *testing.T) {
	f := newSparseFleet(t, 300, numberedServers(0, 150, 0))
	used := f.run(time.Second, 21*time.Second, 200*ms)
	for i, m := range used {
		if len(m) > minSubsetSize {
			t.Fatalf("gateway %d used %d servers at 5 requests a second, want %d at most", i, len(m), minSubsetSize)
		}
	}
	most, mean := 0, 0
	for _, n := range f.sentByServer {
		most, mean = max(most, n), mean+n
	}
	if mean /= 150; len(f.sentByServer) != 150 || most > 5*mean/2 {
		t.Errorf("%d of 150 servers used; the busiest got %d requests, the mean is %d", len(f.sentByServer), most, mean)
	}
	for _, g := range f.gateways {
		g.Handle(21*time.Second, ServerListUpdate{Kind: ListFull, Servers: numberedServers(0, 75, 0)})
	}
	for i, m := range f.run(22*time.Second, 42*time.Second, 200*ms) {
		for _, s := range f.gateways[i].serversByHash[:minSubsetSize] {
			delete(used[i], s.ID)
			delete(m, s.ID)
		}
		for id := range used[i] {
			if id < "s075" {
				t.Fatalf("gateway %d used %s, but not after half of the servers went", i, id)
			}
		}
		if len(m) > 0 {
			t.Fatalf("gateway %d used servers outside its subset: %v", i, m)
		}
	}
}

// TestColdServersInSubsets: servers that start are in the subsets of few gateways, whose budgets for them are larger
// accordingly: they get some of what warm servers get, and none more than the overload factor allows in any overload
// window.
func TestColdServersInSubsets(t *testing.T) {
	f := newSparseFleet(t, 300, numberedServers(0, 60, 0))
	f.run(time.Second, 6*time.Second, 200*ms)
	cfg := f.gateways[0].cfg
	const starts = 6 * time.Second
	for _, g := range f.gateways {
		g.Handle(starts, ServerListUpdate{Kind: ListDelta, Servers: numberedServers(60, 90, starts)})
	}
	cold := 0
	for at := starts; at < starts+8*time.Second; at += cfg.Safety.OverloadWindow {
		f.sentByServer = map[string]int{}
		f.run(at, at+cfg.Safety.OverloadWindow, 200*ms)
		warm, all := 0, 0
		for _, s := range numberedServers(0, 60, 0) {
			warm += f.sentByServer[s.ID]
		}
		for _, s := range numberedServers(60, 90, 0) {
			age := (at - starts).Seconds() / cfg.Safety.ColdDuration.Seconds()
			can := cfg.Safety.ColdCapacity + (1-cfg.Safety.ColdCapacity)*age
			if most := cfg.Safety.OverloadFactor * can * float64(warm) / 60; float64(f.sentByServer[s.ID]) > most {
				t.Errorf("%s got %d requests in the %v from %v on, want %.0f at most", s.ID,
					f.sentByServer[s.ID], cfg.Safety.OverloadWindow, at-starts, most)
			}
			all += f.sentByServer[s.ID]
		}
		cold += all
	}
	if cold < 30*20 {
		t.Errorf("30 cold servers got %d requests in 8 s, want 20 each or more", cold)
	}
}

// TestServerOrderFollowsRank: two gateways have different orders of the servers, the same at each start.
func TestServerOrderFollowsRank(t *testing.T) {
	ids := func(g *Gateway) (out []string) {
		for _, s := range g.serversByHash {
			out = append(out, s.ID)
		}
		return out
	}
	a, b := newSparseFleet(t, 2, numberedServers(0, 40, 0)), newSparseFleet(t, 2, numberedServers(0, 40, 0))
	if slices.Equal(ids(a.gateways[0]), ids(a.gateways[1])) || !slices.Equal(ids(a.gateways[0]), ids(b.gateways[0])) {
		t.Errorf("orders: %v and %v, again %v", ids(a.gateways[0]), ids(a.gateways[1]), ids(b.gateways[0]))
	}
}
