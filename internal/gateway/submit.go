package gateway

import (
	"strconv"

	"sloepick/decide"
	"sloepick/internal/route"
)

// This file has what becomes of a request, from its being taken in to its one final answer.

// maxRequestBytes is how many bytes the commands of open requests may take.
func (l *eventLoop) maxRequestBytes() int {
	return int(float64(l.cfg.MemoryMB<<20) * l.tuning.Load().Clients.Held)
}

// submit takes a request that a front has read whole. It returns nil if the request has its ending already.
func (l *eventLoop) submit(responder Responder, v *Request) *requestState {
	if err := v.validate(&l.cfg); err != nil {
		responder.Respond(Response{Kind: Rejected, Reason: err.Error()})
		return nil
	}
	maxOpen := l.cfg.Settings.OpenCap
	if !l.mayAcceptRequests() || l.requestBytes+v.size() > l.maxRequestBytes() || (maxOpen > 0 && len(l.requests) >= maxOpen) {
		responder.Respond(Response{Kind: Refused, RetryAfter: l.cfg.Settings.Decide.Limits.MaxRetryAfter})
		return nil
	}
	if l.recovery != nil {
		if ok, after := l.recovery.admit(v); !ok {
			responder.Respond(Response{Kind: Refused, RetryAfter: after})
			return nil
		}
	}
	if _, open := l.clientIDs[v.ID]; open { // two of one id must never meet one another's answer
		responder.Respond(Response{Kind: Rejected, Reason: "a request with this id is open", DuplicateID: true})
		return nil
	}
	l.nextID++
	r := &requestState{id: strconv.FormatUint(l.nextID, 36), seq: l.nextID, responder: responder, values: v}
	if !l.enterRoute(r) {
		retryAfter := r.routes.Route(r.route).Advice
		if retryAfter == 0 {
			retryAfter = l.cfg.Settings.Decide.Limits.MaxRetryAfter
		}
		responder.Respond(Response{Kind: Refused, RetryAfter: retryAfter})
		return nil
	}
	l.requests[r.id] = r
	l.clientIDs[v.ID] = struct{}{}
	l.requestBytes += v.size()
	deadline := v.ReceivedAt + min(v.ClientTimeout, v.maxWait) - deadlineMargin
	r.overdueTimer = l.schedule(deadline+overdueGrace, func() { l.failOverdue(r) })
	ev := r.event()
	ev.Deadline = deadline
	if r.routes != nil {
		ev.RetryPolicy = r.routes.Bounds(r.route, ev.Class, l.clock.Now())
	}
	l.enqueue(ev)
	return r
}

// setRoutes takes routes in place of the former ones. Requests that are open keep what they began with.
func (l *eventLoop) setRoutes(routes []*route.Route) {
	l.routes = nil
	if len(routes) > 0 {
		l.routes = route.NewTable(routes, &l.cfg.Settings.Decide)
	}
}

// enterRoute finds a request's route and takes it in. It reports false if the route has no room.
func (l *eventLoop) enterRoute(r *requestState) bool {
	if l.routes == nil {
		return true
	}
	n := l.routes.Match(route.Ask{Class: r.values.Class, Plan: r.values.Plan, Customer: r.values.Customer, Patience: r.values.ClientTimeout})
	if n < 0 {
		return true
	}
	r.routes, r.route = l.routes, n
	return l.routes.Begin(n)
}

// failOverdue fails a request that the module has not ended in time. The client must get its one answer before
// it stops waiting, whatever became of the request.
func (l *eventLoop) failOverdue(r *requestState) {
	if r.done {
		return
	}
	l.log.Error("a request was left open past its deadline", "class", r.values.Class, "attempts", len(r.attempts))
	l.respond(r, Response{Kind: Failed, Reason: "failed", TimedOut: true})
	l.enqueue(decide.ClientDisconnected{ID: r.id})
}

// respond gives a request its final respond, once.
func (l *eventLoop) respond(r *requestState, resp Response) {
	if r.done {
		return
	}
	l.finish(r)
	r.responder.Respond(resp)
}

// abandon ends a request whose client has gone away.
func (l *eventLoop) abandon(r *requestState) {
	if r.done {
		return
	}
	l.finish(r)
	l.enqueue(decide.ClientDisconnected{ID: r.id})
}

func (l *eventLoop) finish(r *requestState) {
	r.done = true
	if r.routes != nil {
		r.routes.End(r.route)
	}
	l.requestBytes -= r.values.size()
	delete(l.clientIDs, r.values.ID)
	l.cancelTimer(r.overdueTimer)
	l.release(r)
}

// release forgets a request that is over.
func (l *eventLoop) release(r *requestState) {
	if r.done && r.activeAttempts == 0 {
		delete(l.requests, r.id)
	}
}
