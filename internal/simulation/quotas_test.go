package simulation

import (
	"fmt"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/seeds"
)

func quotaConfig() decide.Config {
	return decide.Config{Zone: "a", PeerIntake: 40, MaxUnits: 4, TrackChanges: true,
		Classes: []decide.Class{{Name: "get", Effect: decide.Safe, LatencyTarget: 500 * time.Millisecond, Deadline: requestTimeout, Worth: 1}},
		Plans: []decide.Plan{{Name: "basic", Rate: 1.3, Burst: 8, Price: 1}, {Name: "standard", Rate: 3.6, Burst: 15, Price: 1},
			{Name: "network", Rate: 25, Burst: 40, Price: 1}},
		Limits: decide.Limits{MaxAttempts: 3, Cancel: true, PeerMessages: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Safety: decide.Safety{AnswerSlack: 16 * time.Millisecond, ColdCapacity: 0.2, ColdDuration: 10 * time.Second, OverloadFactor: 4, OverloadWindow: time.Second}}
}

// quotaTrial is a fleet of so many gateways, of whose customers one in ten asks for three times its rate and the others for a third
// of it. On average a gateway sees four units a second.
func quotaTrial(t *testing.T, seed uint64, n int) (*QuotaFleet, map[string]Customer) {
	t.Helper()
	k := NewKernel(seed, start)
	net := NewNetwork(k, 3*time.Millisecond, 30*time.Millisecond)
	net.LossRate = 0.05
	q, err := NewQuotaFleet(k, net, quotaConfig(), n)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]Customer{}
	asked := 0.0
	for i := 0; asked < 4*float64(n); i++ {
		p := q.plans[[]string{"basic", "basic", "basic", "standard", "network"}[i%5]]
		a := Customer{ID: fmt.Sprintf("c%05d", i), Plan: p.Name, UnitsPerRequest: 2, Rate: p.Rate / 3, FirstGateway: i % n, GatewayCount: n - n/3}
		if i%10 == 3 || i%50 == 4 { // of standard, and of network a tenth
			a.Rate = 3 * p.Rate
		}
		asked += a.Rate
		all[a.ID] = a
		q.AddCustomer(a)
	}
	return q, all
}

// quotaSum is what those who flood and those who do not got.
type quotaSum struct{ calmAsked, calmSent, floodOver, floodQuota float64 }

func (q *QuotaFleet) sum(all map[string]Customer, took time.Duration) (s quotaSum) {
	for id, a := range all {
		x, p := q.Totals[id], q.plans[a.Plan]
		if a.Rate > p.Rate {
			s.floodOver += x.AdmittedOverQuota
			s.floodQuota += p.Rate * took.Seconds()
		} else {
			s.calmAsked += x.Requested
			s.calmSent += x.Admitted
		}
	}
	return s
}

// TestQuotasOverManyGateways plays 20 and 300 gateways, 2,000 with -large: what is let in beyond quotas, what is refused of those who
// keep to theirs, and what it costs in messages do not grow with their number; nor do they get out of hand while nobody hears another.
func TestQuotasOverManyGateways(t *testing.T) {
	for _, n := range sizes(20, 300) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { quotasOverMany(t, seed, n) })
		})
	}
}

func quotasOverMany(t *testing.T, seed uint64, n int) {
	q, all := quotaTrial(t, seed, n)
	stretch := func(name string, took time.Duration, mostOver, leastSent float64) {
		before, asked, told, full, waited := q.sum(all, 0), q.Requests, q.MessagesSent, q.IntakeDrops, q.TotalWait
		q.Kernel.RunUntil(q.Kernel.Now() + took)
		s := q.sum(all, took)
		over := (s.floodOver - before.floodOver) / s.floodQuota
		sent := (s.calmSent - before.calmSent) / (s.calmAsked - before.calmAsked)
		each := float64(q.MessagesSent-told) / took.Seconds() / float64(n)
		t.Logf("%d gateways, %s: floods %.3f of their quotas beyond them, %.3f of the others' let in, %.1f messages a second and gateway, %.3f of them too many, %v waited a request",
			n, name, over, sent, each, float64(q.IntakeDrops-full)/float64(max(1, q.MessagesSent-told)), (q.TotalWait-waited)/time.Duration(q.Requests-asked))
		if over > mostOver || sent < leastSent {
			t.Errorf("%s: %.3f beyond quotas, %.3f let in of others'; want %v at most and %v at least", name, over, sent, mostOver, leastSent)
		}
		if each > q.config.PeerIntake {
			t.Errorf("%s: %.1f messages a second and gateway", name, each)
		}
	}
	stretch("after the start", 6*time.Second, 0.3, 0.8)
	stretch("in peace", 6*time.Second, 0.05, 0.95)
	q.Net.Partitioned = func(from, to int) bool { return true }
	unheard := 0.5
	if n > 300 {
		unheard = 1.5 // floods are not told to that many in the time before
	}
	stretch("nobody hears another", 6*time.Second, unheard, 0.9)
	q.Net.Partitioned = nil
	stretch("words come again", 6*time.Second, 0.4, 0.9)
}

// TestQuotasOverPowerLoss plays 20 and 300 gateways, 2,000 with -large, that all lose their power three times, two seconds apart: with what
// their disks hold, floods get little more beyond their quotas than in peace; without, they get part of a burst at each loss.
func TestQuotasOverPowerLoss(t *testing.T) {
	for _, n := range sizes(20, 300) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) {
				over, calm := map[bool]float64{}, map[bool]float64{}
				for _, kept := range []bool{false, true} {
					over[kept], calm[kept] = quotasOverPowerLoss(t, seed, n, kept)
				}
				t.Logf("%d gateways: floods got %.2f bursts beyond their quotas at a loss, %.2f with disks; others %.2f and %.2f of what they asked",
					n, over[false], over[true], calm[false], calm[true])
				if over[true] > 0.5*over[false] || over[true] > 0.2 || calm[true] < 0.8 {
					t.Errorf("with disks floods got %.2f bursts, without %.2f; others %.2f", over[true], over[false], calm[true])
				}
			})
		})
	}
}

// quotasOverPowerLoss is how many bursts more those who flood got at a loss than in as long a time of peace, and the share of what others
// asked that was let in.
func quotasOverPowerLoss(t *testing.T, seed uint64, n int, kept bool) (over, calm float64) {
	const losses, apart = 3, 2 * time.Second
	q, all := quotaTrial(t, seed, n)
	if kept {
		q.PersistBuckets(250 * time.Millisecond)
	}
	q.Kernel.RunUntil(q.Kernel.Now() + 10*time.Second)
	burst := 0.0
	for _, a := range all {
		if p := q.plans[a.Plan]; a.Rate > p.Rate {
			burst += p.Burst
		}
	}
	peace := q.sum(all, 0)
	q.Kernel.RunUntil(q.Kernel.Now() + losses*apart)
	before := q.sum(all, 0)
	for range losses {
		if err := q.PowerLoss(); err != nil {
			t.Fatal(err)
		}
		q.Kernel.RunUntil(q.Kernel.Now() + apart)
	}
	s := q.sum(all, 0)
	more := (s.floodOver - before.floodOver) - (before.floodOver - peace.floodOver)
	return more / burst / losses, (s.calmSent - before.calmSent) / (s.calmAsked - before.calmAsked)
}
