package daemon

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
	"sloepick/internal/testbed/seeds"
)

// TestColdServersUnderManyGateways plays twenty processes, none of which hears another, while servers start anew one after the
// other: what all of them together send a cold server, by its own tally, stays within what it can take and chance.
func TestColdServersUnderManyGateways(t *testing.T) { seeds.Run(t, []uint64{1}, coldServers) }

func coldServers(t *testing.T, seed uint64) {
	const n, nodes = 20, 4
	const load = 0.6 // of what all servers can do when they are warm
	platform := testbed.SmallPlatform()
	platform.Rules.OverloadFactor = 1.1 // little more than a cold server can do: without slow start its even share pushes it over
	platform.Rules.ColdDuration = 10 * time.Second
	r := e2e.New(t, e2e.Config{Platform: platform, Nodes: nodes, Gateways: n, Seed: seed, Command: testCommand})
	r.Mesh.SetFault(faultnet.Blackhole, nil, nil)
	r.Start(0, r.AllGateways()...)
	rules := platform.Rules
	platform.Rules.OverloadFactor *= 2 // of the general audit, which has no room for chance: this test counts by the rule's own terms
	mean := meanWork(platform)
	totalRate := load * nodes * float64(platform.Rules.Cores) / mean.Seconds()
	var customers []testbed.Customer
	const customerCount = 60 // so many that none floods: quotas are not what is tested
	for i := range customerCount {
		customers = append(customers, testbed.Customer{ID: fmt.Sprintf("%016x", 16+i), Plan: "network", Rate: totalRate / customerCount, GatewayCount: n})
	}
	p := r.RunLoad(customers, seed, r.Script(
		e2e.Event{At: 4 * time.Second, Name: "two servers start anew", Do: func() {
			r.Must(r.Site.Restart(0))
			r.Must(r.Site.Restart(1))
		}},
		e2e.Event{At: 10 * time.Second, Name: "a third one starts anew", Do: func() { r.Must(r.Site.Restart(2)) }},
		e2e.Event{At: 16 * time.Second, Name: "the end", Do: func() {}}))
	share, sent := p.ServedShare(2*time.Second, 4*time.Second, nil)
	t.Logf("served before the first start: %.2f of %d", share, sent)
	if share < 0.5 {
		t.Error("what is asked hardly reaches the servers: the test shows nothing")
	}
	for node := range 3 {
		id := r.Site.Nodes[node].ID()
		worst := worstWindow(r.Site.Recorder, rules, id, mean)
		t.Logf("%s: %.2f of what may be, in the worst window of %v", id, worst, rules.OverloadWindow)
		if worst > 1 {
			t.Errorf("%s was pushed over: %.2f times what may be", id, worst)
		}
		if worst == 0 {
			t.Errorf("%s got nothing after its start", id)
		}
	}
}

func meanWork(p *testbed.Platform) time.Duration {
	mean := 0.0
	for _, c := range p.Classes {
		mean += c.Share * float64(c.Work)
	}
	return time.Duration(mean)
}

// worstWindow is the most work that a server got in a window while it was cold, as a share of what may be: N requests of mean work, N being
// what it can take in the window, and 2 sqrt(N) + 2 for chance.
func worstWindow(recorder *testbed.Recorder, rules testbed.Rules, node string, mean time.Duration) (worst float64) {
	startTimes := recorder.StartTimes(node)
	if len(startTimes) == 0 {
		return 0
	}
	start := startTimes[0]
	arrivals := slices.DeleteFunc(recorder.Arrivals(), func(a testbed.Arrival) bool {
		since := a.At.Sub(start)
		return a.Node != node || since < 0 || since >= rules.ColdDuration
	})
	slices.SortFunc(arrivals, func(a, b testbed.Arrival) int { return a.At.Compare(b.At) })
	for i, first := range arrivals {
		work := time.Duration(0)
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) > rules.OverloadWindow {
				break
			}
			work += a.Work
		}
		progress := float64(first.At.Sub(start)) / float64(rules.ColdDuration)
		speed := rules.ColdCapacity + (1-rules.ColdCapacity)*progress
		capacity := rules.OverloadFactor * float64(rules.Cores) * speed * rules.OverloadWindow.Seconds() / mean.Seconds()
		worst = max(worst, work.Seconds()/mean.Seconds()/(capacity+2*math.Sqrt(capacity)+2))
	}
	return worst
}
