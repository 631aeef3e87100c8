package decide

import (
	"time"

	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file decides whether a request waits for the reply of its customer's coordinator, and for how long, in fleets
// that have them.
const (
	initialRoundTrip       = 30 * time.Millisecond  // assumed round trip to a coordinator, until one was measured
	grantTimeoutFactor     = 2.0                    // a grant request times out after this many mean round trips ...
	grantTimeoutMargin     = 12 * time.Millisecond  // ... and this, for a scheduling delay or two on either side
	silentCoordinatorPause = 1 * time.Second        // a coordinator that failed to answer twice is skipped for this long
	grantValidity          = 100 * time.Millisecond // a grant under a ceiling is used within this: the slack covers it
	peersLostAfter         = 3                      // grant requests in a row without any message, after which no request waits ...
	peerProbeInterval      = 200 * time.Millisecond // ... and a probe is sent at this interval, to detect that peers are back
)

// requestGrant asks the customer's coordinators. Each is asked twice, as messages may be lost; one that did not
// answer is skipped for a while. Without any reply this gateway's own bucket decides, but no ceiling is exceeded.
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

// peersLost reports whether messages of peers fail to arrive. Each request would otherwise wait out its grant
// requests, a third of a second, for a reply that can't come.
func (g *Gateway) peersLost() bool { return g.silentTimeouts >= peersLostAfter }

// probePeers sends a coordinator a grant request that no request waits for: any message in return shows that peers
// are reachable.
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

// grantTimedOut handles a grant request without a reply in time. A gateway that was itself stalled waits a little
// longer, as the reply may be among the events that it has yet to handle.
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

// handlePeerMessage handles a message about one customer. One that is malformed, of an unknown plan or for another
// coordinator is dropped.
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

// handleGrantReply handles a coordinator's reply: it updates the customer's share and level, and the request is
// admitted or refused.
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

// settleGrant informs the coordinator that granted a request of its actual units and that its attempt has ended.
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
