package election

import (
	"slices"
	"time"
)

// This file is how voters are renewed. Which places vote is a register that all members keep: for each epoch one set of seats, decided
// by a majority of the whole fleet (single-decree Paxos, Lamport 1998) and by a majority of those voters that are left, who grant
// nothing under the old epoch from then on. So whoever owns by the old voters was granted its lease before, a voter that stays
// remembers it, and one that is new abstains until it is over. docs/design/owner.md has the argument.

// Electorate is which places vote.
type Electorate struct {
	Epoch   uint64        // rises by one with each change
	Voters  []int         `json:"Seats"` // places
	Granted []GrantRecord // the highest numbers of the epochs before, for voters that are new

	Ballot     uint64 // under which the next epoch's seats were taken here; 0: they were not
	NextVoters []int  `json:"Next"` // those seats
}

// register is what a member knows of the electorate, and what it does about it.
type register struct {
	Electorate
	promised uint64        // the highest ballot that asked for the next epoch
	since    time.Duration // when they were taken
	taken    map[int]bool  // places whose members asked what holds: they are not vacant, whatever the fleet's table says yet

	read  bool // as a voter it has heard from a majority of the fleet what holds
	round uint64
	from  map[int]bool // who answered that question

	bid proposal
	at  time.Duration // no proposal before this

	spread int // places that are still to be told of this electorate, as it was decided here
}

// proposal is this member's own try to change the electorate.
type proposal struct {
	ballot  uint64 // 0: none
	began   time.Duration
	accepts bool // the seats are being taken; before, ballots are promised
	seats   []int
	best    uint64 // the ballot under which others took those seats
	vacant  []int  // seats that the fleet has given up
	answers map[int]bool
	granted []GrantRecord
	cursor  int // the place that is told next
}

const (
	tellsMost   = 64 // messages of a change each tick: a fleet of hundreds is told within seconds
	ballotPlace = 1 << 12
	spreads     = 3 // times that all are told: who misses all of them learns it when it asks for a duty
)

// Electorate is which places vote, as far as this member knows: what a disk may keep.
func (t *Table) Electorate() Electorate {
	e := t.reg.Electorate
	e.Voters, e.Granted, e.NextVoters = slices.Clone(e.Voters), slices.Clone(e.Granted), slices.Clone(e.NextVoters)
	return e
}

func (t *Table) seats(place int) bool { return slices.Contains(t.reg.Voters, place) }

// most reports that so many members are a majority of the fleet.
func (t *Table) most(n int) bool {
	known := 0
	for _, h := range t.holders {
		if h.Name != "" {
			known++
		}
	}
	return 2*n > max(known, t.expect)
}

// state tells what holds, and what may hold next.
func (t *Table) state(to int, round uint64) {
	r := &t.reg
	t.do(Send{to, Message{Kind: ElectorateState, Round: round, Epoch: r.Epoch, Voters: r.Voters, Granted: r.Granted, Ballot: r.Ballot, NextVoters: r.NextVoters}})
}

// sameEpoch reports that a message is of the epoch that is known here. Else the one that is behind is told.
func (t *Table) sameEpoch(from int, m Message) bool {
	switch {
	case m.Epoch < t.reg.Epoch:
		t.state(from, 0)
	case m.Epoch > t.reg.Epoch:
		t.do(Send{from, Message{Kind: ReadElectorate}})
	}
	return m.Epoch == t.reg.Epoch
}

// adopt takes a later electorate.
func (t *Table) adopt(e Electorate) {
	r := &t.reg
	if e.Epoch <= r.Epoch || len(e.Voters) == 0 {
		return
	}
	stays := t.seats(t.place) && e.Epoch == r.Epoch+1
	r.Electorate = e
	r.promised, r.bid, r.at, r.spread = 0, proposal{}, 0, 0
	if t.place >= 0 && t.seats(t.place) {
		t.remember(e.Granted)
		if !stays { // as one that forgot
			t.abstainAnew()
		}
	}
	for _, d := range t.cfg.Duties { // questions to the former voters are void
		if b := t.bids[d]; b.asking {
			b.asking, b.next = false, t.now
		}
	}
	t.do(ElectorateChange{t.Electorate()})
}

// abstainAnew forgets the leases that this voter granted, and has it grant nothing until they are over.
func (t *Table) abstainAnew() {
	t.abstain = max(t.abstain, t.now+t.cfg.abstains())
	for _, v := range t.votes {
		v.holder, v.until = "", 0
	}
}

// readAnew has a voter ask what holds before it votes: it may have been replaced meanwhile.
func (t *Table) readAnew() {
	t.rounds++
	t.reg.read, t.reg.round, t.reg.from = false, t.rounds, map[int]bool{}
}

// aboutVoters takes a message on the electorate.
func (t *Table) aboutVoters(from int, m Message) {
	r := &t.reg
	switch m.Kind {
	case ReadElectorate:
		r.taken[from] = true
		t.state(from, m.Round)
	case ElectorateState:
		t.adopt(Electorate{Epoch: m.Epoch, Voters: m.Voters, Granted: m.Granted})
		if m.Epoch == r.Epoch && m.Ballot > r.Ballot && m.Ballot >= r.promised {
			t.accept(m)
		}
		if m.Round != 0 && m.Round == r.round && !r.read {
			r.from[from] = true
			r.read = t.most(len(r.from))
		}
	case Prepare:
		if !t.sameEpoch(from, m) || t.now < t.abstain {
			return
		}
		if m.Ballot >= r.promised {
			r.promised = m.Ballot
			t.letGoOn(from)
		}
		t.do(Send{from, Message{Kind: Promise, Epoch: r.Epoch, Number: r.promised, Ballot: r.Ballot, NextVoters: r.NextVoters}})
	case Accept:
		if !t.sameEpoch(from, m) || t.now < t.abstain || m.Ballot < r.promised || !t.agreesVacant(m.VacantSlots) {
			return
		}
		t.accept(m)
		t.letGoOn(from)
		a := Message{Kind: Accepted, Epoch: r.Epoch, Number: m.Ballot}
		if t.seats(t.place) {
			a.Granted = t.granted()
		}
		t.do(Send{from, a})
	case Promise, Accepted:
		t.answered(from, m)
	}
}

// accept takes seats for the next epoch.
func (t *Table) accept(m Message) {
	r := &t.reg
	r.promised, r.Ballot, r.NextVoters, r.since = m.Ballot, m.Ballot, m.NextVoters, t.now
	t.do(ElectorateChange{t.Electorate()})
}

// agreesVacant reports that those seats are nobody's here either.
func (t *Table) agreesVacant(vacant []int) bool {
	return !slices.ContainsFunc(vacant, func(p int) bool {
		return t.reg.taken[p] || p < 0 || p >= len(t.holders) || t.holders[p].Name != ""
	})
}

// answered takes an answer to this member's own proposal.
func (t *Table) answered(from int, m Message) {
	r := &t.reg
	b := &r.bid
	if b.ballot == 0 || m.Epoch != r.Epoch || b.accepts != (m.Kind == Accepted) || t.now >= b.began+t.cfg.Lease { // others may have forgotten it by then
		return
	}
	if m.Number != b.ballot {
		if m.Number > b.ballot { // another one is further
			r.promised, r.bid = max(r.promised, m.Number), proposal{}
			t.letGoOn(-1)
		}
		return
	}
	b.answers[from] = true
	if m.Kind == Promise {
		if m.Ballot > b.best {
			b.best, b.seats = m.Ballot, m.NextVoters
		}
		if t.most(len(b.answers)) {
			b.accepts, b.answers, b.cursor = true, map[int]bool{}, 0
		}
		return
	}
	if t.seats(from) {
		b.granted = highest(b.granted, m.Granted)
	}
	left, took := 0, 0 // of the voters, who still may grant
	for _, p := range r.Voters {
		if !slices.Contains(b.vacant, p) {
			left++
			if b.answers[p] {
				took++
			}
		}
	}
	if t.most(len(b.answers)) && 2*took > left {
		t.adopt(Electorate{Epoch: r.Epoch + 1, Voters: b.seats, Granted: highest(b.granted, r.Granted)})
		r.spread = spreads * len(t.holders)
	}
}

// highest are the higher of each two.
func highest(a, b []GrantRecord) (all []GrantRecord) {
	for i := range max(len(a), len(b)) {
		var x GrantRecord
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) && b[i].Number > x.Number {
			x = b[i]
		}
		all = append(all, x)
	}
	return all
}

// letGoOn has this member propose nothing while another one does: in a fleet of hundreds a change takes seconds, and two that outbid
// each other would come to no end.
func (t *Table) letGoOn(from int) {
	if from != t.place {
		t.reg.at = t.now + t.cfg.Lease
	}
}

// tickVoters asks what has to be asked on the electorate.
func (t *Table) tickVoters() {
	r := &t.reg
	if t.place < 0 || t.alone {
		r.bid = proposal{}
		return
	}
	if !r.read && t.seats(t.place) {
		t.askAll(&r.bid.cursor, r.from, Message{Kind: ReadElectorate, Round: r.round})
		return
	}
	for n := min(tellsMost, r.spread); n > 0; n-- {
		r.spread--
		if p := r.spread % len(t.holders); t.holders[p].Alive && p != t.place {
			t.state(p, 0)
		}
	}
	b := &r.bid
	if b.ballot != 0 && t.now >= b.began+t.cfg.Lease {
		r.bid, r.at = proposal{}, t.now+t.cfg.AnswerTimeout
	}
	if b.ballot == 0 {
		t.propose()
	}
	switch {
	case b.ballot == 0:
	case b.accepts:
		t.askAll(&b.cursor, b.answers, Message{Kind: Accept, Epoch: r.Epoch, Ballot: b.ballot, NextVoters: b.seats, VacantSlots: b.vacant})
	default:
		t.askAll(&b.cursor, b.answers, Message{Kind: Prepare, Epoch: r.Epoch, Ballot: b.ballot})
	}
}

// askAll asks those that are there and have not answered, some of them at a time.
func (t *Table) askAll(cursor *int, answered map[int]bool, m Message) {
	asked := 0
	for range t.holders {
		p := *cursor % len(t.holders)
		*cursor = p + 1
		if t.holders[p].Alive && !answered[p] {
			t.do(Send{p, m})
			if asked++; asked == tellsMost {
				return
			}
		}
	}
}

// propose begins to change the electorate if a voter is gone, or a change that was begun has come to no end.
func (t *Table) propose() {
	r := &t.reg
	turn := t.turn
	if turn < 0 || turn >= candidates {
		if turn = slices.Index(r.Voters, t.place); turn < 0 {
			return
		}
		turn += candidates
	}
	wait := t.cfg.CandidateDelay * time.Duration(turn)
	if t.now < r.at+wait || t.now < t.abstain {
		return
	}
	var vacant []int
	gone := -1
	for i, p := range r.Voters {
		if p >= len(t.holders) {
			continue
		}
		h := &t.holders[p]
		if h.Name == "" && t.now >= h.since+t.cfg.abstains() {
			vacant = append(vacant, p)
		}
		if gone < 0 && !h.Alive && t.now >= h.gone+t.cfg.Lease+wait {
			gone = i
		}
	}
	seats := r.NextVoters
	if r.Ballot == 0 {
		fresh := slices.IndexFunc(t.holders, func(h holder) bool { return h.Alive && !t.seats(h.place) })
		if gone < 0 || fresh < 0 {
			return
		}
		seats = slices.Clone(r.Voters)
		seats[gone] = fresh
	} else if t.now < r.since+2*t.cfg.AnswerTimeout+wait {
		return
	}
	ballot := (r.promised/ballotPlace+1)*ballotPlace + uint64(t.place)
	r.bid = proposal{ballot: ballot, began: t.now, seats: seats, best: r.Ballot, vacant: vacant, answers: map[int]bool{}}
}

const votersDuty = "\x00voters" // by whose order members propose: no duty has such a name
