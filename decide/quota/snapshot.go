package quota

import "math"

// Buckets can outlive the process: the caller regularly collects those that changed and saves them. After a start it passes
// back those it still trusts, which set the level of a customer not seen since and only ever raise that of another.

// BucketSnapshot records how full a customer's bucket was, as far as one gateway knew.
type BucketSnapshot struct {
	Key                        uint64  // the customer's key, of 36 bits
	Plan                       int     // index of its plan
	FirstGateway, GatewayCount int     // its gateways, as in a request; GatewayCount 0: unknown
	Fill                       float64 // share of the burst used by what all gateways admitted; 1 is full
}

// Restore applies what is known from before the start: the known customers' buckets, as full as they are now, and for how
// many seconds the buckets of all others have leaked since they were at InitialFill at most.
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

// markChanged marks a customer's bucket as changed since AppendChanged last took it.
func (t *Tracker) markChanged(c *Customer) {
	if t.cfg.TrackChanges && !c.inChanged && c.Plan.Rate > 0 {
		c.inChanged = true
		t.changed = append(t.changed, c)
	}
}

// AppendChanged takes up to limit changed buckets and appends them to list; the others wait for the next call. It appends
// nothing unless Config.TrackChanges is set. Where customers have coordinators, these alone know how full the buckets are, so
// other gateways drop theirs.
func (t *Tracker) AppendChanged(list []BucketSnapshot, limit int) []BucketSnapshot {
	n := min(limit, len(t.changed))
	for _, c := range t.changed[:n] {
		c.inChanged = false
		if !t.Mesh && !t.Isolated && !t.IsCoordinator(c.Key, t.Rank) {
			continue
		}
		t.Leak(c)
		fill := c.FleetLevel / max(c.Plan.Burst, minBurst)
		if t.Isolated { // what others admit is unknown: this gateway's share is the estimate
			fill = max(fill, min(1, c.Level/max(c.Share*c.Plan.Burst, minBurst)))
		}
		list = append(list, BucketSnapshot{Key: c.Key, Plan: c.PlanNo, FirstGateway: c.FirstGateway, GatewayCount: c.GatewayCount,
			Fill: fill})
	}
	t.changed = t.changed[:copy(t.changed, t.changed[n:])]
	return list
}
