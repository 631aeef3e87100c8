package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

// MaxCoordinators. Where the intake is too small for telling everyone, a gateway's part of a mark is less than one request and what
// it last heard is older than the bucket. There the bucket of the whole customer stands at its home.
const (
	MaxCoordinators     = 2                          // of a customer; the second stands in for a silent first
	GrantRetention      = 3 * time.Second            // a home knows for so long what it granted
	FallbackFactor      = 4.0                        // of the even part is what passes at a gateway of a customer, where no home tells
	grantSyncDemand     = 8.0                        // units a second that a customer asks: from there, or if it floods, its homes tell ...
	grantSyncStep       = 0.2                        // ... each other what they grant, by this part of the burst
	handoverIntakeShare = 0.5                        // of a second's intake of each other gateway is filled as a home hands its customers over
	handoverRounding    = 0.5 / peermsg.StepsPerUnit // of a burst is told more, so that it is not rounded down
	maxFill             = 4.0                        // bursts: true units may fill a bucket beyond its mark, but not this far
)

// Coordinator is the number of the nth gateway that keeps the customer's bucket, the same at every gateway.
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

// IsCoordinator reports whether the gateway of that number is one of the customer's homes.
func (t *Tracker) IsCoordinator(key uint64, rank int) bool {
	return t.Coordinator(key, 0) == rank || t.Coordinator(key, 1) == rank
}

// CoordinatorCount is how many homes a customer has: under a ceiling one, as what a second one kept would be lacking elsewhere.
func CoordinatorCount(c *Customer) int {
	if c.Plan.CeilingRate > 0 {
		return 1
	}
	return MaxCoordinators
}

// BecomeCoordinator begins a bucket that another home kept until now: half full, with an empty store.
func (t *Tracker) BecomeCoordinator(c *Customer) {
	if t.inactive == nil {
		return
	}
	current := [MaxCoordinators]int16{int16(t.Coordinator(c.Key, 0) + 1), int16(t.Coordinator(c.Key, 1) + 1)}
	if previous := c.coordinators; previous != current {
		if self := int16(t.Rank + 1); previous[0] != self && previous[1] != self {
			if c.CeilingTokens = 0; !c.restored { // what a start recalled is as good as a home's bucket, wherever that was
				c.FleetLevel = max(c.FleetLevel, InitialFill*c.Plan.Burst)
			}
		}
		c.coordinators, c.restored = current, false
	}
}

// ChargeGrant charges at its home what it granted a customer, and tells the other home: who is not answered by one asks the
// other, which would else give the quota a second time. Totals make lost words harmless.
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

// ReceiveGrantTotal takes what the other home granted in all. More than a burst at once is no step but a home that began anew.
func (t *Tracker) ReceiveGrantTotal(c *Customer, total float64) {
	delta := math.Mod(total-c.otherGrantTotal+peermsg.GrantTotalModulus, peermsg.GrantTotalModulus)
	if c.otherGrantKnown && delta <= c.Plan.Burst {
		t.Leak(c)
		c.FleetLevel += delta
	}
	c.otherGrantTotal, c.otherGrantKnown = total, true
}

// Settle takes at a home how many units more than granted a request was, and that its attempt is over.
func (t *Tracker) Settle(c *Customer, from int, requestNo uint64, extraUnits float64) {
	for i := range c.Grants {
		if grant := &c.Grants[i]; grant.From == from && grant.RequestNo == requestNo && grant.OK {
			t.Leak(c)
			c.FleetLevel = max(0, c.FleetLevel+extraUnits)
			grant.Open = false
		}
	}
}

// FillOverQuotaBuckets takes, as nobody was heard for a while, that who floods was let in by others meanwhile: its bucket is full.
func (t *Tracker) FillOverQuotaBuckets() {
	for _, c := range t.sweepQueue {
		if 1-c.OverShare < overQuotaThreshold {
			t.Leak(c)
			c.FleetLevel = max(c.FleetLevel, c.Plan.Burst)
		}
	}
}

// HandOver tells those who keep the customers' buckets next, as this home stops for good, how full they are: the fullest first, and no
// more than they take in. Else they would begin half full. It goes by what a fleet tells of who is there.
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

// ReceiveHandover takes what a home that stops tells of a customer: only ever to the fuller side. It is told before all know that
// the home is gone, so whoever hears it takes it, in a fleet alone.
func (t *Tracker) ReceiveHandover(m *peermsg.CustomerMessage) {
	if t.inactive == nil {
		return
	}
	c := t.Customer(m.Key, m.Plan)
	t.Leak(c)
	c.FleetLevel, c.restored = max(c.FleetLevel, m.Values[0]*c.Plan.Burst), true
	t.markChanged(c)
}

// Send sends a word about a customer, with what rides along.
func (t *Tracker) Send(to int, kind byte, c *Customer, requestNo uint64, values ...float64) {
	m := peermsg.CustomerMessage{Kind: kind, Key: c.Key, Plan: c.PlanNo, RequestNo: requestNo, NumValues: len(values)}
	copy(m.Values[:], values)
	m.Samples, m.NumSamples = t.Samples.samples, t.Samples.count
	m.Reports, m.NumReports = t.OverQuota.take(t.Now, c.Key)
	t.send(to, m.Encode(t.Now))
}

// RecentSamples are the last few sights of own requests.
type RecentSamples struct {
	samples [peermsg.MaxSamples]peermsg.ServerSample
	count   int
}

// Add adds a sight; one that a word has no digit for is left out.
func (r *RecentSamples) Add(sample peermsg.ServerSample) {
	if sample.Class > peermsg.MaxClass {
		return
	}
	copy(r.samples[1:], r.samples[:])
	r.samples[0], r.count = sample, min(r.count+1, peermsg.MaxSamples)
}
