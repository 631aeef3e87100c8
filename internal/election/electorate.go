package election

import (
	"slices"
	"time"
)

// This file implements the replacement of voters. All members keep a register of the electorate: for each epoch, one
// set of voters. A change is decided by a majority of the whole fleet (single-decree Paxos, Lamport 1998) and by a
// majority of the remaining voters, which grant nothing under the old epoch from then on. So the lease of an owner
// under the old electorate was granted before the change: a voter that stays remembers it, and a new voter abstains
// until it is over. docs/design/owner.md has the proof.

// Electorate is the set of voters of an epoch.
type Electorate struct {
	Epoch   uint64        // rises by one with each change
	Voters  []int         `json:"Seats"` // their slots
	Granted []GrantRecord // highest numbers granted in earlier epochs, for new voters

	Ballot     uint64 // of the accepted proposal for the next epoch; 0: none
	NextVoters []int  `json:"Next"` // slots of the voters in that proposal
}

// register is a member's state of the protocol that changes the electorate.
type register struct {
	Electorate
	promised   uint64        // highest ballot promised for the next epoch
	acceptedAt time.Duration // time when the proposal was accepted
	occupied   map[int]bool  // slots whose members asked for the electorate: they are not vacant, even if the fleet's table says so

	confirmed   bool // a majority of the fleet has confirmed this electorate, which a voter needs before it votes
	readRound   uint64
	readReplies map[int]bool // slots that answered in that round

	proposal     proposal
	nextProposal time.Duration // earliest time of the next proposal

	announcementsLeft int // slots still to be sent the electorate that was decided here, over all announcement rounds
}

// proposal is this member's own proposal for the next electorate.
type proposal struct {
	ballot          uint64 // 0: there is none
	startedAt       time.Duration
	accepting       bool // in the accept phase; else in the prepare phase
	voters          []int
	highestAccepted uint64 // highest ballot under which these voters were accepted before
	vacantSlots     []int  // slots of voters that the fleet no longer reserves
	replies         map[int]bool
	grants          []GrantRecord
	nextSlot        int // slot from which the next messages are sent
}

const (
	maxSendsPerTick    = 64      // keeps bursts small; a fleet of hundreds still gets a message within seconds
	ballotStride       = 1 << 12 // ballots are this number apart plus the slot, so that they differ between members
	announcementRounds = 3       // a member that misses all of them learns the electorate when it requests a duty
)

// Electorate returns the electorate as far as this member knows it, for storage on disk.
func (t *Table) Electorate() Electorate {
	e := t.register.Electorate
	e.Voters, e.Granted, e.NextVoters = slices.Clone(e.Voters), slices.Clone(e.Granted), slices.Clone(e.NextVoters)
	return e
}

func (t *Table) isVoter(slot int) bool { return slices.Contains(t.register.Voters, slot) }

// isMajority reports whether n members are a majority of the fleet.
func (t *Table) isMajority(n int) bool {
	known := 0
	for _, h := range t.holders {
		if h.Name != "" {
			known++
		}
	}
	return 2*n > max(known, t.expectedMembers)
}

// sendElectorate sends this member's electorate and its accepted proposal.
func (t *Table) sendElectorate(to int, round uint64) {
	r := &t.register
	t.emit(Send{to, Message{Kind: ElectorateState, Round: round, Epoch: r.Epoch, Voters: r.Voters, Granted: r.Granted, Ballot: r.Ballot, NextVoters: r.NextVoters}})
}

// sameEpoch reports whether a message has the epoch of the electorate known here. If not, the side with the older one
// is updated.
func (t *Table) sameEpoch(from int, m Message) bool {
	switch {
	case m.Epoch < t.register.Epoch:
		t.sendElectorate(from, 0)
	case m.Epoch > t.register.Epoch:
		t.emit(Send{from, Message{Kind: ReadElectorate}})
	}
	return m.Epoch == t.register.Epoch
}

// adoptElectorate switches to an electorate of a later epoch.
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
		if !stays { // it is new, or may have been replaced in between, and may not know all leases that were granted
			t.restartAbstention()
		}
	}
	for _, d := range t.cfg.Duties { // requests to the previous voters are void
		if b := t.candidacies[d]; b.awaiting {
			b.awaiting, b.nextRequest = false, t.now
		}
	}
	t.emit(ElectorateChange{t.Electorate()})
}

// restartAbstention drops this voter's record of leases, and makes it abstain until they are over.
func (t *Table) restartAbstention() {
	t.abstainUntil = max(t.abstainUntil, t.now+t.cfg.abstainPeriod())
	for _, v := range t.grants {
		v.holder, v.until = "", 0
	}
}

// restartRead makes a voter confirm its electorate before it votes again, as it may have been replaced meanwhile.
func (t *Table) restartRead() {
	t.lastRound++
	t.register.confirmed, t.register.readRound, t.register.readReplies = false, t.lastRound, map[int]bool{}
}

// handleElectorateMessage processes a message about the electorate.
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

// acceptProposal accepts voters for the next epoch.
func (t *Table) acceptProposal(m Message) {
	r := &t.register
	r.promised, r.Ballot, r.NextVoters, r.acceptedAt = m.Ballot, m.Ballot, m.NextVoters, t.now
	t.emit(ElectorateChange{t.Electorate()})
}

// confirmsVacant reports whether those slots are vacant in this member's view too.
func (t *Table) confirmsVacant(vacant []int) bool {
	return !slices.ContainsFunc(vacant, func(p int) bool {
		return t.register.occupied[p] || p < 0 || p >= len(t.holders) || t.holders[p].Name != ""
	})
}

// handleReply processes an answer to this member's own proposal.
func (t *Table) handleReply(from int, m Message) {
	r := &t.register
	b := &r.proposal
	// Late answers do not count: by then members may have restarted and forgotten what they promised or accepted.
	if b.ballot == 0 || m.Epoch != r.Epoch || b.accepting != (m.Kind == Accepted) || t.now >= b.startedAt+t.cfg.Lease {
		return
	}
	if m.Number != b.ballot {
		if m.Number > b.ballot { // another member has a higher ballot
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
	remaining, accepted := 0, 0 // of the voters that may still grant leases
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

// mergeHighest returns the higher of the two records for each duty.
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

// deferProposal delays this member's own proposals while another member proposes: in a fleet of hundreds a change takes
// seconds, and two members that outbid each other would never finish.
func (t *Table) deferProposal(from int) {
	if from != t.slot {
		t.register.nextProposal = t.now + t.cfg.Lease
	}
}

// tickElectorate sends the messages about the electorate that are due.
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

// sendUnanswered sends a message to members that are alive and have not answered, a limited number at a time.
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

// maybePropose starts a change of the electorate if a voter is gone, or if the change begun by another member has
// stalled.
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

const electorateDuty = "\x00voters" // hashed for the order of proposers; no duty can have this name
