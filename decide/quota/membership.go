package quota

import "sloepick/decide/peermsg"

// PeerStatus is the status of the gateway with a given rank.
type PeerStatus int

// The statuses of a peer.
const (
	PeerActive      PeerStatus = iota
	PeerUnreachable            // it may be working but cut off, and use its even share
	PeerAbsent                 // nobody holds the rank, or its holder announced that it leaves
)

// SetMembership applies what the fleet has agreed on: whose shares count, which gateways may coordinate customers, and
// whether this gateway's rank is newly assigned to it. Membership of a fleet of another size than configured is ignored.
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

// nextActive returns the first rank from i on, wrapping around, whose gateway is active.
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

// resetCeilings empties ceiling tokens where this gateway's share of ceilings has another size from now on, and drops the
// refusals of coordinators.
func (t *Tracker) resetCeilings() {
	if t.Mesh {
		return
	}
	for _, c := range t.customers {
		t.Leak(c)
		c.CeilingTokens, c.RefuseUntil = 0, 0
	}
}

// resetRank starts over under a new rank. What peers sent was meant for another rank. Buckets are filled as after a start,
// because another gateway may have used this rank until now.
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
