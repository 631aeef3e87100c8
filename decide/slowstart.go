package decide

import (
	"math"
	"time"
)

// This file decides how much a server that has just started may be sent.
const (
	coldMargin           = 0.8              // of the cold budget is used: costs vary, others' traffic is guessed ...
	maxColdLoadFactor    = 2.0              // ... and at most so many times what it can do: more is answered late
	subsetDeviations     = 2.0              // deviations by which more gateways than the mean may keep to a cold server
	warmRateTimeConstant = 10 * time.Second // of what is sent to a warm server: some answers of each
	minMeanTime          = 1e-3             // seconds that a usual request takes at least, where no warm server is known
)

// coldServerRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) coldServerRate(s *server) float64 {
	rate := g.currentWarmRate()
	deviation := 1.0
	if n := float64(g.subsetSize()); n < g.totals.servers {
		rate *= g.totals.servers / n // it has more of this gateway's traffic, and none of most others'
		deviation += subsetDeviations / math.Sqrt(float64(g.cfg.Gateways)*n/g.totals.servers)
	}
	initial := g.cfg.Safety.ColdCapacity
	elapsed := 1 - (s.coldUntil-g.now).Seconds()/g.cfg.Safety.ColdDuration.Seconds()
	return coldLoadFactor(g.cfg.Safety, deviation) * (initial + (1-initial)*elapsed) * rate
}

func (g *Gateway) coldBudgetExhausted(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	s.coldBudget = min(1, s.coldBudget+g.coldServerRate(s)*(g.now-s.coldBudgetAt).Seconds())
	s.coldBudgetAt = g.now
	return s.coldBudget < 1
}

// currentWarmRate is what this gateway sends a warm server, in usual requests a second. Where none is warm, as after a loss of power, it is
// what it was before or, if that is not known, this gateway's even part of what a server can do that works on one request at a time.
func (g *Gateway) currentWarmRate() float64 {
	if g.totals.warmServers > 0 {
		return g.totals.warmSendRate / g.totals.warmServers
	}
	meanTime := g.meanTime
	if meanTime == 0 {
		meanTime = initialTimeShare * g.minTarget
	}
	return max(g.warmServerRate, 1/(max(meanTime, minMeanTime)*float64(g.cfg.Gateways)))
}

// ColdLoadFactor is how many times what it can do a cold server may be sent.
func ColdLoadFactor(s Safety) float64 { return coldLoadFactor(s, 1) }

// coldLoadFactor is that where chance may make it so many times as much.
func coldLoadFactor(s Safety, deviation float64) float64 {
	return min(maxColdLoadFactor, coldMargin*s.OverloadFactor/deviation)
}

// updateWarmServerRate follows what a warm server is sent, for a time when none is.
func (g *Gateway) updateWarmServerRate() {
	if g.totals.warmServers > 0 {
		g.warmServerRate += (1 - math.Exp(-(g.now-g.warmServerRateAt).Seconds()/warmRateTimeConstant.Seconds())) *
			(g.totals.warmSendRate/g.totals.warmServers - g.warmServerRate)
	}
	g.warmServerRateAt = g.now
}

// WarmServerRate is what this gateway sends a warm server of late, in usual requests a second; 0: not known.
func (g *Gateway) WarmServerRate() float64 { return g.warmServerRate }
