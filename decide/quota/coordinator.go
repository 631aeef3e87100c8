package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// Where the message intake is too small for totals to every gateway, a gateway's share of a burst is less than one request,
// and peers' totals are older than the time in which a bucket empties. There one gateway, the customer's coordinator, keeps
// the bucket for all gateways.
const (
	MaxCoordinators     = 2                          // of a customer; the second replaces a silent first
	GrantRetention      = 3 * time.Second            // a coordinator remembers its decisions for this long
	FallbackFactor      = 4.0                        // a gateway admits this many times its even share where no coordinator answers
	grantSyncDemand     = 8.0                        // units per second: with this demand, or over the quota, coordinators send each other ...
	grantSyncStep       = 0.2                        // ... their grant totals, in steps of this share of the burst
	handoverIntakeShare = 0.5                        // of one second's intake of each other gateway is used for handing customers over
	handoverRounding    = 0.5 / peermsg.StepsPerUnit // of a burst is added to a level handed over, so that it is not rounded down
	maxFill             = 4.0                        // bursts: the most that a level is restored to or handed over with; settled units may exceed the burst
)

// Coordinator returns the rank of the customer's nth coordinator; it is the same at every gateway.
func (t *Tracker) Coordinator(key uint64, n int) int {
	first := t.nextActive(int(key % uint64(t.cfg.Gateways)))
	if n == 0 {
		return first
	}
	second := t.nextActive((first + 1 + int(key>>18%uint64(t.cfg.Gateways-1))) % t.cfg.Gateways)
	if second == first && t.inactive != nil {
		return t.nextActive((first + 1) % t.cfg.Gateways)
	}
	return second
}

// IsCoordinator reports whether the gateway with that rank is one of the customer's coordinators.
func (t *Tracker) IsCoordinator(key uint64, rank int) bool {
	return t.Coordinator(key, 0) == rank || t.Coordinator(key, 1) == rank
}

// CoordinatorCount returns how many coordinators a customer has: one under a ceiling, as tokens that a second one kept would
// be missing elsewhere.
func CoordinatorCount(c *Customer) int {
	if c.Plan.CeilingRate > 0 {
		return 1
	}
	return MaxCoordinators
}

// BecomeCoordinator prepares a bucket that another coordinator kept until now: filled to InitialFill at least, and without
// ceiling tokens.
func (t *Tracker) BecomeCoordinator(c *Customer) {
	if t.inactive == nil {
		return
	}
	current := [MaxCoordinators]int16{int16(t.Coordinator(c.Key, 0) + 1), int16(t.Coordinator(c.Key, 1) + 1)}
	if previous := c.coordinators; previous != current {
		if self := int16(t.Rank + 1); previous[0] != self && previous[1] != self {
			if c.CeilingTokens = 0; !c.restored { // a restored level is as good as a coordinator's, whichever gateway that was
				c.FleetLevel = max(c.FleetLevel, InitialFill*c.Plan.Burst)
			}
		}
		c.coordinators, c.restored = current, false
	}
}

// ChargeGrant charges units that this coordinator granted, and tells the other coordinator: a gateway that gets no reply from
// one asks the other, which would otherwise grant the quota a second time. Lost messages do no harm, as they carry totals.
func (t *Tracker) ChargeGrant(c *Customer, units float64) {
	c.FleetLevel += units
	c.CeilingTokens -= units
	t.markChanged(c)
	c.grantTotal = math.Mod(c.grantTotal+units, peermsg.GrantTotalModulus)
	c.unsentGrants += units
	sync := c.FleetDemand.Get(t.Now) >= grantSyncDemand || 1-c.OverShare < overQuotaThreshold
	if !sync || c.unsentGrants < grantSyncStep*c.Plan.Burst {
		return
	}
	c.unsentGrants = 0
	for n := range MaxCoordinators {
		if i := t.Coordinator(c.Key, n); i != t.Rank {
			t.Send(i, peermsg.KindGrantTotal, c, 0, c.grantTotal)
		}
	}
}

// ReceiveGrantTotal applies what the other coordinator has granted in total. A difference of more than a burst is no grant but
// a coordinator that started over.
func (t *Tracker) ReceiveGrantTotal(c *Customer, total float64) {
	delta := math.Mod(total-c.otherGrantTotal+peermsg.GrantTotalModulus, peermsg.GrantTotalModulus)
	if c.otherGrantKnown && delta <= c.Plan.Burst {
		t.Leak(c)
		c.FleetLevel += delta
	}
	c.otherGrantTotal, c.otherGrantKnown = total, true
}

// Settle applies, at a coordinator, how many units a request used beyond those granted, and that its attempt has ended.
func (t *Tracker) Settle(c *Customer, from int, requestNo uint64, extraUnits float64) {
	for i := range c.Grants {
		if grant := &c.Grants[i]; grant.From == from && grant.RequestNo == requestNo && grant.OK {
			t.Leak(c)
			c.FleetLevel = max(0, c.FleetLevel+extraUnits)
			grant.Open = false
		}
	}
}

// FillOverQuotaBuckets fills the buckets of customers over their quota after a time without any message: other gateways may
// have admitted them meanwhile.
func (t *Tracker) FillOverQuotaBuckets() {
	for _, c := range t.sweepQueue {
		if 1-c.OverShare < overQuotaThreshold {
			t.Leak(c)
			c.FleetLevel = max(c.FleetLevel, c.Plan.Burst)
		}
	}
}

// HandOver sends the levels of the buckets that this gateway coordinates to their next coordinators, as it stops for good: the
// fullest first, and no more than those take in. Otherwise they would begin at InitialFill. It needs the fleet's membership.
func (t *Tracker) HandOver() {
	if t.Mesh || t.inactive == nil {
		return
	}
	var customers []*Customer
	for _, c := range t.sweepQueue {
		if t.Leak(c); c.FleetLevel > 0 && c.Plan.Rate > 0 && t.IsCoordinator(c.Key, t.Rank) {
			customers = append(customers, c)
		}
	}
	slices.SortStableFunc(customers, func(x, y *Customer) int { return cmp.Compare(y.FleetLevel/y.Plan.Burst, x.FleetLevel/x.Plan.Burst) })
	t.inactive[t.Rank] = true
	for _, c := range customers[:min(len(customers), int(handoverIntakeShare*t.cfg.PeerIntake)*max(1, t.cfg.Gateways-1))] {
		for n := range CoordinatorCount(c) {
			t.Send(t.Coordinator(c.Key, n), peermsg.KindHandover, c, 0, min(maxFill, c.FleetLevel/c.Plan.Burst)+handoverRounding)
		}
	}
}

// ReceiveHandover applies a level from a coordinator that stops: it only ever raises the customer's. The message comes before
// all gateways know that the coordinator is gone, so every receiver applies it, but only if the fleet's membership is known.
func (t *Tracker) ReceiveHandover(m *peermsg.CustomerMessage) {
	if t.inactive == nil {
		return
	}
	c := t.Customer(m.Key, m.Plan)
	t.Leak(c)
	c.FleetLevel, c.restored = max(c.FleetLevel, m.Values[0]*c.Plan.Burst), true
	t.markChanged(c)
}

// Send sends a message about a customer, with the latest samples and reports.
func (t *Tracker) Send(to int, kind byte, c *Customer, requestNo uint64, values ...float64) {
	m := peermsg.CustomerMessage{Kind: kind, Key: c.Key, Plan: c.PlanNo, RequestNo: requestNo, NumValues: len(values)}
	copy(m.Values[:], values)
	m.Samples, m.NumSamples = t.Samples.samples, t.Samples.count
	m.Reports, m.NumReports = t.OverQuota.take(t.Now, c.Key)
	t.send(to, m.Encode(t.Now))
}

// RecentSamples holds the latest few samples from this gateway's own requests.
type RecentSamples struct {
	samples [peermsg.MaxSamples]peermsg.ServerSample
	count   int
}

// Add adds a sample; one whose class has no code in messages is left out.
func (r *RecentSamples) Add(sample peermsg.ServerSample) {
	if sample.Class > peermsg.MaxClass {
		return
	}
	copy(r.samples[1:], r.samples[:])
	r.samples[0], r.count = sample, min(r.count+1, peermsg.MaxSamples)
}
