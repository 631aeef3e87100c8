package decide

import (
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file decides whether to wait for the word of a customer's home, and for how long, where customers have homes.
const (
	initialRoundTrip       = 30 * time.Millisecond  // wait for a home's word, until round trips were seen ...
	grantTimeoutFactor     = 2.0                    // ... then so many times the usual one, and askLeast more
	grantTimeoutMargin     = 12 * time.Millisecond  // a turn or two of either side
	silentCoordinatorPause = 1 * time.Second        // a home that twice gave no answer is not asked for so long
	grantValidity          = 100 * time.Millisecond // a grant under a ceiling is used within this, which the slack bears
	peersLostAfter         = 3                      // questions in a row in whose time no word came from anyone: none is waited for ...
	peerProbeInterval      = 200 * time.Millisecond // ... but one is put so often, to hear when others are back
)

// requestGrant gets the home's word on a request. Each home is asked twice, as words may be lost; one that was silent
// is left out for a while. Without any word the gateway's own bucket decides, but nothing passes a ceiling.
func (g *Gateway) requestGrant(r *request) {
	c := r.customer
	if g.peersLost() {
		g.probePeers(r)
	}
	for ; r.grantTries < 2*quota.CoordinatorCount(c) && g.now < r.expires && !g.quota.Isolated && !g.peersLost(); r.grantTries++ {
		i := g.quota.Coordinator(c.Key, r.grantTries/2)
		if i == g.quota.Rank {
			ok, _ := g.grant(c, i, r.requestNo, r.units)
			r.grantedBy = i
			g.finishAdmission(r, ok)
			return
		}
		if g.silentUntil[i] > g.now {
			continue
		}
		r.grantTries++
		r.lastAskedAt = g.now
		if r.awaitingGrant = true; r.firstAskedAt == 0 {
			r.firstAskedAt = g.now
		}
		g.pendingGrants[r.requestNo] = r
		g.quota.Send(i, peermsg.KindRequest, c, r.requestNo, r.units)
		g.setTimer(r.ID, -1, min(r.expires, g.now+grantTimeoutMargin+time.Duration(grantTimeoutFactor*float64(g.meanRoundTrip))),
			timerOverdue)
		return
	}
	r.awaitingGrant = false
	g.quota.Leak(c)
	g.finishAdmission(r, g.openCapHasRoom(c) && g.admitWithoutCoordinator(c, r.units))
}

// peersLost reports that nobody is heard: each request would else wait out its questions, a third of a second, for a
// word that can't come.
func (g *Gateway) peersLost() bool { return g.silentTimeouts >= peersLostAfter }

// probePeers asks a home for a request that does not wait for it: any word tells that others are heard again.
func (g *Gateway) probePeers(r *request) {
	if g.now-g.lastPeerProbe < peerProbeInterval {
		return
	}
	for n := range quota.MaxCoordinators {
		if i := g.quota.Coordinator(r.customer.Key, n); i != g.quota.Rank {
			g.lastPeerProbe = g.now
			g.quota.Send(i, peermsg.KindRequest, r.customer, r.requestNo, 0)
			return
		}
	}
}

// grantTimedOut takes that a home gave no answer in time. A gateway that itself stood still waits a little more:
// the answer may be among all that it finds now.
func (g *Gateway) grantTimedOut(r *request, due time.Duration) {
	if g.now-due > grantTimeoutMargin && g.now < r.expires {
		g.setTimer(r.ID, -1, min(r.expires, g.now+grantTimeoutMargin), timerOverdue)
		return
	}
	if g.lastPeerMessage < r.lastAskedAt {
		g.silentTimeouts++
	}
	if r.grantTries%2 == 0 {
		g.silentUntil[g.quota.Coordinator(r.customer.Key, r.grantTries/2-1)] = g.now + silentCoordinatorPause
	}
	delete(g.pendingGrants, r.requestNo)
	g.requestGrant(r)
}

// handlePeerMessage takes a handlePeerMessage of another gateway. What is malformed, unknown or comes to the wrong home is dropped.
func (g *Gateway) handlePeerMessage(from int, text string) {
	w, ok := peermsg.Parse(g.now, text)
	if !ok || w.Plan >= len(g.cfg.Plans) {
		return
	}
	for _, v := range w.Samples[:w.NumSamples] {
		if s := g.serversByKey[v.Server]; s != nil && v.Class < len(g.cfg.Classes) {
			g.recordSample(s, g.classes[g.cfg.Classes[v.Class].Name], v.RelativeTime, v.Unsuccessful, v.NotOverload)
		}
	}
	delete(g.silentUntil, from)
	if g.peersLost() {
		g.quota.FillOverQuotaBuckets()
	}
	g.lastPeerMessage, g.silentTimeouts = g.now, 0
	for _, f := range w.Reports[:w.NumReports] {
		g.quota.OverQuota.Add(f)
	}
	isCoordinator := g.quota.IsCoordinator(w.Key, g.quota.Rank)
	switch {
	case w.Kind == peermsg.KindRequest && w.NumValues == 1 && w.Values[0] >= 0 && isCoordinator:
		g.grantRequestRate.Add(g.now, 1)
		c := g.quota.Customer(w.Key, w.Plan)
		ok, wait := g.grant(c, from, w.RequestNo, w.Values[0])
		granted := 0.0
		if ok {
			granted = 1
		}
		g.quota.Send(from, peermsg.KindReply, c, w.RequestNo, granted, c.FleetLevel, c.FleetDemand.Get(g.now), wait)
	case w.Kind == peermsg.KindSettle && w.NumValues == 1 && isCoordinator:
		g.quota.Settle(g.quota.Customer(w.Key, w.Plan), from, w.RequestNo, w.Values[0])
	case w.Kind == peermsg.KindGrantTotal && w.NumValues == 1 && isCoordinator && g.quota.IsCoordinator(w.Key, from):
		g.quota.ReceiveGrantTotal(g.quota.Customer(w.Key, w.Plan), w.Values[0])
	case w.Kind == peermsg.KindHandover && w.NumValues == 1:
		g.quota.ReceiveHandover(&w)
	case w.Kind == peermsg.KindReply && w.NumValues == 4:
		g.handleGrantReply(from, &w)
	}
}

// handleGrantReply takes the home's word: it settles part and level, and then the bucket decides.
func (g *Gateway) handleGrantReply(from int, w *peermsg.CustomerMessage) {
	r := g.pendingGrants[w.RequestNo]
	if r == nil || r.customer.Key != w.Key {
		return
	}
	ok, level := w.Values[0] > 0, w.Values[1]
	delete(g.pendingGrants, w.RequestNo)
	if r.grantTries == 1 {
		g.meanRoundTrip += time.Duration(0.1 * float64(g.now-r.firstAskedAt-g.meanRoundTrip))
	}
	r.awaitingGrant = false
	c := r.customer
	ok = ok && (c.Plan.CeilingRate == 0 || g.now-r.firstAskedAt <= grantValidity)
	c.TotalDemand, c.TotalDemandAt = w.Values[2], g.now
	g.quota.RecordDecision(c, ok)
	g.quota.Leak(c)
	c.Level = c.Share * level
	if ok {
		r.grantedBy = from
	} else {
		untilRoom := min(1, (level+r.units-c.Plan.Burst)/max(c.Plan.Rate, 1e-9))
		c.RefuseUntil = g.now + time.Duration(max(w.Values[3], untilRoom)*float64(time.Second))
	}
	g.finishAdmission(r, ok)
}

// settleGrant settles a request with the home that granted it: true units, and that its attempt is over.
func (g *Gateway) settleGrant(r *request, extraUnits float64) {
	if r.grantedBy < 0 || (extraUnits == 0 && r.customer.Plan.MaxOpen == 0) {
		return
	}
	if r.grantedBy == g.quota.Rank {
		g.quota.Settle(r.customer, g.quota.Rank, r.requestNo, extraUnits)
	} else {
		g.quota.Send(r.grantedBy, peermsg.KindSettle, r.customer, r.requestNo, extraUnits)
	}
}
