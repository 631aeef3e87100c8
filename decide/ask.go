package decide

import (
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file decides whether to wait for the word of a customer's home, and for how long, where customers have homes.
const (
	askFirst   = 30 * time.Millisecond  // wait for a home's word, until round trips were seen ...
	askWaits   = 2.0                    // ... then so many times the usual one, and askLeast more
	askLeast   = 12 * time.Millisecond  // a turn or two of either side
	homeSilent = 1 * time.Second        // a home that twice gave no answer is not asked for so long
	grantUse   = 100 * time.Millisecond // a grant under a ceiling is used within this, which the slack bears
	deafAfter  = 3                      // questions in a row in whose time no word came from anyone: none is waited for ...
	deafProbe  = 200 * time.Millisecond // ... but one is put so often, to hear when others are back
)

// ask gets the home's word on a request. Each home is asked twice, as words may be lost; one that was silent
// is left out for a while. Without any word the gateway's own bucket decides, but nothing passes a ceiling.
func (g *Gateway) ask(r *request) {
	c := r.cust
	if g.deaf() {
		g.listen(r)
	}
	for ; r.asked < 2*quota.CoordinatorCount(c) && g.now < r.until && !g.quota.Isolated && !g.deaf(); r.asked++ {
		i := g.quota.Coordinator(c.Key, r.asked/2)
		if i == g.quota.Rank {
			ok, _ := g.grant(c, i, r.no, r.units)
			r.granted = i
			g.decide(r, ok)
			return
		}
		if g.silent[i] > g.now {
			continue
		}
		r.asked++
		r.askedLast = g.now
		if r.asking = true; r.askedAt == 0 {
			r.askedAt = g.now
		}
		g.asks[r.no] = r
		g.quota.Send(i, peermsg.KindRequest, c, r.no, r.units)
		g.wake(r.ID, -1, min(r.until, g.now+askLeast+time.Duration(askWaits*float64(g.trip))), forOverdue)
		return
	}
	r.asking = false
	g.quota.Leak(c)
	g.decide(r, g.roomOpen(c) && g.roomAlone(c, r.units))
}

// deaf reports that nobody is heard: each request would else wait out its questions, a third of a second, for a
// word that can't come.
func (g *Gateway) deaf() bool { return g.unheards >= deafAfter }

// listen asks a home for a request that does not wait for it: any word tells that others are heard again.
func (g *Gateway) listen(r *request) {
	if g.now-g.probedAt < deafProbe {
		return
	}
	for n := range quota.MaxCoordinators {
		if i := g.quota.Coordinator(r.cust.Key, n); i != g.quota.Rank {
			g.probedAt = g.now
			g.quota.Send(i, peermsg.KindRequest, r.cust, r.no, 0)
			return
		}
	}
}

// unheard takes that a home gave no answer in time. A gateway that itself stood still waits a little more:
// the answer may be among all that it finds now.
func (g *Gateway) unheard(r *request, due time.Duration) {
	if g.now-due > askLeast && g.now < r.until {
		g.wake(r.ID, -1, min(r.until, g.now+askLeast), forOverdue)
		return
	}
	if g.heardAt < r.askedLast {
		g.unheards++
	}
	if r.asked%2 == 0 {
		g.silent[g.quota.Coordinator(r.cust.Key, r.asked/2-1)] = g.now + homeSilent
	}
	delete(g.asks, r.no)
	g.ask(r)
}

// word takes a word of another gateway. What is malformed, unknown or comes to the wrong home is dropped.
func (g *Gateway) word(from int, text string) {
	w, ok := peermsg.Parse(g.now, text)
	if !ok || w.Plan >= len(g.cfg.Plans) {
		return
	}
	for _, v := range w.Samples[:w.NumSamples] {
		if s := g.shorts[v.Server]; s != nil && v.Class < len(g.cfg.Classes) {
			g.note(s, g.classes[g.cfg.Classes[v.Class].Name], v.RelativeTime, v.Unsuccessful, v.NotOverload)
		}
	}
	delete(g.silent, from)
	if g.deaf() {
		g.quota.FillOverQuotaBuckets()
	}
	g.heardAt, g.unheards = g.now, 0
	for _, f := range w.Reports[:w.NumReports] {
		g.quota.OverQuota.Add(f)
	}
	mine := g.quota.IsCoordinator(w.Key, g.quota.Rank)
	switch {
	case w.Kind == peermsg.KindRequest && w.NumValues == 1 && w.Values[0] >= 0 && mine:
		g.askRate.Add(g.now, 1)
		c := g.quota.Customer(w.Key, w.Plan)
		ok, wait := g.grant(c, from, w.RequestNo, w.Values[0])
		granted := 0.0
		if ok {
			granted = 1
		}
		g.quota.Send(from, peermsg.KindReply, c, w.RequestNo, granted, c.FleetLevel, c.FleetDemand.Get(g.now), wait)
	case w.Kind == peermsg.KindSettle && w.NumValues == 1 && mine:
		g.quota.Settle(g.quota.Customer(w.Key, w.Plan), from, w.RequestNo, w.Values[0])
	case w.Kind == peermsg.KindGrantTotal && w.NumValues == 1 && mine && g.quota.IsCoordinator(w.Key, from):
		g.quota.ReceiveGrantTotal(g.quota.Customer(w.Key, w.Plan), w.Values[0])
	case w.Kind == peermsg.KindHandover && w.NumValues == 1:
		g.quota.ReceiveHandover(&w)
	case w.Kind == peermsg.KindReply && w.NumValues == 4:
		g.answer(from, &w)
	}
}

// answer takes the home's word: it settles part and level, and then the bucket decides.
func (g *Gateway) answer(from int, w *peermsg.CustomerMessage) {
	r := g.asks[w.RequestNo]
	if r == nil || r.cust.Key != w.Key {
		return
	}
	ok, whole := w.Values[0] > 0, w.Values[1]
	delete(g.asks, w.RequestNo)
	if r.asked == 1 {
		g.trip += time.Duration(0.1 * float64(g.now-r.askedAt-g.trip))
	}
	r.asking = false
	c := r.cust
	ok = ok && (c.Plan.CeilingRate == 0 || g.now-r.askedAt <= grantUse)
	c.TotalDemand, c.TotalDemandAt = w.Values[2], g.now
	g.quota.RecordDecision(c, ok)
	g.quota.Leak(c)
	c.Level = c.Share * whole
	if ok {
		r.granted = from
	} else {
		leaks := min(1, (whole+r.units-c.Plan.Burst)/max(c.Plan.Rate, 1e-9))
		c.RefuseUntil = g.now + time.Duration(max(w.Values[3], leaks)*float64(time.Second))
	}
	g.decide(r, ok)
}

// tellEnd settles a request with the home that granted it: true units, and that its attempt is over.
func (g *Gateway) tellEnd(r *request, more float64) {
	if r.granted < 0 || (more == 0 && r.cust.Plan.MaxOpen == 0) {
		return
	}
	if r.granted == g.quota.Rank {
		g.quota.Settle(r.cust, g.quota.Rank, r.no, more)
	} else {
		g.quota.Send(r.granted, peermsg.KindSettle, r.cust, r.no, more)
	}
}
