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

// TestColdServersUnderManyGateways runs twenty gateway processes that receive no messages from each other, while servers restart. What
// they send together to a cold server, as counted there, has to stay within its capacity and an allowance for chance.
func TestColdServersUnderManyGateways(t *testing.T) { seeds.Run(t, []uint64{1}, coldServers) }

func coldServers(t *testing.T, seed uint64) {
	const n, nodes = 20, 4
	const load = 0.6 // of the capacity of all servers when they are warm
	platform := testbed.SmallPlatform()
	platform.Rules.OverloadFactor = 1.1 // little above a cold server's capacity: without slow start, an even share of the load overloads it
	platform.Rules.ColdDuration = 10 * time.Second
	r := e2e.New(t, e2e.Config{Platform: platform, Nodes: nodes, Gateways: n, Seed: seed, Command: testCommand})
	r.Mesh.SetFault(faultnet.Blackhole, nil, nil)
	r.Start(0, r.AllGateways()...)
	rules := platform.Rules
	platform.Rules.OverloadFactor *= 2 // relaxes the general audit, which has no allowance for chance; this test checks the original rules
	mean := meanWork(platform)
	totalRate := load * nodes * float64(platform.Rules.Cores) / mean.Seconds()
	var customers []testbed.Customer
	const customerCount = 60 // so many that none exceeds its quota: this test is not about quotas
	for i := range customerCount {
		customers = append(customers, testbed.Customer{ID: fmt.Sprintf("%016x", 16+i), Plan: "network", Rate: totalRate / customerCount, GatewayCount: n})
	}
	p := r.RunLoad(customers, seed, r.Script(
		e2e.Event{At: 4 * time.Second, Name: "two servers restart", Do: func() {
			r.Must(r.Site.Restart(0))
			r.Must(r.Site.Restart(1))
		}},
		e2e.Event{At: 10 * time.Second, Name: "a third server restarts", Do: func() { r.Must(r.Site.Restart(2)) }},
		e2e.Event{At: 16 * time.Second, Name: "the end", Do: func() {}}))
	share, sent := p.ServedShare(2*time.Second, 4*time.Second, nil)
	t.Logf("served before the first restart: %.2f of %d", share, sent)
	if share < 0.5 {
		t.Error("too few requests reach the servers for the test to be meaningful")
	}
	for node := range 3 {
		id := r.Site.Nodes[node].ID()
		worst := worstWindow(r.Site.Recorder, rules, id, mean)
		t.Logf("%s: %.2f of the limit in the worst window of %v", id, worst, rules.OverloadWindow)
		if worst > 1 {
			t.Errorf("%s was overloaded: %.2f times the limit", id, worst)
		}
		if worst == 0 {
			t.Errorf("%s got no request after its restart", id)
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

// worstWindow returns the most work that a server got in one window while it was cold, as a share of the limit. The limit is the N
// requests of mean work that it can handle in the window, and an allowance of 2 sqrt(N) + 2 for chance.
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
