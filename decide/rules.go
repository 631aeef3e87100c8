package decide

import (
	"slices"
	"time"
)

// This file guards the rules: on effects, and on what a final answer promises.

const targetMargin = 6 * time.Millisecond // an answer must be back at the client within the aim

// mayRunOn guards the rule on effects: whether the server may get the request, given the attempts that
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

// repeatDeadline is until when servers surely know the key of a request that may have run: a further attempt must be with them by then,
// however long its connection takes to come up. 0: there is no such time.
func repeatDeadline(r *request) (deadline time.Duration) {
	for _, a := range r.attempts {
		if end := a.sentAt + r.class.DedupWindow - targetMargin; r.class.Effect == Keyed && a.mayHaveRun &&
			(deadline == 0 || end < deadline) {
			deadline = end
		}
	}
	return deadline
}

// giveUp gives the final answer: a refusal where that may be promised, else a failure.
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

// finish ends a request; what is still out is called off.
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

// forgetRequest drops a finished request once nothing of it is out.
func (g *Gateway) forgetRequest(r *request) {
	if r.finished && r.openAttempts == 0 && g.requests[r.ID] != nil {
		g.settleGrant(r, r.extraUnits)
		delete(g.requests, r.ID)
	}
}
