package decide

import (
	"math"
	"slices"
	"time"

	"sloepick/decide/quota"
)

// This file decides whether a customer's quota has room: by this gateway's bucket, as a home for all gateways, and without a home's word.
// What is known of a customer's quota is package quota's.
const (
	grantIntakeShare    = 0.4                    // of the intake is for questions; beyond it refused ones wait longer
	maxRetryWait        = 30 * time.Second       // longest wait that a home puts on those it refuses
	minRetryWaitSeconds = 0.1                    // seconds that refused ones wait where questions fill the intake ...
	retryWaitGrowth     = 1.15                   // ... and longer with each ...
	retryWaitDecay      = 0.9                    // ... and less where they don't
	defaultRetryAfter   = 200 * time.Millisecond // where no bucket tells when to come back
)

// hasRoom reports whether a customer's bucket at this gateway has hasRoom for so many units.
func hasRoom(c *quota.Customer, units float64) bool {
	return c.Plan.Rate == 0 || c.Level+c.Share*units <= c.Share*c.Plan.Burst
}

// admitLocally decides whether the quota has room.
func (g *Gateway) admitLocally(c *quota.Customer, r *request) bool {
	g.quota.Leak(c)
	g.quota.AddDemand(c, r.units)
	return hasRoom(c, r.units) && g.openCapHasRoom(c) &&
		(c.Plan.CeilingRate == 0 || ceilingHasRoom(c, r.units))
}

// ceilingHasRoom reports that an even slice of the ceiling's store, empty at a start, has so many units.
func ceilingHasRoom(c *quota.Customer, units float64) bool {
	return c.CeilingTokens+quota.UsableSlackShare*c.Plan.CeilingSlack/float64(c.GatewayCount) >= units
}

// openCapHasRoom holds the cap on attempts out. Caps are small: parts of them, rounded up, are one too many in
// all or one too few where the traffic is. So what peers told counts, and the part decides without it.
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

// timeUntilRoom is how long the quota needs to have room for so many units: what the client is told to wait.
func (g *Gateway) timeUntilRoom(c *quota.Customer, units float64) time.Duration {
	wait := (c.RefuseUntil - g.now).Seconds()
	if p := c.Plan; p.Rate > 0 {
		wait = max(wait, (c.Level+c.Share*(units-p.Burst))/(c.Share*p.Rate))
	}
	slack, fallbackShare := quota.UsableSlackShare*c.Plan.CeilingSlack/float64(c.GatewayCount),
		(1-quota.CoordinatorCeilingShare)/float64(c.GatewayCount)
	switch share := g.quota.CeilingShare(c); {
	case c.Plan.CeilingRate == 0:
	case share > 0:
		wait = max(wait, (units-slack-c.CeilingTokens)/(c.Plan.CeilingRate*share))
	case g.quota.Isolated: // else the home has said how long
		wait = max(wait, (units-slack-c.FallbackTokens)/(c.Plan.CeilingRate*fallbackShare))
	}
	if wait <= 0 { // it is the cap on attempts out, which says nothing of time
		return defaultRetryAfter
	}
	return time.Duration(min(wait, maxRetryWait.Seconds()) * float64(time.Second))
}

// admitWithoutCoordinator decides without a home's word. Who is cut off from a fleet keeps to its even part. Else, of a customer
// that is known to flood, by word or by its home's last answer, the share passes that its rate bears. Of others so
// little comes to one gateway that its own count says nothing until it is some times the even part, and they pass
// up to that: to hold each to the even part would refuse nearly all. A ceiling is kept by an even slice of what no
// home grants from, by those that are cut off too: some may be cut off while homes grant to the others. The platform
// spreads a customer under a ceiling so that half of its burst, so parted, holds a request.
func (g *Gateway) admitWithoutCoordinator(c *quota.Customer, units float64) bool {
	if c.Plan.CeilingRate > 0 && c.FallbackTokens+quota.UsableSlackShare*c.Plan.CeilingSlack/float64(c.GatewayCount) < units {
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

// takeFallbackQuota takes so many units of what passes here of a customer whose homes are silent, if there is room.
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

// grant decides as a home, by the bucket of the whole customer, and tells how long those refused may wait.
// It guards quota, cap on attempts out and ceiling; a question that comes twice gets the same answer once.
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
	if units > 0 { // else nothing is asked for: see listen
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
