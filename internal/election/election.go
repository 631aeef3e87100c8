// Package owner decides who does a piece of work on behalf of a fleet: one member at a time, under a number that only rises. It is
// pure: messages, the fleet's places and time come in as values, messages and ownerships come out. docs/design/owner.md states what
// holds, and under which assumptions.
//
// A few members, at first those in the lowest places, are voters; one that is gone is replaced (voters.go). Each grants a duty to one member at a time, for a lease by its own clock; who
// has a majority of all voters owns it for a little less, counted from when it asked. So no two own it at a time, whatever is lost,
// late or doubled, as long as clocks run about alike and a voter that forgot what it granted abstains until it is over (PaxosLease,
// Trencseni and Gazso, 2012).
//
// Times are a [time.Duration] on the member's own monotonic clock.
package election

import (
	"fmt"
	"slices"
	"time"
)

// Config is what a member goes by. All members have the same but for Self and Life.
type Config struct {
	Self           string // its name
	Incarnation    uint64 // of its process: what a former one was granted is not this one's
	Duties         []string
	InitialVoters  int // at first those in the places below this
	Lease          time.Duration
	ClockDrift     float64       // by which clocks run faster or slower than another, as a share
	RenewInterval  time.Duration // an owner asks again so often; well under Lease
	AnswerTimeout  time.Duration // a question is waited for so long
	CandidateDelay time.Duration // the next one in a duty's order proposes so much later
}

// DefaultConfig are times for a local network.
func DefaultConfig() Config {
	return Config{InitialVoters: 5, Lease: 6 * time.Second, ClockDrift: 0.1, RenewInterval: 1500 * time.Millisecond, AnswerTimeout: 500 * time.Millisecond, CandidateDelay: time.Second}
}

// Validate reports the first value that can't be used.
func (c *Config) Validate() error {
	switch {
	case c.Self == "":
		return fmt.Errorf("owner: the member has no name")
	case len(c.Duties) > maxDuties:
		return fmt.Errorf("owner: %d duties, of which messages have room for %d", len(c.Duties), maxDuties)
	case c.InitialVoters < 1:
		return fmt.Errorf("owner: %d voters, want 1 or more", c.InitialVoters)
	case c.ClockDrift < 0 || c.ClockDrift >= 0.5:
		return fmt.Errorf("owner: clocks that differ by a share of %v", c.ClockDrift)
	case c.RenewInterval <= 0 || c.AnswerTimeout <= 0 || c.RenewInterval+c.AnswerTimeout >= c.ownerLease():
		return fmt.Errorf("owner: a lease of %v can't be renewed each %v with answers within %v", c.Lease, c.RenewInterval, c.AnswerTimeout)
	}
	return nil
}

const maxDuties = 10 // an electorate with their numbers is one message

// ownerLease is for how long an owner has a lease, from when it asked.
func (c *Config) ownerLease() time.Duration {
	return time.Duration(float64(c.Lease) * (1 - c.ClockDrift))
}

// abstainPeriod is for how long a voter that may have forgotten what it granted grants nothing.
func (c *Config) abstainPeriod() time.Duration {
	return time.Duration(float64(c.Lease) * (1 + c.ClockDrift))
}

// Kind is what a message is.
type Kind byte

// The kinds.
const (
	Request Kind = 'a' // for a lease, or for its renewal
	Grant   Kind = 'g'
	Deny    Kind = 'd' // with what the voter knows
	Release Kind = 'f' // lets go of what was granted

	// On who votes.
	ReadElectorate  Kind = 'r' // asks what holds
	ElectorateState Kind = 's' // tells it, and what was accepted to hold next
	Prepare         Kind = 'p' // asks for a promise to take no lower ballot
	Promise         Kind = 'q' // with the ballot that is promised, and what was accepted
	Accept          Kind = 'c' // asks to take the next epoch's seats
	Accepted        Kind = 'y' // with what was granted so far, if it votes
)

// Message is what members say to each other.
type Message struct {
	Kind      Kind          `cbor:"1,keyasint"`
	Duty      string        `cbor:"2,keyasint,omitempty"`
	Number    uint64        `cbor:"3,keyasint,omitempty"` // of the ownership that is asked for; of a Deny: the highest that the voter granted; of a Promise or Accepted: the ballot
	Owner     string        `cbor:"4,keyasint,omitempty"` // that asks, by name and life; of a Deny: the holder, "" if there is none
	Round     uint64        `cbor:"5,keyasint,omitempty"` // names the question, so that a late answer to a former one is told
	LeaseLeft time.Duration `cbor:"6,keyasint,omitempty"` // of a Deny: of the holder's lease

	Epoch       uint64        `cbor:"7,keyasint,omitempty"`  // of the electorate that the sender knows
	Voters      []int         `cbor:"8,keyasint,omitempty"`  // of a State: who votes in it
	Granted     []GrantRecord `cbor:"9,keyasint,omitempty"`  // of a State and Accepted: the highest numbers
	Ballot      uint64        `cbor:"10,keyasint,omitempty"` // that is proposed, or was accepted
	NextVoters  []int         `cbor:"11,keyasint,omitempty"` // the next epoch's seats
	VacantSlots []int         `cbor:"12,keyasint,omitempty"` // seats that the fleet has given up
}

// Event is what a Table is told.
type Event interface{ event() }

// The events.
type (
	// Received is a message of the member in that place.
	Received struct {
		From    int
		Message Message
	}
	// Tick tells that time has passed. Wall is what the wall clock shows, in milliseconds since 1970: a floor for numbers.
	Tick struct{ WallMillis uint64 }
	// FleetUpdate tells this member's place in the fleet (below 0: none), and whose the places are.
	// Anew: the place is not the one that it had.
	FleetUpdate struct {
		Slot            int
		SlotChanged     bool
		Isolated        bool // cut off from the fleet's majority
		ExpectedMembers int  // members that the fleet is meant to have
		Holders         []Holder
	}
	// Resumed tells that the process stood still.
	Resumed struct{}
	// Resign lets go of a duty, so that the next one takes it.
	Resign struct{ Duty string }
	// Rejected tells that a receiver turned this member away, as it has seen a number that is higher.
	Rejected struct {
		Duty   string
		Number uint64
	}
)

func (Received) event()    {}
func (Tick) event()        {}
func (FleetUpdate) event() {}
func (Resumed) event()     {}
func (Resign) event()      {}
func (Rejected) event()    {}

// Holder is whose a place is.
type Holder struct {
	Name  string // "": nobody's; the fleet has given it up
	Alive bool
}

// Action is what is to be done.
type Action interface{ action() }

// The actions.
type (
	// Send is a message to the member in a place. One to its own place comes back as Heard.
	Send struct {
		To      int
		Message Message
	}
	// Acquired tells that this member owns a duty under a number. For how long tells Table.May.
	Acquired struct {
		Duty   string
		Number uint64
	}
	// Lost tells that it owns it no more.
	Lost struct{ Duty string }
	// ElectorateChange tells that others vote from now on, or will if this is decided: it is to be kept.
	ElectorateChange struct{ Electorate }
)

func (Send) action()             {}
func (Acquired) action()         {}
func (Lost) action()             {}
func (ElectorateChange) action() {}

// grantState is what a voter knows of a duty.
type grantState struct {
	number    uint64 // the highest that it granted
	ownerHash uint32 // markOf who it was granted to; 0: let go
	holder    string // of the last lease; "": let go
	until     time.Duration
}

// candidacy is what a member knows of a duty as one that owns it or would.
type candidacy struct {
	number        uint64
	round         uint64 // of the last question
	requestedAt   time.Duration
	awaiting      bool
	epoch         uint64 // of the question
	voters        []int  // that are asked
	roundGrants   []int  // places that granted the last question
	grantedBy     []int  // those that granted the number at all
	leaseEnd      time.Duration
	isOwner       bool
	highestSeen   uint64 // the highest number that was heard of
	rival         string // who has it, as a voter told ...
	rivalUntil    time.Duration
	nextRequest   time.Duration // no question before this
	resignedUntil time.Duration // it does not propose before this

	candidate bool          // it is among the first in the duty's order ...
	delay     time.Duration // ... and proposes so much later than the first
}

// Table is one member's view of all duties. Make it with New.
type Table struct {
	cfg             Config
	now             time.Duration
	identity        string // name and life
	slot            int
	alive           []string
	holders         []holder
	expectedMembers int
	isolated        bool
	proposerRank    int // in the order of those who propose other voters
	register        register
	abstainUntil    time.Duration // it grants nothing before this
	grants          map[string]*grantState
	candidacies     map[string]*candidacy
	lastRound       uint64
	wallMillis      uint64
	actions         []Action
}

// holder is whose a place is, and since when it is without one.
type holder struct {
	Holder
	slot        int
	deadSince   time.Duration // since when nobody is there who is alive
	vacantSince time.Duration // since when it is nobody's
}

// New makes the table of a member without a place, that remembers nothing: it abstains as a voter until what it may have granted
// before is over. floor are the highest numbers that it knows of, and last is the electorate, such as by its disk; zero values: none.
func New(cfg Config, now time.Duration, floor map[string]uint64, last Electorate) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	t := &Table{cfg: cfg, now: now, identity: fmt.Sprintf("%s.%d", cfg.Self, cfg.Incarnation), slot: -1, abstainUntil: now + cfg.abstainPeriod(), grants: map[string]*grantState{}, candidacies: map[string]*candidacy{}}
	t.register = register{Electorate: last, promised: last.Ballot, occupied: map[int]bool{}, readReplies: map[int]bool{}}
	if last.Epoch == 0 {
		t.register.Voters = nil
		for p := range cfg.InitialVoters {
			t.register.Voters = append(t.register.Voters, p)
		}
	}
	for _, d := range cfg.Duties {
		t.grants[d], t.candidacies[d] = &grantState{number: floor[d]}, &candidacy{highestSeen: floor[d]}
	}
	return t, nil
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// Handle takes an event at a time and returns what is to be done, in order.
func (t *Table) Handle(now time.Duration, e Event) []Action {
	t.actions = nil
	t.now = max(t.now, now)
	switch e := e.(type) {
	case Received:
		t.receive(e.From, e.Message)
	case Tick:
		t.wallMillis = e.WallMillis
		t.tickElectorate()
		t.tickCandidacies()
	case FleetUpdate:
		t.updateFleet(e)
	case Resumed:
		t.restartRead()
		for _, d := range t.cfg.Duties { // its leases may be over, and its questions are
			b := t.candidacies[d]
			b.awaiting = false
			t.endOwnership(d, b)
		}
	case Resign:
		if b := t.candidacies[e.Duty]; b != nil {
			t.resign(e.Duty, b)
		}
	case Rejected:
		if b := t.candidacies[e.Duty]; b != nil {
			b.highestSeen = max(b.highestSeen, e.Number)
			t.resign(e.Duty, b)
			b.resignedUntil = 0 // it may try again at once, above that
		}
	}
	return t.actions
}

// MayAct reports whether this member may act for a duty at a time on its clock, and under which number. It is to be asked before and
// after each step that can't be taken back: after it, no means that the outcome is unknown.
func (t *Table) MayAct(now time.Duration, duty string) (number uint64, ok bool) {
	b := t.candidacies[duty]
	if b == nil || !b.isOwner || now >= b.leaseEnd {
		return 0, false
	}
	return b.number, true
}

// DutyStatus is what this member knows of a duty.
type DutyStatus struct {
	Duty      string
	Owner     string        // by name and life; "": not known
	Number    uint64        // the highest that it knows of
	LeaseLeft time.Duration `json:"Left"` // of the owner's lease, as far as is known here
}

// Duties are all duties, in the order of the configuration.
func (t *Table) Duties(now time.Duration) (all []DutyStatus) {
	floor := t.HighestNumbers()
	for _, d := range t.cfg.Duties {
		r, b, v := DutyStatus{Duty: d, Number: floor[d]}, t.candidacies[d], t.grants[d]
		switch {
		case b.isOwner && now < b.leaseEnd:
			r.Owner, r.Number, r.LeaseLeft = t.identity, b.number, b.leaseEnd-now
		case v.holder != "" && v.holder != t.identity && now < v.until:
			r.Owner, r.LeaseLeft = v.holder, v.until-now
		case now < b.rivalUntil:
			r.Owner, r.LeaseLeft = b.rival, b.rivalUntil-now
		}
		all = append(all, r)
	}
	return all
}

// LeaseEnd is the end of this member's lease on a duty, by its clock, and the number; 0: it has none.
func (t *Table) LeaseEnd(duty string) (until time.Duration, number uint64) {
	if b := t.candidacies[duty]; b != nil && b.isOwner {
		return b.leaseEnd, b.number
	}
	return 0, 0
}

// Identity is this member as others are told: its name and its life.
func (t *Table) Identity() string { return t.identity }

// HighestNumbers are the highest numbers that this member knows of: what a disk may keep.
func (t *Table) HighestNumbers() map[string]uint64 {
	all := map[string]uint64{}
	for d, v := range t.grants {
		all[d] = max(v.number, t.candidacies[d].highestSeen, t.candidacies[d].number)
	}
	return all
}

func (t *Table) updateFleet(e FleetUpdate) {
	if e.Slot != t.slot && (e.SlotChanged || t.slot >= 0) { // a voter's place may have been another's, who granted
		t.restartAbstention()
	}
	if e.Slot != t.slot || e.SlotChanged {
		t.restartRead()
	}
	t.slot, t.isolated, t.expectedMembers = e.Slot, e.Isolated, e.ExpectedMembers
	var alive []string
	for p, h := range e.Holders {
		if p == len(t.holders) {
			t.holders = append(t.holders, holder{slot: p, deadSince: t.now, vacantSince: t.now})
		}
		old := &t.holders[p]
		if h.Alive {
			alive = append(alive, h.Name)
		} else if old.Alive {
			old.deadSince = t.now
		}
		if h.Name == "" && old.Name != "" {
			old.vacantSince = t.now
			delete(t.register.occupied, p)
		}
		old.Holder = h
	}
	if slices.Sort(alive); !slices.Equal(alive, t.alive) {
		t.alive = alive
		t.updateOrder()
	}
	if t.slot < 0 {
		for _, d := range t.cfg.Duties {
			b := t.candidacies[d]
			b.awaiting = false
			t.endOwnership(d, b)
		}
	}
}
