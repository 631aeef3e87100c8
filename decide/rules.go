package decide

import (
	"slices"
	"time"
)

// This file enforces the rules on effects and on what a final answer promises.

const targetMargin = 6 * time.Millisecond // time for an answer to get back to the client within the latency target

// mayRunOn enforces the rule on effects: it reports whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) mayRunOn(r *request, s *server) bool {
	for _, a := range r.attempts {
		if r.class.Effect == Safe || !a.mayHaveRun {
			continue
		}
		sameGroup := r.class.Group == GroupAll || (r.class.Group == GroupZone && s.Zone == a.server.Zone) ||
			(r.class.Group == GroupCell && s.Cell == a.server.Cell)
		if r.class.Effect == Unsafe || !sameGroup {
			return false
		}
	}
	deadline := repeatDeadline(r)
	return deadline == 0 || g.now < deadline
}

// repeatDeadline returns until when servers surely remember the key of a request that may have run: a further attempt
// must reach them by then, however long its connection takes to open. 0: there is no such deadline.
func repeatDeadline(r *request) (deadline time.Duration) {
	for _, a := range r.attempts {
		if end := a.sentAt + r.class.DedupWindow - targetMargin; r.class.Effect == Keyed && a.mayHaveRun &&
			(deadline == 0 || end < deadline) {
			deadline = end
		}
	}
	return deadline
}

// giveUp sends the final answer: a refusal if what it promises holds, else a failure.
func (g *Gateway) giveUp(r *request) {
	mayHaveRun := func(a *attempt) bool { return a.mayHaveRun }
	mayRefuse := r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, mayHaveRun) ||
		(r.class.Effect == Keyed && r.class.Group == GroupAll)
	if mayRefuse && r.openAttempts == 0 {
		advice := defaultRetryAfter
		if r.RetryPolicy != nil && r.RetryPolicy.RetryAfter > 0 {
			advice = r.RetryPolicy.RetryAfter
		}
		g.refuse(r.ID, advice, false)
	} else {
		g.emit(Fail{r.ID})
	}
	g.finish(r)
}

// finish ends a request and cancels its open attempts.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.awaitingGrant, r.retryServer = true, false, nil
	delete(g.pendingGrants, r.requestNo)
	for _, a := range r.attempts {
		if !a.ended && g.cfg.Limits.Cancel && !r.streaming {
			g.emit(CancelAttempt{r.ID, a.index})
		}
	}
	g.forgetRequest(r)
}

// forgetRequest removes a finished request that has no open attempts.
func (g *Gateway) forgetRequest(r *request) {
	if r.finished && r.openAttempts == 0 && g.requests[r.ID] != nil {
		g.settleGrant(r, r.extraUnits)
		delete(g.requests, r.ID)
	}
}
