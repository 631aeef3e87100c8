package quota

import (
	"math"
	"time"
)

// Allowance is what a customer's bucket at this gateway has room for, told in whole units of the customer's own quota.
type Allowance struct {
	Remaining int           // that one request could take now
	Limit     int           // that the bucket takes when it is empty: the plan's burst
	ResetIn   time.Duration // until it is empty again, if nothing is sent on
	Window    time.Duration // in which an empty one's worth leaks
}

// Allowance reads a customer's bucket. It changes nothing. It reports false for a plan without a rate; a customer that is not
// known here is told the bucket of one that was not seen for long.
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
