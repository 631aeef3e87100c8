package decide

import (
	"time"

	"sloepick/decide/quota"
	"sloepick/decide/words"
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
	for ; r.asked < 2*quota.HomesOf(c) && g.now < r.until && !g.quota.Alone && !g.deaf(); r.asked++ {
		i := g.quota.Home(c.Key, r.asked/2)
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
		g.quota.Tell(i, words.Asks, c, r.no, r.units)
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
	for n := range quota.Homes {
		if i := g.quota.Home(r.cust.Key, n); i != g.quota.Rank {
			g.probedAt = g.now
			g.quota.Tell(i, words.Asks, r.cust, r.no, 0)
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
		g.silent[g.quota.Home(r.cust.Key, r.asked/2-1)] = g.now + homeSilent
	}
	delete(g.asks, r.no)
	g.ask(r)
}

// word takes a word of another gateway. What is malformed, unknown or comes to the wrong home is dropped.
func (g *Gateway) word(from int, text string) {
	w, ok := words.Parse(g.now, text)
	if !ok || w.Plan >= len(g.cfg.Plans) {
		return
	}
	for _, v := range w.Sights[:w.Seen] {
		if s := g.shorts[v.Server]; s != nil && v.Class < len(g.cfg.Classes) {
			g.note(s, g.classes[g.cfg.Classes[v.Class].Name], v.X, v.Missed, v.Failed)
		}
	}
	delete(g.silent, from)
	if g.deaf() {
		g.quota.Doubt()
	}
	g.heardAt, g.unheards = g.now, 0
	for _, f := range w.Floods[:w.Flooded] {
		g.quota.Floods.Learn(f)
	}
	mine := g.quota.IsHome(w.Key, g.quota.Rank)
	switch {
	case w.Kind == words.Asks && w.N == 1 && w.V[0] >= 0 && mine:
		g.askRate.Add(g.now, 1)
		c := g.quota.Customer(w.Key, w.Plan)
		ok, wait := g.grant(c, from, w.No, w.V[0])
		granted := 0.0
		if ok {
			granted = 1
		}
		g.quota.Tell(from, words.Answers, c, w.No, granted, c.Whole, c.Fleet.Get(g.now), wait)
	case w.Kind == words.Settles && w.N == 1 && mine:
		g.quota.Settle(g.quota.Customer(w.Key, w.Plan), from, w.No, w.V[0])
	case w.Kind == words.Grants && w.N == 1 && mine && g.quota.IsHome(w.Key, from):
		g.quota.Twin(g.quota.Customer(w.Key, w.Plan), w.V[0])
	case w.Kind == words.Hands && w.N == 1:
		g.quota.Inherit(&w)
	case w.Kind == words.Answers && w.N == 4:
		g.answer(from, &w)
	}
}

// answer takes the home's word: it settles part and level, and then the bucket decides.
func (g *Gateway) answer(from int, w *words.Word) {
	r := g.asks[w.No]
	if r == nil || r.cust.Key != w.Key {
		return
	}
	ok, whole := w.V[0] > 0, w.V[1]
	delete(g.asks, w.No)
	if r.asked == 1 {
		g.trip += time.Duration(0.1 * float64(g.now-r.askedAt-g.trip))
	}
	r.asking = false
	c := r.cust
	ok = ok && (c.Plan.CeilingRate == 0 || g.now-r.askedAt <= grantUse)
	c.AsksAll, c.ToldAt = w.V[2], g.now
	g.quota.Watch(c, ok)
	g.quota.Leak(c)
	c.Level = c.Part * whole
	if ok {
		r.granted = from
	} else {
		leaks := min(1, (whole+r.units-c.Plan.Burst)/max(c.Plan.Rate, 1e-9))
		c.Shut = g.now + time.Duration(max(w.V[3], leaks)*float64(time.Second))
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
		g.quota.Tell(r.granted, words.Settles, r.cust, r.no, more)
	}
}
