package gateway

import (
	"strconv"

	"sloepick/decide"
	"sloepick/internal/route"
)

// This file has what becomes of a request, from its being taken in to its one final answer.

// heldMost is how many bytes the commands of open requests may take.
func (l *loop) heldMost() int { return int(float64(l.cfg.MemoryMB<<20) * l.tune.Load().Clients.Held) }

// accept takes a request that a front has read whole. It returns nil if the request has its ending already.
func (l *loop) accept(from Responder, v *Request) *request {
	if err := v.check(&l.cfg); err != nil {
		from.Respond(Response{Kind: Rejected, Reason: err.Error()})
		return nil
	}
	cap := l.cfg.Settings.OpenCap
	if !l.mayAdmit() || l.held+v.size() > l.heldMost() || (cap > 0 && len(l.requests) >= cap) {
		from.Respond(Response{Kind: Refused, RetryAfter: l.cfg.Settings.Decide.Limits.MaxRetryAfter})
		return nil
	}
	if l.power != nil {
		if ok, after := l.power.mayBegin(v); !ok {
			from.Respond(Response{Kind: Refused, RetryAfter: after})
			return nil
		}
	}
	if _, open := l.ids[v.ID]; open { // two of one id must never meet one another's answer
		from.Respond(Response{Kind: Rejected, Reason: "a request with this id is open", DuplicateID: true})
		return nil
	}
	l.nextID++
	r := &request{id: strconv.FormatUint(l.nextID, 36), n: l.nextID, from: from, v: v}
	if !l.enter(r) {
		advice := r.routes.Route(r.route).Advice
		if advice == 0 {
			advice = l.cfg.Settings.Decide.Limits.MaxRetryAfter
		}
		from.Respond(Response{Kind: Refused, RetryAfter: advice})
		return nil
	}
	l.requests[r.id] = r
	l.ids[v.ID] = struct{}{}
	l.held += v.size()
	deadline := v.ReceivedAt + min(v.ClientTimeout, v.limit) - deadlineMargin
	r.overdue = l.at(deadline+overdueAfter, func() { l.overdue(r) })
	ev := r.event()
	ev.Deadline = deadline
	if r.routes != nil {
		ev.RetryPolicy = r.routes.Bounds(r.route, ev.Class, l.clock.Now())
	}
	l.feed(ev)
	return r
}

// reroute takes routes in place of the former ones. Requests that are open keep what they began with.
func (l *loop) reroute(routes []*route.Route) {
	l.routes = nil
	if len(routes) > 0 {
		l.routes = route.NewTable(routes, &l.cfg.Settings.Decide)
	}
}

// enter finds a request's route and takes it in. It reports false if the route has no room.
func (l *loop) enter(r *request) bool {
	if l.routes == nil {
		return true
	}
	n := l.routes.Match(route.Ask{Class: r.v.Class, Plan: r.v.Plan, Customer: r.v.Customer, Patience: r.v.ClientTimeout})
	if n < 0 {
		return true
	}
	r.routes, r.route = l.routes, n
	return l.routes.Begin(n)
}

// overdue fails a request that the module has not ended in time. The client must get its one answer before
// it stops waiting, whatever became of the request.
func (l *loop) overdue(r *request) {
	if r.done {
		return
	}
	l.log.Error("a request was left open past its deadline", "class", r.v.Class, "attempts", len(r.attempts))
	l.answer(r, Response{Kind: Failed, Reason: "failed", TimedOut: true})
	l.feed(decide.ClientDisconnected{ID: r.id})
}

// answer gives a request its final answer, once.
func (l *loop) answer(r *request, e Response) {
	if r.done {
		return
	}
	l.end(r)
	r.from.Respond(e)
}

// abandon ends a request whose client has gone away.
func (l *loop) abandon(r *request) {
	if r.done {
		return
	}
	l.end(r)
	l.feed(decide.ClientDisconnected{ID: r.id})
}

func (l *loop) end(r *request) {
	r.done = true
	if r.routes != nil {
		r.routes.End(r.route)
	}
	l.held -= r.v.size()
	delete(l.ids, r.v.ID)
	l.unset(r.overdue)
	l.drop(r)
}

// drop forgets a request that is over.
func (l *loop) drop(r *request) {
	if r.done && r.out == 0 {
		delete(l.requests, r.id)
	}
}
