package decide

import (
	"math"
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file decides whether a request is let in: by its quota, and by how pressed the servers are.
const (
	waitPart  = 0.7  // work that nobody waits for counts as load for so long
	openLeast = 8.0  // attempts out a server, of all gateways, that press nobody: chance
	openPart  = 0.2  // of the shortest aim: if a usual request takes that, openLeast is as it stands ...
	openMost  = 4.0  // ... and so many times as much at most, where it takes less
	openFree  = 4.0  // attempts out that press nobody where evidence is thin: one alone says nothing
	shedFrom  = 0.25 // of the cap on open work, where the least worth work is shed
	shedTo    = 0.8  // of the time left: an estimate over it is hopeless
)

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.plans[e.Plan]; k == nil || !ok {
		g.do(Refuse{ID: e.ID})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), until: e.Deadline}
	if k.LateWorthFraction == 0 && !k.Stream && k.LatencyTargetStretch == 0 {
		r.until = min(e.Deadline, g.now+max(0, k.LatencyTarget-aimMargin))
	}
	if b := e.RetryPolicy; b != nil && b.TotalTimeout > 0 {
		r.until = min(r.until, g.now+b.TotalTimeout)
	}
	c := g.quota.Customer(peermsg.Key(e.Customer), planNo)
	g.quota.SetGateways(c, e.FirstGateway, e.GatewayCount)
	r.cust, r.granted = c, -1
	g.requests[e.ID] = r
	switch {
	case g.quota.Mesh:
		g.decide(r, g.admit(c, r))
	case c.RefuseUntil > g.now: // a home is not asked in vain
		c.Demand.Add(g.now, r.units)
		g.quota.RecordDecision(c, false)
		g.decide(r, false)
	case g.shed(r):
		c.Demand.Add(g.now, r.units)
		r.shed = true
		g.decide(r, false)
	default:
		c.Demand.Add(g.now, r.units)
		g.askNo = g.askNo%4095 + 1
		r.no = g.askNo
		g.ask(r)
	}
}

// decide ends the wait of a request: it is sent on if the quota has room and the servers have.
func (g *Gateway) decide(r *request, room bool) {
	s, cost := (*server)(nil), 0.0
	if room {
		s, cost = g.choose(r, nil)
	}
	if s == nil || cost > shedTo*(r.until-g.now).Seconds() || (g.quota.Mesh && g.shed(r)) {
		r.more = -r.units
		wait := retryAdvice
		if !room {
			wait = g.roomIn(r.cust, r.units)
		}
		g.refuse(r.ID, wait, !room && !r.shed)
		g.finish(r)
		return
	}
	if g.quota.Mesh {
		r.cust.CeilingTokens -= r.units // else the home or roomAlone has taken them
	}
	g.quota.Charge(r.cust, r.units)
	if b := r.RetryPolicy; b != nil && b.Budget != nil {
		b.Budget.RecordFirstAttempt(g.now, &s.Server)
	} else {
		g.budget = min(budgetMost, g.budget+budgetPart)
	}
	g.send(r, s)
}

// pressed is the open work over its cap. By Little's law open work is the answers a second times their time,
// so a cap at the answers that do come times the time they should take holds the wait down whatever the
// servers can do, and closes when they jam. A few may always be out, to find out that a jam is over.
func (g *Gateway) pressed() float64 {
	n := g.all.serving
	seen := 1 - math.Exp(-max(g.now-g.started, time.Second/4).Seconds()/quota.RateTimeConstant.Seconds())
	mine := g.done.Get(g.now) / seen * waitPart * g.quickest
	least := openLeast * min(openMost, max(1, openPart*g.quickest/max(g.usual, 1e-6)))
	return max(0, g.all.open-openFree*g.thin()) / max(mine, least*n/float64(g.cfg.Gateways))
}

// shed decides whether the wait is too long for what the request is worth.
func (g *Gateway) shed(r *request) bool {
	value := r.class.Worth * r.cust.Plan.Price * r.units / r.class.usual(r.units)
	g.value += 0.01 * (value - g.value)
	f := shedFrom + (1-shedFrom)*min(1, value/max(g.value, 1e-9))
	return g.pressed() > f || g.rng.Float64() > math.Pow(g.flow, g.thin()*g.thin()*(1+1/f)/2)
}

func (g *Gateway) refuse(id string, wait time.Duration, quota bool) {
	a := Refuse{ID: id, OverQuota: quota}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, wait)
	}
	g.do(a)
}
