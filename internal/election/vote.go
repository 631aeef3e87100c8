package election

import "hash/fnv"

// This file is a member's part as a voter.

// mayVote reports that it votes, remembers what it granted, and that no other voters are about to take its place.
func (t *Table) mayVote() bool {
	return t.place >= 0 && t.seats(t.place) && t.now >= t.abstain && t.reg.read && t.reg.Ballot == 0
}

// ask answers a question. It is granted if the number is above all that were granted, and the lease of the last one is over or the
// asker's own; and renewed to its holder.
func (t *Table) ask(from int, m Message) {
	v := t.votes[m.Duty]
	if v == nil || !t.sameEpoch(from, m) || !t.mayVote() {
		return
	}
	held := v.holder != "" && t.now < v.until
	renews := v.by != 0 && m.Number == v.number && v.by == markOf(m.Owner)
	if m.Number <= v.number && !renews || held && v.holder != m.Owner {
		d := Message{Kind: Deny, Duty: m.Duty, Number: v.number, Round: m.Round}
		if held {
			d.Owner, d.LeaseLeft = v.holder, v.until-t.now
		}
		t.do(Send{from, d})
		return
	}
	v.number, v.by, v.holder, v.until = m.Number, markOf(m.Owner), m.Owner, t.now+t.cfg.Lease
	t.do(Send{from, Message{Kind: Grant, Duty: m.Duty, Number: m.Number, Owner: m.Owner, Round: m.Round, Epoch: t.reg.Epoch}})
}

// free lets go of a lease, if it is that one: a late word must not end a later ownership.
func (t *Table) free(m Message) {
	if v := t.votes[m.Duty]; v != nil && v.holder == m.Owner && v.number == m.Number {
		v.holder, v.by = "", 0
	}
}

// GrantRecord is the highest number that a voter granted of a duty, and to whom, as those who follow it as voters are told.
type GrantRecord struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	OwnerHash uint32 `json:"By"` // markOf its owner; 0: it let go
}

// markOf stands for an owner where there is no room for its name.
func markOf(who string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(who))
	return h.Sum32()
}

// granted are this voter's, in the order of the configuration's duties.
func (t *Table) granted() (all []GrantRecord) {
	for _, d := range t.cfg.Duties {
		all = append(all, GrantRecord{Number: t.votes[d].number, OwnerHash: t.votes[d].by})
	}
	return all
}

// remember takes what others granted.
func (t *Table) remember(all []GrantRecord) {
	for i, g := range all[:min(len(all), len(t.cfg.Duties))] {
		if v := t.votes[t.cfg.Duties[i]]; g.Number > v.number {
			v.number, v.by = g.Number, g.OwnerHash
		}
	}
}
