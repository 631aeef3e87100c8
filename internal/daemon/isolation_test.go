package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloepick/internal/overshoot"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
	"sloepick/internal/testbed/seeds"
)

// TestGatewaysIsolatedFromEachOther runs customers, one of each plan at five times its quota and others well within theirs, against six
// processes whose messages are lost, delayed, duplicated and for a time all dropped. Each request has one response, no key runs twice
// and the ceiling holds. An over-quota customer gets at most its quota and a stated slack; the others are served about as well during
// the isolation as before.
func TestGatewaysIsolatedFromEachOther(t *testing.T) { seeds.Run(t, []uint64{1}, gatewaysIsolated) }

func gatewaysIsolated(t *testing.T, seed uint64) {
	const n, withinQuota = 6, 3
	const minDetectableRate = 8 // units per second; at five times this rate each gateway detects an over-quota customer from its own requests alone
	const cutAt, healedAt, endAt = 5 * time.Second, 10 * time.Second, 13 * time.Second
	platform := testbed.SmallPlatform()
	platform.PeerIntake = 10 // too little for all gateways to report to all others, so that customers have coordinators
	r := e2e.New(t, e2e.Config{Platform: platform, Gateways: n, Seed: seed, Command: testCommand})
	r.Start(0, r.AllGateways()...)
	var load []testbed.Customer
	for i, plan := range platform.Plans {
		load = append(load, testbed.Customer{ID: fmt.Sprintf("%016x", 16*i+1), Plan: plan.Name, Rate: 5 * plan.Rate / 1.38, GatewayCount: n})
		for k := range withinQuota {
			load = append(load, testbed.Customer{ID: fmt.Sprintf("%016x", 16*i+2+k), Plan: plan.Name, Rate: 0.4 * plan.Rate / 1.38, GatewayCount: n})
		}
	}
	normalFaults := faultnet.Fault{Loss: 0.05, Duplicate: 0.02, MinDelay: 3 * time.Millisecond, MaxDelay: 20 * time.Millisecond}
	p := r.RunLoad(load, seed, r.Script(
		e2e.Event{At: 0, Name: "some messages are lost, delayed or duplicated", Do: func() { r.Mesh.SetFault(normalFaults, nil, nil) }},
		e2e.Event{At: cutAt, Name: "all are isolated from each other", Do: func() { r.Mesh.SetFault(faultnet.Blackhole, nil, nil) }},
		e2e.Event{At: healedAt, Name: "half receives from the others and is not received", Do: func() {
			r.Mesh.SetFault(normalFaults, nil, nil)
			r.Mesh.SetFault(faultnet.Blackhole, []int{0, 1, 2}, []int{3, 4, 5})
		}},
		e2e.Event{At: endAt, Name: "the end", Do: func() {}}))
	t.Logf("messages %+v", r.Mesh.Counts())
	startedAt, took := p.StartedAt, p.Elapsed
	before, during := map[string][2]int{}, map[string][2]int{} // by plan: requests sent and served, of customers within their quotas
	for _, e := range p.Results {
		if strings.HasSuffix(e.Customer, "1") {
			continue
		}
		sentAt, period := e.SentAt.Sub(startedAt), before
		if sentAt > cutAt+2*time.Second && sentAt < healedAt { // by then the gateways have detected the isolation
			period = during
		} else if sentAt < time.Second || sentAt > cutAt {
			continue
		}
		counts := period[e.Plan]
		counts[0]++
		if e.Outcome == testbed.OutcomeServed {
			counts[1]++
		}
		period[e.Plan] = counts
	}
	for _, plan := range platform.Plans {
		b, d := before[plan.Name], during[plan.Name]
		t.Logf("%s within their quotas: %d of %d served before, %d of %d while isolated", plan.Name, b[1], b[0], d[1], d[0])
		if minSample := 12; b[0] > minSample && d[0] > minSample && float64(d[1])/float64(d[0]) < 0.5*float64(b[1])/float64(b[0]) {
			t.Errorf("%s: customers within their quotas are hardly served during the isolation", plan.Name)
		}
		overQuota := fmt.Sprintf("%016x", 16*planIndex(platform, plan.Name)+1)
		got, quota := r.Site.Recorder.Units(overQuota), plan.Rate*took.Seconds()+plan.Burst
		// Below minDetectableRate too few requests show that a customer is over its quota. Restarting coordinators after the isolation adds a burst.
		slack := overshoot.MaxExcess(overshoot.Plan{Rate: plan.Rate, Burst: plan.Burst},
			overshoot.Incident{Duration: took, CoordinatorSilence: healedAt - cutAt, KnownOverQuota: plan.Rate >= minDetectableRate, CoordinatorRestarts: 1})
		t.Logf("%s at five times its quota: %.0f units of %.0f and a slack of %.0f; of its rate x time: %.2f before, %.2f isolated, %.2f after",
			plan.Name, got, quota, slack, nodeShare(r, overQuota, plan.Rate, startedAt, 0, cutAt), nodeShare(r, overQuota, plan.Rate, startedAt, cutAt, healedAt), nodeShare(r, overQuota, plan.Rate, startedAt, healedAt, endAt))
		if got > quota+slack {
			t.Errorf("%s at five times its quota got %.0f units of %.0f", plan.Name, got, quota)
		}
	}
}

// nodeShare returns the units of a customer that nodes received in a period, relative to the units that its rate allows in it.
func nodeShare(r *e2e.Harness, customer string, rate float64, startedAt time.Time, from, to time.Duration) (units float64) {
	seen := map[string]bool{}
	for _, a := range r.Site.Recorder.Arrivals() {
		if at := a.At.Sub(startedAt); a.Customer == customer && at >= from && at < to && !seen[a.ID] {
			units += a.Units
		}
		seen[a.ID] = true
	}
	return units / rate / (to - from).Seconds()
}

func planIndex(p *testbed.Platform, plan string) int {
	for i := range p.Plans {
		if p.Plans[i].Name == plan {
			return i
		}
	}
	return -1
}
