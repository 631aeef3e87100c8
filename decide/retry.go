package decide

import (
	"math"
	"time"
)

// This file decides on further attempts: when, how many, and none where a repeat could do harm.
const (
	overdueFactor    = 4.0                    // times its estimate: an attempt is overdue ...
	minOverdueTime   = 150 * time.Millisecond // ... and this at least
	retryBudgetShare = 0.15                   // further attempts a first attempt, by this much the retry budget grows ...
	maxRetryBudget   = 10.0                   // ... up to this many
	maxHedgeLoad     = 0.2                    // of the cap on open work, where second copies stop: before anything is shed
)

func (g *Gateway) sendAttempt(r *request, s *server) {
	writeBy := repeatDeadline(r)
	a := &attempt{server: s, index: len(r.attempts), sentAt: g.now, mayHaveRun: true, work: g.requestWork(r)}
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	r.customer.Open++
	s.meanLoad += 0.05 * (g.currentLoad(s) - s.meanLoad)
	if s.connectFailures > 0 {
		g.avoid(s) // until it is known how this one fares
	}
	if s.coldUntil > g.now {
		s.coldBudget -= a.work
	}
	overdueAfter := max(minOverdueTime, time.Duration(overdueFactor*g.estimatedTime(s, r)*float64(time.Second)))
	s.openAttempts++
	s.openWork += a.work
	g.totals.openWork += a.work
	s.sendRate.Add(g.now, a.work)
	timeout := max(r.expires-g.now, time.Millisecond)
	if b := r.RetryPolicy; b != nil {
		if b.AttemptTimeout > 0 {
			timeout = min(timeout, b.AttemptTimeout)
		}
		if b.Hedge && b.HedgeDelay > 0 && b.HedgeDelay < timeout {
			g.setTimer(r.ID, a.index, g.now+b.HedgeDelay, timerHedge)
		}
	}
	g.emit(SendAttempt{r.ID, s.ID, timeout, writeBy})
	if overdueAfter < timeout {
		g.setTimer(r.ID, a.index, g.now+overdueAfter, timerOverdue)
	}
}

// handleOverdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent.
func (g *Gateway) handleOverdue(r *request, a *attempt) {
	s := a.server
	g.recordOwnSample(s, r, g.now-a.sentAt, true, true) // it may still come: no sign of a jam yet
	if s.lastAnswer > a.sentAt {
		return
	}
	if b := r.RetryPolicy; b != nil {
		if b.Hedge && b.HedgeDelay == 0 {
			g.hedge(r, a)
		}
		return // its own time limit ends the attempt
	}
	if r.finished || r.streaming || g.retryBudget < 1 || r.class.Effect == Unsafe {
		return
	}
	if !g.cfg.Limits.ParallelAttempts {
		if g.cfg.Limits.Cancel {
			g.emit(CancelAttempt{r.ID, a.index}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.retry(r, s, false)
}

// hedge sends a second hedge within a request's bounds. Copies are the first to stop where the servers are
// full, and none goes out that has too little time to win.
func (g *Gateway) hedge(r *request, a *attempt) {
	b := r.RetryPolicy
	if r.finished || r.streaming || r.class.Effect == Unsafe || r.retryServer != nil || r.openAttempts != 1 {
		return
	}
	if r.expires-g.now >= b.HedgeMinTimeLeft && g.loadRatio() <= maxHedgeLoad && g.retry(r, a.server, false) {
		g.recordOwnSample(a.server, r, g.now-a.sentAt, true, true) // else a slow one would hide behind its copies
	}
}

// retry sends a further attempt if the rules, the budget and the time left allow one, at once or after the
// wait that the request's bounds ask for. What waits has its place in the budget, so it waits for an attempt.
// The module's own budget keeps repeats from feeding a jam: one that no server heard of is not in it.
func (g *Gateway) retry(r *request, last *server, notDelivered bool) bool {
	b, maxAttempts, wait := r.RetryPolicy, g.cfg.Limits.MaxAttempts, time.Duration(0)
	if b != nil {
		if b.MaxAttempts > 0 {
			maxAttempts = min(maxAttempts, b.MaxAttempts)
		}
		if r.openAttempts == 0 {
			wait = g.backoff(r)
		}
	}
	ownBudget := (b == nil || b.Budget == nil) && !notDelivered
	if (ownBudget && g.retryBudget < 1) || len(r.attempts) >= maxAttempts || (r.openAttempts > 0 && !g.cfg.Limits.ParallelAttempts) {
		return false
	}
	s, cost := g.chooseServer(r, last)
	if s == nil || cost > (r.expires-g.now-wait).Seconds() || (r.openAttempts > 0 && s == last) {
		return false
	}
	if ownBudget {
		g.retryBudget--
	} else if b != nil && b.Budget != nil && !b.Budget.TakeRetry(g.now, &s.Server) {
		return false
	}
	if wait > 0 {
		r.retryServer = s
		g.setTimer(r.ID, len(r.attempts), g.now+wait, timerRetry)
		return true
	}
	g.sendAttempt(r, s)
	return true
}

// backoff is how long a request waits before its next attempt.
func (g *Gateway) backoff(r *request) time.Duration {
	b := r.RetryPolicy
	wait := float64(b.InitialBackoff) * math.Pow(max(1, b.BackoffFactor), float64(len(r.attempts)-1))
	if b.MaxBackoff > 0 {
		wait = min(wait, float64(b.MaxBackoff))
	}
	return time.Duration(wait * (1 + b.Jitter*(2*g.rng.Float64()-1)))
}

// retryAfterBackoff ends a wait. The server that was chosen may be cold or drained by now; then another may do that the
// rules allow.
func (g *Gateway) retryAfterBackoff(r *request) {
	if r == nil || r.finished || r.retryServer == nil {
		return
	}
	s, b := r.retryServer, r.RetryPolicy
	r.retryServer = nil
	if g.servers[s.ID] != s || !g.usable(s, r) {
		if s, _ = g.chooseServer(r, nil); s != nil && b.Budget != nil && !b.Budget.TakeRetry(g.now, &s.Server) {
			s = nil
		}
	}
	if s == nil || g.now >= r.expires {
		g.giveUp(r)
		return
	}
	g.sendAttempt(r, s)
}

func (g *Gateway) handleAttemptEnded(e AttemptEnded) {
	r, a := g.requests[e.ID], g.findAttempt(e.ID, e.Attempt)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.mayHaveRun = !e.Outcome.neverRan()
	r.openAttempts--
	a.server.openAttempts--
	r.customer.Open--
	if r.customer.Plan.MaxOpen > 0 {
		g.quota.QueueUpdate(r.customer)
	}
	g.recordOutcome(r, a, e)
	if e.ActualUnits > 0 && g.cfg.SettledLater {
		g.quota.Charge(r.customer, e.ActualUnits-r.units)
		r.extraUnits += e.ActualUnits - r.units
		r.units = e.ActualUnits
	}
	if e.MeteredPercentPlusOne > 0 {
		g.quota.RecordMetered(r.customer, e.MeteredPercentPlusOne)
	}
	if e.RequestDone {
		g.finish(r)
	}
	if r.finished {
		g.forgetRequest(r)
		return
	}
	if e.Outcome == NotSent && len(r.attempts) == 1 {
		g.quota.Charge(r.customer, -r.units) // nothing was sent, so the quota took nothing
		switch {
		case g.quota.Mesh || r.grantedBy == g.quota.Rank:
			r.customer.CeilingTokens += r.units
		case r.grantedBy < 0:
			r.customer.FallbackTokens += r.units
		}
		r.extraUnits = -r.units
	}
	mayRetry := e.Outcome != NotSent && (r.RetryPolicy == nil || r.RetryPolicy.RetryOn.Has(e.Outcome))
	if r.openAttempts > 0 || r.retryServer != nil || (mayRetry && g.retry(r, a.server, e.Outcome == NoConnection)) {
		return
	}
	g.giveUp(r)
}
