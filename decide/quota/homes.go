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
	MaxCoordinators = 2                          // of a customer; the second stands in for a silent first
	GrantRetention  = 3 * time.Second            // a home knows for so long what it granted
	FallbackFactor  = 4.0                        // of the even part is what passes at a gateway of a customer, where no home tells
	twinFrom        = 8.0                        // units a second that a customer asks: from there, or if it floods, its homes tell ...
	twinStep        = 0.2                        // ... each other what they grant, by this part of the burst
	handPart        = 0.5                        // of a second's intake of each other gateway is filled as a home hands its customers over
	handUp          = 0.5 / peermsg.StepsPerUnit // of a burst is told more, so that it is not rounded down
	fillMost        = 4.0                        // bursts: true units may fill a bucket beyond its mark, but not this far
)

// Coordinator is the number of the nth gateway that keeps the customer's bucket, the same at every gateway.
func (b *Tracker) Coordinator(key uint64, n int) int {
	first := b.there(int(key % uint64(b.cfg.Gateways)))
	if n == 0 {
		return first
	}
	second := b.there((first + 1 + int(key>>18%uint64(b.cfg.Gateways-1))) % b.cfg.Gateways)
	if second == first && b.away != nil {
		return b.there((first + 1) % b.cfg.Gateways)
	}
	return second
}

// IsCoordinator reports whether the gateway of that number is one of the customer's homes.
func (b *Tracker) IsCoordinator(key uint64, rank int) bool {
	return b.Coordinator(key, 0) == rank || b.Coordinator(key, 1) == rank
}

// CoordinatorCount is how many homes a customer has: under a ceiling one, as what a second one kept would be lacking elsewhere.
func CoordinatorCount(c *Customer) int {
	if c.Plan.CeilingRate > 0 {
		return 1
	}
	return MaxCoordinators
}

// BecomeCoordinator begins a bucket that another home kept until now: half full, with an empty store.
func (b *Tracker) BecomeCoordinator(c *Customer) {
	if b.away == nil {
		return
	}
	now := [MaxCoordinators]int16{int16(b.Coordinator(c.Key, 0) + 1), int16(b.Coordinator(c.Key, 1) + 1)}
	if was := c.homes; was != now {
		if me := int16(b.Rank + 1); was[0] != me && was[1] != me {
			if c.CeilingTokens = 0; !c.recalled { // what a start recalled is as good as a home's bucket, wherever that was
				c.FleetLevel = max(c.FleetLevel, InitialFill*c.Plan.Burst)
			}
		}
		c.homes, c.recalled = now, false
	}
}

// ChargeGrant charges at its home what it granted a customer, and tells the other home: who is not answered by one asks the
// other, which would else give the quota a second time. Totals make lost words harmless.
func (b *Tracker) ChargeGrant(c *Customer, units float64) {
	c.FleetLevel += units
	c.CeilingTokens -= units
	b.noteChange(c)
	c.given = math.Mod(c.given+units, peermsg.GrantTotalModulus)
	c.untold += units
	much := c.FleetDemand.Get(b.Now) >= twinFrom || 1-c.OverShare < floodFrom
	if !much || c.untold < twinStep*c.Plan.Burst {
		return
	}
	c.untold = 0
	for n := range MaxCoordinators {
		if i := b.Coordinator(c.Key, n); i != b.Rank {
			b.Send(i, peermsg.KindGrantTotal, c, 0, c.given)
		}
	}
}

// ReceiveGrantTotal takes what the other home granted in all. More than a burst at once is no step but a home that began anew.
func (b *Tracker) ReceiveGrantTotal(c *Customer, given float64) {
	d := math.Mod(given-c.twinGiven+peermsg.GrantTotalModulus, peermsg.GrantTotalModulus)
	if c.twinKnown && d <= c.Plan.Burst {
		b.Leak(c)
		c.FleetLevel += d
	}
	c.twinGiven, c.twinKnown = given, true
}

// Settle takes at a home how many units more than granted a request was, and that its attempt is over.
func (b *Tracker) Settle(c *Customer, from int, no uint64, more float64) {
	for i := range c.Grants {
		if d := &c.Grants[i]; d.From == from && d.RequestNo == no && d.OK {
			b.Leak(c)
			c.FleetLevel = max(0, c.FleetLevel+more)
			d.Open = false
		}
	}
}

// FillOverQuotaBuckets takes, as nobody was heard for a while, that who floods was let in by others meanwhile: its bucket is full.
func (b *Tracker) FillOverQuotaBuckets() {
	for _, c := range b.queue {
		if 1-c.OverShare < floodFrom {
			b.Leak(c)
			c.FleetLevel = max(c.FleetLevel, c.Plan.Burst)
		}
	}
}

// HandOver tells those who keep the customers' buckets next, as this home stops for good, how full they are: the fullest first, and no
// more than they take in. Else they would begin half full. It goes by what a fleet tells of who is there.
func (b *Tracker) HandOver() {
	if b.Mesh || b.away == nil {
		return
	}
	var mine []*Customer
	for _, c := range b.queue {
		if b.Leak(c); c.FleetLevel > 0 && c.Plan.Rate > 0 && b.IsCoordinator(c.Key, b.Rank) {
			mine = append(mine, c)
		}
	}
	slices.SortStableFunc(mine, func(x, y *Customer) int { return cmp.Compare(y.FleetLevel/y.Plan.Burst, x.FleetLevel/x.Plan.Burst) })
	b.away[b.Rank] = true
	for _, c := range mine[:min(len(mine), int(handPart*b.cfg.PeerIntake)*max(1, b.cfg.Gateways-1))] {
		for n := range CoordinatorCount(c) {
			b.Send(b.Coordinator(c.Key, n), peermsg.KindHandover, c, 0, min(fillMost, c.FleetLevel/c.Plan.Burst)+handUp)
		}
	}
}

// ReceiveHandover takes what a home that stops tells of a customer: only ever to the fuller side. It is told before all know that
// the home is gone, so whoever hears it takes it, in a fleet alone.
func (b *Tracker) ReceiveHandover(w *peermsg.CustomerMessage) {
	if b.away == nil {
		return
	}
	c := b.Customer(w.Key, w.Plan)
	b.Leak(c)
	c.FleetLevel, c.recalled = max(c.FleetLevel, w.Values[0]*c.Plan.Burst), true
	b.noteChange(c)
}

// Send sends a word about a customer, with what rides along.
func (b *Tracker) Send(to int, kind byte, c *Customer, no uint64, v ...float64) {
	w := peermsg.CustomerMessage{Kind: kind, Key: c.Key, Plan: c.PlanNo, RequestNo: no, NumValues: len(v)}
	copy(w.Values[:], v)
	w.Samples, w.NumSamples = b.Samples.v, b.Samples.n
	w.Reports, w.NumReports = b.OverQuota.tell(b.Now, c.Key)
	b.tell(to, w.Encode(b.Now))
}

// RecentSamples are the last few sights of own requests.
type RecentSamples struct {
	v [peermsg.MaxSamples]peermsg.ServerSample
	n int
}

// Add adds a sight; one that a word has no digit for is left out.
func (n *RecentSamples) Add(v peermsg.ServerSample) {
	if v.Class > peermsg.MaxClass {
		return
	}
	copy(n.v[1:], n.v[:])
	n.v[0], n.n = v, min(n.n+1, peermsg.MaxSamples)
}
