package decide

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// testFleet is several gateways whose messages to each other are delayed, reordered and lost as a seed decides.
type testFleet struct {
	t               *testing.T
	cfg             Config
	gateways        []*Gateway
	rng             *rand.Rand
	now             time.Duration
	deliveries      []delivery
	received        []int // messages sent to each gateway
	admittedUnits   float64
	refused         int
	unitsByID       map[string]float64
	loss            float64
	lossByGateway   map[int]float64 // for the messages to single gateways
	down            map[int]bool
	onActions       func(i int, acts []Action) // may be nil
	unitsBeforeLoss float64                    // admittedUnits when all messages began to be lost
}

type delivery struct {
	at    time.Duration
	to    int
	event Event
}

func newTestFleet(t *testing.T, n int, edit func(*Config)) *testFleet {
	t.Helper()
	j := &testFleet{t: t, cfg: testConfig(), rng: rand.New(rand.NewSource(5)), now: time.Hour, gateways: make([]*Gateway, n),
		received: make([]int, n), unitsByID: map[string]float64{}, loss: 0.05, down: map[int]bool{}}
	j.cfg.Gateways = n
	if edit != nil {
		edit(&j.cfg)
	}
	for i := range j.gateways {
		j.start(i)
	}
	return j
}

func (j *testFleet) start(i int) {
	cfg := j.cfg
	cfg.Rank = i
	g, err := New(cfg, j.rng.Int63())
	if err != nil {
		j.t.Fatal(err)
	}
	j.gateways[i] = g
	j.deliveries = filterDeliveries(j.deliveries, func(l delivery) bool { return l.to != i })
	j.handle(i, ServerListUpdate{Kind: ListStale, Servers: []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}}})
}

func filterDeliveries(ls []delivery, want func(delivery) bool) (out []delivery) {
	for _, l := range ls {
		if want(l) {
			out = append(out, l)
		}
	}
	return out
}

func (j *testFleet) handle(i int, ev Event) {
	acts := j.gateways[i].Handle(j.now, ev)
	if j.onActions != nil {
		j.onActions(i, acts)
	}
	for _, a := range acts {
		switch a := a.(type) {
		case SendToPeer:
			j.received[a.To]++
			if j.rng.Float64() >= max(j.loss, j.lossByGateway[a.To]) && !j.down[a.To] {
				delay := time.Duration(2+j.rng.Intn(16)) * ms
				j.deliveries = append(j.deliveries, delivery{at: j.now + delay, to: a.To, event: PeerMessage{i, a.Text}})
			}
		case SetTimer:
			j.deliveries = append(j.deliveries, delivery{at: a.At, to: i, event: TimerFired{a.Token}})
		case SendAttempt:
			j.admittedUnits += j.unitsByID[a.ID]
			j.deliveries = append(j.deliveries, delivery{at: j.now + 30*ms, to: i, event: AttemptEnded{ID: a.ID, Server: a.Server,
				Outcome: OK, Latency: 30 * ms, RequestDone: true}})
		case Refuse:
			j.refused++
		}
	}
}

// run lets the fleet run for a time, with a request every gap at the gateway that pick names.
func (j *testFleet) run(d, gap time.Duration, plan string, units float64, pick func(n int) int) {
	for end, n := j.now+d, 0; j.now < end; n++ {
		if i := pick(n); !j.down[i] {
			id := fmt.Sprint(j.now, "-", n)
			j.unitsByID[id] = units
			j.handle(i, Request{ID: id, Class: "get", Plan: plan, Customer: "x", Units: units,
				Deadline: j.now + 2*time.Second, GatewayCount: len(j.gateways)})
		}
		j.advance(gap)
	}
}

// advance lets time pass, in steps.
func (j *testFleet) advance(d time.Duration) {
	for next := j.now + d; j.now < next; j.now += 4 * ms {
		var ready []delivery
		j.deliveries = filterDeliveries(j.deliveries, func(l delivery) bool {
			if l.at <= j.now {
				ready = append(ready, l)
			}
			return l.at > j.now
		})
		for _, l := range ready {
			if !j.down[l.to] {
				j.handle(l.to, l.event)
			}
		}
	}
}

// TestQuotaOverAllGateways: whatever the fleet's size, all gateways together admit about the rate and the burst while
// the traffic shifts between them, and most requests within the quota.
func TestQuotaOverAllGateways(t *testing.T) {
	for _, n := range []int{3, 300} {
		for _, ask := range []float64{0.5, 4} { // times the rate
			j := newTestFleet(t, n, nil)
			j.run(3*time.Second, 100*ms, "small", 0, func(int) int { return 0 })
			const rate, units, secs = 3.0, 2.0, 24.0
			gap := time.Duration(units / (ask * rate) * float64(time.Second))
			for k := 0; k < 3; k++ { // the traffic concentrates on a tenth of the gateways, then on others
				few := max(1, n/10)
				j.run(8*time.Second, gap, "small", units, func(int) int { return (k*few + j.rng.Intn(few)) % n })
			}
			maxUnits := rate*secs + 12 + 2*units
			minUnits := 0.8 * min(ask*rate*secs, rate*secs)
			if j.admittedUnits > 1.15*maxUnits || j.admittedUnits < minUnits {
				t.Errorf("%d gateways, %v times the rate: admitted %v units, want %v to %v", n, ask, j.admittedUnits, minUnits, maxUnits)
			}
		}
	}
}

// TestQuotaWhileGatewaysAreDown: two of three gateways stop, or crash, and their traffic comes to the third. The
// customer still gets its quota; and while all are up but cut off from each other, no more than that.
func TestQuotaWhileGatewaysAreDown(t *testing.T) {
	const rate, units, secs = 3.0, 1.0, 20.0
	gap := 167 * ms // twice the rate
	for _, c := range []struct {
		name               string
		edit               func(j *testFleet)
		at                 func(n int) int
		minShare, maxShare float64 // of the rate
	}{
		{"stopped", func(j *testFleet) {
			for i := 1; i < 3; i++ {
				j.handle(i, Shutdown{})
				j.down[i] = true
			}
		}, func(int) int { return 0 }, 0.93, 1.1},
		{"dead", func(j *testFleet) { j.down[1], j.down[2] = true, true }, func(int) int { return 0 }, 0.5, 1.1},
		{"cut off", func(j *testFleet) { j.loss = 1 }, func(n int) int { return n % 3 }, 0.9, 1.1},
	} {
		j := newTestFleet(t, 3, nil)
		j.run(6*time.Second, gap, "small", units, func(n int) int { return n % 3 })
		c.edit(j)
		j.run(2*time.Second, gap, "small", units, c.at) // until they notice
		before := j.admittedUnits
		j.run(secs*time.Second, gap, "small", units, c.at)
		if got := (j.admittedUnits - before) / (rate * secs); got < c.minShare || got > c.maxShare {
			t.Errorf("%s: %.2f of the quota was admitted, want %.2f to %.2f", c.name, got, c.minShare, c.maxShare)
		}
	}
}

// TestCoordinatorsShareOneBucket: most messages to the first coordinator of a customer over its quota are lost, so
// that many gateways ask the second one: both together grant the quota once.
func TestCoordinatorsShareOneBucket(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	j.lossByGateway = map[int]float64{j.gateways[0].quota.Coordinator(peermsg.Key("x"), 0): 0.6}
	const rate, burst, units, secs = 3.0, 12.0, 2.0, 30.0
	j.run(secs*time.Second, 100*ms, "small", units, func(int) int { return j.rng.Intn(300) })
	if most := 1.35 * (rate*secs + burst); j.admittedUnits > most || j.admittedUnits < 0.8*rate*secs {
		t.Errorf("%v units admitted of %v requested, want %v to %v", j.admittedUnits, units*secs*10, 0.8*rate*secs, most)
	}
}

// TestInvalidGrantTotalsAreIgnored: a grant total from a gateway that does not coordinate the customer is ignored,
// and so is the first total from a coordinator that has restarted; what was lost in between is made up for by the
// next total.
func TestInvalidGrantTotalsAreIgnored(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	key := peermsg.Key("x")
	first, second := j.gateways[0].quota.Coordinator(key, 0), j.gateways[0].quota.Coordinator(key, 1)
	g := j.gateways[second]
	c := g.quota.Customer(key, 1)
	before := c.FleetLevel
	for _, step := range []struct {
		from  int
		total float64
		adds  float64
		name  string
	}{{first, 100, 0, "the first total"}, {first, 103, 3, "a step"}, {(first + second + 1) % 300, 109, 0, "of no coordinator"},
		{first, 109, 6, "two steps, one of them lost"}, {first, 109, 0, "a repetition"}, {first, 127, 0, "more than a burst"},
		{first, 4, 5, "a step over the wrap"}} {
		text := peermsg.CustomerMessage{Kind: 'g', Key: key, Plan: 1, NumValues: 1, Values: [4]float64{step.total}}.Encode(0)
		g.Handle(j.now, PeerMessage{From: step.from, Text: text})
		if got := c.FleetLevel - before; got != step.adds {
			t.Errorf("%s: the bucket rose by %v, want %v", step.name, got, step.adds)
		}
		before = c.FleetLevel
	}
}

// TestMessagesStayWithinIntake: a customer makes many times the requests of its quota at each of 300 gateways.
func TestMessagesStayWithinIntake(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	j.run(12*time.Second, 4*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	for i := range j.received {
		j.received[i] = 0
	}
	j.run(5*time.Second, 4*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	for i, n := range j.received {
		if float64(n)/5 > j.cfg.PeerIntake {
			t.Errorf("gateway %d was sent %d messages in 5 s, want %v a second at most", i, n, j.cfg.PeerIntake)
		}
	}
}

// TestCeilingOverAllGateways: while most gateways restart repeatedly, all together stay under the ceiling.
func TestCeilingOverAllGateways(t *testing.T) {
	for _, n := range []int{3, 300} {
		j := newTestFleet(t, n, nil)
		tokens, last, used := 60.0, j.now, 0.0
		for k := 0; k < 60; k++ {
			if k%10 == 5 {
				for i := range j.gateways {
					if j.rng.Float64() < 0.9 {
						j.start(i)
					}
				}
			}
			j.run(100*ms, 10*ms, "hard", 4, func(int) int { return j.rng.Intn(n) })
			tokens = min(60, tokens+30*(j.now-last).Seconds()) - (j.admittedUnits - used)
			if last, used = j.now, j.admittedUnits; tokens < -6 {
				t.Fatalf("%d gateways: the ceiling's bucket fell to %v, want -6 at least", n, tokens)
			}
		}
		if j.admittedUnits < 30 {
			t.Errorf("%d gateways: sent %v units in 6 s under a ceiling of 30 a second", n, j.admittedUnits)
		}
	}
}

// TestBothCoordinatorsDown: while both coordinators of a customer are down, the bucket of each gateway decides.
func TestBothCoordinatorsDown(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	key := peermsg.Key("x")
	for n := 0; n < quota.MaxCoordinators; n++ {
		j.down[j.gateways[0].quota.Coordinator(key, n)] = true
	}
	j.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	if j.admittedUnits < 20 {
		t.Errorf("admitted %v of 60 units with both coordinators down, want 20 or more", j.admittedUnits)
	}
	j.down = map[int]bool{}
	before := j.admittedUnits
	j.run(20*time.Second, 1300*ms, "small", 2, func(int) int { return j.rng.Intn(300) })
	if got := j.admittedUnits - before; got < 24 {
		t.Errorf("admitted %v of 30 units after the coordinators came back, want 24 or more", got)
	}
}

// TestInvalidCustomerMessagesAreIgnored: messages that are malformed, name an unknown plan or are for another
// coordinator change nothing.
func TestInvalidCustomerMessagesAreIgnored(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	key := peermsg.Key("x")
	coordinator := j.gateways[j.gateways[0].quota.Coordinator(key, 0)]
	request := peermsg.CustomerMessage{Kind: 'a', Key: key, Plan: 1, RequestNo: 7, NumValues: 1, Values: [4]float64{2}}
	other := request
	other.Plan = 40
	for _, text := range []string{"", "a", request.Encode(0)[:11], request.Encode(0) + "!!", "Z" + request.Encode(0)[1:], other.Encode(0),
		peermsg.CustomerMessage{Kind: 'a', Key: key + 1, Plan: 1, NumValues: 1}.Encode(0),
		peermsg.CustomerMessage{Kind: 'r', Key: key, NumValues: 4}.Encode(0),
		peermsg.CustomerMessage{Kind: 'a', Key: key, Plan: 1, NumValues: 1, Values: [4]float64{-2}}.Encode(0)} {
		if acts := coordinator.Handle(j.now, PeerMessage{From: 299, Text: text}); len(acts) != 0 ||
			coordinator.quota.Find(key) != nil || coordinator.quota.Find(key+1) != nil {
			t.Errorf("%q: got %#v", text, acts)
		}
	}
	for _, from := range []int{-1, 300, coordinator.quota.Rank} {
		if acts := coordinator.Handle(j.now, PeerMessage{From: from, Text: request.Encode(0)}); len(acts) != 0 {
			t.Errorf("from %d: got %#v", from, acts)
		}
	}
	first := coordinator.Handle(j.now, PeerMessage{From: 9, Text: request.Encode(0)})
	second := coordinator.Handle(j.now, PeerMessage{From: 9, Text: request.Encode(0)})
	if len(first) != 1 || len(second) != 1 || coordinator.quota.Find(key).FleetLevel > quota.InitialFill*12+2 {
		t.Errorf("the same grant request twice: %#v, %#v, level %v", first, second, coordinator.quota.Find(key).FleetLevel)
	}
}

// TestGrantWaitEndsBeforeDeadline: if neither coordinator replies, a request is still answered before its client leaves.
func TestGrantWaitEndsBeforeDeadline(t *testing.T) {
	g := newTestFleet(t, 300, nil).gateways[4]
	until := time.Hour + 30*ms
	acts := g.Handle(time.Hour, Request{ID: "q", Class: "get", Plan: "small", Customer: "x", Units: 2,
		Deadline: until, GatewayCount: 300})
	for i := 0; i < 5; i++ {
		if timers := actionsOf[SetTimer](acts); len(timers) > 0 && timers[0].At <= until {
			acts = g.Handle(timers[0].At, TimerFired{timers[0].Token})
		}
		if len(actionsOf[Refuse](acts)) == 1 {
			return
		}
	}
	t.Errorf("no answer by the deadline: %#v", acts)
}

// TestPeerSamplesReduceAdmission: a gateway that receives reports of mostly missed answers admits less, before it has
// met the overload itself, and admits all again after reports of answers that came.
func TestPeerSamplesReduceAdmission(t *testing.T) {
	j := newTestFleet(t, 300, nil)
	g := j.gateways[3]
	report := func(missed bool, n int) {
		for i := 0; i < n; i++ {
			v := peermsg.ServerSample{Server: peermsg.Key("s1") & peermsg.ServerKeyMask, RelativeTime: 1, Unsuccessful: missed}
			w := peermsg.CustomerMessage{Kind: 'd', Key: 1, Plan: 0, NumValues: 1, NumSamples: 1,
				Samples: [peermsg.MaxSamples]peermsg.ServerSample{v}}
			g.Handle(j.now, PeerMessage{From: 9, Text: w.Encode(0)})
		}
	}
	grantRequests := func() (n int) {
		for i := 0; i < 100; i++ {
			id := fmt.Sprint(j.now, i)
			n += len(actionsOf[SendToPeer](g.Handle(j.now, Request{ID: id, Class: "get", Plan: "wide", Customer: id, Units: 1,
				Deadline: j.now + time.Second, GatewayCount: 300})))
		}
		return n
	}
	report(true, 40)
	if n := grantRequests(); n > 40 {
		t.Errorf("grants were requested for %d of 100 after 40 missed answers, want 40 at most", n)
	}
	report(false, 120)
	if n := grantRequests(); n < 90 {
		t.Errorf("grants were requested for %d of 100 after 120 answers that came, want 90 or more", n)
	}
}

// TestServerFailingOneClassIsAvoided: a server that leaves requests of one class unanswered is sent the other classes
// only.
func TestServerFailingOneClassIsAvoided(t *testing.T) {
	r := newRig(t, nil)
	for i := 0; i < 8; i++ {
		r.g.recordSample(r.g.servers["s1"], r.g.classes["pay"], 5, true, false)
	}
	r.g.admitShare = maxAdmitShare
	got := map[string]int{}
	for i := 0; i < 30; i++ {
		for _, class := range []string{"pay", "get"} {
			id, s := r.send(class, "wide")
			got[class+s.Server]++
			r.end(id, 0, s.Server, OK)
		}
	}
	if got["pays1"] > 0 {
		t.Errorf("sent %d requests of a class to a server that does not answer it: %v", got["pays1"], got)
	}
}

func BenchmarkHandle(b *testing.B) {
	cfg := testConfig()
	cfg.Gateways = 500
	g, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	var servers []Server
	for i := 0; i < 100; i++ {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "a"})
	}
	g.Handle(time.Second, ServerListUpdate{Kind: ListFull, Servers: servers})
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := time.Second + time.Duration(i)*ms
		id := fmt.Sprint(i)
		key := fmt.Sprint("c", i%2000)
		g.Handle(now, Request{ID: id, Class: "get", Plan: "wide", Customer: key, Units: 1,
			Deadline: now + time.Second, GatewayCount: 200})
		for no, r := range g.pendingGrants {
			w := peermsg.CustomerMessage{Kind: 'r', Key: r.customer.Key, RequestNo: no, NumValues: 4, Values: [4]float64{1}}
			g.Handle(now, PeerMessage{From: g.quota.Coordinator(r.customer.Key, 0), Text: w.Encode(0)})
		}
		if r := g.requests[id]; r != nil && len(r.attempts) > 0 {
			g.Handle(now, AttemptEnded{ID: id, Server: r.attempts[0].server.ID, Outcome: OK, Latency: ms, RequestDone: true})
		}
	}
}
