package decide

import (
	"math"
	"time"
)

// This file limits what a recently started server is sent (slow start).
const (
	coldMargin           = 0.8              // share of the overload factor that is used: costs vary, others' traffic is estimated
	maxColdLoadFactor    = 2.0              // highest multiple of a server's present capacity that is sent: more is answered late
	subsetDeviations     = 2.0              // standard deviations over the mean number of gateways whose subsets include a server
	warmRateTimeConstant = 10 * time.Second // time constant of the rate to a warm server: spans several answers of each
	minMeanTime          = 1e-3             // seconds; shortest mean time assumed while no server is warm
)

// coldServerRate enforces the rule on cold servers: the requests a second that this gateway may send to one. What
// this gateway sends a warm server is its own share of the fleet's traffic, so that all gateways together stay within
// the overload factor without coordination.
func (g *Gateway) coldServerRate(s *server) float64 {
	rate := g.currentWarmRate()
	chanceFactor := 1.0
	if n := float64(g.subsetSize()); n < g.totals.servers {
		rate *= g.totals.servers / n // it gets more of this gateway's traffic, and none of most others'
		chanceFactor += subsetDeviations / math.Sqrt(float64(g.cfg.Gateways)*n/g.totals.servers)
	}
	initial := g.cfg.Safety.ColdCapacity
	elapsed := 1 - (s.coldUntil-g.now).Seconds()/g.cfg.Safety.ColdDuration.Seconds()
	return coldLoadFactor(g.cfg.Safety, chanceFactor) * (initial + (1-initial)*elapsed) * rate
}

func (g *Gateway) coldBudgetExhausted(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	s.coldBudget = min(1, s.coldBudget+g.coldServerRate(s)*(g.now-s.coldBudgetAt).Seconds())
	s.coldBudgetAt = g.now
	return s.coldBudget < 1
}

// currentWarmRate returns what this gateway sends a warm server, in typical requests a second. While none is warm, as
// after a power failure, it is the last known rate, and at least this gateway's even share of a server's capacity at
// one request at a time.
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

// ColdLoadFactor returns the multiple of its present capacity that a cold server may be sent.
func ColdLoadFactor(s Safety) float64 { return coldLoadFactor(s, 1) }

// coldLoadFactor is that multiple where chance may raise the load by chanceFactor.
func coldLoadFactor(s Safety, chanceFactor float64) float64 {
	return min(maxColdLoadFactor, coldMargin*s.OverloadFactor/chanceFactor)
}

// updateWarmServerRate tracks the rate to a warm server, for times in which none is warm.
func (g *Gateway) updateWarmServerRate() {
	if g.totals.warmServers > 0 {
		g.warmServerRate += (1 - math.Exp(-(g.now-g.warmServerRateAt).Seconds()/warmRateTimeConstant.Seconds())) *
			(g.totals.warmSendRate/g.totals.warmServers - g.warmServerRate)
	}
	g.warmServerRateAt = g.now
}

// WarmServerRate returns the recent rate to a warm server, in typical requests a second; 0: not known.
func (g *Gateway) WarmServerRate() float64 { return g.warmServerRate }
