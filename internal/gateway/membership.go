package gateway

import (
	"context"

	"sloepick/decide"
	"sloepick/internal/fleet"
)

// FleetMember takes part in a fleet for the gateway: it tells by the Door how the gateway stands, and carries the module's messages
// from place to place.
type FleetMember interface {
	PeerTransport
	// Serve takes part until the context ends, and then leaves.
	Serve(ctx context.Context, core *Core)
	// IsCurrent reports that the standing of that number is the last one and still good: a process that stood still must not go by
	// what it was told before. It may be called from any goroutine.
	IsCurrent(seq uint64) bool
}

// membership is what a gateway in a fleet was told.
type membership struct {
	number   int // below 0: it may let nothing in
	term     uint64
	seq      uint64 // of the standing
	assigned bool   // a place before
}

// SetMembership lets the loop take how the gateway stands in its fleet. Standings are counted.
func (c *Core) SetMembership(s fleet.Assignment, seq uint64) {
	c.Post(func() { c.l.setMembership(s, seq) })
}

// DeliverMessage lets the loop take a message of the gateway in that place.
func (c *Core) DeliverMessage(from int, text string) { c.l.postPeerMessage(from, text) }

func (l *eventLoop) setMembership(s fleet.Assignment, seq uint64) {
	prev := l.membership
	l.membership.seq, l.membership.number = seq, s.Slot
	if s.Slot < 0 {
		return // what is open goes on by the number that it had
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

// mayAcceptRequests reports that the gateway has a place, or needs none.
func (l *eventLoop) mayAcceptRequests() bool {
	return l.cfg.Member == nil || l.membership.number >= 0 && l.cfg.Member.IsCurrent(l.membership.seq)
}
