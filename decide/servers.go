package decide

import (
	"math"
	"slices"
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file decides what a server is held to be like: slow, missing a class's requests, out of reach, loaded.
const (
	usualGain  = 0.01                    // gain of the usual work of what is sent, which loads are counted in
	baseGain   = 0.03                    // gain of a class's usual time: slow, it is the fleet's yardstick
	slowGain   = 0.2                     // gain of a server's slowness against that: a few answers tell
	firstGuess = 0.2                     // of the aim: the usual time before any answer
	slowMemory = 2 * time.Second         // slowness fades at least so slowly: the unused get another look
	memoryOf   = 4.0                     // answers of a server are how long its slowness is known ...
	memoryMost = 20.0                    // ... in seconds, this at most
	missFades  = 2.0                     // times that: known of a class's failures
	missGain   = 0.25                    // gain of a server's share of a class's requests that it leaves or fails
	downFirst  = 0.25                    // seconds that a server is left alone which no connection reached ...
	downMost   = 4.0                     // ... twice as long with each further one, up to this
	ghostFor   = 1500 * time.Millisecond // work that nobody waits for counts as load no longer than this
	flowShrink = 0.85                    // of the flow let in on thin evidence, for each answer missed here or as told ...
	flowGrow   = 1.03                    // ... and for each that came: it holds where one of six is missed
	flowLeast  = 0.08                    // the flow that finds out that a jam is over
	flowMost   = 2.2                     // over 1 nothing is shed: room for chance
)

func (g *Gateway) fleet(e ServerListUpdate) {
	if e.Kind == ListFailed {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.listed(s, e.Kind == ListStale)
	}
	if e.Kind != ListDelta {
		for _, s := range g.order {
			if !listed[s.ID] {
				s.State = Gone
			}
		}
	}
	g.survey()
}

func (g *Gateway) listed(e Server, stale bool) {
	if e.State == Gone { // its cell and zone may be left out, and stay as told first: repeats go by them
		if s := g.servers[e.ID]; s != nil {
			s.State = Gone
		}
		return
	}
	s := g.server(e.ID)
	if e.Started > s.Started && e.Started+g.cfg.Safety.ColdDuration > g.now {
		s.coldUntil, s.budget, s.budgetAt = e.Started+g.cfg.Safety.ColdDuration, g.rng.Float64(), g.now
		s.slow, s.down, s.downTill = 1, 0, 0
		clear(s.miss)
	}
	s.Server = e
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slow-1)*math.Exp(-(g.now-s.slowAt).Seconds()/g.memory())
}

// memory is how long, in seconds, what is known of a server holds: longer where answers of it are rare.
func (g *Gateway) memory() float64 {
	return min(memoryMost, max(slowMemory.Seconds(), memoryOf*g.all.serving/max(g.seen.Get(g.now), 1e-3)))
}

// missed is the share of a class's requests that a server leaves unanswered or fails.
func (g *Gateway) missed(s *server, k *class) float64 {
	m := &s.miss[k.no]
	return m.v * math.Exp(-(g.now-m.at).Seconds()/(missFades*g.memory()))
}

// note takes how a request of a class fared at a server, here or at a gateway that told it: x times the usual
// time, answered or not, or an error. It guards against servers that are slow or fail one class and serve the
// others; it should catch what a server's age, a bad disk or a lost dependency do too, whoever met it first.
// It could harm a server that only costly requests went to.
func (g *Gateway) note(s *server, k *class, x float64, missed, failed bool) {
	g.seen.Add(g.now, 1)
	v, to := g.missed(s, k), 0.0
	if missed {
		to = 1
	}
	s.miss[k.no] = sighted{v + missGain*(1+g.thin())*(to-v), g.now}
	if missed && !failed {
		g.flow = max(flowLeast, g.flow*flowShrink)
	} else if !missed {
		g.flow = min(flowMost, g.flow*flowGrow)
	}
	s.slow, s.slowAt = g.slowness(s), g.now
	if !missed || x > s.slow {
		s.slow += slowGain * (min(x, 20) - s.slow)
	}
}

// saw notes how an own request fared and keeps it to be told.
func (g *Gateway) saw(s *server, r *request, took time.Duration, missed, failed bool) {
	k, x := r.class, took.Seconds()/r.class.usual(r.units)
	g.note(s, k, x, missed, failed)
	g.quota.Samples.Add(peermsg.ServerSample{Server: s.short, Class: k.no, RelativeTime: x, Unsuccessful: missed, NotOverload: failed})
	if !missed {
		k.answered(r.units, took.Seconds())
	}
}

// load is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) load(s *server) float64 {
	for len(s.ghosts) > 0 && g.now-s.ghosts[0].at > ghostFor {
		g.unload(s, s.ghosts[0].work)
		s.ghosts = s.ghosts[1:]
	}
	return s.work
}

// unload takes work off a server.
func (g *Gateway) unload(s *server, work float64) {
	s.work = max(0, s.work-work)
	g.all.open -= work
}

// work is what a request asks of a server, in usual requests.
func (g *Gateway) work(r *request) float64 {
	w := r.class.usual(r.units)
	if g.usual == 0 {
		g.usual = w
	}
	g.usual += usualGain * (w - g.usual)
	return w / g.usual
}

func (g *Gateway) survey() {
	g.forgetServers()
	all := survey{}
	for _, o := range g.order {
		if o.State != Serving {
			continue
		}
		all.serving++
		all.open += g.load(o)
		if o.coldUntil <= g.now {
			all.warm++
			all.sends += o.sends.Get(g.now)
		}
	}
	g.all = all
	g.keepSends()
}

// reached takes whether an attempt reached its server. One that no connection reaches is down for all
// classes; it is left alone for longer and longer, and then one request at a time finds out. An attempt that
// began before the last failure, or before a later answer, tells nothing new.
func (g *Gateway) reached(s *server, a *attempt, o Outcome) {
	switch {
	case o == OK || o == Error || o == Rejected:
		s.down, s.downTill = 0, 0
	case o == NoConnection && a.at >= s.downAt && a.at > s.lastGood:
		s.down, s.downAt = s.down+1, g.now
		g.leaveAlone(s)
	}
}

func (g *Gateway) leaveAlone(s *server) {
	wait := min(downMost, downFirst*math.Exp2(float64(s.down-1))) * (0.75 + 0.5*g.rng.Float64())
	s.downTill = g.now + time.Duration(wait*float64(time.Second))
}

// thin is 1 where this gateway sees fewer answers in its memory than there are servers, and less where more.
func (g *Gateway) thin() float64 {
	return min(1, g.all.serving/max(g.done.Get(g.now)*quota.RateTimeConstant.Seconds(), 1))
}

// judge takes what an outcome says of its server.
func (g *Gateway) judge(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	g.reached(s, a, e.Outcome)
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.ghosts = append(s.ghosts, ghost{a.at, a.work})
	} else {
		g.unload(s, a.work)
	}
	switch e.Outcome {
	case OK:
		s.lastGood = g.now
		g.done.Add(g.now, a.work)
		s.ghosts = slices.DeleteFunc(s.ghosts, func(o ghost) bool {
			if o.at < a.at {
				g.unload(s, o.work)
			}
			return o.at < a.at
		})
		g.saw(s, r, e.Latency, false, false)
	case Error:
		g.saw(s, r, e.Latency, true, true)
		s.lastGood = g.now
	case Rejected:
		g.saw(s, r, e.Latency, true, false) // its queue is full: a jam as well
		s.lastGood = g.now
	case NoConnection, Reset:
		g.saw(s, r, e.Latency, true, true)
	case TimedOut:
		g.saw(s, r, e.Latency, true, false)
	}
}

// forgetServers drops servers that are gone and of which nothing is out. A cold one stays until it would be warm,
// so that its budget holds if it comes back; where a request may be repeated stands with its attempts.
func (g *Gateway) forgetServers() {
	gone := func(s *server) bool { return s.State == Gone && s.out == 0 && s.coldUntil <= g.now }
	g.near = slices.DeleteFunc(g.near, gone)
	g.order = slices.DeleteFunc(g.order, func(s *server) bool {
		if !gone(s) {
			return false
		}
		delete(g.servers, s.ID)
		if g.shorts[s.short] == s {
			delete(g.shorts, s.short)
		}
		return true
	})
}
