package quota

import "time"

// This gateway's part of a customer's quota, and its slice of a ceiling.
const (
	UsableSlack      = 0.9             // of the ceiling's slack is used: the rest is for rounding
	CoordinatorShare = 0.5             // of a ceiling is kept by a customer's home, the rest by its set
	priorDemandShare = 0.05            // seconds of the even slice mixed in: steadies rare askers
	peerTimeout      = 1 * time.Second // a peer not heard for this long no longer settles buckets
	meterTimeout     = 3 * time.Second // the meter is late; older totals say nothing
	meterGrowth      = 1.02            // of the factor on the part, a report ...
	meterShrink      = 0.95            // ... while the metered total exceeds the rate
)

// Leak brings a customer's buckets, store and part up to now.
func (t *Tracker) Leak(c *Customer) {
	dt := (t.Now - c.updatedAt).Seconds()
	c.updatedAt = t.Now
	c.Level = max(0, c.Level-c.Share*c.Plan.Rate*dt)
	c.FleetLevel = max(0, c.FleetLevel-c.Plan.Rate*dt)
	evenShare, ceilingShare := 1/float64(c.GatewayCount), t.CeilingShare(c)
	c.CeilingTokens = min(c.CeilingTokens+c.Plan.CeilingRate*ceilingShare*dt, c.Plan.CeilingBurst*ceilingShare)
	fallbackShare := (1 - CoordinatorShare) * evenShare
	c.FallbackTokens = min(c.FallbackTokens+c.Plan.CeilingRate*fallbackShare*dt, c.Plan.CeilingBurst*fallbackShare)
	if t.Isolated {
		c.Share = evenShare
		return
	}
	ownDemand := c.Demand.Get(t.Now) + priorDemandShare*c.Plan.Rate*evenShare
	if !t.Mesh && t.Now-c.TotalDemandAt < RateTimeConstant {
		c.Share = min(1, max(evenShare, ownDemand/max(ownDemand, c.TotalDemand)))
		return
	}
	totalDemand, oldest, reserved := t.totalDemand(c, ownDemand)
	c.Share = evenShare
	if oldest < 0 || totalDemand == 0 || (len(t.peers) == 0 && c.GatewayCount > 1) {
		if c.meteredRate > 0 && t.Now-c.meteredAt < meterTimeout {
			c.Share = max(evenShare, min(1, c.meterFactor*c.usedRate.Get(t.Now)/c.meteredRate))
		}
		return
	}
	c.Share = max(evenShare, ownDemand/totalDemand*(1-reserved))
	if t.Now-oldest >= peerTimeout {
		return // what the silent one lets in since is not known
	}
	if c.GatewayCount > 1 && oldest > c.settledAt {
		if c.settledAt = oldest; totalDemand <= c.Plan.Rate {
			c.Level = 0 // else all contend for what leaks: each takes its part alone
		}
		c.Level = max(c.Level, c.Share*c.FleetLevel)
	}
}

// CeilingShare is the part of a customer's ceiling that this gateway keeps, beside what homes leave. A home that is cut off
// from its fleet keeps none: the home that took its place does.
func (t *Tracker) CeilingShare(c *Customer) float64 {
	switch {
	case t.Mesh:
		return 1 / float64(c.GatewayCount)
	case !t.Isolated && t.Coordinator(c.Key, 0) == t.Rank:
		return CoordinatorShare
	}
	return 0
}

// RecordMetered takes what an answer tells of the customer's use, percent of its rate plus 1; it decides the part where peers are
// silent.
func (t *Tracker) RecordMetered(c *Customer, percent int) {
	c.meteredRate, c.meteredAt = float64(percent-1)/100*c.Plan.Rate, t.Now
	c.meterFactor = min(1, c.meterFactor*meterGrowth)
	if c.meteredRate > c.Plan.Rate {
		c.meterFactor *= meterShrink
	}
}

// servesCustomer reports whether a customer's requests may come in through the gateway of that number.
func (t *Tracker) servesCustomer(c *Customer, rank int) bool {
	return (rank-c.FirstGateway+t.cfg.Gateways)%t.cfg.Gateways < c.GatewayCount
}
