package gateway

import (
	"strconv"

	"sloepick/decide"
	"sloepick/internal/route"
)

// This file holds the life cycle of a request: from its submission to its single final response.

// memoryShareBytes is the limit, in bytes, for what all client connections hold together (see memoryAccount).
func (l *eventLoop) memoryShareBytes() int {
	return int(float64(l.cfg.MemoryMB<<20) * l.tuning.Load().Clients.MemoryShare)
}

// submit admits a request that a frontend has read completely. It returns nil if the request was answered at
// once.
func (l *eventLoop) submit(responder Responder, v *Request) *requestState {
	if err := v.validate(&l.cfg); err != nil {
		responder.Respond(Response{Kind: Rejected, Reason: err.Error()})
		return nil
	}
	maxOpen := l.cfg.Settings.MaxOpen
	if !l.mayAcceptRequests() || !l.makeRoomForRequest(v.size()) || (maxOpen > 0 && len(l.requests) >= maxOpen) {
		responder.Respond(Response{Kind: Refused, RetryAfter: l.cfg.Settings.Decide.Limits.MaxRetryAfter})
		return nil
	}
	if l.recovery != nil {
		if ok, after := l.recovery.admit(v); !ok {
			responder.Respond(Response{Kind: Refused, RetryAfter: after})
			return nil
		}
	}
	if _, open := l.clientIDs[v.ID]; open { // two requests with the same id must never receive each other's response
		responder.Respond(Response{Kind: Rejected, Reason: "a request with this id is open", DuplicateID: true})
		return nil
	}
	l.nextID++
	deadline := v.ReceivedAt + min(v.ClientTimeout, v.maxWait) - deadlineMargin
	r := &requestState{id: strconv.FormatUint(l.nextID, 36), seq: l.nextID, responder: responder, values: v, deadline: deadline}
	if !l.enterRoute(r) {
		retryAfter := r.routes.Route(r.route).RetryAfter
		if retryAfter == 0 {
			retryAfter = l.cfg.Settings.Decide.Limits.MaxRetryAfter
		}
		responder.Respond(Response{Kind: Refused, RetryAfter: retryAfter})
		return nil
	}
	l.requests[r.id] = r
	l.clientIDs[v.ID] = struct{}{}
	l.requestBytes += v.size()
	l.memory.add(v.size())
	r.overdueTimer = l.schedule(deadline+overdueGrace, func() { l.failOverdue(r) })
	ev := r.event()
	ev.Deadline = deadline
	if r.routes != nil {
		ev.RetryPolicy = r.routes.RetryPolicy(r.route, ev.Class, l.clock.Now())
	}
	l.enqueue(ev)
	return r
}

// makeRoomForRequest reports whether there is memory for a request of that size. If there is none, it closes connections
// whose clients have stopped reading.
func (l *eventLoop) makeRoomForRequest(size int) bool {
	for !l.memory.requestFits(size) {
		if !l.closeLongestStalled() {
			return false
		}
	}
	return true
}

// setRoutes replaces the route table. Open requests keep the route they started with.
func (l *eventLoop) setRoutes(routes []*route.Route) {
	l.routes = nil
	if len(routes) > 0 {
		l.routes = route.NewTable(routes, &l.cfg.Settings.Decide)
	}
}

// enterRoute matches a request to a route and counts it there. It reports false if the route is at its limit of
// open requests.
func (l *eventLoop) enterRoute(r *requestState) bool {
	if l.routes == nil {
		return true
	}
	n := l.routes.Match(route.Request{Class: r.values.Class, Plan: r.values.Plan, Customer: r.values.Customer, ClientTimeout: r.values.ClientTimeout})
	if n < 0 {
		return true
	}
	r.routes, r.route = l.routes, n
	return l.routes.Acquire(n)
}

// failOverdue fails a request that the decision module has not ended in time. The client must get its response
// before it stops waiting, whatever state the module has the request in.
func (l *eventLoop) failOverdue(r *requestState) {
	if r.done {
		return
	}
	l.log.Error("request still open past its deadline; failing it", "class", r.values.Class, "attempts", len(r.attempts))
	l.respond(r, Response{Kind: Failed, Reason: "failed", TimedOut: true})
	l.enqueue(decide.ClientDisconnected{ID: r.id})
}

// respond gives a request its final response, at most once.
func (l *eventLoop) respond(r *requestState, resp Response) {
	if r.done {
		return
	}
	l.finish(r)
	if resp.Kind == Failed {
		l.reserveID(r)
	}
	r.responder.Respond(resp)
}

// abandon ends a request whose client has disconnected.
func (l *eventLoop) abandon(r *requestState) {
	if r.done {
		return
	}
	l.finish(r)
	l.reserveID(r)
	l.enqueue(decide.ClientDisconnected{ID: r.id})
}

// reserveID keeps the id of a request with an effect that may have run, until the request's deadline. The client has not
// learnt how it ended: if the same id comes again before that, it must not run a second time.
func (l *eventLoop) reserveID(r *requestState) {
	if !r.values.Write || !r.mayHaveRun() {
		return
	}
	id := r.values.ID
	l.clientIDs[id] = struct{}{}
	l.memory.add(requestOverhead)
	l.schedule(max(r.deadline, l.clock.Now()), func() {
		delete(l.clientIDs, id)
		l.memory.add(-requestOverhead)
	})
}

func (l *eventLoop) finish(r *requestState) {
	r.done = true
	if r.routes != nil {
		r.routes.Release(r.route)
	}
	l.requestBytes -= r.values.size()
	l.memory.add(-r.values.size())
	delete(l.clientIDs, r.values.ID)
	l.cancelTimer(r.overdueTimer)
	l.release(r)
}

// release removes a request from the table once it is answered and has no attempts in progress.
func (l *eventLoop) release(r *requestState) {
	if r.done && r.activeAttempts == 0 {
		delete(l.requests, r.id)
	}
}
