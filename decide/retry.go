package decide

import (
	"math"
	"time"
)

// This file decides on retries and hedged attempts: when, how many, and none where running twice could do harm.
const (
	overdueFactor    = 4.0                    // an attempt is overdue after this many times its estimated time ...
	minOverdueTime   = 150 * time.Millisecond // ... and no earlier than this
	retryBudgetShare = 0.15                   // retries that each first attempt adds to the retry budget ...
	maxRetryBudget   = 10.0                   // ... up to this many
	maxHedgeLoad     = 0.2                    // load ratio above which hedging stops: before any request is shed
)

func (g *Gateway) sendAttempt(r *request, s *server) {
	writeDeadline := repeatDeadline(r)
	a := &attempt{server: s, index: len(r.attempts), sentAt: g.now, mayHaveRun: true, work: g.requestWork(r)}
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	r.customer.Open++
	s.meanLoad += 0.05 * (g.currentLoad(s) - s.meanLoad)
	if s.connectFailures > 0 {
		g.avoid(s) // until the outcome of this attempt is known
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
	g.emit(SendAttempt{r.ID, s.ID, timeout, writeDeadline})
	if overdueAfter < timeout {
		g.setTimer(r.ID, a.index, g.now+overdueAfter, timerOverdue)
	}
}

// handleOverdue handles an attempt that should have been answered. If the server has answered others since, the
// request is merely expensive; otherwise the server may be unresponsive.
func (g *Gateway) handleOverdue(r *request, a *attempt) {
	s := a.server
	g.recordOwnSample(s, r, g.now-a.sentAt, true, true) // the answer may still come: no sign of overload yet
	if s.lastAnswer > a.sentAt {
		return
	}
	if b := r.RetryPolicy; b != nil {
		if b.Hedge && b.HedgeDelay == 0 {
			g.hedge(r, a)
		}
		return // the policy's time-out ends the attempt
	}
	if r.finished || r.streaming || g.retryBudget < 1 || r.class.Effect == Unsafe {
		return
	}
	if !g.cfg.Limits.ParallelAttempts {
		if g.cfg.Limits.Cancel {
			g.emit(CancelAttempt{r.ID, a.index}) // the attempt's end, as Cancelled, causes the retry
		}
		return
	}
	g.retry(r, s, false)
}

// hedge sends a hedged attempt if the request's policy allows one. Hedging is the first thing to stop as servers fill
// up, and no attempt is sent that has too little time left to win.
func (g *Gateway) hedge(r *request, a *attempt) {
	b := r.RetryPolicy
	if r.finished || r.streaming || r.class.Effect == Unsafe || r.retryServer != nil || r.openAttempts != 1 {
		return
	}
	if r.expires-g.now >= b.HedgeMinTimeLeft && g.loadRatio() <= maxHedgeLoad && g.retry(r, a.server, false) {
		g.recordOwnSample(a.server, r, g.now-a.sentAt, true, true) // otherwise hedging would hide a slow server
	}
}

// retry sends a further attempt if the rules, the budget and the time left allow one, at once or after the backoff of
// the request's policy. A retry is taken from the budget before its backoff begins. The module's own budget keeps
// retries from feeding an overload; an attempt that reached no server is not charged to it.
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

// backoff returns how long a request waits before its next attempt.
func (g *Gateway) backoff(r *request) time.Duration {
	b := r.RetryPolicy
	wait := float64(b.InitialBackoff) * math.Pow(max(1, b.BackoffFactor), float64(len(r.attempts)-1))
	if b.MaxBackoff > 0 {
		wait = min(wait, float64(b.MaxBackoff))
	}
	return time.Duration(wait * (1 + b.Jitter*(2*g.rng.Float64()-1)))
}

// retryAfterBackoff sends the retry whose backoff has ended. If its server has become cold or draining, another one
// that the rules allow takes its place.
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
	a.mayHaveRun = !e.Outcome.NeverRan()
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
		g.quota.Charge(r.customer, -r.units) // nothing was sent, so no units were used
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
