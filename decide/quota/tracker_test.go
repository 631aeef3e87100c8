package quota

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// newTestTracker returns the tracker of one of three gateways that send totals to each other, and the messages it has sent.
func newTestTracker() (*Tracker, *[]string) {
	var sent []string
	tracker := New(Config{Gateways: 3, PeersAllowed: true, PeerIntake: 40,
		Plans: []Plan{{Name: "wide", Rate: 1000, Burst: 3000}, {Name: "small", Rate: 3, Burst: 12}}},
		rand.New(rand.NewSource(7)), func(_ int, text string) { sent = append(sent, text) })
	tracker.Now = time.Hour
	tracker.Start(tracker.Now)
	return tracker, &sent
}

// TestIdleCustomersAreRemoved checks that customers who send a single request are removed as fast as new ones arrive, and only
// when their state equals a new one's.
func TestIdleCustomersAreRemoved(t *testing.T) {
	tracker, _ := newTestTracker()
	maxCustomers := 0
	for i := range 20000 { // 100 new ones a second
		tracker.Now += 10 * time.Millisecond
		c := tracker.Customer(uint64(i), 0)
		tracker.Leak(c)
		tracker.AddDemand(c, 1)
		tracker.Charge(c, 1)
		if i%2 == 0 { // often enough to send all updates
			tracker.SendTotals()
		}
		if i%10 == 0 {
			tracker.Sweep()
		}
		maxCustomers = max(maxCustomers, len(tracker.customers))
	}
	if maxCustomers > 2000 || len(tracker.sweepQueue) != len(tracker.customers) {
		t.Errorf("%d customers were kept, want those of the last seconds only", maxCustomers)
	}
	c := tracker.Customer(1<<30, 1)
	c.Level, c.FleetLevel = 1000, 1000 // far from empty when the time is over
	if tracker.Now += 2 * idleExpiry; tracker.sameAsNew(c) {
		t.Error("a customer whose bucket isn't empty would be removed")
	}
}

// TestNewRankResetsPeerState checks that what peers sent to a rank, and what was sent under it, no longer counts when the rank
// is newly assigned.
func TestNewRankResetsPeerState(t *testing.T) {
	tracker, sent := newTestTracker()
	tracker.ReceiveTotals(1, peermsg.Totals{Epoch: 1, Seq: 1, Entries: []peermsg.Entry{{Key: 5, Used: 9, Requested: 9}}}.Encode())
	c := tracker.Customer(5, 0)
	tracker.AddDemand(c, 900)
	tracker.Charge(c, 900)
	tracker.SetMembership(2, true, false, make([]PeerStatus, 3))
	if tracker.peers[1].known || c.usedTotal != 0 || c.byPeer[1].known {
		t.Errorf("peer known %v, used %v, totals known %v, want none", tracker.peers[1].known, c.usedTotal, c.byPeer[1].known)
	}
	tracker.Now += time.Second
	tracker.SendTotals()
	for _, text := range *sent {
		if m, ok := peermsg.ParseTotals(text, nil); !ok || m.Seq != 1 || len(m.Entries) != 0 {
			t.Errorf("the first message under a new rank is %+v, want one without entries", m)
		}
	}
}

// FuzzReceiveTotals checks that no message from a peer causes a panic or a negative level.
func FuzzReceiveTotals(f *testing.F) {
	f.Add(peermsg.Totals{Epoch: 1, Seq: 1, Entries: []peermsg.Entry{{Key: 1 << 35, Plan: 1, Used: 5, Requested: 5, Level: 0.2}}}.Encode())
	f.Add(peermsg.Totals{Epoch: 4095, Seq: 4095}.Encode())
	f.Add("b")
	f.Add("e0102zzzz")
	f.Fuzz(func(t *testing.T, text string) {
		tracker, _ := newTestTracker()
		tracker.ReceiveTotals(1, text)
		for _, c := range tracker.sweepQueue {
			if c.FleetLevel < 0 || math.IsNaN(c.FleetLevel) {
				t.Errorf("FleetLevel is %v", c.FleetLevel)
			}
		}
	})
}

// TestOverQuotaReportsAreForwarded checks that all reports are forwarded in turn, that the newest of a customer counts, that no
// more than maxStoredReports are kept, and that old ones are not forwarded.
func TestOverQuotaReportsAreForwarded(t *testing.T) {
	var reports OverQuotaReports
	for i := range 2 * maxStoredReports {
		reports.Add(peermsg.OverQuotaReport{Key: uint64(i), AllowedShare: 0.5, At: time.Hour})
	}
	if len(reports.byKey) != maxStoredReports || len(reports.order) != maxStoredReports {
		t.Fatalf("%d and %d reports kept, want %d", len(reports.byKey), len(reports.order), maxStoredReports)
	}
	reports.Add(peermsg.OverQuotaReport{Key: maxStoredReports, AllowedShare: 0.1, At: time.Hour - time.Second})
	if reports.byKey[maxStoredReports].AllowedShare != 0.5 {
		t.Error("an older report replaced a newer one")
	}
	seen := map[uint64]bool{}
	for range maxStoredReports {
		batch, n := reports.take(time.Hour+time.Second, 1<<30)
		for _, report := range batch[:n] {
			seen[report.Key] = true
		}
	}
	if len(seen) != maxStoredReports {
		t.Errorf("%d of %d reports forwarded", len(seen), maxStoredReports)
	}
	if _, n := reports.take(time.Hour+peermsg.MaxReportAgeSteps*peermsg.ReportAgeStep, 1<<30); n != 0 {
		t.Errorf("%d old reports forwarded", n)
	}
	for range maxStoredReports {
		reports.take(time.Hour+reportTTL+1, 1<<30)
	}
	if len(reports.byKey)+len(reports.order) != 0 {
		t.Errorf("%d and %d expired reports kept", len(reports.byKey), len(reports.order))
	}
}
