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

// newLoadedFleet returns a fleet of n gateways and its customers. About one customer in ten requests three times its rate, the
// others a third of it. On average a gateway gets four units a second.
func newLoadedFleet(t *testing.T, seed uint64, n int) (*QuotaFleet, map[string]Customer) {
	t.Helper()
	k := NewKernel(seed, startTime)
	net := NewNetwork(k, 3*time.Millisecond, 30*time.Millisecond)
	net.LossRate = 0.05
	q, err := NewQuotaFleet(k, net, quotaConfig(), n)
	if err != nil {
		t.Fatal(err)
	}
	customers := map[string]Customer{}
	totalRate := 0.0
	for i := 0; totalRate < 4*float64(n); i++ {
		p := q.plans[[]string{"basic", "basic", "basic", "standard", "network"}[i%5]]
		c := Customer{ID: fmt.Sprintf("c%05d", i), Plan: p.Name, UnitsPerRequest: 2, Rate: p.Rate / 3, FirstGateway: i % n, GatewayCount: n - n/3}
		if i%10 == 3 || i%50 == 4 { // half of those on standard, a tenth of those on network
			c.Rate = 3 * p.Rate
		}
		totalRate += c.Rate
		customers[c.ID] = c
		q.AddCustomer(c)
	}
	return q, customers
}

// quotaStats sums what customers got, in units: those that keep within their quotas (compliant) and the over-quota ones,
// with their entitlement and what they got in excess of it.
type quotaStats struct{ compliantRequested, compliantAdmitted, excess, entitled float64 }

// stats returns the sums since the start. entitled is what the over-quota customers' rates allow in the given duration.
func (q *QuotaFleet) stats(customers map[string]Customer, duration time.Duration) (s quotaStats) {
	for id, c := range customers {
		totals, p := q.Totals[id], q.plans[c.Plan]
		if c.Rate > p.Rate {
			s.excess += totals.AdmittedOverQuota
			s.entitled += p.Rate * duration.Seconds()
		} else {
			s.compliantRequested += totals.Requested
			s.compliantAdmitted += totals.Admitted
		}
	}
	return s
}

// TestQuotasAcrossGateways simulates 20 and 300 gateways, 2,000 with -large. What is admitted beyond quotas, what is
// refused to compliant customers, and the number of messages must not grow with the number of gateways, and must stay
// bounded while all gateways are isolated.
func TestQuotasAcrossGateways(t *testing.T) {
	for _, n := range fleetSizes(20, 300) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { testQuotasAcrossGateways(t, seed, n) })
		})
	}
}

func testQuotasAcrossGateways(t *testing.T, seed uint64, n int) {
	q, customers := newLoadedFleet(t, seed, n)
	runPhase := func(name string, duration time.Duration, maxExcess, minAdmitted float64) {
		before, requestsBefore, sentBefore, dropsBefore, waitBefore := q.stats(customers, 0), q.Requests, q.MessagesSent, q.IntakeDrops, q.TotalWait
		q.Kernel.RunUntil(q.Kernel.Now() + duration)
		s := q.stats(customers, duration)
		excess := (s.excess - before.excess) / s.entitled
		admitted := (s.compliantAdmitted - before.compliantAdmitted) / (s.compliantRequested - before.compliantRequested)
		messageRate := float64(q.MessagesSent-sentBefore) / duration.Seconds() / float64(n)
		t.Logf("%d gateways, %s: over-quota customers got %.3f of their quotas in excess, %.3f of compliant requests admitted, %.1f messages per second and gateway, %.3f of them dropped, mean wait of a request %v",
			n, name, excess, admitted, messageRate, float64(q.IntakeDrops-dropsBefore)/float64(max(1, q.MessagesSent-sentBefore)), (q.TotalWait-waitBefore)/time.Duration(q.Requests-requestsBefore))
		if excess > maxExcess || admitted < minAdmitted {
			t.Errorf("%s: %.3f beyond quotas, %.3f of compliant requests admitted; want %v at most and %v at least", name, excess, admitted, maxExcess, minAdmitted)
		}
		if messageRate > q.config.PeerIntake {
			t.Errorf("%s: %.1f messages per second and gateway, more than PeerIntake", name, messageRate)
		}
	}
	runPhase("after the start", 6*time.Second, 0.3, 0.8)
	runPhase("without faults", 6*time.Second, 0.05, 0.95)
	q.Net.Partitioned = func(from, to int) bool { return true }
	isolatedMaxExcess := 0.5
	if n > 300 {
		isolatedMaxExcess = 1.5 // the phases before are too short to report over-quota customers to that many gateways
	}
	runPhase("all gateways isolated", 6*time.Second, isolatedMaxExcess, 0.9)
	q.Net.Partitioned = nil
	runPhase("after the isolation", 6*time.Second, 0.4, 0.9)
}

// TestQuotasAfterPowerLoss simulates 20 and 300 gateways, 2,000 with -large, that all lose power three times, two seconds
// apart. With persisted buckets, over-quota customers may get little more beyond their quotas than without faults. Without
// them, they get part of a burst at each loss.
func TestQuotasAfterPowerLoss(t *testing.T) {
	for _, n := range fleetSizes(20, 300) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) {
				excess, admitted := map[bool]float64{}, map[bool]float64{}
				for _, persist := range []bool{false, true} {
					excess[persist], admitted[persist] = testQuotasAfterPowerLoss(t, seed, n, persist)
				}
				t.Logf("%d gateways: over-quota customers got %.2f bursts in excess per power loss without persisted buckets, %.2f with them; %.2f and %.2f of compliant requests admitted",
					n, excess[false], excess[true], admitted[false], admitted[true])
				if excess[true] > 0.5*excess[false] || excess[true] > 0.2 || admitted[true] < 0.8 {
					t.Errorf("over-quota customers got %.2f bursts in excess with persisted buckets, %.2f without; %.2f of compliant requests admitted with them", excess[true], excess[false], admitted[true])
				}
			})
		})
	}
}

// testQuotasAfterPowerLoss returns how many bursts more the over-quota customers got in excess per power loss than in an
// equally long time without faults, and the admitted share of the compliant customers' requests.
func testQuotasAfterPowerLoss(t *testing.T, seed uint64, n int, persist bool) (excess, admitted float64) {
	const outages, interval = 3, 2 * time.Second
	q, customers := newLoadedFleet(t, seed, n)
	if persist {
		q.PersistBuckets(250 * time.Millisecond)
	}
	q.Kernel.RunUntil(q.Kernel.Now() + 10*time.Second)
	bursts := 0.0
	for _, c := range customers {
		if p := q.plans[c.Plan]; c.Rate > p.Rate {
			bursts += p.Burst
		}
	}
	steady := q.stats(customers, 0)
	q.Kernel.RunUntil(q.Kernel.Now() + outages*interval)
	before := q.stats(customers, 0)
	for range outages {
		if err := q.PowerLoss(); err != nil {
			t.Fatal(err)
		}
		q.Kernel.RunUntil(q.Kernel.Now() + interval)
	}
	s := q.stats(customers, 0)
	additional := (s.excess - before.excess) - (before.excess - steady.excess)
	return additional / bursts / outages, (s.compliantAdmitted - before.compliantAdmitted) / (s.compliantRequested - before.compliantRequested)
}
