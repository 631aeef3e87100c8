package quota

import (
	"math"
	"time"
)

// Allowance is what a customer's bucket at this gateway has room for, in whole units of the quota over all gateways.
type Allowance struct {
	Remaining int           // units that one request could use now
	Limit     int           // units that an empty bucket has room for: the plan's burst
	ResetIn   time.Duration // time until the bucket is empty, if nothing else is admitted
	Window    time.Duration // time in which a full bucket empties
}

// Allowance returns what a customer's bucket has room for, and changes nothing. It returns false for a plan without a rate. An
// unknown customer's bucket counts as empty, like that of one not seen for long.
func (t *Tracker) Allowance(now time.Duration, key uint64, planNo int) (Allowance, bool) {
	p := &t.cfg.Plans[planNo]
	if p.Rate <= 0 {
		return Allowance{}, false
	}
	a := Allowance{Limit: int(p.Burst), Remaining: int(p.Burst), Window: seconds(p.Burst / p.Rate)}
	c := t.customers[key]
	if c == nil || c.Share <= 0 {
		return a, true
	}
	level := max(0, c.Level-c.Share*p.Rate*(now-c.updatedAt).Seconds())
	a.Remaining = int(max(0, math.Floor(p.Burst-level/c.Share)))
	a.ResetIn = seconds(level / (c.Share * p.Rate))
	return a, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
