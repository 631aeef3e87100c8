package decide

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// runCustomers plays requests of many customers, one each gap, at gateways drawn at random. What becomes of each is told
// with how long it waited.
func (j *testFleet) runCustomers(d, gap time.Duration, plan string, units float64, customer func(n int) string,
	seen func(customer string, sent bool, waited time.Duration)) {
	type open struct {
		customer string
		at       time.Duration
	}
	asked := map[string]open{}
	watch := func(i int, acts []Action) {
		for _, a := range acts {
			id, sent := "", false
			switch a := a.(type) {
			case SendAttempt:
				id, sent = a.ID, true
			case Refuse:
				id = a.ID
			}
			if o, ok := asked[id]; ok {
				delete(asked, id)
				seen(o.customer, sent, j.now-o.at)
			}
		}
	}
	j.onActions = watch
	defer func() { j.onActions = nil }()
	for end, n := j.now+d, 0; j.now < end; n++ {
		id, c := fmt.Sprint("c", j.now, "-", n), customer(n)
		asked[id] = open{c, j.now}
		j.unitsByID[id] = units
		j.handle(j.rng.Intn(len(j.gateways)), Request{ID: id, Class: "get", Plan: plan, Customer: c, Units: units,
			Deadline: j.now + time.Second, GatewayCount: len(j.gateways)})
		j.advance(gap)
	}
}

// TestGatewaysWithoutPeersDecideImmediately: from one moment on no gateway hears another. After its first silent questions none lets requests
// wait for a word; customers that keep to their quotas are let in, those that were known to flood are not let in more than their
// quota bears, give or take; and when words come again homes decide again.
func TestGatewaysWithoutPeersDecideImmediately(t *testing.T) {
	j := newTestFleet(t, 60, func(cfg *Config) { cfg.PeerIntake = 10 })
	pick := func(n int) string { // one in two is of a customer at eight times its rate, the others of forty that ask little
		if n%2 == 0 {
			return "flood"
		}
		return fmt.Sprint("calm", j.rng.Intn(40))
	}
	type tally struct{ asked, sent, waited, late int }
	runMixed := func(d time.Duration) map[bool]*tally {
		got := map[bool]*tally{true: {}, false: {}}
		j.runCustomers(d, 40*ms, "small", 2, pick, func(c string, sent bool, waited time.Duration) {
			x := got[c == "flood"]
			x.asked++
			if sent {
				x.sent++
			}
			if waited > 0 {
				x.waited++
			}
			if waited > 60*ms {
				x.late++
			}
		})
		return got
	}
	runMixed(15 * time.Second)
	j.loss = 1
	runMixed(10 * time.Second) // until all have noticed
	afterLoss := runMixed(6 * time.Second)
	for flooding, x := range afterLoss {
		if x.late > x.asked/10 {
			t.Errorf("flooding %v: %d of %d waited for a word that can't come", flooding, x.late, x.asked)
		}
	}
	if x := afterLoss[false]; x.sent < x.asked*8/10 {
		t.Errorf("%d of %d within their quotas let in", x.sent, x.asked)
	}
	if x := afterLoss[true]; x.sent > x.asked*4/10 {
		t.Errorf("%d of %d let in of a customer at eight times its rate", x.sent, x.asked)
	}
	j.loss = 0.05
	runMixed(2 * time.Second)
	if x := runMixed(6 * time.Second)[false]; x.sent < x.asked*8/10 || x.waited < x.asked*8/10 {
		t.Errorf("after it %d of %d were let in and %d asked their homes", x.sent, x.asked, x.waited)
	}
}

// TestOverQuotaCustomersAreThinned: without homes, of customers that are told to flood that part is let in that their quotas bear, and of
// others all.
func TestOverQuotaCustomersAreThinned(t *testing.T) {
	g := newTestFleet(t, 300, nil).gateways[4]
	g.silentTimeouts = peersLostAfter
	for _, allowed := range []float64{1, 0.35} {
		sent := 0
		for i := range 400 {
			id := fmt.Sprint("x", allowed, i)
			if allowed < 1 {
				w := peermsg.CustomerMessage{Kind: 'd', Key: 1, NumValues: 1, NumReports: 1,
					Reports: [peermsg.MaxReports]peermsg.OverQuotaReport{{Key: peermsg.Key(id) & peermsg.CustomerKeyMask,
						AllowedShare: allowed, At: time.Hour}}}
				g.Handle(time.Hour, PeerMessage{From: 9, Text: w.Encode(time.Hour)})
				g.silentTimeouts = peersLostAfter // that was told before
			}
			sent += len(actionsOf[SendAttempt](g.Handle(time.Hour, Request{ID: id, Class: "get", Plan: "small", Customer: id, Units: 1,
				Deadline: time.Hour + time.Second, GatewayCount: 300})))
			g.Handle(time.Hour, AttemptEnded{ID: id, Server: "s1", Outcome: OK, Latency: ms, RequestDone: true})
			g.Handle(time.Hour, ClientDisconnected{ID: id})
		}
		if got := float64(sent) / 400; got < 0.8*allowed || got > 1.2*allowed {
			t.Errorf("%.2f let in where %.2f is borne", got, allowed)
		}
	}
}

// TestCeilingDuringMessageLoss: a customer asks for far more than its ceiling at all gateways of its set, some of which are cut off from
// its home, all of them, and none again: what all pass on stays under the ceiling throughout, and some passes.
func TestCeilingDuringMessageLoss(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	const set = 7
	j.lossByGateway = map[int]float64{}
	store, last, used := 60.0, j.now, 0.0
	for k := range 240 {
		switch k % 80 {
		case 20:
			for i := range set / 2 {
				j.lossByGateway[i] = 1
			}
		case 40:
			j.loss = 1
		case 60:
			j.loss = 0.05
			clear(j.lossByGateway)
		}
		for range 10 {
			id := fmt.Sprint(j.now)
			j.unitsByID[id] = 4
			j.handle(j.rng.Intn(set), Request{ID: id, Class: "get", Plan: "hard", Customer: "x", Units: 4,
				Deadline: j.now + time.Second, GatewayCount: set})
			j.advance(10 * ms)
		}
		store = math.Min(60, store+30*(j.now-last).Seconds()) - (j.admittedUnits - used)
		if last, used = j.now, j.admittedUnits; store < -6 {
			t.Fatalf("step %d: the ceiling's store fell to %v, want -6 at least", k, store)
		}
		if k%80 == 40 {
			j.unitsBeforeLoss = j.admittedUnits
		}
		if k%80 == 59 && j.admittedUnits-j.unitsBeforeLoss < 4 {
			t.Errorf("step %d: nothing let in while all are deaf", k)
		}
	}
}

// TestOverQuotaBucketsAreFilledAfterPeerLoss: as words come again, a home takes the buckets of those that flood to be full, and leaves the others as they are.
func TestOverQuotaBucketsAreFilledAfterPeerLoss(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	key := peermsg.Key("x")
	g := j.gateways[j.gateways[0].quota.Coordinator(key, 0)]
	overQuota, withinQuota := g.quota.Customer(key, 1), g.quota.Customer(key+300, 1)
	for range 20 {
		g.quota.RecordDecision(overQuota, false)
		g.quota.RecordDecision(withinQuota, true)
	}
	j.now += time.Minute
	g.silentTimeouts = peersLostAfter
	g.Handle(j.now, PeerMessage{From: 9, Text: peermsg.CustomerMessage{Kind: 'd', Key: 1, NumValues: 1}.Encode(0)})
	if g.quota.Leak(withinQuota); overQuota.FleetLevel != overQuota.Plan.Burst || withinQuota.FleetLevel != 0 || g.peersLost() {
		t.Errorf("buckets at %v and %v, deaf %v", overQuota.FleetLevel, withinQuota.FleetLevel, g.peersLost())
	}
}
