package election

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// This file is a member's part as one that owns duties, or would.

func (t *Table) heard(from int, m Message) {
	switch m.Kind {
	case Request:
		t.ask(from, m)
		return
	case Release:
		t.free(m)
		return
	case Grant, Deny:
	default:
		t.aboutVoters(from, m)
		return
	}
	b := t.bids[m.Duty]
	if b == nil || !slices.Contains(b.seats, from) || m.Round != b.round || !b.asking {
		return
	}
	if m.Kind == Deny {
		b.above = max(b.above, m.Number)
		if m.Owner != "" && m.Owner != t.who {
			b.rival, b.rivalFor = m.Owner, t.now+m.LeaseLeft
		}
		return
	}
	if m.Number != b.number || m.Epoch != b.epoch || slices.Contains(b.grants, from) {
		return
	}
	b.grants = append(b.grants, from)
	if !slices.Contains(b.granted, from) {
		b.granted = append(b.granted, from)
	}
	if 2*len(b.grants) <= len(b.seats) {
		return
	}
	// It counts from when it asked: a voter's lease began later.
	if until := b.asked + t.cfg.holds(); until > t.now {
		b.until, b.asking, b.next = until, false, b.asked+t.cfg.RenewInterval
		if !b.owns {
			b.owns = true
			t.do(Acquired{m.Duty, b.number})
		}
	}
}

func (t *Table) tick() {
	for _, d := range t.cfg.Duties {
		b := t.bids[d]
		if b.owns && t.now >= b.until {
			t.end(d, b)
		}
		if b.asking && t.now >= b.asked+t.cfg.AnswerTimeout {
			b.asking = false
			if !b.owns {
				t.letGo(d, b) // it fell short
				b.next = t.now + t.cfg.AnswerTimeout + b.turn
			}
		}
		switch {
		case t.place < 0 || b.asking || t.now < b.next:
		case b.owns:
			t.question(d, b)
		case b.candidate && t.now >= b.yielded && t.now >= b.rivalFor+b.turn:
			b.number, b.granted = max(b.above+1, b.number+1, t.wall), nil
			t.question(d, b)
		}
	}
}

// question asks all voters.
func (t *Table) question(d string, b *bid) {
	t.rounds++
	b.round, b.asked, b.asking, b.grants = t.rounds, t.now, true, nil
	b.epoch, b.seats = t.reg.Epoch, t.reg.Voters
	for _, p := range b.seats {
		t.do(Send{p, Message{Kind: Request, Duty: d, Number: b.number, Owner: t.who, Round: b.round, Epoch: b.epoch}})
	}
}

// letGo has those that granted the number grant another one at once.
func (t *Table) letGo(d string, b *bid) {
	for _, p := range b.granted {
		t.do(Send{p, Message{Kind: Release, Duty: d, Number: b.number, Owner: t.who}})
	}
	b.granted = nil
}

// end ends an ownership. Answers to its renewal that come later count no more: the next one has a number of its own.
func (t *Table) end(d string, b *bid) {
	if b.owns {
		b.owns, b.asking, b.until = false, false, 0
		t.do(Lost{d})
	}
}

// yield ends an ownership before its time. It may not be taken up here for a lease.
func (t *Table) yield(d string, b *bid) {
	b.asking = false
	t.end(d, b)
	t.letGo(d, b)
	b.yielded = t.now + t.cfg.Lease
}

// order finds who proposes itself for which duty, and how much later than the first: a few of each duty's order, as the others would only ask
// in vain. When these are gone the members that are alive are others.
func (t *Table) order() {
	t.turn = slices.Index(CandidateOrder(votersDuty, t.alive), t.cfg.Self)
	for _, d := range t.cfg.Duties {
		n := slices.Index(CandidateOrder(d, t.alive), t.cfg.Self)
		t.bids[d].candidate, t.bids[d].turn = n >= 0 && n < candidates, t.cfg.CandidateDelay*time.Duration(n)
	}
}

const candidates = 3 // of a duty

// CandidateOrder is in which order members propose themselves for a duty: by rendezvous hashing, so that duties are spread over all and the death of a
// member moves its own alone.
func CandidateOrder(duty string, members []string) []string {
	score := map[string]uint64{}
	for _, m := range members {
		h := fnv.New64a()
		h.Write([]byte(duty + "\x00" + m))
		score[m] = h.Sum64()
	}
	return slices.SortedFunc(maps.Keys(score), func(a, b string) int { return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(a, b)) })
}
