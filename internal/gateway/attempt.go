package gateway

import (
	"sloepick/decide"
)

// This file holds the life cycle of an attempt.

// startAttempt starts an attempt that the decision module has requested.
func (l *eventLoop) startAttempt(s decide.SendAttempt) {
	r := l.requests[s.ID]
	if r == nil {
		return
	}
	now := l.clock.Now()
	a := &attemptState{req: r, index: len(r.attempts), startedAt: now, deadline: l.decidedAt + s.Timeout, writeBy: s.WriteDeadline, server: l.pool.servers[s.Server]}
	r.attempts = append(r.attempts, a)
	r.activeAttempts++
	if !r.mayBeSentFor() {
		l.endAttempt(a, decide.NotSent)
		return
	}
	a.expiryTimer = l.schedule(a.deadline, func() { l.pool.expire(a) })
	if a.writeBy > 0 && a.writeBy < a.deadline {
		a.writeTimer = l.schedule(a.writeBy, func() { l.pool.expireUnwritten(a) })
	}
	l.pool.start(a)
}

// endAttempt reports the outcome of an attempt to the decision module.
func (l *eventLoop) endAttempt(a *attemptState, o decide.Outcome) {
	l.endAttemptWithUsage(a, o, usage{})
}

func (l *eventLoop) endAttemptWithUsage(a *attemptState, o decide.Outcome, u usage) {
	if a.ended {
		return
	}
	a.ended, a.outcome = true, o
	l.cancelTimer(a.expiryTimer)
	l.cancelTimer(a.writeTimer)
	r := a.req
	r.activeAttempts--
	ev := decide.AttemptEnded{ID: r.id, Attempt: a.index, Outcome: o, Latency: l.clock.Now() - a.startedAt, RequestDone: r.done,
		MeteredPercentPlusOne: u.metered, ActualUnits: u.units}
	if a.server != nil {
		ev.Server = a.server.id
	}
	l.enqueue(ev)
	l.release(r)
}

// completeAttempt sends a server's value to the client and ends the attempt. Only the first successful attempt
// of a request settles the units: all others have been cancelled by then.
func (l *eventLoop) completeAttempt(a *attemptState, value, usageText []byte) {
	if r := a.req; r.routes != nil {
		now := l.clock.Now()
		r.routes.RecordLatency(r.route, r.values.Class, now-a.startedAt, now)
	}
	if l.recovery != nil {
		l.recovery.countAnswer(a.req.values.Units)
	}
	l.respond(a.req, Response{Kind: Served, Value: value})
	l.endAttemptWithUsage(a, decide.OK, l.cfg.parseUsage(usageText))
}
