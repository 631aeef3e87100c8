package quota

import "sloepick/decide/peermsg"

// PeerStatus is whether the gateway of a number is there.
type PeerStatus int

// The presences.
const (
	PeerActive      PeerStatus = iota
	PeerUnreachable            // it may be at work, cut off, and keep its even part
	PeerAbsent                 // nobody has the number, or who had it said goodbye
)

// SetMembership takes what the fleet has agreed on: whose part counts, who keeps a customer's bucket, and whether this gateway's
// number is taken anew. What is of another fleet than the one that this gateway is configured for is dropped.
func (b *Tracker) SetMembership(rank int, newRank, isolated bool, peers []PeerStatus) {
	if len(peers) != b.cfg.Gateways || rank < 0 || rank >= b.cfg.Gateways {
		return
	}
	if isolated != b.Isolated {
		b.Isolated = isolated
		b.resetCeilings()
	}
	if newRank || rank != b.Rank {
		b.Rank = rank
		b.resetRank()
	}
	b.inactive = make([]bool, len(peers))
	for i, p := range peers {
		b.inactive[i] = p != PeerActive && i != b.Rank
		if i == b.Rank || i >= len(b.peers) {
			continue
		}
		switch p {
		case PeerUnreachable:
			b.peers[i].unreachable = true
		case PeerAbsent:
			b.peers[i].left, b.peers[i].unreachable = true, false
		}
	}
}

// nextActive is the first number from one on at which a gateway is.
func (b *Tracker) nextActive(i int) int {
	if b.inactive == nil {
		return i
	}
	for n := range len(b.inactive) {
		if at := (i + n) % len(b.inactive); !b.inactive[at] {
			return at
		}
	}
	return i
}

// resetCeilings begins the stores of ceilings anew where they are slices of another size from now on. What homes said is over.
func (b *Tracker) resetCeilings() {
	if b.Mesh {
		return
	}
	for _, c := range b.customers {
		b.Leak(c)
		c.CeilingTokens, c.RefuseUntil = 0, 0
	}
}

// resetRank begins a number: what the peers said was for another one, and the buckets are as after a start, half full, as another may
// have used this number until now.
func (b *Tracker) resetRank() {
	b.epoch = b.rng.Intn(peermsg.CounterModulus)
	for i := range b.peers {
		b.peers[i] = peer{left: b.peers[i].left, unreachable: b.peers[i].unreachable}
	}
	for _, c := range b.customers {
		c.updatedAt, c.settledAt, c.CeilingTokens, c.FallbackTokens = b.Now, b.Now, 0, 0
		c.usedTotal, c.requestedTotal, c.requestedSent = 0, 0, 0
		c.Share = 1 / float64(c.GatewayCount)
		c.Level = max(c.Level, c.Share*InitialFill*c.Plan.Burst)
		c.FallbackLevel, c.FallbackLevelAt = max(c.FallbackLevel, min(1, FallbackFactor*c.Share)*InitialFill*c.Plan.Burst), b.Now
		c.FleetLevel = max(c.FleetLevel, InitialFill*c.Plan.Burst)
		c.coordinators = [MaxCoordinators]int16{}
		clear(c.byPeer)
		clear(c.queued)
	}
}
