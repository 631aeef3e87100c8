package decide

import "time"

// This file dispatches events to the files that decide on them: admission.go, quotacheck.go and coordinator.go decide
// whether a request is admitted; serverchoice.go, servers.go and slowstart.go which server it goes to; retry.go
// whether it is tried again. The rules are enforced in rules.go (effects and final answers), slowstart.go (cold
// servers) and quotacheck.go (ceilings). state.go holds a gateway's state and api.go the interface; packages quota and
// peermsg hold what gateways know about customers' quotas and how they tell each other.

// Handle processes one event at the time now and returns the actions to carry out, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.actions = nil
	g.now = max(now, g.now)
	g.quota.Now = g.now
	if !g.initialized {
		g.initialized, g.started = true, g.now
		g.quota.Start(g.now)
		g.emit(SetTimer{g.now + g.quota.TickInterval(), tickToken})
	}
	switch e := ev.(type) {
	case ServerListUpdate:
		g.updateServerList(e)
	case Request:
		g.handleRequest(e)
	case ResponseStarted:
		if a := g.findAttempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.server.lastAnswer = g.now
		}
	case AttemptEnded:
		g.handleAttemptEnded(e)
	case ClientDisconnected:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.handleTimer(e.Token)
	case PeerMessage:
		if !g.quota.Mesh && g.quota.IsPeer(e.From) {
			g.handlePeerMessage(e.From, e.Text)
		}
		g.quota.ReceiveTotals(e.From, e.Text)
	case MembershipUpdate:
		g.quota.SetMembership(e.Rank, e.RankReassigned, e.Isolated, e.Peers)
	case StateRestored:
		g.quota.Restore(e.Buckets, e.LeakedSeconds)
		g.warmServerRate = max(g.warmServerRate, e.WarmServerRate)
	case Shutdown:
		g.quota.HandOver()
		g.quota.AnnounceLeave()
	}
	return g.actions
}

func (g *Gateway) handleTimer(token uint64) {
	if token == tickToken {
		g.tick()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[ref.requestID]; ok && ref.attempt < 0 && r != nil && r.awaitingGrant {
		g.grantTimedOut(r, ref.at)
	} else if ok && ref.purpose == timerRetry {
		g.retryAfterBackoff(r)
	} else if a := g.findAttempt(ref.requestID, ref.attempt); ok && a != nil && !a.ended {
		if ref.purpose == timerHedge {
			g.hedge(r, a)
		} else {
			g.handleOverdue(r, a)
		}
	}
}

// tick does the periodic work: it sends totals to all peers (to none where customers have coordinators or peers are off),
// sums up the servers, and examines a part of the customers to remove those whose state equals a new one's.
func (g *Gateway) tick() {
	g.emit(SetTimer{g.now + g.quota.TickInterval(), tickToken})
	g.quota.SendTotals()
	g.updateTotals()
	g.quota.Sweep()
}
