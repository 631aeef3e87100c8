package gateway

import (
	"context"

	"sloepick/decide"
	"sloepick/internal/fleet"
)

// FleetMember is the gateway's membership in a fleet: it reports the state of the membership to the Core and
// delivers the decision module's messages between gateways.
type FleetMember interface {
	PeerTransport
	// Serve takes part in the fleet until the context ends, and then leaves it.
	Serve(ctx context.Context, core *Core)
	// IsCurrent reports that the membership with that sequence number is the latest one and has not expired: a
	// process that was suspended must not rely on an old membership. It may be called from any goroutine.
	IsCurrent(seq uint64) bool
}

// membership is the state of this gateway's membership in its fleet.
type membership struct {
	number   int // this gateway's number; negative: it may not admit requests
	term     uint64
	seq      uint64 // sequence number of the update
	assigned bool   // it has had a gateway number before
}

// SetMembership updates the state of the gateway's membership in its fleet. seq is the sequence number of the
// update.
func (c *Core) SetMembership(s fleet.Assignment, seq uint64) {
	c.Post(func() { c.l.setMembership(s, seq) })
}

// DeliverMessage delivers a message from the gateway with that number.
func (c *Core) DeliverMessage(from int, text string) { c.l.postPeerMessage(from, text) }

func (l *eventLoop) setMembership(s fleet.Assignment, seq uint64) {
	prev := l.membership
	l.membership.seq, l.membership.number = seq, s.Slot
	if s.Slot < 0 {
		return // open requests continue under the previous number
	}
	l.membership.term, l.membership.assigned = s.Term, true
	e := decide.MembershipUpdate{Rank: s.Slot, Isolated: s.Isolated, Peers: make([]decide.PeerStatus, len(s.Holders)),
		RankReassigned: prev.assigned && (s.Slot != l.rank || s.Term != prev.term)}
	for i, h := range s.Holders {
		switch {
		case h.Name == "" || h.State == fleet.Left:
			e.Peers[i] = decide.PeerAbsent
		case h.State == fleet.Lost:
			e.Peers[i] = decide.PeerUnreachable
		}
	}
	l.rank = s.Slot
	l.enqueue(e)
	if l.recovery != nil {
		alive := 0
		for _, h := range s.Holders {
			if h.Name != "" && h.State == fleet.Alive {
				alive++
			}
		}
		l.recovery.join(alive)
	}
	l.notifyReady()
}

// mayAcceptRequests reports that the gateway has a current gateway number, or needs none.
func (l *eventLoop) mayAcceptRequests() bool {
	return l.cfg.Member == nil || l.membership.number >= 0 && l.cfg.Member.IsCurrent(l.membership.seq)
}
