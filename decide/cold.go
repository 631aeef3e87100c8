package decide

import (
	"math"
	"time"
)

// This file decides how much a server that has just started may be sent.
const (
	coldMargin  = 0.8              // of the cold budget is used: costs vary, others' traffic is guessed ...
	coldMost    = 2.0              // ... and at most so many times what it can do: more is answered late
	nearChance  = 2.0              // deviations by which more gateways than the mean may keep to a cold server
	sendsMemory = 10 * time.Second // of what is sent to a warm server: some answers of each
	tookLeast   = 1e-3             // seconds that a usual request takes at least, where no warm server is known
)

// coldRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) coldRate(s *server) float64 {
	warm := g.warmSends()
	chance := 1.0
	if n := float64(g.nearMost()); n < g.all.serving {
		warm *= g.all.serving / n // it has more of this gateway's traffic, and none of most others'
		chance += nearChance / math.Sqrt(float64(g.cfg.Gateways)*n/g.all.serving)
	}
	f := g.cfg.Safety.ColdCapacity
	age := 1 - (s.coldUntil-g.now).Seconds()/g.cfg.Safety.ColdDuration.Seconds()
	return coldTimes(g.cfg.Safety, chance) * (f + (1-f)*age) * warm
}

func (g *Gateway) cold(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	s.budget = min(1, s.budget+g.coldRate(s)*(g.now-s.budgetAt).Seconds())
	s.budgetAt = g.now
	return s.budget < 1
}

// warmSends is what this gateway sends a warm server, in usual requests a second. Where none is warm, as after a loss of power, it is
// what it was before or, if that is not known, this gateway's even part of what a server can do that works on one request at a time.
func (g *Gateway) warmSends() float64 {
	if g.all.warm > 0 {
		return g.all.sends / g.all.warm
	}
	took := g.usual
	if took == 0 {
		took = firstGuess * g.quickest
	}
	return max(g.before, 1/(max(took, tookLeast)*float64(g.cfg.Gateways)))
}

// ColdLoadFactor is how many times what it can do a cold server may be sent.
func ColdLoadFactor(s Safety) float64 { return coldTimes(s, 1) }

// coldTimes is that where chance may make it so many times as much.
func coldTimes(s Safety, chance float64) float64 {
	return min(coldMost, coldMargin*s.OverloadFactor/chance)
}

// keepSends follows what a warm server is sent, for a time when none is.
func (g *Gateway) keepSends() {
	if g.all.warm > 0 {
		g.before += (1 - math.Exp(-(g.now-g.beforeAt).Seconds()/sendsMemory.Seconds())) * (g.all.sends/g.all.warm - g.before)
	}
	g.beforeAt = g.now
}

// WarmServerRate is what this gateway sends a warm server of late, in usual requests a second; 0: not known.
func (g *Gateway) WarmServerRate() float64 { return g.before }
