package quota

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"sloepick/decide/peermsg"
)

// three returns a book of three gateways that tell each other all, and what it has told.
func three() (*Tracker, *[]string) {
	var told []string
	b := New(Config{Gateways: 3, PeersAllowed: true, PeerIntake: 40, Plans: []Plan{{Name: "wide", Rate: 1000, Burst: 3000}, {Name: "small", Rate: 3, Burst: 12}}},
		rand.New(rand.NewSource(7)), func(_ int, text string) { told = append(told, text) })
	b.Now = time.Hour
	b.Start(b.Now)
	return b, &told
}

// TestCustomersWhoComeOnceAreForgotten: they are forgotten as fast as new ones come, and only when a new one would stand as they do.
func TestCustomersWhoComeOnceAreForgotten(t *testing.T) {
	b, _ := three()
	most := 0
	for i := range 20000 { // 100 new ones a second
		b.Now += 10 * time.Millisecond
		c := b.Customer(uint64(i), 0)
		b.Leak(c)
		b.AddDemand(c, 1)
		b.Charge(c, 1)
		if i%2 == 0 { // so that all that changed is told
			b.SendTotals()
		}
		if i%10 == 0 {
			b.Sweep()
		}
		most = max(most, len(b.customers))
	}
	if most > 2000 || len(b.queue) != len(b.customers) {
		t.Errorf("%d customers were kept, want those of some seconds", most)
	}
	c := b.Customer(1<<30, 1)
	c.Level, c.FleetLevel = 1000, 1000 // far from empty after the time
	if b.Now += 2 * forgetAfter; b.asNew(c) {
		t.Error("a customer in debt would be forgotten")
	}
}

// TestNumberTakenAnewForgets: what was told to a number that is taken anew counts no more, nor what was told under it.
func TestNumberTakenAnewForgets(t *testing.T) {
	b, told := three()
	b.ReceiveTotals(1, peermsg.Totals{Epoch: 1, Seq: 1, Entries: []peermsg.Entry{{Key: 5, Used: 9, Requested: 9}}}.Encode())
	c := b.Customer(5, 0)
	b.AddDemand(c, 900)
	b.Charge(c, 900)
	b.SetMembership(2, true, false, make([]PeerStatus, 3))
	if b.peers[1].known || c.usedSum != 0 || c.told[1].have {
		t.Errorf("peer known %v, used %v, told %v", b.peers[1].known, c.usedSum, c.told[1].have)
	}
	b.Now += time.Second
	b.SendTotals()
	for _, text := range *told {
		if m, ok := peermsg.ParseTotals(text, nil); !ok || m.Seq != 1 || len(m.Entries) != 0 {
			t.Errorf("the number taken anew tells %+v first", m)
		}
	}
}

// FuzzHeard feeds the reader of peers' totals; whatever comes must neither panic nor make units negative.
func FuzzHeard(f *testing.F) {
	f.Add(peermsg.Totals{Epoch: 1, Seq: 1, Entries: []peermsg.Entry{{Key: 1 << 35, Plan: 1, Used: 5, Requested: 5, Level: 0.2}}}.Encode())
	f.Add(peermsg.Totals{Epoch: 4095, Seq: 4095}.Encode())
	f.Add("b")
	f.Add("e0102zzzz")
	f.Fuzz(func(t *testing.T, text string) {
		b, _ := three()
		b.ReceiveTotals(1, text)
		for _, c := range b.queue {
			if c.FleetLevel < 0 || math.IsNaN(c.FleetLevel) {
				t.Errorf("whole bucket is %v", c.FleetLevel)
			}
		}
	})
}

// TestFloodsAreTold: floods go from word to word, the newest sight of each counts, no more are kept than may be, what is old is
// not told.
func TestFloodsAreTold(t *testing.T) {
	var f OverQuotaReports
	for i := range 2 * floodsMost {
		f.Add(peermsg.OverQuotaReport{Key: uint64(i), AllowedShare: 0.5, At: time.Hour})
	}
	if len(f.by) != floodsMost || len(f.ring) != floodsMost {
		t.Fatalf("%d and %d kept, want %d", len(f.by), len(f.ring), floodsMost)
	}
	f.Add(peermsg.OverQuotaReport{Key: floodsMost, AllowedShare: 0.1, At: time.Hour - time.Second})
	if f.by[floodsMost].AllowedShare != 0.5 {
		t.Error("an older sight took a newer one's place")
	}
	seen := map[uint64]bool{}
	for range floodsMost {
		vs, n := f.tell(time.Hour+time.Second, 1<<30)
		for _, v := range vs[:n] {
			seen[v.Key] = true
		}
	}
	if len(seen) != floodsMost {
		t.Errorf("%d of %d told", len(seen), floodsMost)
	}
	if _, n := f.tell(time.Hour+peermsg.MaxReportAgeSteps*peermsg.ReportAgeStep, 1<<30); n != 0 {
		t.Errorf("%d told that are old", n)
	}
	for range floodsMost {
		f.tell(time.Hour+floodKept+1, 1<<30)
	}
	if len(f.by)+len(f.ring) != 0 {
		t.Errorf("%d and %d kept that nobody may believe", len(f.by), len(f.ring))
	}
}
