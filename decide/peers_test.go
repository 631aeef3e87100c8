package decide

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

func entry(key string, plan, used, asked, level int) peermsg.Entry {
	return entryWithOpen(key, plan, used, asked, 0, level)
}

func entryWithOpen(key string, plan, used, asked, open, level int) peermsg.Entry {
	return peermsg.Entry{Key: peermsg.Key(key), Plan: plan, Used: float64(used), Requested: float64(asked),
		Open: open, Level: float64(level) / 30}
}

func totalsText(epoch, seq int, entries ...peermsg.Entry) string {
	return peermsg.Totals{Epoch: epoch, Seq: seq, Entries: entries}.Encode()
}

func TestShareFollowsDemand(t *testing.T) {
	r := newRig(t, nil)
	r.request("get", "wide", "x", 100)
	c := r.g.quota.Find(peermsg.Key("x"))
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 1, entry("x", 0, 0, 0, 0))})
	r.handle(PeerMessage{From: 2, Text: totalsText(1, 1)})
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 2, entry("x", 0, 0, 900, 0))})
	r.g.quota.Leak(c)
	if math.Abs(c.Share-1.0/3) > 1e-9 {
		t.Errorf("share is %v with a tenth of the demand, want the even floor", c.Share)
	}
	r.request("get", "wide", "x", 2700)
	r.g.quota.Leak(c)
	if c.Share < 0.65 || c.Share > 0.8 {
		t.Errorf("share is %v with three quarters of the demand, want about 0.73", c.Share)
	}
}

// TestLastTotalsOfSilentPeersCount: whether a silent gateway died or is cut off is unknown. The share grows only with
// the traffic that comes here from then on, and the last demand that the silent one reported keeps counting.
func TestLastTotalsOfSilentPeersCount(t *testing.T) {
	r := newRig(t, nil)
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 1, entry("x", 0, 0, 0, 0))})
	r.handle(PeerMessage{From: 2, Text: totalsText(1, 1, entry("x", 0, 0, 0, 0))})
	c := r.g.quota.Find(peermsg.Key("x"))
	for n := range 100 { // all three get the same demand; the others are silent in the last second
		r.request("get", "wide", "x", 20)
		if n < 75 {
			for from := 1; from < 3; from++ {
				r.handle(PeerMessage{From: from, Text: totalsText(1, 2+n, entry("x", 0, 0, 20*(n+1), 0))})
			}
		}
		r.now += 50 * ms
	}
	r.g.quota.Leak(c)
	if c.Share < 1.0/3 || c.Share > 0.36 {
		t.Errorf("share is %.3f while the others are silent and the traffic is as before, want a third", c.Share)
	}
	for range 100 { // they died: all requests come here
		r.request("get", "wide", "x", 60)
		r.now += 50 * ms
	}
	r.g.quota.Leak(c)
	if c.Share < 0.5 || c.Share > 0.65 {
		t.Errorf("share is %.3f with three times the traffic, want three fifths", c.Share)
	}
}

// TestLeftGatewayIsNotCounted: a gateway announces that it leaves; its share is redistributed at once, until its next
// incarnation sends totals. Late messages of the former incarnation change nothing.
func TestLeftGatewayIsNotCounted(t *testing.T) {
	r := newRig(t, nil)
	leave := func(from, epoch, seq int) {
		r.handle(PeerMessage{From: from, Text: peermsg.Totals{Epoch: epoch, Seq: seq, Leaving: true}.Encode()})
	}
	share := func() float64 {
		r.request("get", "wide", "x", 100)
		c := r.g.quota.Find(peermsg.Key("x"))
		r.g.quota.Leak(c)
		return c.Share
	}
	for from := 1; from < 3; from++ {
		r.handle(PeerMessage{From: from, Text: totalsText(7, 1, entry("x", 0, 0, 0, 0))})
		r.handle(PeerMessage{From: from, Text: totalsText(7, 2, entry("x", 0, 0, 1900, 0))})
	}
	if got := share(); got > 0.4 {
		t.Errorf("share is %.2f beside two with much more demand, want the even floor", got)
	}
	leave(1, 7, 3)
	r.handle(PeerMessage{From: 1, Text: totalsText(7, 2, entry("x", 0, 0, 1900, 0))}) // overtaken by the announcement
	leave(2, 7, 3)
	for range 3 { // also after a long silence
		if got := share(); got < 0.99 {
			t.Errorf("share is %.2f though the others left, want all", got)
		}
		r.now += 2 * time.Second
	}
	r.handle(PeerMessage{From: 1, Text: totalsText(9, 1, entry("x", 0, 0, 0, 0))})
	r.handle(PeerMessage{From: 1, Text: totalsText(9, 2, entry("x", 0, 0, 1900, 0))})
	leave(1, 7, 3) // of the former incarnation, late
	if got := share(); got > 0.4 {
		t.Errorf("share is %.2f beside a new incarnation with much more demand, want the even floor", got)
	}
}

// TestShutdownIsAnnounced: each peer gets the announcement three times, as messages may be lost, and in a format that
// it accepts.
func TestShutdownIsAnnounced(t *testing.T) {
	r, announced := newRig(t, nil), map[int]int{}
	for _, m := range actionsOf[SendToPeer](r.handle(Shutdown{})) {
		if totals, ok := peermsg.ParseTotals(m.Text, nil); ok && totals.Leaving {
			announced[m.To]++
		}
	}
	if len(announced) != 2 || announced[1] != 3 || announced[2] != 3 {
		t.Errorf("announced %v, want three announcements each to gateways 1 and 2", announced)
	}
	if acts := newRig(t, func(c *Config) { c.Gateways, c.PeerIntake = 300, 1 }).handle(Shutdown{}); len(acts) != 0 {
		t.Errorf("in a fleet with coordinators no shares are counted, yet it announces %#v", acts)
	}
}

func TestPeerTotalsSettleTheLevel(t *testing.T) {
	r := newRig(t, nil)
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 1, entry("x", 1, 0, 0, 0))})
	r.handle(PeerMessage{From: 2, Text: totalsText(1, 1)})
	_, acts := r.request("get", "small", "x", 1)
	if len(actionsOf[SendAttempt](acts)) != 1 {
		t.Fatalf("refused though all peers reported that nothing was used: %#v", acts)
	}
	r.now += 100 * ms
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 2, entry("x", 1, 12, 12, 0))})
	r.handle(PeerMessage{From: 2, Text: totalsText(1, 2)})
	if _, acts = r.request("get", "small", "x", 1); len(actionsOf[SendAttempt](acts)) != 0 {
		t.Errorf("sent though a peer reported that the whole burst is used")
	}
	r.now += 2 * time.Second // the peers have fallen silent; their reported use leaks away
	if _, acts = r.request("get", "small", "x", 1); len(actionsOf[SendAttempt](acts)) != 1 {
		t.Errorf("refused after two seconds of leaking: %#v", acts)
	}
}

func TestInvalidTotalsAreIgnored(t *testing.T) {
	r := newRig(t, nil)
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 5, entry("x", 1, 0, 0, 0))})
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 6, entry("x", 1, 4, 4, 0))})
	c := r.g.quota.Find(peermsg.Key("x"))
	for _, e := range []PeerMessage{
		{From: 1, Text: totalsText(1, 6, entry("x", 1, 4, 4, 0))},  // repeated
		{From: 1, Text: totalsText(1, 5, entry("x", 1, 0, 0, 0))},  // late
		{From: 0, Text: totalsText(1, 9, entry("x", 1, 9, 9, 0))},  // own rank
		{From: 9, Text: totalsText(1, 9, entry("x", 1, 9, 9, 0))},  // no such gateway
		{From: -1, Text: totalsText(1, 9, entry("x", 1, 9, 9, 0))}, // nor this
		{From: 1, Text: "Z" + totalsText(1, 9, entry("x", 1, 9, 9, 0))[1:]},
		{From: 1, Text: totalsText(1, 9, entry("x", 1, 9, 9, 0)) + "!"},
		{From: 1, Text: totalsText(1, 9) + "!!!!!!!!!!!!"},
		{From: 1, Text: ""},
	} {
		r.handle(e)
		if c.FleetLevel != 4 {
			t.Fatalf("after %#v the bucket of all gateways holds %v, want 4", e, c.FleetLevel)
		}
	}
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 7, entry("y", 60, 9, 9, 0))}) // unknown plan
	// A new incarnation of the peer counts from 0 again, and all that it reports as used counts.
	r.handle(PeerMessage{From: 1, Text: totalsText(2, 1, entry("x", 1, 3, 3, 0))})
	if c.FleetLevel != 7 {
		t.Errorf("after the peer's restart the bucket of all gateways holds %v, want 7", c.FleetLevel)
	}
}

func TestRestartedGatewayLearnsFromPeers(t *testing.T) {
	r := newRig(t, nil)
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 40, entry("x", 1, 700, 800, 30))})
	r.handle(PeerMessage{From: 2, Text: totalsText(3, 50)})
	if _, acts := r.request("get", "small", "x", 1); len(actionsOf[SendAttempt](acts)) != 0 {
		t.Error("a restarted gateway sent a request though its peers reported that the burst is used up")
	}
}

func TestMessagesAreSmall(t *testing.T) {
	r := newRig(t, nil)
	for i := 0; i < 100; i++ {
		r.serve("get", "wide", fmt.Sprint("c", i), 1)
	}
	reported := map[int]int{}
	for i := 0; i < 20; i++ {
		r.now += 200 * ms
		for _, m := range actionsOf[SendToPeer](r.handle(TimerFired{tickToken})) {
			if len(m.Text) > peermsg.MaxSize {
				t.Fatalf("message of %d bytes, want %d at most", len(m.Text), peermsg.MaxSize)
			}
			totals, _ := peermsg.ParseTotals(m.Text, nil)
			reported[m.To] += len(totals.Entries)
		}
	}
	if reported[1] != 100 || reported[2] != 100 || reported[0] != 0 {
		t.Errorf("reported %v customers by gateway, want 100 each for 1 and 2", reported)
	}
}

func TestOpenCap(t *testing.T) {
	r := newRig(t, nil)
	r.send("get", "open")
	if _, acts := r.request("get", "open", "c", 1); len(actionsOf[Refuse](acts)) != 1 {
		t.Errorf("a second open attempt with a third of 3: got %#v, want Refuse", acts)
	}
	r.end("q1", 0, "s1", OK)
	r.send("get", "open")
}

// TestOpenCapCountsPeers: a cap of 3 can be used up where the traffic is, and only as far as the peers have reported
// their counts.
func TestOpenCapCountsPeers(t *testing.T) {
	r, seq := newRig(t, nil), 0
	report := func(from, open int) {
		seq++
		r.handle(PeerMessage{From: from, Text: totalsText(1, seq, entryWithOpen("c", 3, 0, 0, open, 0))})
	}
	openUntilRefused := func() (n int) {
		var sent []string
		for range 5 {
			if id, acts := r.request("get", "open", "c", 1); len(actionsOf[SendAttempt](acts)) == 1 {
				sent = append(sent, id)
			}
		}
		for _, id := range sent {
			r.end(id, 0, r.g.requests[id].attempts[0].server.ID, OK)
		}
		return len(sent)
	}
	for _, step := range []struct {
		name   string
		a, b   int // reported by the peers; -1: nothing
		passes time.Duration
		want   int
	}{
		{"no peer has reported yet: a third, rounded up", -1, -1, 0, 1},
		{"one peer has reported", 0, -1, 0, 1},
		{"both have none open", 0, 0, 0, 3},
		{"one has two open", 2, 0, 0, 1},
		{"both have some open", 2, 1, 0, 0},
		{"more than the cap because of a race", 2, 2, 0, 0},
		{"one ended", 2, 0, 0, 1},
		{"messages about the ends were lost", -1, -1, 800 * ms, 3},
		{"the peers fell silent without any demand", -1, -1, time.Second, 3},
	} {
		r.now += step.passes
		if step.a >= 0 {
			report(1, step.a)
		}
		if step.b >= 0 {
			report(2, step.b)
		}
		if got := openUntilRefused(); got != step.want {
			t.Errorf("%s: %d attempts open, want %d", step.name, got, step.want)
		}
	}
}

// TestOpenAttemptsAreAnnounced: peers are informed of an attempt under a cap and of its end.
func TestOpenAttemptsAreAnnounced(t *testing.T) {
	r := newRig(t, nil)
	reportedOpen := func() int {
		r.now += r.g.quota.TickInterval()
		for _, m := range actionsOf[SendToPeer](r.handle(TimerFired{Token: tickToken})) {
			if totals, _ := peermsg.ParseTotals(m.Text, nil); m.To == 1 && len(totals.Entries) > 0 {
				return totals.Entries[0].Open
			}
		}
		return -1
	}
	id, s := r.send("get", "open")
	if got := reportedOpen(); got != 1 {
		t.Errorf("reported %d open attempts, want 1", got)
	}
	r.end(id, 0, s.Server, OK)
	if got := reportedOpen(); got != 0 {
		t.Errorf("reported %d open attempts after the end, want 0", got)
	}
}

func TestMeterSetsShareWithoutPeers(t *testing.T) {
	for metered, want := range map[int]float64{1 + 100: 0.9, 1 + 1000: 1.0 / 3, 0: 1.0 / 3} {
		r := newRig(t, nil)
		id, s := r.send("get", "wide")
		r.handle(AttemptEnded{ID: id, Server: s.Server, Outcome: OK, Latency: ms, RequestDone: true, MeteredPercentPlusOne: metered})
		c := r.g.quota.Find(peermsg.Key("c"))
		r.g.quota.Charge(c, 1800) // 900 units a second over the time constant, at a rate of 1000
		if r.g.quota.Leak(c); math.Abs(c.Share-want) > 0.01 {
			t.Errorf("metered %d: share is %v, want %v", metered, c.Share, want)
		}
	}
}

// TestPeerTotalsRestartAfterForgetting: a peer that has forgotten a customer restarts its totals. Lower totals must
// not count as use given back.
func TestPeerTotalsRestartAfterForgetting(t *testing.T) {
	r := newRig(t, nil)
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 1, entry("x", 0, 0, 0, 0))})
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 2, entry("x", 0, 50, 50, 1))})
	r.now += 10 * time.Second
	r.serve("get", "wide", "x", 900)
	before := r.g.quota.Find(peermsg.Key("x")).FleetLevel
	r.handle(PeerMessage{From: 1, Text: totalsText(1, 3, entry("x", 0, 2, 2, 0))})
	if now := r.g.quota.Find(peermsg.Key("x")).FleetLevel; now < before {
		t.Errorf("the customer's level fell from %v to %v", before, now)
	}
}
