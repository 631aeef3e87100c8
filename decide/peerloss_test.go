package decide

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// runCustomers sends requests of many customers to random gateways, one every gap, and reports for each request
// whether it was sent and how long it waited.
func (j *testFleet) runCustomers(d, gap time.Duration, plan string, units float64, customer func(n int) string,
	seen func(customer string, sent bool, waited time.Duration)) {
	type open struct {
		customer string
		at       time.Duration
	}
	asked := map[string]open{}
	onActions := func(i int, acts []Action) {
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
	j.onActions = onActions
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

// TestGatewaysWithoutPeersDecideImmediately: all messages between gateways are lost from one moment on. After the
// first unanswered grant requests no gateway lets requests wait for a reply; customers within their quotas are
// admitted, those known to be over their quotas get about what their quotas allow; and once messages arrive again
// coordinators decide again.
func TestGatewaysWithoutPeersDecideImmediately(t *testing.T) {
	j := newTestFleet(t, 60, func(cfg *Config) { cfg.PeerIntake = 10 })
	pick := func(n int) string { // half of the requests are of a customer at eight times its rate, the others of forty that ask little
		if n%2 == 0 {
			return "flood"
		}
		return fmt.Sprint("calm", j.rng.Intn(40))
	}
	type tally struct{ asked, sent, waited, timedOut int }
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
				x.timedOut++
			}
		})
		return got
	}
	runMixed(15 * time.Second)
	j.loss = 1
	runMixed(10 * time.Second) // until all have noticed
	afterLoss := runMixed(6 * time.Second)
	for overQuota, x := range afterLoss {
		if x.timedOut > x.asked/10 {
			t.Errorf("over quota %v: %d of %d waited for a reply that can't come", overQuota, x.timedOut, x.asked)
		}
	}
	if x := afterLoss[false]; x.sent < x.asked*8/10 {
		t.Errorf("%d of %d requests within their quotas were admitted", x.sent, x.asked)
	}
	if x := afterLoss[true]; x.sent > x.asked*4/10 {
		t.Errorf("%d of %d requests were admitted of a customer at eight times its rate", x.sent, x.asked)
	}
	j.loss = 0.05
	runMixed(2 * time.Second)
	if x := runMixed(6 * time.Second)[false]; x.sent < x.asked*8/10 || x.waited < x.asked*8/10 {
		t.Errorf("afterwards %d of %d were admitted and %d asked their coordinators", x.sent, x.asked, x.waited)
	}
}

// TestOverQuotaCustomersAreThinned: without coordinators, customers reported to be over their quotas get the share of
// their requests that the quotas allow, and others get all of them.
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
				g.silentTimeouts = peersLostAfter // what was reported before still holds
			}
			sent += len(actionsOf[SendAttempt](g.Handle(time.Hour, Request{ID: id, Class: "get", Plan: "small", Customer: id, Units: 1,
				Deadline: time.Hour + time.Second, GatewayCount: 300})))
			g.Handle(time.Hour, AttemptEnded{ID: id, Server: "s1", Outcome: OK, Latency: ms, RequestDone: true})
			g.Handle(time.Hour, ClientDisconnected{ID: id})
		}
		if got := float64(sent) / 400; got < 0.8*allowed || got > 1.2*allowed {
			t.Errorf("%.2f of the requests admitted where the quota allows %.2f", got, allowed)
		}
	}
}

// TestCeilingDuringMessageLoss: a customer asks for far more than its ceiling at all its gateways, while some of them
// are cut off from its coordinator, then all, then none, repeatedly: what all admit stays under the ceiling
// throughout, and some is admitted.
func TestCeilingDuringMessageLoss(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	const set = 7
	j.lossByGateway = map[int]float64{}
	tokens, last, used := 60.0, j.now, 0.0
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
		tokens = math.Min(60, tokens+30*(j.now-last).Seconds()) - (j.admittedUnits - used)
		if last, used = j.now, j.admittedUnits; tokens < -6 {
			t.Fatalf("step %d: the ceiling's bucket fell to %v, want -6 at least", k, tokens)
		}
		if k%80 == 40 {
			j.unitsBeforeLoss = j.admittedUnits
		}
		if k%80 == 59 && j.admittedUnits-j.unitsBeforeLoss < 4 {
			t.Errorf("step %d: nothing admitted while all messages are lost", k)
		}
	}
}

// TestOverQuotaBucketsAreFilledAfterPeerLoss: when messages arrive again, a coordinator takes the buckets of
// customers over their quotas to be full and leaves the others as they are.
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
		t.Errorf("buckets at %v and %v, peers lost %v", overQuota.FleetLevel, withinQuota.FleetLevel, g.peersLost())
	}
}
