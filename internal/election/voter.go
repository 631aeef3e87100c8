package election

import "hash/fnv"

// This file is a member's part as a voter.

// mayVote reports that it votes, remembers what it granted, and that no other voters are about to take its place.
func (t *Table) mayVote() bool {
	return t.slot >= 0 && t.isVoter(t.slot) && t.now >= t.abstainUntil && t.register.confirmed && t.register.Ballot == 0
}

// handleRequest answers a question. It is granted if the number is above all that were granted, and the lease of the last one is over or the
// asker's own; and renewed to its holder.
func (t *Table) handleRequest(from int, m Message) {
	v := t.grants[m.Duty]
	if v == nil || !t.sameEpoch(from, m) || !t.mayVote() {
		return
	}
	held := v.holder != "" && t.now < v.until
	renews := v.ownerHash != 0 && m.Number == v.number && v.ownerHash == hashOwner(m.Owner)
	if m.Number <= v.number && !renews || held && v.holder != m.Owner {
		d := Message{Kind: Deny, Duty: m.Duty, Number: v.number, Round: m.Round}
		if held {
			d.Owner, d.LeaseLeft = v.holder, v.until-t.now
		}
		t.emit(Send{from, d})
		return
	}
	v.number, v.ownerHash, v.holder, v.until = m.Number, hashOwner(m.Owner), m.Owner, t.now+t.cfg.Lease
	t.emit(Send{from, Message{Kind: Grant, Duty: m.Duty, Number: m.Number, Owner: m.Owner, Round: m.Round, Epoch: t.register.Epoch}})
}

// handleRelease lets go of a lease, if it is that one: a late word must not end a later ownership.
func (t *Table) handleRelease(m Message) {
	if v := t.grants[m.Duty]; v != nil && v.holder == m.Owner && v.number == m.Number {
		v.holder, v.ownerHash = "", 0
	}
}

// GrantRecord is the highest number that a voter granted of a duty, and to whom, as those who follow it as voters are told.
type GrantRecord struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	OwnerHash uint32 `json:"By"` // markOf its owner; 0: it let go
}

// hashOwner stands for an owner where there is no room for its name.
func hashOwner(owner string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(owner))
	return h.Sum32()
}

// grantRecords are this voter's, in the order of the configuration's duties.
func (t *Table) grantRecords() (all []GrantRecord) {
	for _, d := range t.cfg.Duties {
		all = append(all, GrantRecord{Number: t.grants[d].number, OwnerHash: t.grants[d].ownerHash})
	}
	return all
}

// mergeGrants takes what others granted.
func (t *Table) mergeGrants(all []GrantRecord) {
	for i, g := range all[:min(len(all), len(t.cfg.Duties))] {
		if v := t.grants[t.cfg.Duties[i]]; g.Number > v.number {
			v.number, v.ownerHash = g.Number, g.OwnerHash
		}
	}
}
