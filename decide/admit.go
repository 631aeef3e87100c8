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
	askIntake   = 0.4                    // of the intake is for questions; beyond it refused ones wait longer
	waitMost    = 30 * time.Second       // longest wait that a home puts on those it refuses
	waitLeast   = 0.1                    // seconds that refused ones wait where questions fill the intake ...
	waitGrow    = 1.15                   // ... and longer with each ...
	waitShrink  = 0.9                    // ... and less where they don't
	retryAdvice = 200 * time.Millisecond // where no bucket tells when to come back
)

// room reports whether a customer's bucket at this gateway has room for so many units.
func room(c *quota.Customer, units float64) bool {
	return c.Plan.Rate == 0 || c.Level+c.Share*units <= c.Share*c.Plan.Burst
}

// admit decides whether the quota has room.
func (g *Gateway) admit(c *quota.Customer, r *request) bool {
	g.quota.Leak(c)
	g.quota.AddDemand(c, r.units)
	return room(c, r.units) && g.roomOpen(c) &&
		(c.Plan.CeilingRate == 0 || storeHas(c, r.units))
}

// storeHas reports that an even slice of the ceiling's store, empty at a start, has so many units.
func storeHas(c *quota.Customer, units float64) bool {
	return c.CeilingTokens+quota.UsableSlack*c.Plan.CeilingSlack/float64(c.GatewayCount) >= units
}

// roomOpen holds the cap on attempts out. Caps are small: parts of them, rounded up, are one too many in
// all or one too few where the traffic is. So what peers told counts, and the part decides without it.
func (g *Gateway) roomOpen(c *quota.Customer) bool {
	most := c.Plan.MaxOpen
	if most == 0 {
		return true
	}
	if elsewhere, told := g.quota.OpenElsewhere(c); told {
		return c.Open+elsewhere < most
	}
	return float64(c.Open) < math.Ceil(c.Share*float64(most))
}

// roomIn is how long the quota needs to have room for so many units: what the client is told to wait.
func (g *Gateway) roomIn(c *quota.Customer, units float64) time.Duration {
	wait := (c.RefuseUntil - g.now).Seconds()
	if p := c.Plan; p.Rate > 0 {
		wait = max(wait, (c.Level+c.Share*(units-p.Burst))/(c.Share*p.Rate))
	}
	slack, left := quota.UsableSlack*c.Plan.CeilingSlack/float64(c.GatewayCount), (1-quota.CoordinatorShare)/float64(c.GatewayCount)
	switch slice := g.quota.CeilingShare(c); {
	case c.Plan.CeilingRate == 0:
	case slice > 0:
		wait = max(wait, (units-slack-c.CeilingTokens)/(c.Plan.CeilingRate*slice))
	case g.quota.Isolated: // else the home has said how long
		wait = max(wait, (units-slack-c.FallbackTokens)/(c.Plan.CeilingRate*left))
	}
	if wait <= 0 { // it is the cap on attempts out, which says nothing of time
		return retryAdvice
	}
	return time.Duration(min(wait, waitMost.Seconds()) * float64(time.Second))
}

// roomAlone decides without a home's word. Who is cut off from a fleet keeps to its even part. Else, of a customer
// that is known to flood, by word or by its home's last answer, the share passes that its rate bears. Of others so
// little comes to one gateway that its own count says nothing until it is some times the even part, and they pass
// up to that: to hold each to the even part would refuse nearly all. A ceiling is kept by an even slice of what no
// home grants from, by those that are cut off too: some may be cut off while homes grant to the others. The platform
// spreads a customer under a ceiling so that half of its burst, so parted, holds a request.
func (g *Gateway) roomAlone(c *quota.Customer, units float64) bool {
	if c.Plan.CeilingRate > 0 && c.FallbackTokens+quota.UsableSlack*c.Plan.CeilingSlack/float64(c.GatewayCount) < units {
		return false
	}
	if g.quota.Isolated && !room(c, units) || !g.quota.Isolated && !g.loneRoom(c, units) {
		return false
	}
	if c.Plan.CeilingRate > 0 {
		c.FallbackTokens -= units
	}
	return true
}

// loneRoom takes so many units of what passes here of a customer whose homes are silent, if there is room.
func (g *Gateway) loneRoom(c *quota.Customer, units float64) bool {
	part := min(1, quota.FallbackFactor/float64(c.GatewayCount))
	c.FallbackLevel = max(0, c.FallbackLevel-part*c.Plan.Rate*(g.now-c.FallbackLevelAt).Seconds())
	c.FallbackLevelAt = g.now
	if c.Plan.Rate > 0 && (c.FallbackLevel > max(0, part*c.Plan.Burst-units) || g.rng.Float64() >= g.quota.AllowedShare(c)) {
		return false
	}
	c.FallbackLevel += units
	return true
}

// grant decides as a home, by the bucket of the whole customer, and tells how long those refused may wait.
// It guards quota, cap on attempts out and ceiling; a question that comes twice gets the same answer once.
func (g *Gateway) grant(c *quota.Customer, from int, no uint64, units float64) (ok bool, wait float64) {
	g.quota.Leak(c)
	g.quota.BecomeCoordinator(c)
	out := 0
	for i := range c.Grants {
		d := &c.Grants[i]
		if d.From == from && d.RequestNo == no {
			return d.OK, c.RetryWait
		}
		d.Open = d.Open && (g.now-d.At).Seconds() < g.quickest
		if d.Open {
			out++
		}
	}
	c.Grants = slices.DeleteFunc(c.Grants, func(d quota.Grant) bool { return g.now-d.At > quota.GrantRetention })
	c.FleetDemand.Add(g.now, units)
	within := c.Plan.Rate == 0 || c.FleetLevel+units <= c.Plan.Burst
	if units > 0 { // else nothing is asked for: see listen
		g.quota.RecordDecision(c, within)
	}
	ok = within &&
		(c.Plan.MaxOpen == 0 || out < c.Plan.MaxOpen) && (c.Plan.CeilingRate == 0 || c.CeilingTokens >= units)
	if ok {
		g.quota.ChargeGrant(c, units)
	}
	if !ok && g.askRate.Get(g.now) > askIntake*g.cfg.PeerIntake {
		c.RetryWait = min(waitMost.Seconds(), max(c.RetryWait, waitLeast)*waitGrow)
	} else {
		c.RetryWait *= waitShrink
	}
	c.Grants = append(c.Grants, quota.Grant{From: from, RequestNo: no, At: g.now, OK: ok, Open: ok && c.Plan.MaxOpen > 0})
	return ok, c.RetryWait
}
