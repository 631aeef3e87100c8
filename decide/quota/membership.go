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
func (t *Tracker) SetMembership(rank int, newRank, isolated bool, peers []PeerStatus) {
	if len(peers) != t.cfg.Gateways || rank < 0 || rank >= t.cfg.Gateways {
		return
	}
	if isolated != t.Isolated {
		t.Isolated = isolated
		t.resetCeilings()
	}
	if newRank || rank != t.Rank {
		t.Rank = rank
		t.resetRank()
	}
	t.inactive = make([]bool, len(peers))
	for i, p := range peers {
		t.inactive[i] = p != PeerActive && i != t.Rank
		if i == t.Rank || i >= len(t.peers) {
			continue
		}
		switch p {
		case PeerUnreachable:
			t.peers[i].unreachable = true
		case PeerAbsent:
			t.peers[i].left, t.peers[i].unreachable = true, false
		}
	}
}

// nextActive is the first number from one on at which a gateway is.
func (t *Tracker) nextActive(i int) int {
	if t.inactive == nil {
		return i
	}
	for n := range len(t.inactive) {
		if at := (i + n) % len(t.inactive); !t.inactive[at] {
			return at
		}
	}
	return i
}

// resetCeilings begins the stores of ceilings anew where they are slices of another size from now on. What homes said is over.
func (t *Tracker) resetCeilings() {
	if t.Mesh {
		return
	}
	for _, c := range t.customers {
		t.Leak(c)
		c.CeilingTokens, c.RefuseUntil = 0, 0
	}
}

// resetRank begins a number: what the peers said was for another one, and the buckets are as after a start, half full, as another may
// have used this number until now.
func (t *Tracker) resetRank() {
	t.epoch = t.rng.Intn(peermsg.CounterModulus)
	for i := range t.peers {
		t.peers[i] = peer{left: t.peers[i].left, unreachable: t.peers[i].unreachable}
	}
	for _, c := range t.customers {
		c.updatedAt, c.settledAt, c.CeilingTokens, c.FallbackTokens = t.Now, t.Now, 0, 0
		c.usedTotal, c.requestedTotal, c.requestedSent = 0, 0, 0
		c.Share = 1 / float64(c.GatewayCount)
		c.Level = max(c.Level, c.Share*InitialFill*c.Plan.Burst)
		c.FallbackLevel, c.FallbackLevelAt = max(c.FallbackLevel, min(1, FallbackFactor*c.Share)*InitialFill*c.Plan.Burst), t.Now
		c.FleetLevel = max(c.FleetLevel, InitialFill*c.Plan.Burst)
		c.coordinators = [MaxCoordinators]int16{}
		clear(c.byPeer)
		clear(c.queued)
	}
}
