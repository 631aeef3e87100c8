package election

import "hash/fnv"

// This file implements the part of the protocol that a voter runs.

// mayVote reports whether this member is a voter that remembers its grants and is not about to be replaced.
func (t *Table) mayVote() bool {
	return t.slot >= 0 && t.isVoter(t.slot) && t.now >= t.abstainUntil && t.register.confirmed && t.register.Ballot == 0
}

// handleRequest answers a request for a lease. A new number is granted if it is higher than all granted before and
// the last lease is over or the requester's own. A renewal is granted to the holder of the highest number.
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

// handleRelease ends a lease if it is the one that the message names: a late release must not end a later lease.
func (t *Table) handleRelease(m Message) {
	if v := t.grants[m.Duty]; v != nil && v.holder == m.Owner && v.number == m.Number {
		v.holder, v.ownerHash = "", 0
	}
}

// GrantRecord is the highest fencing number that a voter granted of a duty, and to whom. It is passed on to new voters.
type GrantRecord struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	OwnerHash uint32 `json:"By"` // hashOwner of the owner; 0: released
}

// hashOwner returns a short hash of an owner, for messages that have no room for its name.
func hashOwner(owner string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(owner))
	return h.Sum32()
}

// grantRecords returns this voter's records, in the order of the configured duties.
func (t *Table) grantRecords() (all []GrantRecord) {
	for _, d := range t.cfg.Duties {
		all = append(all, GrantRecord{Number: t.grants[d].number, OwnerHash: t.grants[d].ownerHash})
	}
	return all
}

// mergeGrants takes over records of other voters that have higher numbers.
func (t *Table) mergeGrants(all []GrantRecord) {
	for i, g := range all[:min(len(all), len(t.cfg.Duties))] {
		if v := t.grants[t.cfg.Duties[i]]; g.Number > v.number {
			v.number, v.ownerHash = g.Number, g.OwnerHash
		}
	}
}
