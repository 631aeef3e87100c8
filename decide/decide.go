package decide

import "time"

// This file takes events to what decides on them: letin.go, admit.go and ask.go whether a request is let in; choose.go, servers.go and
// cold.go which server it goes to; attempts.go whether it is tried again; rules.go what the rules forbid. state.go holds what a gateway
// keeps, api.go the interface; packages quota and words what gateways know and tell of customers' quotas.

// Handle takes one event at the time now and returns what is to be done, in order.
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

// tick is the upkeep: peers are told, servers counted, customers forgotten of whom nothing is left to know.
func (g *Gateway) tick() {
	g.emit(SetTimer{g.now + g.quota.TickInterval(), tickToken})
	g.quota.SendTotals()
	g.updateTotals()
	g.quota.Sweep()
}
