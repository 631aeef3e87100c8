package decide

import (
	"math"
	"slices"
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file estimates the state of the servers: slow, failing a class's requests, unreachable, loaded.
const (
	meanTimeGain        = 0.01                    // gain of the mean time of requests, the unit in which load is counted
	classTimeGain       = 0.03                    // gain of a class's mean time: low, as servers are compared with it
	slowFactorGain      = 0.2                     // gain of a server's slow factor relative to that: a few answers suffice
	initialTimeShare    = 0.2                     // share of the latency target: a class's mean time before its first answer
	minServerMemory     = 2 * time.Second         // shortest time constant of slow factors: they fade, so unused servers are retried
	memoryAnswers       = 4.0                     // mean number of a server's answers that the time constant spans ...
	maxServerMemory     = 20.0                    // ... up to this many seconds
	missMemoryFactor    = 2.0                     // time constant of miss rates, as a multiple of that
	missRateGain        = 0.25                    // gain of a server's miss rate for a class
	initialAvoidSeconds = 0.25                    // seconds for which a server is avoided that no connection reached ...
	maxAvoidSeconds     = 4.0                     // ... doubled by each further failure, up to this
	abandonedLoadTime   = 1500 * time.Millisecond // abandoned attempts count as load no longer than this
	admitShareDecrease  = 0.85                    // factor on the admitted share for a missed answer, own or reported ...
	admitShareIncrease  = 1.03                    // ... and for one that came: the share holds where one of six is missed
	minAdmitShare       = 0.08                    // lowest admitted share: enough to detect that an overload is over
	maxAdmitShare       = 2.2                     // above 1 nothing is shed: room for chance
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
	if e.State == Gone { // its cell and zone may be missing here and are kept, as retries depend on them
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

// slowness returns the server's slow factor, decayed by the time since its last answer.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slowFactor-1)*math.Exp(-(g.now-s.slowFactorAt).Seconds()/g.serverMemory())
}

// serverMemory returns the time constant, in seconds, of what is known about a server: longer where its answers are rare.
func (g *Gateway) serverMemory() float64 {
	return min(maxServerMemory, max(minServerMemory.Seconds(), memoryAnswers*g.totals.servers/max(g.sampleRate.Get(g.now), 1e-3)))
}

// missRate returns the share of a class's requests that a server fails or leaves unanswered.
func (g *Gateway) missRate(s *server, k *class) float64 {
	m := &s.missRates[k.index]
	return m.value * math.Exp(-(g.now-m.at).Seconds()/(missMemoryFactor*g.serverMemory()))
}

// recordSample records how a request of a class fared at a server, here or at a gateway that reported it: its time as
// a multiple of the expected one, whether it was unsuccessful, and if so whether that is no sign of overload. It
// guards against servers that are slow, or that fail one class and serve the others, whatever the cause (age, a bad
// disk, a lost dependency) and whichever gateway finds it first. It could do harm to a server that only expensive
// requests went to.
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

// recordOwnSample records how a request of this gateway fared and keeps the sample for messages to peers.
func (g *Gateway) recordOwnSample(s *server, r *request, latency time.Duration, unsuccessful, notOverload bool) {
	k, relativeTime := r.class, latency.Seconds()/r.class.expectedTime(r.units)
	g.recordSample(s, k, relativeTime, unsuccessful, notOverload)
	g.quota.Samples.Add(peermsg.ServerSample{Server: s.key, Class: k.index, RelativeTime: relativeTime,
		Unsuccessful: unsuccessful, NotOverload: notOverload})
	if !unsuccessful {
		k.recordAnswer(r.units, latency.Seconds())
	}
}

// currentLoad returns this gateway's work at the server: open attempts and abandoned ones. An overloaded server works
// on attempts that have timed out while few are open; not counting those would feed the overload. Where a server
// drops such work, the first later answer clears it, so that it costs little.
func (g *Gateway) currentLoad(s *server) float64 {
	for len(s.abandoned) > 0 && g.now-s.abandoned[0].sentAt > abandonedLoadTime {
		g.removeWork(s, s.abandoned[0].work)
		s.abandoned = s.abandoned[1:]
	}
	return s.openWork
}

// removeWork subtracts work from a server's load.
func (g *Gateway) removeWork(s *server, work float64) {
	s.openWork = max(0, s.openWork-work)
	g.totals.openWork -= work
}

// requestWork returns the work of a request, in typical requests.
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

// updateReachability records whether an attempt reached its server. A server that no connection reaches is down for
// all classes: it is avoided for longer and longer, and then tried by one request at a time. An attempt that began
// before the last failure, or before a later answer, says nothing new.
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

// sparseness is 1 where this gateway gets fewer answers in its memory than there are servers, and less where it gets
// more.
func (g *Gateway) sparseness() float64 {
	return min(1, g.totals.servers/max(g.answeredWork.Get(g.now)*quota.RateTimeConstant.Seconds(), 1))
}

// recordOutcome updates what is known about an attempt's server by its outcome.
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
		g.recordOwnSample(s, r, e.Latency, true, false) // its queue is full: overload as well
		s.lastAnswer = g.now
	case NoConnection, Reset:
		g.recordOwnSample(s, r, e.Latency, true, true)
	case TimedOut:
		g.recordOwnSample(s, r, e.Latency, true, false)
	}
}

// removeGoneServers removes servers that are gone and have no open attempts. A cold one is kept until it would be
// warm, so that its budget holds if it comes back. Attempts keep their server, which decides where a request may be
// repeated.
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
