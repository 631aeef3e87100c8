package decide

import (
	"slices"
	"time"
)

// This file guards the rules: on effects, and on what a final answer promises.

const aimMargin = 6 * time.Millisecond // an answer must be back at the client within the aim

// mayRepeatAt guards the rule on effects: whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) mayRepeatAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if r.class.Effect == Safe || !a.ran {
			continue
		}
		same := r.class.Group == GroupAll || (r.class.Group == GroupZone && s.Zone == a.server.Zone) ||
			(r.class.Group == GroupCell && s.Cell == a.server.Cell)
		if r.class.Effect == Unsafe || !same {
			return false
		}
	}
	by := repeatBy(r)
	return by == 0 || g.now < by
}

// repeatBy is until when servers surely know the key of a request that may have run: a further attempt must be with them by then,
// however long its connection takes to come up. 0: there is no such time.
func repeatBy(r *request) (by time.Duration) {
	for _, a := range r.attempts {
		if until := a.at + r.class.DedupWindow - aimMargin; r.class.Effect == Keyed && a.ran && (by == 0 || until < by) {
			by = until
		}
	}
	return by
}

// giveUp gives the final answer: a refusal where that may be promised, else a failure.
func (g *Gateway) giveUp(r *request) {
	mayRun := func(a *attempt) bool { return a.ran }
	promise := r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, mayRun) ||
		(r.class.Effect == Keyed && r.class.Group == GroupAll)
	if promise && r.out == 0 {
		advice := retryAdvice
		if r.RetryPolicy != nil && r.RetryPolicy.RetryAfter > 0 {
			advice = r.RetryPolicy.RetryAfter
		}
		g.refuse(r.ID, advice, false)
	} else {
		g.do(Fail{r.ID})
	}
	g.finish(r)
}

// finish ends a request; what is still out is called off.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.asking, r.waiting = true, false, nil
	delete(g.asks, r.no)
	for _, a := range r.attempts {
		if !a.over && g.cfg.Limits.Cancel && !r.streaming {
			g.do(CancelAttempt{r.ID, a.n})
		}
	}
	g.forget(r)
}

// forget drops a finished request once nothing of it is out.
func (g *Gateway) forget(r *request) {
	if r.finished && r.out == 0 && g.requests[r.ID] != nil {
		g.tellEnd(r, r.more)
		delete(g.requests, r.ID)
	}
}
