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
	promised   uint64        // the highest ballot that asked for the next epoch
	acceptedAt time.Duration // when they were taken
	occupied   map[int]bool  // places whose members asked what holds: they are not vacant, whatever the fleet's table says yet

	confirmed   bool // as a voter it has heard from a majority of the fleet what holds
	readRound   uint64
	readReplies map[int]bool // who answered that question

	proposal     proposal
	nextProposal time.Duration // no proposal before this

	announcementsLeft int // places that are still to be told of this electorate, as it was decided here
}

// proposal is this member's own try to change the electorate.
type proposal struct {
	ballot          uint64 // 0: none
	startedAt       time.Duration
	accepting       bool // the seats are being taken; before, ballots are promised
	voters          []int
	highestAccepted uint64 // the ballot under which others took those seats
	vacantSlots     []int  // seats that the fleet has given up
	replies         map[int]bool
	grants          []GrantRecord
	nextSlot        int // the place that is told next
}

const (
	maxSendsPerTick    = 64 // messages of a change each tick: a fleet of hundreds is told within seconds
	ballotStride       = 1 << 12
	announcementRounds = 3 // times that all are told: who misses all of them learns it when it asks for a duty
)

// Electorate is which places vote, as far as this member knows: what a disk may keep.
func (t *Table) Electorate() Electorate {
	e := t.register.Electorate
	e.Voters, e.Granted, e.NextVoters = slices.Clone(e.Voters), slices.Clone(e.Granted), slices.Clone(e.NextVoters)
	return e
}

func (t *Table) isVoter(slot int) bool { return slices.Contains(t.register.Voters, slot) }

// isMajority reports that so many members are a majority of the fleet.
func (t *Table) isMajority(n int) bool {
	known := 0
	for _, h := range t.holders {
		if h.Name != "" {
			known++
		}
	}
	return 2*n > max(known, t.expectedMembers)
}

// sendElectorate tells what holds, and what may hold next.
func (t *Table) sendElectorate(to int, round uint64) {
	r := &t.register
	t.emit(Send{to, Message{Kind: ElectorateState, Round: round, Epoch: r.Epoch, Voters: r.Voters, Granted: r.Granted, Ballot: r.Ballot, NextVoters: r.NextVoters}})
}

// sameEpoch reports that a message is of the epoch that is known here. Else the one that is behind is told.
func (t *Table) sameEpoch(from int, m Message) bool {
	switch {
	case m.Epoch < t.register.Epoch:
		t.sendElectorate(from, 0)
	case m.Epoch > t.register.Epoch:
		t.emit(Send{from, Message{Kind: ReadElectorate}})
	}
	return m.Epoch == t.register.Epoch
}

// adoptElectorate takes a later electorate.
func (t *Table) adoptElectorate(e Electorate) {
	r := &t.register
	if e.Epoch <= r.Epoch || len(e.Voters) == 0 {
		return
	}
	stays := t.isVoter(t.slot) && e.Epoch == r.Epoch+1
	r.Electorate = e
	r.promised, r.proposal, r.nextProposal, r.announcementsLeft = 0, proposal{}, 0, 0
	if t.slot >= 0 && t.isVoter(t.slot) {
		t.mergeGrants(e.Granted)
		if !stays { // as one that forgot
			t.restartAbstention()
		}
	}
	for _, d := range t.cfg.Duties { // questions to the former voters are void
		if b := t.candidacies[d]; b.awaiting {
			b.awaiting, b.nextRequest = false, t.now
		}
	}
	t.emit(ElectorateChange{t.Electorate()})
}

// restartAbstention forgets the leases that this voter granted, and has it grant nothing until they are over.
func (t *Table) restartAbstention() {
	t.abstainUntil = max(t.abstainUntil, t.now+t.cfg.abstainPeriod())
	for _, v := range t.grants {
		v.holder, v.until = "", 0
	}
}

// restartRead has a voter ask what holds before it votes: it may have been replaced meanwhile.
func (t *Table) restartRead() {
	t.lastRound++
	t.register.confirmed, t.register.readRound, t.register.readReplies = false, t.lastRound, map[int]bool{}
}

// handleElectorateMessage takes a message on the electorate.
func (t *Table) handleElectorateMessage(from int, m Message) {
	r := &t.register
	switch m.Kind {
	case ReadElectorate:
		r.occupied[from] = true
		t.sendElectorate(from, m.Round)
	case ElectorateState:
		t.adoptElectorate(Electorate{Epoch: m.Epoch, Voters: m.Voters, Granted: m.Granted})
		if m.Epoch == r.Epoch && m.Ballot > r.Ballot && m.Ballot >= r.promised {
			t.acceptProposal(m)
		}
		if m.Round != 0 && m.Round == r.readRound && !r.confirmed {
			r.readReplies[from] = true
			r.confirmed = t.isMajority(len(r.readReplies))
		}
	case Prepare:
		if !t.sameEpoch(from, m) || t.now < t.abstainUntil {
			return
		}
		if m.Ballot >= r.promised {
			r.promised = m.Ballot
			t.deferProposal(from)
		}
		t.emit(Send{from, Message{Kind: Promise, Epoch: r.Epoch, Number: r.promised, Ballot: r.Ballot, NextVoters: r.NextVoters}})
	case Accept:
		if !t.sameEpoch(from, m) || t.now < t.abstainUntil || m.Ballot < r.promised || !t.confirmsVacant(m.VacantSlots) {
			return
		}
		t.acceptProposal(m)
		t.deferProposal(from)
		a := Message{Kind: Accepted, Epoch: r.Epoch, Number: m.Ballot}
		if t.isVoter(t.slot) {
			a.Granted = t.grantRecords()
		}
		t.emit(Send{from, a})
	case Promise, Accepted:
		t.handleReply(from, m)
	}
}

// acceptProposal takes seats for the next epoch.
func (t *Table) acceptProposal(m Message) {
	r := &t.register
	r.promised, r.Ballot, r.NextVoters, r.acceptedAt = m.Ballot, m.Ballot, m.NextVoters, t.now
	t.emit(ElectorateChange{t.Electorate()})
}

// confirmsVacant reports that those seats are nobody's here either.
func (t *Table) confirmsVacant(vacant []int) bool {
	return !slices.ContainsFunc(vacant, func(p int) bool {
		return t.register.occupied[p] || p < 0 || p >= len(t.holders) || t.holders[p].Name != ""
	})
}

// handleReply takes an answer to this member's own proposal.
func (t *Table) handleReply(from int, m Message) {
	r := &t.register
	b := &r.proposal
	if b.ballot == 0 || m.Epoch != r.Epoch || b.accepting != (m.Kind == Accepted) || t.now >= b.startedAt+t.cfg.Lease { // others may have forgotten it by then
		return
	}
	if m.Number != b.ballot {
		if m.Number > b.ballot { // another one is further
			r.promised, r.proposal = max(r.promised, m.Number), proposal{}
			t.deferProposal(-1)
		}
		return
	}
	b.replies[from] = true
	if m.Kind == Promise {
		if m.Ballot > b.highestAccepted {
			b.highestAccepted, b.voters = m.Ballot, m.NextVoters
		}
		if t.isMajority(len(b.replies)) {
			b.accepting, b.replies, b.nextSlot = true, map[int]bool{}, 0
		}
		return
	}
	if t.isVoter(from) {
		b.grants = mergeHighest(b.grants, m.Granted)
	}
	remaining, accepted := 0, 0 // of the voters, who still may grant
	for _, p := range r.Voters {
		if !slices.Contains(b.vacantSlots, p) {
			remaining++
			if b.replies[p] {
				accepted++
			}
		}
	}
	if t.isMajority(len(b.replies)) && 2*accepted > remaining {
		t.adoptElectorate(Electorate{Epoch: r.Epoch + 1, Voters: b.voters, Granted: mergeHighest(b.grants, r.Granted)})
		r.announcementsLeft = announcementRounds * len(t.holders)
	}
}

// mergeHighest are the higher of each two.
func mergeHighest(a, b []GrantRecord) (all []GrantRecord) {
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

// deferProposal has this member propose nothing while another one does: in a fleet of hundreds a change takes seconds, and two that outbid
// each other would come to no end.
func (t *Table) deferProposal(from int) {
	if from != t.slot {
		t.register.nextProposal = t.now + t.cfg.Lease
	}
}

// tickElectorate asks what has to be asked on the electorate.
func (t *Table) tickElectorate() {
	r := &t.register
	if t.slot < 0 || t.isolated {
		r.proposal = proposal{}
		return
	}
	if !r.confirmed && t.isVoter(t.slot) {
		t.sendUnanswered(&r.proposal.nextSlot, r.readReplies, Message{Kind: ReadElectorate, Round: r.readRound})
		return
	}
	for n := min(maxSendsPerTick, r.announcementsLeft); n > 0; n-- {
		r.announcementsLeft--
		if p := r.announcementsLeft % len(t.holders); t.holders[p].Alive && p != t.slot {
			t.sendElectorate(p, 0)
		}
	}
	b := &r.proposal
	if b.ballot != 0 && t.now >= b.startedAt+t.cfg.Lease {
		r.proposal, r.nextProposal = proposal{}, t.now+t.cfg.AnswerTimeout
	}
	if b.ballot == 0 {
		t.maybePropose()
	}
	switch {
	case b.ballot == 0:
	case b.accepting:
		t.sendUnanswered(&b.nextSlot, b.replies, Message{Kind: Accept, Epoch: r.Epoch, Ballot: b.ballot, NextVoters: b.voters, VacantSlots: b.vacantSlots})
	default:
		t.sendUnanswered(&b.nextSlot, b.replies, Message{Kind: Prepare, Epoch: r.Epoch, Ballot: b.ballot})
	}
}

// sendUnanswered asks those that are there and have not answered, some of them at a time.
func (t *Table) sendUnanswered(cursor *int, answered map[int]bool, m Message) {
	sent := 0
	for range t.holders {
		p := *cursor % len(t.holders)
		*cursor = p + 1
		if t.holders[p].Alive && !answered[p] {
			t.emit(Send{p, m})
			if sent++; sent == maxSendsPerTick {
				return
			}
		}
	}
}

// maybePropose begins to change the electorate if a voter is gone, or a change that was begun has come to no end.
func (t *Table) maybePropose() {
	r := &t.register
	rank := t.proposerRank
	if rank < 0 || rank >= maxCandidates {
		if rank = slices.Index(r.Voters, t.slot); rank < 0 {
			return
		}
		rank += maxCandidates
	}
	wait := t.cfg.CandidateDelay * time.Duration(rank)
	if t.now < r.nextProposal+wait || t.now < t.abstainUntil {
		return
	}
	var vacant []int
	replaceIndex := -1
	for i, p := range r.Voters {
		if p >= len(t.holders) {
			continue
		}
		h := &t.holders[p]
		if h.Name == "" && t.now >= h.vacantSince+t.cfg.abstainPeriod() {
			vacant = append(vacant, p)
		}
		if replaceIndex < 0 && !h.Alive && t.now >= h.deadSince+t.cfg.Lease+wait {
			replaceIndex = i
		}
	}
	voters := r.NextVoters
	if r.Ballot == 0 {
		replacement := slices.IndexFunc(t.holders, func(h holder) bool { return h.Alive && !t.isVoter(h.slot) })
		if replaceIndex < 0 || replacement < 0 {
			return
		}
		voters = slices.Clone(r.Voters)
		voters[replaceIndex] = replacement
	} else if t.now < r.acceptedAt+2*t.cfg.AnswerTimeout+wait {
		return
	}
	ballot := (r.promised/ballotStride+1)*ballotStride + uint64(t.slot)
	r.proposal = proposal{ballot: ballot, startedAt: t.now, voters: voters, highestAccepted: r.Ballot, vacantSlots: vacant, replies: map[int]bool{}}
}

const electorateDuty = "\x00voters" // by whose order members propose: no duty has such a name
