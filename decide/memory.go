package decide

import "math"

// What of a gateway's knowledge may outlive its process. The caller takes what changed from time to time and keeps it; after a
// start it hands back what it still believes, which counts as far as it is the worse for the customer.

// Memory is how full a customer's bucket was, as far as one gateway knew.
type Memory struct {
	Key           uint64  // the customer's short name: 36 bits
	Plan          int     // number of its plan
	First, Spread int     // of its gateways, as in Request; Spread 0: not told
	Fill          float64 // of the burst, by this gateway's own bucket or by that of all, whichever is fuller: 1 is full
}

// Recall is what is believed of the time before the start. What is known already is only raised by it.
type Recall struct {
	Known []Memory // as full as they are now
	// Leaked is for how many seconds the buckets of all others have leaked since they may have been half full.
	Leaked float64
}

const fillMost = 4.0 // bursts: true units may fill a bucket beyond its mark, but not this far

// recall takes what is believed.
func (g *Gateway) recall(e Recall) {
	g.leaked = max(0, e.Leaked)
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

// Changed appends to a list what changed since it was last taken, so many customers at most; the others wait for the next call.
// There is nothing unless Config.Remember is set.
func (g *Gateway) Changed(list []Memory, most int) []Memory {
	n := min(most, len(g.changed))
	for _, c := range g.changed[:n] {
		c.noted = false
		g.leak(c)
		burst := max(c.plan.Burst, 1e-9)
		own := min(1, c.level/(max(c.part, 1e-9)*burst)) // over 1 where the part has become smaller: that says nothing of all
		list = append(list, Memory{Key: c.key, Plan: c.planNo, First: c.first, Spread: c.spread, Fill: max(c.whole/burst, own)})
	}
	g.changed = g.changed[:copy(g.changed, g.changed[n:])]
	return list
}
