package decide

import (
	"math/rand"
	"testing"
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// setMembership sends all gateways the membership; peers that are not named are active.
func (j *testFleet) setMembership(peers map[int]PeerStatus, isolated func(i int) bool) {
	for i := range j.gateways {
		s := MembershipUpdate{Rank: i, Isolated: isolated(i), Peers: make([]PeerStatus, len(j.gateways))}
		for k, p := range peers {
			s.Peers[k] = p
		}
		if !j.down[i] {
			j.handle(i, s)
		}
	}
}

func never(int) bool { return false }

// runOverload sends 250 requests a second of one customer to random ones of the named gateways, and returns the units
// admitted a second.
func (j *testFleet) runOverload(d time.Duration, at ...int) float64 {
	rnd, used := rand.New(rand.NewSource(9)), j.admittedUnits
	j.run(d, 4*ms, j.cfg.Plans[0].Name, 1, func(int) int { return at[rnd.Intn(len(at))] })
	return (j.admittedUnits - used) / d.Seconds()
}

// fleetConfigs are a fleet whose gateways all exchange totals, and one that has coordinators as its intake is small.
var fleetConfigs = map[string]func(c *Config){
	"mesh":         func(c *Config) { c.Plans = []Plan{{Name: "p", Rate: 20, Burst: 20, Price: 1}} },
	"coordinators": func(c *Config) { c.Plans, c.PeerIntake = []Plan{{Name: "p", Rate: 20, Burst: 20, Price: 1}}, 7 },
}

const fleetSize = 4

var allGateways = []int{0, 1, 2, 3}

// TestIsolatedGatewaysKeepEvenShares: gateways that are all cut off from each other admit no more than the quota
// together, though one of them had nearly all of it before, and none asks the others.
func TestIsolatedGatewaysKeepEvenShares(t *testing.T) {
	for name, edit := range fleetConfigs {
		j := newTestFleet(t, fleetSize, edit)
		j.runOverload(5*time.Second, 0)
		j.loss = 1
		j.setMembership(nil, func(int) bool { return true })
		j.runOverload(4*time.Second, allGateways...) // uses up the room that was left in the buckets
		before := j.received[0] + j.received[1] + j.received[2] + j.received[3]
		if got := j.runOverload(20*time.Second, allGateways...); got > 21 || got < 17 {
			t.Errorf("%s, all cut off: %.1f units a second admitted of 20", name, got)
		}
		if asked := j.received[0] + j.received[1] + j.received[2] + j.received[3] - before; name == "coordinators" && asked > 0 {
			t.Errorf("coordinators that can't be reached were asked %d times", asked)
		}
	}
}

// TestUnreachablePeerKeepsItsEvenShare: an unreachable peer, which may be working while cut off, keeps its even share
// though it had no traffic before; an absent one keeps nothing.
func TestUnreachablePeerKeepsItsEvenShare(t *testing.T) {
	for status, want := range map[PeerStatus]float64{PeerUnreachable: 15, PeerAbsent: 20} {
		j := newTestFleet(t, fleetSize, fleetConfigs["mesh"])
		j.down[3] = status == PeerAbsent // no message of it ever came
		j.runOverload(5*time.Second, 0, 1, 2)
		j.down[3] = true
		j.runOverload(time.Second, 0, 1, 2) // its last messages arrive
		j.setMembership(map[int]PeerStatus{3: status}, never)
		j.runOverload(3*time.Second, 0, 1, 2)
		if got := j.runOverload(20*time.Second, 0, 1, 2); got < 0.9*want || got > 1.1*want {
			t.Errorf("status %d: %.1f units a second admitted, want about %.0f", status, got, want)
		}
		j.down[3] = false
		j.start(3)
		j.runOverload(3*time.Second, allGateways...)
		if got := j.runOverload(20*time.Second, allGateways...); got < 17 || got > 22 {
			t.Errorf("status %d, then back: %.1f units a second admitted, want about 20", status, got)
		}
	}
}

// TestReassignedRankStartsHalfFull: a gateway that takes over a rank starts with buckets at least half full, and with
// nothing that was sent to the rank that it had.
func TestReassignedRankStartsHalfFull(t *testing.T) {
	j := newTestFleet(t, fleetSize, fleetConfigs["mesh"])
	j.runOverload(3*time.Second, allGateways...)
	j.run(5*time.Second, time.Second, "p", 1, func(int) int { return 0 }) // buckets leak
	g := j.gateways[2]
	c := g.quota.Find(peermsg.Key("x"))
	c.FallbackTokens = 7
	j.handle(2, MembershipUpdate{Rank: 2, RankReassigned: true, Peers: make([]PeerStatus, 4)})
	if c.FallbackTokens != 0 || c.FallbackLevel < quota.InitialFill*20 {
		t.Errorf("%v units of the ceiling from the former rank, the fallback bucket at %v", c.FallbackTokens, c.FallbackLevel)
	}
	if want := quota.InitialFill * 20 / 4; c.Level < want || c.CeilingTokens != 0 {
		t.Errorf("level %.1f, want %.1f at least; ceiling tokens %.1f", c.Level, want, c.CeilingTokens)
	}
	j.handle(2, MembershipUpdate{Rank: 3, Peers: make([]PeerStatus, 4)})
	if g.quota.Rank != 3 {
		t.Error("it kept its former rank")
	}
	for _, bad := range []MembershipUpdate{{Rank: 4, Peers: make([]PeerStatus, 4)},
		{Rank: -1, Peers: make([]PeerStatus, 4)}, {Rank: 1, Peers: make([]PeerStatus, 3)}} {
		if j.handle(2, bad); g.quota.Rank != 3 {
			t.Errorf("accepted the membership of another fleet: %+v", bad)
		}
	}
}

// TestCoordinatorsMove: if a coordinator of a customer is gone another gateway keeps its bucket, half full at first,
// and no more than the quota is admitted while it takes over.
func TestCoordinatorsMove(t *testing.T) {
	j := newTestFleet(t, fleetSize, fleetConfigs["coordinators"])
	key := peermsg.Key("x")
	first, second := j.gateways[0].quota.Coordinator(key, 0), j.gateways[0].quota.Coordinator(key, 1)
	var rest []int
	for _, i := range allGateways {
		if i != first && i != second {
			rest = append(rest, i)
		}
	}
	j.runOverload(5*time.Second, allGateways...)
	before := j.runOverload(20*time.Second, allGateways...)
	j.down[first], j.down[second] = true, true
	j.setMembership(map[int]PeerStatus{first: PeerAbsent, second: PeerUnreachable}, never)
	for _, i := range rest {
		a, b := j.gateways[i].quota.Coordinator(key, 0), j.gateways[i].quota.Coordinator(key, 1)
		if a == b || j.down[a] || j.down[b] {
			t.Fatalf("gateway %d has %d and %d as the coordinators", i, a, b)
		}
		c := j.gateways[i].quota.Customer(key, 0)
		c.FleetLevel, c.CeilingTokens = 0, 1000
		if ok, _ := j.gateways[i].grant(c, i, 1, 11); ok || c.CeilingTokens != 0 {
			t.Errorf("gateway %d starts a bucket of 20 with room for 11, and %v units under the ceiling", i, c.CeilingTokens)
		}
		c.FleetLevel, c.CeilingTokens = 0, 1000
		if ok, _ := j.gateways[i].grant(c, i, 2, 11); !ok {
			t.Errorf("gateway %d starts the bucket twice", i)
		}
	}
	j.runOverload(3*time.Second, rest...)
	// At such an intake coordinators make refused requests wait long, and two that answer late count separately for a
	// while.
	if got := j.runOverload(20*time.Second, rest...); got < 12 || got > 24 {
		t.Errorf("%.1f units a second admitted of 20; %.1f before", got, before)
	}
}

// TestCeilingWhileIsolated: a ceiling holds while every gateway is isolated, once all are back, and over several
// rounds of both.
func TestCeilingWhileIsolated(t *testing.T) {
	for name, edit := range fleetConfigs {
		j := newTestFleet(t, fleetSize, func(c *Config) {
			edit(c)
			c.Plans[0] = Plan{Name: "p", Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 4, Price: 1}
		})
		used, began, loss := j.admittedUnits, j.now, j.loss
		for round := range 4 {
			j.loss = 1
			j.setMembership(nil, func(int) bool { return true })
			isolated := j.runOverload(4*time.Second, allGateways...)
			j.loss = loss
			j.setMembership(nil, never)
			j.runOverload(time.Duration(1+round)*time.Second, allGateways...)
			if isolated < 10 {
				t.Errorf("%s: %.1f units a second admitted while isolated, of 20", name, isolated)
			}
			if got, most := j.admittedUnits-used, 40+4+20*(j.now-began).Seconds(); got > most {
				t.Errorf("%s, round %d: %.0f units admitted, the ceiling allows %.0f", name, round, got, most)
			}
		}
	}
}

// TestCeilingWhileSomeAreIsolated: all but a customer's coordinator are isolated and know it, while the coordinator
// keeps granting: what all admit together stays under the ceiling, and the coordinator admits its half of it.
func TestCeilingWhileSomeAreIsolated(t *testing.T) {
	j := newTestFleet(t, fleetSize, func(c *Config) {
		c.PeerIntake = 7
		c.Plans = []Plan{{Name: "p", Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 4, Price: 1}}
	})
	coordinator := j.gateways[0].quota.Coordinator(peermsg.Key("x"), 0)
	used, began := j.admittedUnits, j.now
	for round := range 3 {
		split := round%2 == 1
		if j.loss = 0; split {
			j.loss = 1
		}
		j.setMembership(nil, func(i int) bool { return split && i != coordinator })
		got := j.runOverload(30*time.Second, allGateways...)
		if got < 9.5 { // the coordinator's half
			t.Errorf("round %d: %.1f units a second admitted of 20", round, got)
		}
		if got, most := j.admittedUnits-used, 40+4+20*(j.now-began).Seconds(); got > most {
			t.Fatalf("round %d: %.0f units admitted, the ceiling allows %.0f", round, got, most)
		}
	}
}

// TestPeerProbeIsNotARequest: a grant request for 0 units, sent to probe peers, does not lower a customer's reported
// share over its quota.
func TestPeerProbeIsNotARequest(t *testing.T) {
	j := newTestFleet(t, fleetSize, fleetConfigs["coordinators"])
	g := j.gateways[0]
	c := g.quota.Customer(peermsg.Key("x"), 0)
	c.OverShare = 0.5
	if g.grant(c, 1, 1, 0); c.OverShare != 0.5 {
		t.Errorf("a share of 0.5 over the quota is reported as %v", c.OverShare)
	}
}

// TestRetryAfterUnderCeiling: a gateway that refuses by its coordinator's reply advises the coordinator's wait, and
// an isolated one the time until its own share of the ceiling has room.
func TestRetryAfterUnderCeiling(t *testing.T) {
	j := newTestFleet(t, fleetSize, func(c *Config) {
		c.PeerIntake = 7
		c.Plans = []Plan{{Name: "p", Rate: 1000, Burst: 1000, CeilingRate: 20, CeilingBurst: 40, Price: 1}}
	})
	key := peermsg.Key("x")
	g := j.gateways[(j.gateways[0].quota.Coordinator(key, 0)+1)%fleetSize]
	c := g.quota.Customer(key, 0)
	c.RefuseUntil = g.now + 300*ms
	if got := g.timeUntilRoom(c, 2); got != 300*ms {
		t.Errorf("the coordinator replied 300 ms, the client is advised %v", got)
	}
	g.quota.Isolated, c.RefuseUntil, c.FallbackTokens = true, 0, 1
	if got := g.timeUntilRoom(c, 2); got != 400*ms { // one unit at 20/8 a second
		t.Errorf("isolated, the client is advised %v, want 400ms", got)
	}
}

// TestCoordinatorHandsOver: a coordinator that stops hands over how full its customers' buckets are. A customer over
// its quota then gets next to nothing beyond the leak, where its bucket would otherwise start half full; one with
// little traffic is not held up.
func TestCoordinatorHandsOver(t *testing.T) {
	room := map[bool]float64{}
	for _, announced := range []bool{false, true} {
		j := newTestFleet(t, fleetSize, fleetConfigs["coordinators"])
		j.setMembership(nil, never)
		key := peermsg.Key("x")
		first, second := j.gateways[0].quota.Coordinator(key, 0), j.gateways[0].quota.Coordinator(key, 1)
		j.runOverload(8*time.Second, allGateways...)
		if j.loss = 0; announced {
			j.handle(first, Shutdown{})
			j.advance(40 * ms)
		}
		j.down[first] = true
		j.setMembership(map[int]PeerStatus{first: PeerAbsent}, never)
		for n := range quota.MaxCoordinators {
			i := j.gateways[second].quota.Coordinator(key, n)
			if i == second {
				continue
			}
			c := j.gateways[i].quota.Customer(key, 0)
			j.gateways[i].quota.Leak(c)
			j.gateways[i].quota.BecomeCoordinator(c)
			room[announced] = c.Plan.Burst - c.FleetLevel
		}
	}
	t.Logf("room in the bucket of a customer over its quota at its new coordinators: %v", room)
	if room[true] > 3 || room[false] < 8 {
		t.Errorf("room in the bucket of a customer over its quota at its new coordinators: %v", room)
	}
}
