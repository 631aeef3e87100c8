package quota

import "time"

// This gateway's share of a customer's quota, and of a ceiling.
const (
	UsableSlack      = 0.9             // of the ceiling's slack is used: the rest covers rounding
	CoordinatorShare = 0.5             // of a ceiling is kept by the customer's coordinator, the rest by its gateways together
	priorDemandShare = 0.05            // of the even rate is added to demand: steadies the share of a customer with few requests
	peerTimeout      = 1 * time.Second // a peer silent for this long no longer settles buckets
	meterTimeout     = 3 * time.Second // metered use arrives late; after this long it says nothing
	meterGrowth      = 1.02            // factor on meterFactor for each report ...
	meterShrink      = 0.95            // ... and while the metered use exceeds the rate
)

// Leak updates a customer's buckets, tokens and share to the current time.
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
		return // what the silent peer has admitted since is unknown
	}
	if c.GatewayCount > 1 && oldest > c.settledAt {
		if c.settledAt = oldest; totalDemand <= c.Plan.Rate {
			c.Level = 0 // else all compete for what leaks: each keeps to its share
		}
		c.Level = max(c.Level, c.Share*c.FleetLevel)
	}
}

// CeilingShare returns the share of a customer's ceiling that this gateway keeps, apart from FallbackTokens. A coordinator
// that is cut off from its fleet keeps none: its successor does.
func (t *Tracker) CeilingShare(c *Customer) float64 {
	switch {
	case t.Mesh:
		return 1 / float64(c.GatewayCount)
	case !t.Isolated && t.Coordinator(c.Key, 0) == t.Rank:
		return CoordinatorShare
	}
	return 0
}

// RecordMetered records a customer's metered use from an answer, in percent of its rate plus 1. It determines the share as
// long as peers' totals are missing.
func (t *Tracker) RecordMetered(c *Customer, percent int) {
	c.meteredRate, c.meteredAt = float64(percent-1)/100*c.Plan.Rate, t.Now
	c.meterFactor = min(1, c.meterFactor*meterGrowth)
	if c.meteredRate > c.Plan.Rate {
		c.meterFactor *= meterShrink
	}
}

// servesCustomer reports whether a customer's requests may arrive at the gateway with that rank.
func (t *Tracker) servesCustomer(c *Customer, rank int) bool {
	return (rank-c.FirstGateway+t.cfg.Gateways)%t.cfg.Gateways < c.GatewayCount
}
