package decide

import (
	"math"
	"time"
)

// What of a gateway's knowledge may outlive its process. The caller takes what changed from time to time and keeps it; after a
// start it hands back what it still believes, which counts as far as it is the worse for the customer.

// Memory is how full a customer's bucket was, as far as one gateway knew.
type Memory struct {
	Key           uint64  // the customer's short name: 36 bits
	Plan          int     // number of its plan
	First, Spread int     // of its gateways, as in Request; Spread 0: not told
	Fill          float64 // of the burst, by what all gateways together let in: 1 is full
}

// Recall is what is believed of the time before the start. What is known already is only raised by it.
type Recall struct {
	Known []Memory // as full as they are now
	// Leaked is for how many seconds the buckets of all others have leaked since they may have been half full.
	Leaked float64
	Sends  float64 // usual requests a second that this gateway sent a warm server; 0: not known
}

const (
	fillMost    = 4.0              // bursts: true units may fill a bucket beyond its mark, but not this far
	sendsMemory = 10 * time.Second // of what is sent to a warm server: some answers of each
	tiny        = 1e-9             // units: no bucket is so small
	tookLeast   = 1e-3             // seconds that a usual request takes at least, where no warm server is known
)

// recall takes what is believed.
func (g *Gateway) recall(e Recall) {
	g.leaked, g.before = max(0, e.Leaked), max(g.before, e.Sends)
	for _, m := range e.Known {
		if m.Plan < 0 || m.Plan >= len(g.cfg.Plans) || math.IsNaN(m.Fill) {
			continue
		}
		_, known := g.customers[m.Key]
		c := g.customer(m.Key, m.Plan)
		if m.Spread > 0 && m.Spread <= g.cfg.Gateways && !known {
			c.spread, c.first = m.Spread, m.First%g.cfg.Gateways
			c.part = 1 / float64(c.spread)
		}
		if !known {
			c.level, c.whole = 0, 0
		}
		g.leak(c)
		full := min(max(m.Fill, 0), fillMost) * c.plan.Burst
		c.whole, c.level = max(c.whole, full), max(c.level, c.part*full)
		c.recalled = true
		g.noted(c)
	}
}

// startFill is how many units of a customer's burst count as used when nothing is known of it.
func (g *Gateway) startFill(p *Plan) float64 { return max(0, startLevel*p.Burst-g.leaked*p.Rate) }

// noted marks that a customer's bucket is not as it was last taken.
func (g *Gateway) noted(c *customer) {
	if g.cfg.Remember && !c.noted && c.plan.Rate > 0 {
		c.noted = true
		g.changed = append(g.changed, c)
	}
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

// ColdTimes is how many times what it can do a cold server may be sent.
func ColdTimes(s Safety) float64 { return coldTimes(s, 1) }

// coldTimes is that where chance may make it so many times as much.
func coldTimes(s Safety, chance float64) float64 {
	return min(coldMost, coldMargin*s.FallMultiple/chance)
}

// keepSends follows what a warm server is sent, for a time when none is.
func (g *Gateway) keepSends() {
	if g.all.warm > 0 {
		g.before += (1 - math.Exp(-(g.now-g.beforeAt).Seconds()/sendsMemory.Seconds())) * (g.all.sends/g.all.warm - g.before)
	}
	g.beforeAt = g.now
}

// Sends is what this gateway sends a warm server of late, in usual requests a second; 0: not known.
func (g *Gateway) Sends() float64 { return g.before }

// Changed appends to a list what changed since it was last taken, so many customers at most; the others wait for the next call.
// There is nothing unless Config.Remember is set. Where customers have homes, their homes alone know how full they are.
func (g *Gateway) Changed(list []Memory, most int) []Memory {
	n := min(most, len(g.changed))
	for _, c := range g.changed[:n] {
		c.noted = false
		if !g.mesh && !g.alone && g.home(c.key, 0) != g.cfg.Rank && g.home(c.key, 1) != g.cfg.Rank {
			continue
		}
		g.leak(c)
		fill := c.whole / max(c.plan.Burst, tiny)
		if g.alone { // what others let in is not known: its own part tells
			fill = max(fill, min(1, c.level/max(c.part*c.plan.Burst, tiny)))
		}
		list = append(list, Memory{Key: c.key, Plan: c.planNo, First: c.first, Spread: c.spread, Fill: fill})
	}
	g.changed = g.changed[:copy(g.changed, g.changed[n:])]
	return list
}
