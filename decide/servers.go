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
	meanTimeGain        = 0.01                    // gain of the usual work of what is sent, which loads are counted in
	classTimeGain       = 0.03                    // gain of a class's usual time: slow, it is the fleet's yardstick
	slowFactorGain      = 0.2                     // gain of a server's slowness against that: a few answers tell
	initialTimeShare    = 0.2                     // of the aim: the usual time before any answer
	minServerMemory     = 2 * time.Second         // slowness fades at least so slowly: the unused get another look
	memoryAnswers       = 4.0                     // answers of a server are how long its slowness is known ...
	maxServerMemory     = 20.0                    // ... in seconds, this at most
	missMemoryFactor    = 2.0                     // times that: known of a class's failures
	missRateGain        = 0.25                    // gain of a server's share of a class's requests that it leaves or fails
	initialAvoidSeconds = 0.25                    // seconds that a server is left alone which no connection reached ...
	maxAvoidSeconds     = 4.0                     // ... twice as long with each further one, up to this
	abandonedLoadTime   = 1500 * time.Millisecond // work that nobody waits for counts as load no longer than this
	admitShareDecrease  = 0.85                    // of the flow let in on thin evidence, for each answer missed here or as told ...
	admitShareIncrease  = 1.03                    // ... and for each that came: it holds where one of six is missed
	minAdmitShare       = 0.08                    // the flow that finds out that a jam is over
	maxAdmitShare       = 2.2                     // over 1 nothing is shed: room for chance
)

func (g *Gateway) updateServerList(e ServerListUpdate) {
	if e.Kind == ListFailed {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.updateServer(s, e.Kind == ListStale)
	}
	if e.Kind != ListDelta {
		for _, s := range g.serversByID {
			if !listed[s.ID] {
				s.State = Gone
			}
		}
	}
	g.updateTotals()
}

func (g *Gateway) updateServer(e Server, stale bool) {
	if e.State == Gone { // its cell and zone may be left out, and stay as told first: repeats go by them
		if s := g.servers[e.ID]; s != nil {
			s.State = Gone
		}
		return
	}
	s := g.ensureServer(e.ID)
	if e.Started > s.Started && e.Started+g.cfg.Safety.ColdDuration > g.now {
		s.coldUntil, s.coldBudget, s.coldBudgetAt = e.Started+g.cfg.Safety.ColdDuration, g.rng.Float64(), g.now
		s.slowFactor, s.connectFailures, s.avoidUntil = 1, 0, 0
		clear(s.missRates)
	}
	s.Server = e
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slowFactor-1)*math.Exp(-(g.now-s.slowFactorAt).Seconds()/g.serverMemory())
}

// serverMemory is how long, in seconds, what is known of a server holds: longer where answers of it are rare.
func (g *Gateway) serverMemory() float64 {
	return min(maxServerMemory, max(minServerMemory.Seconds(), memoryAnswers*g.totals.servers/max(g.sampleRate.Get(g.now), 1e-3)))
}

// missRate is the share of a class's requests that a server leaves unanswered or fails.
func (g *Gateway) missRate(s *server, k *class) float64 {
	m := &s.missRates[k.index]
	return m.value * math.Exp(-(g.now-m.at).Seconds()/(missMemoryFactor*g.serverMemory()))
}

// recordSample takes how a request of a class fared at a server, here or at a gateway that told it: x times the usual
// time, answered or not, or an error. It guards against servers that are slow or fail one class and serve the
// others; it should catch what a server's age, a bad disk or a lost dependency do too, whoever met it first.
// It could harm a server that only costly requests went to.
func (g *Gateway) recordSample(s *server, k *class, relativeTime float64, unsuccessful, notOverload bool) {
	g.sampleRate.Add(g.now, 1)
	v, target := g.missRate(s, k), 0.0
	if unsuccessful {
		target = 1
	}
	s.missRates[k.index] = timedValue{v + missRateGain*(1+g.sparseness())*(target-v), g.now}
	if unsuccessful && !notOverload {
		g.admitShare = max(minAdmitShare, g.admitShare*admitShareDecrease)
	} else if !unsuccessful {
		g.admitShare = min(maxAdmitShare, g.admitShare*admitShareIncrease)
	}
	s.slowFactor, s.slowFactorAt = g.slowness(s), g.now
	if !unsuccessful || relativeTime > s.slowFactor {
		s.slowFactor += slowFactorGain * (min(relativeTime, 20) - s.slowFactor)
	}
}

// recordOwnSample notes how an own request fared and keeps it to be told.
func (g *Gateway) recordOwnSample(s *server, r *request, latency time.Duration, unsuccessful, notOverload bool) {
	k, relativeTime := r.class, latency.Seconds()/r.class.expectedTime(r.units)
	g.recordSample(s, k, relativeTime, unsuccessful, notOverload)
	g.quota.Samples.Add(peermsg.ServerSample{Server: s.key, Class: k.index, RelativeTime: relativeTime,
		Unsuccessful: unsuccessful, NotOverload: notOverload})
	if !unsuccessful {
		k.recordAnswer(r.units, latency.Seconds())
	}
}

// currentLoad is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) currentLoad(s *server) float64 {
	for len(s.abandoned) > 0 && g.now-s.abandoned[0].sentAt > abandonedLoadTime {
		g.removeWork(s, s.abandoned[0].work)
		s.abandoned = s.abandoned[1:]
	}
	return s.openWork
}

// removeWork takes work off a server.
func (g *Gateway) removeWork(s *server, work float64) {
	s.openWork = max(0, s.openWork-work)
	g.totals.openWork -= work
}

// requestWork is what a request asks of a server, in usual requests.
func (g *Gateway) requestWork(r *request) float64 {
	w := r.class.expectedTime(r.units)
	if g.meanTime == 0 {
		g.meanTime = w
	}
	g.meanTime += meanTimeGain * (w - g.meanTime)
	return w / g.meanTime
}

func (g *Gateway) updateTotals() {
	g.removeGoneServers()
	totals := serverTotals{}
	for _, s := range g.serversByID {
		if s.State != Serving {
			continue
		}
		totals.servers++
		totals.openWork += g.currentLoad(s)
		if s.coldUntil <= g.now {
			totals.warmServers++
			totals.warmSendRate += s.sendRate.Get(g.now)
		}
	}
	g.totals = totals
	g.updateWarmServerRate()
}

// updateReachability takes whether an attempt updateReachability its server. One that no connection reaches is down for all
// classes; it is left alone for longer and longer, and then one request at a time finds out. An attempt that
// began before the last failure, or before a later answer, tells nothing new.
func (g *Gateway) updateReachability(s *server, a *attempt, o Outcome) {
	switch {
	case o == OK || o == Error || o == Rejected:
		s.connectFailures, s.avoidUntil = 0, 0
	case o == NoConnection && a.sentAt >= s.lastConnectFailure && a.sentAt > s.lastAnswer:
		s.connectFailures, s.lastConnectFailure = s.connectFailures+1, g.now
		g.avoid(s)
	}
}

func (g *Gateway) avoid(s *server) {
	wait := min(maxAvoidSeconds, initialAvoidSeconds*math.Exp2(float64(s.connectFailures-1))) * (0.75 + 0.5*g.rng.Float64())
	s.avoidUntil = g.now + time.Duration(wait*float64(time.Second))
}

// sparseness is 1 where this gateway sees fewer answers in its memory than there are servers, and less where more.
func (g *Gateway) sparseness() float64 {
	return min(1, g.totals.servers/max(g.answeredWork.Get(g.now)*quota.RateTimeConstant.Seconds(), 1))
}

// recordOutcome takes what an outcome says of its server.
func (g *Gateway) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	g.updateReachability(s, a, e.Outcome)
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.abandoned = append(s.abandoned, abandonedAttempt{a.sentAt, a.work})
	} else {
		g.removeWork(s, a.work)
	}
	switch e.Outcome {
	case OK:
		s.lastAnswer = g.now
		g.answeredWork.Add(g.now, a.work)
		s.abandoned = slices.DeleteFunc(s.abandoned, func(o abandonedAttempt) bool {
			if o.sentAt < a.sentAt {
				g.removeWork(s, o.work)
			}
			return o.sentAt < a.sentAt
		})
		g.recordOwnSample(s, r, e.Latency, false, false)
	case Error:
		g.recordOwnSample(s, r, e.Latency, true, true)
		s.lastAnswer = g.now
	case Rejected:
		g.recordOwnSample(s, r, e.Latency, true, false) // its queue is full: a jam as well
		s.lastAnswer = g.now
	case NoConnection, Reset:
		g.recordOwnSample(s, r, e.Latency, true, true)
	case TimedOut:
		g.recordOwnSample(s, r, e.Latency, true, false)
	}
}

// removeGoneServers drops servers that are gone and of which nothing is out. A cold one stays until it would be warm,
// so that its budget holds if it comes back; where a request may be repeated stands with its attempts.
func (g *Gateway) removeGoneServers() {
	removable := func(s *server) bool { return s.State == Gone && s.openAttempts == 0 && s.coldUntil <= g.now }
	g.serversByHash = slices.DeleteFunc(g.serversByHash, removable)
	g.serversByID = slices.DeleteFunc(g.serversByID, func(s *server) bool {
		if !removable(s) {
			return false
		}
		delete(g.servers, s.ID)
		if g.serversByKey[s.key] == s {
			delete(g.serversByKey, s.key)
		}
		return true
	})
}
