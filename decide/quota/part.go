package quota

import "time"

// This gateway's part of a customer's quota, and its slice of a ceiling.
const (
	UsableSlack      = 0.9             // of the ceiling's slack is used: the rest is for rounding
	CoordinatorShare = 0.5             // of a ceiling is kept by a customer's home, the rest by its set
	partPrior        = 0.05            // seconds of the even slice mixed in: steadies rare askers
	peerStale        = 1 * time.Second // a peer not heard for this long no longer settles buckets
	meterStale       = 3 * time.Second // the meter is late; older totals say nothing
	meterGrow        = 1.02            // of the factor on the part, a report ...
	meterShrink      = 0.95            // ... while the metered total exceeds the rate
)

// Leak brings a customer's buckets, store and part up to now.
func (b *Tracker) Leak(c *Customer) {
	dt := (b.Now - c.at).Seconds()
	c.at = b.Now
	c.Level = max(0, c.Level-c.Share*c.Plan.Rate*dt)
	c.FleetLevel = max(0, c.FleetLevel-c.Plan.Rate*dt)
	even, slice := 1/float64(c.GatewayCount), b.CeilingShare(c)
	c.CeilingTokens = min(c.CeilingTokens+c.Plan.CeilingRate*slice*dt, c.Plan.CeilingBurst*slice)
	left := (1 - CoordinatorShare) * even
	c.FallbackTokens = min(c.FallbackTokens+c.Plan.CeilingRate*left*dt, c.Plan.CeilingBurst*left)
	if b.Isolated {
		c.Share = even
		return
	}
	own := c.Demand.Get(b.Now) + partPrior*c.Plan.Rate*even
	if !b.Mesh && b.Now-c.TotalDemandAt < RateTimeConstant {
		c.Share = min(1, max(even, own/max(own, c.TotalDemand)))
		return
	}
	all, oldest, kept := b.askedByAll(c, own)
	c.Share = even
	if oldest < 0 || all == 0 || (len(b.peers) == 0 && c.GatewayCount > 1) {
		if c.metered > 0 && b.Now-c.meteredAt < meterStale {
			c.Share = max(even, min(1, c.factor*c.used.Get(b.Now)/c.metered))
		}
		return
	}
	c.Share = max(even, own/all*(1-kept))
	if b.Now-oldest >= peerStale {
		return // what the silent one lets in since is not known
	}
	if c.GatewayCount > 1 && oldest > c.settled {
		if c.settled = oldest; all <= c.Plan.Rate {
			c.Level = 0 // else all contend for what leaks: each takes its part alone
		}
		c.Level = max(c.Level, c.Share*c.FleetLevel)
	}
}

// CeilingShare is the part of a customer's ceiling that this gateway keeps, beside what homes leave. A home that is cut off
// from its fleet keeps none: the home that took its place does.
func (b *Tracker) CeilingShare(c *Customer) float64 {
	switch {
	case b.Mesh:
		return 1 / float64(c.GatewayCount)
	case !b.Isolated && b.Coordinator(c.Key, 0) == b.Rank:
		return CoordinatorShare
	}
	return 0
}

// RecordMetered takes what an answer tells of the customer's use, percent of its rate plus 1; it decides the part where peers are
// silent.
func (b *Tracker) RecordMetered(c *Customer, percent int) {
	c.metered, c.meteredAt = float64(percent-1)/100*c.Plan.Rate, b.Now
	c.factor = min(1, c.factor*meterGrow)
	if c.metered > c.Plan.Rate {
		c.factor *= meterShrink
	}
}

// inSet reports whether a customer's requests may come in through the gateway of that number.
func (b *Tracker) inSet(c *Customer, rank int) bool {
	return (rank-c.FirstGateway+b.cfg.Gateways)%b.cfg.Gateways < c.GatewayCount
}
