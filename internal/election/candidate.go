package election

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// This file implements the part of the protocol that a duty's owner and its candidates run.

func (t *Table) receive(from int, m Message) {
	switch m.Kind {
	case Request:
		t.handleRequest(from, m)
		return
	case Release:
		t.handleRelease(m)
		return
	case Grant, Deny:
	default:
		t.handleElectorateMessage(from, m)
		return
	}
	b := t.candidacies[m.Duty]
	if b == nil || !slices.Contains(b.voters, from) || m.Round != b.round || !b.awaiting {
		return
	}
	if m.Kind == Deny {
		b.highestSeen = max(b.highestSeen, m.Number)
		if m.Owner != "" && m.Owner != t.identity {
			b.rival, b.rivalUntil = m.Owner, t.now+m.LeaseLeft
		}
		return
	}
	if m.Number != b.number || m.Epoch != b.epoch || slices.Contains(b.roundGrants, from) {
		return
	}
	b.roundGrants = append(b.roundGrants, from)
	if !slices.Contains(b.grantedBy, from) {
		b.grantedBy = append(b.grantedBy, from)
	}
	if 2*len(b.roundGrants) <= len(b.voters) {
		return
	}
	// The lease counts from when the requests were sent: the voters' leases began later.
	if until := b.requestedAt + t.cfg.ownerLease(); until > t.now {
		b.leaseEnd, b.awaiting, b.nextRequest = until, false, b.requestedAt+t.cfg.RenewInterval
		if !b.isOwner {
			b.isOwner = true
			t.emit(Acquired{m.Duty, b.number})
		}
	}
}

func (t *Table) tickCandidacies() {
	for _, d := range t.cfg.Duties {
		b := t.candidacies[d]
		if b.isOwner && t.now >= b.leaseEnd {
			t.endOwnership(d, b)
		}
		if b.awaiting && t.now >= b.requestedAt+t.cfg.AnswerTimeout {
			b.awaiting = false
			if !b.isOwner {
				t.releaseGrants(d, b) // it did not get a majority
				b.nextRequest = t.now + t.cfg.AnswerTimeout + b.delay
			}
		}
		switch {
		case t.slot < 0 || b.awaiting || t.now < b.nextRequest:
		case b.isOwner:
			t.sendRequests(d, b)
		case b.candidate && t.now >= b.resignedUntil && t.now >= b.rivalUntil+b.delay:
			b.number, b.grantedBy = max(b.highestSeen+1, b.number+1, t.wallMillis), nil
			t.sendRequests(d, b)
		}
	}
}

// sendRequests asks all voters for a lease.
func (t *Table) sendRequests(d string, b *candidacy) {
	t.lastRound++
	b.round, b.requestedAt, b.awaiting, b.roundGrants = t.lastRound, t.now, true, nil
	b.epoch, b.voters = t.register.Epoch, t.register.Voters
	for _, p := range b.voters {
		t.emit(Send{p, Message{Kind: Request, Duty: d, Number: b.number, Owner: t.identity, Round: b.round, Epoch: b.epoch}})
	}
}

// releaseGrants tells the voters that granted the current number that they may grant another one at once.
func (t *Table) releaseGrants(d string, b *candidacy) {
	for _, p := range b.grantedBy {
		t.emit(Send{p, Message{Kind: Release, Duty: d, Number: b.number, Owner: t.identity}})
	}
	b.grantedBy = nil
}

// endOwnership ends an ownership. Late answers to its renewal are ignored, as the next ownership has a number of its
// own.
func (t *Table) endOwnership(d string, b *candidacy) {
	if b.isOwner {
		b.isOwner, b.awaiting, b.leaseEnd = false, false, 0
		t.emit(Lost{d})
	}
}

// resign ends an ownership early. This member does not request the duty again for the time of a lease.
func (t *Table) resign(d string, b *candidacy) {
	b.awaiting = false
	t.endOwnership(d, b)
	t.releaseGrants(d, b)
	b.resignedUntil = t.now + t.cfg.Lease
}

// updateOrder determines for which duties this member is a candidate, and with which delay. Only the first few
// members in a duty's order are candidates, as requests of more would only be denied. If those fail, others move up,
// as the order is that of the members that are alive.
func (t *Table) updateOrder() {
	t.proposerRank = slices.Index(CandidateOrder(electorateDuty, t.alive), t.cfg.Self)
	for _, d := range t.cfg.Duties {
		n := slices.Index(CandidateOrder(d, t.alive), t.cfg.Self)
		t.candidacies[d].candidate, t.candidacies[d].delay = n >= 0 && n < maxCandidates, t.cfg.CandidateDelay*time.Duration(n)
	}
}

const maxCandidates = 3 // per duty

// CandidateOrder returns the order in which members request a duty. It uses rendezvous hashing: duties are spread
// over all members, and the failure of one moves only its own duties.
func CandidateOrder(duty string, members []string) []string {
	score := map[string]uint64{}
	for _, m := range members {
		h := fnv.New64a()
		h.Write([]byte(duty + "\x00" + m))
		score[m] = h.Sum64()
	}
	return slices.SortedFunc(maps.Keys(score), func(a, b string) int { return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(a, b)) })
}
