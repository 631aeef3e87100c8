package decide

import "time"

// This file takes events to what decides on them: letin.go, admit.go and ask.go whether a request is let in; choose.go, servers.go and
// cold.go which server it goes to; attempts.go whether it is tried again; rules.go what the rules forbid. state.go holds what a gateway
// keeps, api.go the interface; packages quota and words what gateways know and tell of customers' quotas.

// Handle takes one event at the time now and returns what is to be done, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.out = nil
	g.now = max(now, g.now)
	g.quota.Now = g.now
	if !g.begun {
		g.begun, g.started = true, g.now
		g.quota.Start(g.now)
		g.do(SetTimer{g.now + g.quota.TickInterval(), beatToken})
	}
	switch e := ev.(type) {
	case ServerListUpdate:
		g.fleet(e)
	case Request:
		g.request(e)
	case ResponseStarted:
		if a := g.attempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.server.lastGood = g.now
		}
	case AttemptEnded:
		g.ended(e)
	case ClientDisconnected:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.timer(e.Token)
	case PeerMessage:
		if !g.quota.Mesh && g.quota.IsPeer(e.From) {
			g.word(e.From, e.Text)
		}
		g.quota.ReceiveTotals(e.From, e.Text)
	case MembershipUpdate:
		g.quota.SetMembership(e.Rank, e.RankReassigned, e.Isolated, e.Peers)
	case StateRestored:
		g.quota.Restore(e.Buckets, e.LeakedSeconds)
		g.before = max(g.before, e.WarmServerRate)
	case Shutdown:
		g.quota.HandOver()
		g.quota.AnnounceLeave()
	}
	return g.out
}

func (g *Gateway) timer(token uint64) {
	if token == beatToken {
		g.beat()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[ref.id]; ok && ref.n < 0 && r != nil && r.asking {
		g.unheard(r, ref.due)
	} else if ok && ref.why == forAgain {
		g.waited(r)
	} else if a := g.attempt(ref.id, ref.n); ok && a != nil && !a.over {
		if ref.why == forCopy {
			g.copy(r, a)
		} else {
			g.overdue(r, a)
		}
	}
}

// beat is the upkeep: peers are told, servers counted, customers forgotten of whom nothing is left to know.
func (g *Gateway) beat() {
	g.do(SetTimer{g.now + g.quota.TickInterval(), beatToken})
	g.quota.SendTotals()
	g.survey()
	g.quota.Sweep()
}
