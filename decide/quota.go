package decide

import (
	"math"
	"time"
)

// Room is what a customer's bucket at this gateway has room for, told in whole units of the customer's own quota.
type Room struct {
	Units   int           // that one request could take now
	Most    int           // that the bucket takes when it is empty: the plan's burst
	Full    time.Duration // until it is empty again, if nothing is sent on
	Refills time.Duration // in which an empty one's worth leaks
}

// RoomOf reads a customer's bucket. It changes nothing. It reports false for a plan without a rate; a customer that is not
// known here is told the bucket of one that was not seen for long.
func (g *Gateway) RoomOf(now time.Duration, customer, plan string) (Room, bool) {
	no, ok := g.plans[plan]
	if !ok || g.cfg.Plans[no].Rate <= 0 {
		return Room{}, false
	}
	p := &g.cfg.Plans[no]
	r := Room{Most: int(p.Burst), Units: int(p.Burst), Refills: seconds(p.Burst / p.Rate)}
	c := g.customers[shortKey(customer)]
	if c == nil || c.part <= 0 {
		return r, true
	}
	level := max(0, c.level-c.part*p.Rate*(now-c.at).Seconds())
	r.Units = int(max(0, math.Floor(p.Burst-level/c.part)))
	r.Full = seconds(level / (c.part * p.Rate))
	return r, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
