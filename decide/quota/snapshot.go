package quota

import "math"

// What of a gateway's knowledge may outlive its process. The caller takes what changed from time to time and keeps it; after a
// start it hands back what it still believes, which counts as far as it is the worse for the customer.

// BucketSnapshot is how full a customer's bucket was, as far as one gateway knew.
type BucketSnapshot struct {
	Key                        uint64  // the customer's short name: 36 bits
	Plan                       int     // number of its plan
	FirstGateway, GatewayCount int     // of its gateways, as in a request; Spread 0: not told
	Fill                       float64 // of the burst, by what all gateways together let in: 1 is full
}

// Restore takes what is believed of the time before the start: of those known, as full as they are now; the buckets of all
// others have leaked for so many seconds since they may have been half full.
func (t *Tracker) Restore(known []BucketSnapshot, leakedSeconds float64) {
	t.leakedSeconds = max(0, leakedSeconds)
	for _, snapshot := range known {
		if snapshot.Plan < 0 || snapshot.Plan >= len(t.cfg.Plans) || math.IsNaN(snapshot.Fill) {
			continue
		}
		_, exists := t.customers[snapshot.Key]
		c := t.Customer(snapshot.Key, snapshot.Plan)
		if snapshot.GatewayCount > 0 && snapshot.GatewayCount <= t.cfg.Gateways && !exists {
			c.GatewayCount, c.FirstGateway = snapshot.GatewayCount, snapshot.FirstGateway%t.cfg.Gateways
			c.Share = 1 / float64(c.GatewayCount)
		}
		if !exists {
			c.Level, c.FleetLevel = 0, 0
		}
		t.Leak(c)
		level := min(max(snapshot.Fill, 0), maxFill) * c.Plan.Burst
		c.FleetLevel, c.Level = max(c.FleetLevel, level), max(c.Level, c.Share*level)
		c.restored = true
		t.markChanged(c)
	}
}

// markChanged marks that a customer's bucket is not as it was last taken.
func (t *Tracker) markChanged(c *Customer) {
	if t.cfg.TrackChanges && !c.inChanged && c.Plan.Rate > 0 {
		c.inChanged = true
		t.changed = append(t.changed, c)
	}
}

// AppendChanged appends to a list what changed since it was last taken, so many customers at most; the others wait for the next call.
// There is nothing unless Config.Remember is set. Where customers have homes, their homes alone know how full they are.
func (t *Tracker) AppendChanged(list []BucketSnapshot, limit int) []BucketSnapshot {
	n := min(limit, len(t.changed))
	for _, c := range t.changed[:n] {
		c.inChanged = false
		if !t.Mesh && !t.Isolated && !t.IsCoordinator(c.Key, t.Rank) {
			continue
		}
		t.Leak(c)
		fill := c.FleetLevel / max(c.Plan.Burst, minBurst)
		if t.Isolated { // what others let in is not known: its own part tells
			fill = max(fill, min(1, c.Level/max(c.Share*c.Plan.Burst, minBurst)))
		}
		list = append(list, BucketSnapshot{Key: c.Key, Plan: c.PlanNo, FirstGateway: c.FirstGateway, GatewayCount: c.GatewayCount, Fill: fill})
	}
	t.changed = t.changed[:copy(t.changed, t.changed[n:])]
	return list
}
