package decide

import (
	"math"
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file decides whether a request is admitted: by its customer's quota and by the load of the servers.
const (
	openTimeShare      = 0.7  // share of the shortest latency target that open work should take to be answered
	minOpenPerServer   = 8.0  // open attempts per server, of all gateways, that count as chance and not as load
	referenceTimeShare = 0.2  // share of the shortest target at which minOpenPerServer holds as it is ...
	maxOpenFactor      = 4.0  // ... and highest factor on it where typical requests take less
	freeOpenWork       = 4.0  // open work that is not counted where answers are sparse: a single attempt says nothing
	minShedLoad        = 0.25 // load ratio from which the requests of the lowest worth are shed
	maxTimeShare       = 0.8  // share of the time left: a request with a higher estimate has no chance
)

func (g *Gateway) handleRequest(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planIndex, ok := g.classes[e.Class], 0, false
	if planIndex, ok = g.planIndex[e.Plan]; k == nil || !ok {
		g.emit(Refuse{ID: e.ID})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), expires: e.Deadline}
	if k.LateWorthFraction == 0 && !k.Stream && k.LatencyTargetStretch == 0 {
		r.expires = min(e.Deadline, g.now+max(0, k.LatencyTarget-targetMargin))
	}
	if b := e.RetryPolicy; b != nil && b.TotalTimeout > 0 {
		r.expires = min(r.expires, g.now+b.TotalTimeout)
	}
	key := peermsg.Key(e.Customer)
	if !g.quota.MakeRoom(key) {
		g.refuse(e.ID, g.cfg.Limits.MaxRetryAfter, false)
		return
	}
	c := g.quota.Customer(key, planIndex)
	g.quota.SetGateways(c, e.FirstGateway, e.GatewayCount)
	r.customer, r.grantedBy = c, -1
	g.requests[e.ID] = r
	switch {
	case g.quota.Mesh:
		g.finishAdmission(r, g.admitLocally(c, r))
	case c.RefuseUntil > g.now: // the coordinator would refuse it
		c.Demand.Add(g.now, r.units)
		g.quota.RecordDecision(c, false)
		g.finishAdmission(r, false)
	case g.shouldShed(r):
		c.Demand.Add(g.now, r.units)
		r.shedByLoad = true
		g.finishAdmission(r, false)
	default:
		c.Demand.Add(g.now, r.units)
		g.lastRequestNo = g.lastRequestNo%4095 + 1
		r.requestNo = g.lastRequestNo
		g.requestGrant(r)
	}
}

// finishAdmission ends the admission of a request: it is sent if the quota and the servers have room, and refused
// otherwise.
func (g *Gateway) finishAdmission(r *request, quotaHasRoom bool) {
	s, cost := (*server)(nil), 0.0
	if quotaHasRoom {
		s, cost = g.chooseServer(r, nil)
	}
	if s == nil || cost > maxTimeShare*(r.expires-g.now).Seconds() || (g.quota.Mesh && g.shouldShed(r)) {
		r.extraUnits = -r.units
		wait := defaultRetryAfter
		if !quotaHasRoom {
			wait = g.timeUntilRoom(r.customer, r.units)
		}
		g.refuse(r.ID, wait, !quotaHasRoom && !r.shedByLoad)
		g.finish(r)
		return
	}
	if g.quota.Mesh {
		r.customer.CeilingTokens -= r.units // otherwise the coordinator or admitWithoutCoordinator has taken them
	}
	g.quota.Charge(r.customer, r.units)
	if b := r.RetryPolicy; b != nil && b.Budget != nil {
		b.Budget.RecordFirstAttempt(g.now, &s.Server)
	} else {
		g.retryBudget = min(maxRetryBudget, g.retryBudget+retryBudgetShare)
	}
	g.sendAttempt(r, s)
}

// loadRatio is the open work in relation to its cap. By Little's law, open work is the rate of answers times their
// time. A cap at the actual rate times the time that answers should take bounds the wait whatever the servers can do,
// and closes when they get stuck. A few attempts may always be open, to detect that an overload is over.
func (g *Gateway) loadRatio() float64 {
	n := g.totals.servers
	observed := 1 - math.Exp(-max(g.now-g.started, time.Second/4).Seconds()/quota.RateTimeConstant.Seconds())
	capacity := g.answeredWork.Get(g.now) / observed * openTimeShare * g.minTarget
	minCapacity := minOpenPerServer * min(maxOpenFactor, max(1, referenceTimeShare*g.minTarget/max(g.meanTime, 1e-6)))
	return max(0, g.totals.openWork-freeOpenWork*g.sparseness()) / max(capacity, minCapacity*n/float64(g.cfg.Gateways))
}

// shouldShed reports whether the servers are too loaded for what the request is worth.
func (g *Gateway) shouldShed(r *request) bool {
	value := r.class.Worth * r.customer.Plan.Price * r.units / r.class.expectedTime(r.units)
	g.meanValue += 0.01 * (value - g.meanValue)
	threshold := minShedLoad + (1-minShedLoad)*min(1, value/max(g.meanValue, 1e-9))
	return g.loadRatio() > threshold || g.rng.Float64() > math.Pow(g.admitShare, g.sparseness()*g.sparseness()*(1+1/threshold)/2)
}

func (g *Gateway) refuse(id string, wait time.Duration, overQuota bool) {
	a := Refuse{ID: id, OverQuota: overQuota}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, wait)
	}
	g.emit(a)
}
