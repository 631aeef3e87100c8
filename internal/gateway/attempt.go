package gateway

import (
	"sloepick/decide"
)

// This file has what becomes of an attempt.

// send starts an attempt.
func (l *loop) send(s decide.SendAttempt) {
	r := l.requests[s.ID]
	if r == nil {
		return
	}
	now := l.clock.Now()
	a := &attempt{req: r, n: len(r.attempts), at: now, until: l.decided + s.Timeout, writeBy: s.WriteDeadline, server: l.pool.servers[s.Server]}
	r.attempts = append(r.attempts, a)
	r.out++
	if r.done {
		l.ended(a, decide.NotSent)
		return
	}
	a.expiry = l.at(a.until, func() { l.pool.expire(a) })
	if a.writeBy > 0 && a.writeBy < a.until {
		a.tooLate = l.at(a.writeBy, func() { l.pool.dropUnwritten(a) })
	}
	l.pool.start(a)
}

// ended tells the module how an attempt ended.
func (l *loop) ended(a *attempt, o decide.Outcome) { l.endedWith(a, o, use{}) }

func (l *loop) endedWith(a *attempt, o decide.Outcome, u use) {
	if a.over {
		return
	}
	a.over, a.outcome = true, o
	l.unset(a.expiry)
	l.unset(a.tooLate)
	r := a.req
	r.out--
	ev := decide.AttemptEnded{ID: r.id, Attempt: a.n, Outcome: o, Latency: l.clock.Now() - a.at, RequestDone: r.done,
		MeteredPercentPlusOne: u.metered, ActualUnits: u.units}
	if a.server != nil {
		ev.Server = a.server.id
	}
	l.feed(ev)
	l.drop(r)
}

// served passes a value on and ends its attempt. The first good answer of a request settles its units: those of others are
// called off by then.
func (l *loop) served(a *attempt, value, figures []byte) {
	if r := a.req; r.routes != nil {
		now := l.clock.Now()
		r.routes.Answered(r.route, r.v.Class, now-a.at, now)
	}
	if l.power != nil {
		l.power.answered(a.req.v.Units)
	}
	l.answer(a.req, Response{Kind: Served, Value: value})
	l.endedWith(a, decide.OK, l.cfg.readUse(figures))
}
