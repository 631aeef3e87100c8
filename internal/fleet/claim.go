package fleet

import (
	"cmp"
	"slices"
	"time"
)

// postponeClaim delays a claim because the table is still changing.
func (t *Table) postponeClaim() {
	t.claimAfter = max(t.claimAfter, min(t.now+t.cfg.ClaimDelay, t.waitingSince+t.maxClaimDelay()))
}

// maxClaimDelay returns the limit on the wait for a stable table. It grows with the fleet, as announcements take
// longer to reach all members.
func (t *Table) maxClaimDelay() time.Duration {
	return t.cfg.MaxClaimDelay * time.Duration(max(1, (1+len(t.members))/membersPerClaimDelay))
}

// learnTerm records the highest term of a slot from any source.
func (t *Table) learnTerm(c Claim) {
	if c.Slot >= 0 && c.Slot < len(t.terms) && c.Term > t.terms[c.Slot] {
		t.terms[c.Slot], t.holdersStale = c.Term, true
	}
}

// setClaim changes this member's claim and announces it.
func (t *Table) setClaim(c Claim) {
	if t.self.Claim == c {
		return
	}
	t.self.Claim, t.holdersStale = c, true
	t.learnTerm(c)
	t.emit(Announce{t.self})
}

// updateClaim keeps, gives up or makes a claim.
func (t *Table) updateClaim() {
	c, holders := t.self.Claim, t.slotHolders()
	switch {
	case t.leaving:
	case c.Slot >= 0 && holders[c.Slot].Name != t.self.Name:
		t.logf("claim on slot %d is void; its holder is now %q", c.Slot, holders[c.Slot].Name)
		t.dropClaim()
	case c.Slot >= 0 && t.now-t.lastMajority >= t.cfg.Lease:
		t.logf("slot %d is given up: the lease expired without a majority", c.Slot)
		t.dropClaim()
	case t.slotInUse || !t.synced || t.resuming:
	case t.isolated:
		if t.restored && c.Slot >= 0 && t.othersLackMajority && t.now-t.startedAt >= t.cfg.IsolatedRestoreDelay {
			t.logf("slot %d is taken up alone: no others can have a majority", c.Slot)
			t.slotInUse, t.lastClaim = true, c
		}
	case c.Slot >= 0 && (t.restored || t.now >= t.claimAfter):
		t.slotInUse, t.lastClaim = true, c
	case c.Slot < 0 && t.now >= t.claimAfter:
		if p, ok := t.chooseSlot(holders); ok {
			t.waitingSince, t.claimAfter = t.now, t.now+t.cfg.ConfirmDelay
			t.setClaim(Claim{p, t.terms[p] + 1})
		}
	}
}

// restoreClaim takes over the claim of this member's previous incarnation. It may be used at once: a member that
// claims the same slot meanwhile waits for Config.ConfirmDelay, and its claim is known here by then.
func (t *Table) restoreClaim(c Claim) {
	if c.Slot < 0 || c.Slot >= t.cfg.Slots || t.self.Claim.Slot >= 0 || t.leaving {
		return
	}
	t.restored, t.lastClaim = true, c
	t.setClaim(c)
}

func (t *Table) dropClaim() {
	t.slotInUse, t.restored, t.waitingSince, t.claimAfter = false, false, t.now, t.now+t.cfg.ClaimDelay
	t.setClaim(NoClaim)
}

// slotHolders returns the holders of all slots: the winners of the claims.
func (t *Table) slotHolders() []Holder {
	if !t.holdersStale {
		return t.holderCache
	}
	t.holdersStale = false
	holders := make([]Holder, t.cfg.Slots)
	consider := func(m *Member, s State) {
		p := m.Claim.Slot
		if p < 0 || p >= len(holders) || m.Claim.Term < t.terms[p] {
			return
		}
		if h := &holders[p]; h.Name == "" || m.Name < h.Name {
			*h = Holder{m.Name, m.Incarnation, s}
		}
	}
	consider(&t.self, Alive)
	for _, r := range t.members {
		if r.state == Alive || t.now-r.since < t.cfg.ReservationPeriod {
			consider(&r.Member, r.state)
		}
	}
	t.holderCache = holders
	return holders
}

// chooseSlot selects a slot to claim: the last one used, if it is free, else one of the free slots in the order of
// their terms, lowest first. The position in that order is this member's rank among the members without a slot, so
// that members with the same knowledge choose different slots.
func (t *Table) chooseSlot(holders []Holder) (slot int, ok bool) {
	var free []int
	for p, h := range holders {
		if h.Name == "" {
			free = append(free, p)
		}
	}
	if slices.Contains(free, t.lastClaim.Slot) {
		return t.lastClaim.Slot, true
	}
	rank, waiting := 0, 1 // members without a slot that sort before this one; all members without a slot
	for _, r := range t.members {
		if c := r.Claim; r.state == Alive && (c.Slot < 0 || c.Slot >= len(holders) || holders[c.Slot].Name != r.Name) {
			waiting++
			if r.Name < t.self.Name {
				rank++
			}
		}
	}
	slices.SortStableFunc(free, func(a, b int) int { return cmp.Compare(t.terms[a], t.terms[b]) })
	if rank >= len(free) {
		t.claimAfter = t.now + t.cfg.ConfirmDelay
		if !t.noFreeSlot {
			t.logf("no free slot: %d slots, %d waiting members", t.cfg.Slots, waiting)
		}
		t.noFreeSlot = true
		return 0, false
	}
	t.noFreeSlot = false
	return free[rank], true
}
