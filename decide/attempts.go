package decide

import (
	"math"
	"time"
)

// This file decides on further attempts: when, how many, and none where a repeat could do harm.
const (
	overdueX   = 4.0                    // times its estimate: an attempt is overdue ...
	overdueMin = 150 * time.Millisecond // ... and this at least
	budgetPart = 0.15                   // further attempts a first attempt, by this much the retry budget grows ...
	budgetMost = 10.0                   // ... up to this many
	copyFrom   = 0.2                    // of the cap on open work, where second copies stop: before anything is shed
)

func (g *Gateway) send(r *request, s *server) {
	writeBy := repeatBy(r)
	a := &attempt{server: s, n: len(r.attempts), at: g.now, ran: true, work: g.work(r)}
	r.attempts = append(r.attempts, a)
	r.out++
	r.cust.Open++
	s.outAvg += 0.05 * (g.load(s) - s.outAvg)
	if s.down > 0 {
		g.leaveAlone(s) // until it is known how this one fares
	}
	if s.coldUntil > g.now {
		s.budget -= a.work
	}
	wait := max(overdueMin, time.Duration(overdueX*g.estimate(s, r)*float64(time.Second)))
	s.out++
	s.work += a.work
	g.all.open += a.work
	s.sends.Add(g.now, a.work)
	allow := max(r.until-g.now, time.Millisecond)
	if b := r.RetryPolicy; b != nil {
		if b.AttemptTimeout > 0 {
			allow = min(allow, b.AttemptTimeout)
		}
		if b.Hedge && b.HedgeDelay > 0 && b.HedgeDelay < allow {
			g.wake(r.ID, a.n, g.now+b.HedgeDelay, forCopy)
		}
	}
	g.do(SendAttempt{r.ID, s.ID, allow, writeBy})
	if wait < allow {
		g.wake(r.ID, a.n, g.now+wait, forOverdue)
	}
}

// overdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent.
func (g *Gateway) overdue(r *request, a *attempt) {
	s := a.server
	g.saw(s, r, g.now-a.at, true, true) // it may still come: no sign of a jam yet
	if s.lastGood > a.at {
		return
	}
	if b := r.RetryPolicy; b != nil {
		if b.Hedge && b.HedgeDelay == 0 {
			g.copy(r, a)
		}
		return // its own time limit ends the attempt
	}
	if r.finished || r.streaming || g.budget < 1 || r.class.Effect == Unsafe {
		return
	}
	if !g.cfg.Limits.ParallelAttempts {
		if g.cfg.Limits.Cancel {
			g.do(CancelAttempt{r.ID, a.n}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.again(r, s, false)
}

// copy sends a second copy within a request's bounds. Copies are the first to stop where the servers are
// full, and none goes out that has too little time to win.
func (g *Gateway) copy(r *request, a *attempt) {
	b := r.RetryPolicy
	if r.finished || r.streaming || r.class.Effect == Unsafe || r.waiting != nil || r.out != 1 {
		return
	}
	if r.until-g.now >= b.HedgeMinTimeLeft && g.pressed() <= copyFrom && g.again(r, a.server, false) {
		g.saw(a.server, r, g.now-a.at, true, true) // else a slow one would hide behind its copies
	}
}

// again sends a further attempt if the rules, the budget and the time left allow one, at once or after the
// wait that the request's bounds ask for. What waits has its place in the budget, so it waits for an attempt.
// The module's own budget keeps repeats from feeding a jam: one that no server heard of is not in it.
func (g *Gateway) again(r *request, last *server, unheard bool) bool {
	b, most, wait := r.RetryPolicy, g.cfg.Limits.MaxAttempts, time.Duration(0)
	if b != nil {
		if b.MaxAttempts > 0 {
			most = min(most, b.MaxAttempts)
		}
		if r.out == 0 {
			wait = g.waitFor(r)
		}
	}
	own := (b == nil || b.Budget == nil) && !unheard
	if (own && g.budget < 1) || len(r.attempts) >= most || (r.out > 0 && !g.cfg.Limits.ParallelAttempts) {
		return false
	}
	s, cost := g.choose(r, last)
	if s == nil || cost > (r.until-g.now-wait).Seconds() || (r.out > 0 && s == last) {
		return false
	}
	if own {
		g.budget--
	} else if b != nil && b.Budget != nil && !b.Budget.TakeRetry(g.now, &s.Server) {
		return false
	}
	if wait > 0 {
		r.waiting = s
		g.wake(r.ID, len(r.attempts), g.now+wait, forAgain)
		return true
	}
	g.send(r, s)
	return true
}

// waitFor is how long a request waits before its next attempt.
func (g *Gateway) waitFor(r *request) time.Duration {
	b := r.RetryPolicy
	wait := float64(b.InitialBackoff) * math.Pow(max(1, b.BackoffFactor), float64(len(r.attempts)-1))
	if b.MaxBackoff > 0 {
		wait = min(wait, float64(b.MaxBackoff))
	}
	return time.Duration(wait * (1 + b.Jitter*(2*g.rng.Float64()-1)))
}

// waited ends a wait. The server that was chosen may be cold or drained by now; then another may do that the
// rules allow.
func (g *Gateway) waited(r *request) {
	if r == nil || r.finished || r.waiting == nil {
		return
	}
	s, b := r.waiting, r.RetryPolicy
	r.waiting = nil
	if g.servers[s.ID] != s || !g.usable(s, r) {
		if s, _ = g.choose(r, nil); s != nil && b.Budget != nil && !b.Budget.TakeRetry(g.now, &s.Server) {
			s = nil
		}
	}
	if s == nil || g.now >= r.until {
		g.giveUp(r)
		return
	}
	g.send(r, s)
}

func (g *Gateway) ended(e AttemptEnded) {
	r, a := g.requests[e.ID], g.attempt(e.ID, e.Attempt)
	if a == nil || a.over {
		return
	}
	a.over = true
	a.ran = !e.Outcome.neverRan()
	r.out--
	a.server.out--
	r.cust.Open--
	if r.cust.Plan.MaxOpen > 0 {
		g.quota.QueueUpdate(r.cust)
	}
	g.judge(r, a, e)
	if e.ActualUnits > 0 && g.cfg.SettledLater {
		g.quota.Charge(r.cust, e.ActualUnits-r.units)
		r.more += e.ActualUnits - r.units
		r.units = e.ActualUnits
	}
	if e.MeteredPercentPlusOne > 0 {
		g.quota.RecordMetered(r.cust, e.MeteredPercentPlusOne)
	}
	if e.RequestDone {
		g.finish(r)
	}
	if r.finished {
		g.forget(r)
		return
	}
	if e.Outcome == NotSent && len(r.attempts) == 1 {
		g.quota.Charge(r.cust, -r.units) // nothing was sent, so the quota took nothing
		switch {
		case g.quota.Mesh || r.granted == g.quota.Rank:
			r.cust.CeilingTokens += r.units
		case r.granted < 0:
			r.cust.FallbackTokens += r.units
		}
		r.more = -r.units
	}
	worth := e.Outcome != NotSent && (r.RetryPolicy == nil || r.RetryPolicy.RetryOn.Has(e.Outcome))
	if r.out > 0 || r.waiting != nil || (worth && g.again(r, a.server, e.Outcome == NoConnection)) {
		return
	}
	g.giveUp(r)
}
