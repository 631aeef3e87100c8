package decide

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// crowd plays requests of many customers, one each gap, at gateways drawn at random. What becomes of each is told
// with how long it waited.
func (j *joined) crowd(d, gap time.Duration, plan string, units float64, customer func(n int) string, seen func(customer string, sent bool, waited time.Duration)) {
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
	j.watch = watch
	defer func() { j.watch = nil }()
	for end, n := j.now+d, 0; j.now < end; n++ {
		id, c := fmt.Sprint("c", j.now, "-", n), customer(n)
		asked[id] = open{c, j.now}
		j.inFlight[id] = units
		j.handle(j.rnd.Intn(len(j.gws)), Request{ID: id, Class: "get", Plan: plan, Customer: c, Units: units,
			Deadline: j.now + time.Second, GatewayCount: len(j.gws)})
		j.pass(gap)
	}
}

// TestDeafGatewaysDecideAtOnce: from one moment on no gateway hears another. After its first silent questions none lets requests
// wait for a word; customers that keep to their quotas are let in, those that were known to flood are not let in more than their
// quota bears, give or take; and when words come again homes decide again.
func TestDeafGatewaysDecideAtOnce(t *testing.T) {
	j := join(t, 60, func(cfg *Config) { cfg.PeerIntake = 10 })
	pick := func(n int) string { // one in two is of a customer at eight times its rate, the others of forty that ask little
		if n%2 == 0 {
			return "flood"
		}
		return fmt.Sprint("calm", j.rnd.Intn(40))
	}
	type tally struct{ asked, sent, waited, late int }
	play := func(d time.Duration) map[bool]*tally {
		got := map[bool]*tally{true: {}, false: {}}
		j.crowd(d, 40*ms, "small", 2, pick, func(c string, sent bool, waited time.Duration) {
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
	play(15 * time.Second)
	j.loss = 1
	play(10 * time.Second) // until all have noticed
	deaf := play(6 * time.Second)
	for flooding, x := range deaf {
		if x.late > x.asked/10 {
			t.Errorf("flooding %v: %d of %d waited for a word that can't come", flooding, x.late, x.asked)
		}
	}
	if x := deaf[false]; x.sent < x.asked*8/10 {
		t.Errorf("%d of %d within their quotas let in", x.sent, x.asked)
	}
	if x := deaf[true]; x.sent > x.asked*4/10 {
		t.Errorf("%d of %d let in of a customer at eight times its rate", x.sent, x.asked)
	}
	j.loss = 0.05
	play(2 * time.Second)
	if x := play(6 * time.Second)[false]; x.sent < x.asked*8/10 || x.waited < x.asked*8/10 {
		t.Errorf("after it %d of %d were let in and %d asked their homes", x.sent, x.asked, x.waited)
	}
}

// TestKnownFloodsAreThinned: without homes, of customers that are told to flood that part is let in that their quotas bear, and of
// others all.
func TestKnownFloodsAreThinned(t *testing.T) {
	g := join(t, 300, nil).gws[4]
	g.unheards = deafAfter
	for _, borne := range []float64{1, 0.35} {
		sent := 0
		for i := range 400 {
			id := fmt.Sprint("x", borne, i)
			if borne < 1 {
				w := peermsg.CustomerMessage{Kind: 'd', Key: 1, NumValues: 1, NumReports: 1, Reports: [peermsg.MaxReports]peermsg.OverQuotaReport{{Key: peermsg.Key(id) & peermsg.CustomerKeyMask, AllowedShare: borne, At: time.Hour}}}
				g.Handle(time.Hour, PeerMessage{From: 9, Text: w.Encode(time.Hour)})
				g.unheards = deafAfter // that was told before
			}
			sent += len(find[SendAttempt](g.Handle(time.Hour, Request{ID: id, Class: "get", Plan: "small", Customer: id, Units: 1,
				Deadline: time.Hour + time.Second, GatewayCount: 300})))
			g.Handle(time.Hour, AttemptEnded{ID: id, Server: "s1", Outcome: OK, Latency: ms, RequestDone: true})
			g.Handle(time.Hour, ClientDisconnected{ID: id})
		}
		if got := float64(sent) / 400; got < 0.8*borne || got > 1.2*borne {
			t.Errorf("%.2f let in where %.2f is borne", got, borne)
		}
	}
}

// TestCeilingWhileDeaf: a customer asks for far more than its ceiling at all gateways of its set, some of which are cut off from
// its home, all of them, and none again: what all pass on stays under the ceiling throughout, and some passes.
func TestCeilingWhileDeaf(t *testing.T) {
	j := join(t, 300, nil)
	const set = 7
	j.lossAt = map[int]float64{}
	store, last, used := 60.0, j.now, 0.0
	for k := range 240 {
		switch k % 80 {
		case 20:
			for i := range set / 2 {
				j.lossAt[i] = 1
			}
		case 40:
			j.loss = 1
		case 60:
			j.loss = 0.05
			clear(j.lossAt)
		}
		for range 10 {
			id := fmt.Sprint(j.now)
			j.inFlight[id] = 4
			j.handle(j.rnd.Intn(set), Request{ID: id, Class: "get", Plan: "hard", Customer: "x", Units: 4,
				Deadline: j.now + time.Second, GatewayCount: set})
			j.pass(10 * ms)
		}
		store = math.Min(60, store+30*(j.now-last).Seconds()) - (j.used - used)
		if last, used = j.now, j.used; store < -6 {
			t.Fatalf("step %d: the ceiling's store fell to %v, want -6 at least", k, store)
		}
		if k%80 == 40 {
			j.deafFrom = j.used
		}
		if k%80 == 59 && j.used-j.deafFrom < 4 {
			t.Errorf("step %d: nothing let in while all are deaf", k)
		}
	}
}

// TestDoubtAfterSilence: as words come again, a home takes the buckets of those that flood to be full, and leaves the others as they are.
func TestDoubtAfterSilence(t *testing.T) {
	j := join(t, 300, nil)
	key := peermsg.Key("x")
	g := j.gws[j.gws[0].quota.Coordinator(key, 0)]
	flood, calm := g.quota.Customer(key, 1), g.quota.Customer(key+300, 1)
	for range 20 {
		g.quota.RecordDecision(flood, false)
		g.quota.RecordDecision(calm, true)
	}
	j.now += time.Minute
	g.unheards = deafAfter
	g.Handle(j.now, PeerMessage{From: 9, Text: peermsg.CustomerMessage{Kind: 'd', Key: 1, NumValues: 1}.Encode(0)})
	if g.quota.Leak(calm); flood.FleetLevel != flood.Plan.Burst || calm.FleetLevel != 0 || g.deaf() {
		t.Errorf("buckets at %v and %v, deaf %v", flood.FleetLevel, calm.FleetLevel, g.deaf())
	}
}
