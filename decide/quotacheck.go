package decide

import (
	"math"
	"slices"
	"time"

	"sloepick/decide/quota"
)

// This file checks whether a customer's quota has room: by this gateway's own bucket, as the customer's coordinator
// for all gateways, or without a coordinator's reply. Package quota keeps the buckets.
const (
	grantIntakeShare    = 0.4                    // share of the intake for grant requests; beyond it refused requests wait longer
	maxRetryWait        = 30 * time.Second       // longest wait that a coordinator sets for refused requests
	minRetryWaitSeconds = 0.1                    // shortest wait once grant requests exceed their share of the intake ...
	retryWaitGrowth     = 1.15                   // ... which each refusal then multiplies by this ...
	retryWaitDecay      = 0.9                    // ... and any other grant request by this
	defaultRetryAfter   = 200 * time.Millisecond // if no bucket determines when there is room
)

// hasRoom reports whether a customer's bucket at this gateway has room for that many units.
func hasRoom(c *quota.Customer, units float64) bool {
	return c.Plan.Rate == 0 || c.Level+c.Share*units <= c.Share*c.Plan.Burst
}

// admitLocally decides by this gateway's own buckets.
func (g *Gateway) admitLocally(c *quota.Customer, r *request) bool {
	g.quota.Leak(c)
	g.quota.AddDemand(c, r.units)
	return hasRoom(c, r.units) && g.openCapHasRoom(c) &&
		(c.Plan.CeilingRate == 0 || ceilingHasRoom(c, r.units))
}

// ceilingHasRoom reports whether this gateway's even share of the ceiling, empty after a start, has that many units left.
func ceilingHasRoom(c *quota.Customer, units float64) bool {
	return c.CeilingTokens+quota.UsableSlack*c.Plan.CeilingSlack/float64(c.GatewayCount) >= units
}

// openCapHasRoom enforces the cap on open attempts. Caps are small, so that shares of them, rounded up, add up to one
// too many or are one too few where the traffic is. The counts that peers reported decide if known, the share only
// without them.
func (g *Gateway) openCapHasRoom(c *quota.Customer) bool {
	limit := c.Plan.MaxOpen
	if limit == 0 {
		return true
	}
	if elsewhere, known := g.quota.OpenElsewhere(c); known {
		return c.Open+elsewhere < limit
	}
	return float64(c.Open) < math.Ceil(c.Share*float64(limit))
}

// timeUntilRoom returns how long the quota needs to have room for that many units, which the client is advised to wait.
func (g *Gateway) timeUntilRoom(c *quota.Customer, units float64) time.Duration {
	wait := (c.RefuseUntil - g.now).Seconds()
	if p := c.Plan; p.Rate > 0 {
		wait = max(wait, (c.Level+c.Share*(units-p.Burst))/(c.Share*p.Rate))
	}
	slack, fallbackShare := quota.UsableSlack*c.Plan.CeilingSlack/float64(c.GatewayCount),
		(1-quota.CoordinatorShare)/float64(c.GatewayCount)
	switch share := g.quota.CeilingShare(c); {
	case c.Plan.CeilingRate == 0:
	case share > 0:
		wait = max(wait, (units-slack-c.CeilingTokens)/(c.Plan.CeilingRate*share))
	case g.quota.Isolated: // otherwise the coordinator has said how long
		wait = max(wait, (units-slack-c.FallbackTokens)/(c.Plan.CeilingRate*fallbackShare))
	}
	if wait <= 0 { // the cap on open attempts refused, which says nothing about time
		return defaultRetryAfter
	}
	return time.Duration(min(wait, maxRetryWait.Seconds()) * float64(time.Second))
}

// admitWithoutCoordinator decides without a coordinator's reply. An isolated gateway keeps to its even share.
// Otherwise a customer known to be over its quota, by reports or by its coordinator's last reply, gets the share of
// its requests that its rate allows. Of any other customer one gateway sees so few requests that its own count says
// nothing until it is several times the even share; they pass up to that, as holding each to the even share would
// refuse nearly all. A ceiling is enforced by an even share of the part that coordinators do not grant from, at
// isolated gateways too: coordinators may still grant to the others. The platform spreads a customer under a ceiling
// so that half of its burst, divided evenly, holds one request.
func (g *Gateway) admitWithoutCoordinator(c *quota.Customer, units float64) bool {
	if c.Plan.CeilingRate > 0 && c.FallbackTokens+quota.UsableSlack*c.Plan.CeilingSlack/float64(c.GatewayCount) < units {
		return false
	}
	if g.quota.Isolated && !hasRoom(c, units) || !g.quota.Isolated && !g.takeFallbackQuota(c, units) {
		return false
	}
	if c.Plan.CeilingRate > 0 {
		c.FallbackTokens -= units
	}
	return true
}

// takeFallbackQuota takes that many units of what may pass here while the customer's coordinators don't reply, if
// there is room.
func (g *Gateway) takeFallbackQuota(c *quota.Customer, units float64) bool {
	share := min(1, quota.FallbackFactor/float64(c.GatewayCount))
	c.FallbackLevel = max(0, c.FallbackLevel-share*c.Plan.Rate*(g.now-c.FallbackLevelAt).Seconds())
	c.FallbackLevelAt = g.now
	if c.Plan.Rate > 0 && (c.FallbackLevel > max(0, share*c.Plan.Burst-units) || g.rng.Float64() >= g.quota.AllowedShare(c)) {
		return false
	}
	c.FallbackLevel += units
	return true
}

// grant decides as the customer's coordinator, by the bucket of all gateways, and returns how long refused requests
// may wait. It enforces quota, cap on open attempts and ceiling. A grant request that arrives twice gets the same
// answer and is charged once.
func (g *Gateway) grant(c *quota.Customer, from int, requestNo uint64, units float64) (ok bool, wait float64) {
	g.quota.Leak(c)
	g.quota.BecomeCoordinator(c)
	open := 0
	for i := range c.Grants {
		d := &c.Grants[i]
		if d.From == from && d.RequestNo == requestNo {
			return d.OK, c.RetryWait
		}
		d.Open = d.Open && (g.now-d.At).Seconds() < g.minTarget
		if d.Open {
			open++
		}
	}
	c.Grants = slices.DeleteFunc(c.Grants, func(d quota.Grant) bool { return g.now-d.At > quota.GrantRetention })
	c.FleetDemand.Add(g.now, units)
	withinQuota := c.Plan.Rate == 0 || c.FleetLevel+units <= c.Plan.Burst
	if units > 0 { // a probe asks for nothing: see probePeers
		g.quota.RecordDecision(c, withinQuota)
	}
	ok = withinQuota &&
		(c.Plan.MaxOpen == 0 || open < c.Plan.MaxOpen) && (c.Plan.CeilingRate == 0 || c.CeilingTokens >= units)
	if ok {
		g.quota.ChargeGrant(c, units)
	}
	if !ok && g.grantRequestRate.Get(g.now) > grantIntakeShare*g.cfg.PeerIntake {
		c.RetryWait = min(maxRetryWait.Seconds(), max(c.RetryWait, minRetryWaitSeconds)*retryWaitGrowth)
	} else {
		c.RetryWait *= retryWaitDecay
	}
	c.Grants = append(c.Grants, quota.Grant{From: from, RequestNo: requestNo, At: g.now, OK: ok, Open: ok && c.Plan.MaxOpen > 0})
	return ok, c.RetryWait
}
