// Package election elects the owner of each duty, a piece of work that one member does for the whole fleet. A duty
// has at most one owner at a time, under a fencing number that only rises. The package does no I/O: messages, the
// fleet's slots and the time are passed in, and messages to send and changes of ownership are returned.
// docs/design/owner.md states the guarantees and the assumptions behind them.
//
// A few members are voters, at first those in the lowest slots; a voter that is gone is replaced (electorate.go). A
// voter grants a duty to one member at a time, for a lease on its own clock. A member with grants from a majority of
// all voters owns the duty for slightly less than the lease, counted from when it sent its requests. So two members
// never own a duty at the same time, even if messages are lost, delayed or duplicated, as long as clock drift is
// bounded and a voter that has lost its memory abstains until all leases that it may have granted are over
// (PaxosLease, Trencseni and Gazso, 2012).
//
// Times are a [time.Duration] on the member's own monotonic clock.
package election

import (
	"fmt"
	"slices"
	"time"
)

// Config is the configuration of a member. All members have the same one except for Self and Incarnation.
type Config struct {
	Self           string // name of this member
	Incarnation    uint64 // of this process: grants to a previous incarnation are not valid for this one
	Duties         []string
	InitialVoters  int // number of voters, at first the members in the slots below this number
	Lease          time.Duration
	ClockDrift     float64       // largest difference between the rates of two clocks, as a fraction
	RenewInterval  time.Duration // time between an owner's renewals; well below Lease
	AnswerTimeout  time.Duration // time to wait for the voters' answers
	CandidateDelay time.Duration // extra delay per rank in a duty's candidate order before a member requests the duty
}

// DefaultConfig returns settings for a local network.
func DefaultConfig() Config {
	return Config{InitialVoters: 5, Lease: 6 * time.Second, ClockDrift: 0.1, RenewInterval: 1500 * time.Millisecond, AnswerTimeout: 500 * time.Millisecond, CandidateDelay: time.Second}
}

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case c.Self == "":
		return fmt.Errorf("election: member name is empty")
	case len(c.Duties) > maxDuties:
		return fmt.Errorf("election: %d duties, but messages have room for only %d", len(c.Duties), maxDuties)
	case c.InitialVoters < 1:
		return fmt.Errorf("election: invalid number of voters %d, want 1 or more", c.InitialVoters)
	case c.ClockDrift < 0 || c.ClockDrift >= 0.5:
		return fmt.Errorf("election: invalid clock drift %v, want at least 0 and less than 0.5", c.ClockDrift)
	case c.RenewInterval <= 0 || c.AnswerTimeout <= 0 || c.RenewInterval+c.AnswerTimeout >= c.ownerLease():
		return fmt.Errorf("election: a lease of %v is too short for renewals every %v with an answer timeout of %v", c.Lease, c.RenewInterval, c.AnswerTimeout)
	}
	return nil
}

const maxDuties = 10 // limited by the size of a message, which carries one grant record per duty

// ownerLease returns how long an owner may rely on its lease, from when it sent its requests.
func (c *Config) ownerLease() time.Duration {
	return time.Duration(float64(c.Lease) * (1 - c.ClockDrift))
}

// abstainPeriod returns how long a voter that may have forgotten its grants must not grant anything.
func (c *Config) abstainPeriod() time.Duration {
	return time.Duration(float64(c.Lease) * (1 + c.ClockDrift))
}

// Kind is the type of a message.
type Kind byte

// The types of messages.
const (
	Request Kind = 'a' // asks for a lease, or for its renewal
	Grant   Kind = 'g'
	Deny    Kind = 'd' // refuses a request, with the highest number and the holder that the voter knows
	Release Kind = 'f' // releases a grant

	// Messages about the electorate.
	ReadElectorate  Kind = 'r' // asks for the receiver's electorate
	ElectorateState Kind = 's' // the sender's electorate, and its accepted proposal for the next one
	Prepare         Kind = 'p' // asks for a promise to accept no lower ballot
	Promise         Kind = 'q' // the highest ballot promised, and the accepted proposal
	Accept          Kind = 'c' // asks to accept the voters of the next epoch
	Accepted        Kind = 'y' // confirms an Accept; from a voter, with its grants so far
)

// Message is a message between members.
type Message struct {
	Kind      Kind          `cbor:"1,keyasint"`
	Duty      string        `cbor:"2,keyasint,omitempty"`
	Number    uint64        `cbor:"3,keyasint,omitempty"` // fencing number; of a Deny: the highest granted; of a Promise or Accepted: the ballot
	Owner     string        `cbor:"4,keyasint,omitempty"` // Identity of the requesting member; of a Deny: of the lease holder, or empty
	Round     uint64        `cbor:"5,keyasint,omitempty"` // identifies the request: late answers to earlier ones are ignored
	LeaseLeft time.Duration `cbor:"6,keyasint,omitempty"` // of a Deny: remaining time of the holder's lease

	Epoch       uint64        `cbor:"7,keyasint,omitempty"`  // of the sender's electorate
	Voters      []int         `cbor:"8,keyasint,omitempty"`  // of an ElectorateState: slots of the voters
	Granted     []GrantRecord `cbor:"9,keyasint,omitempty"`  // of an ElectorateState or Accepted: the highest numbers granted, by duty
	Ballot      uint64        `cbor:"10,keyasint,omitempty"` // ballot of the proposal, or of the accepted one
	NextVoters  []int         `cbor:"11,keyasint,omitempty"` // slots of the voters of the next epoch
	VacantSlots []int         `cbor:"12,keyasint,omitempty"` // slots of voters that the fleet no longer reserves
}

// Event is an input to a Table.
type Event interface{ event() }

// The events.
type (
	// Received is a message from the member in a slot.
	Received struct {
		From    int
		Message Message
	}
	// Tick reports that time has passed. WallMillis is the wall clock in milliseconds since 1970, a lower bound for
	// numbers.
	Tick struct{ WallMillis uint64 }
	// FleetUpdate sets this member's slot (negative: none) and the holders of all slots. SlotChanged: this is not the
	// slot that the member had before.
	FleetUpdate struct {
		Slot            int
		SlotChanged     bool
		Isolated        bool // cut off from the majority of the fleet
		ExpectedMembers int  // intended size of the fleet
		Holders         []Holder
	}
	// Resumed reports that the process was paused.
	Resumed struct{}
	// Resign gives up a duty, so that the next candidate takes over.
	Resign struct{ Duty string }
	// Rejected reports that a receiver rejected an action of this member because it knows a higher number.
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

// Holder is the holder of a slot.
type Holder struct {
	Name  string // empty: the slot is vacant
	Alive bool
}

// Action is an output of a Table, to be carried out by the caller.
type Action interface{ action() }

// The actions.
type (
	// Send sends a message to the member in a slot. One to this member's own slot must be passed back as Received.
	Send struct {
		To      int
		Message Message
	}
	// Acquired reports that this member owns a duty under a number, for as long as Table.MayAct confirms it.
	Acquired struct {
		Duty   string
		Number uint64
	}
	// Lost reports that this member no longer owns a duty.
	Lost struct{ Duty string }
	// ElectorateChange reports a new electorate, or newly accepted voters of the next one. It is to be stored.
	ElectorateChange struct{ Electorate }
)

func (Send) action()             {}
func (Acquired) action()         {}
func (Lost) action()             {}
func (ElectorateChange) action() {}

// grantState is what a voter knows of a duty.
type grantState struct {
	number    uint64 // the highest granted
	ownerHash uint32 // hashOwner of the member it was granted to; 0: released
	holder    string // of the last lease; empty: released
	until     time.Duration
}

// candidacy is what a member knows of a duty as its owner or candidate.
type candidacy struct {
	number        uint64
	round         uint64 // of the last request
	requestedAt   time.Duration
	awaiting      bool
	epoch         uint64 // of the last request
	voters        []int  // slots of the voters that were asked
	roundGrants   []int  // slots that granted the last request
	grantedBy     []int  // slots that granted the current number in any round
	leaseEnd      time.Duration
	isOwner       bool
	highestSeen   uint64 // highest number known
	rival         string // current holder, as reported by a voter
	rivalUntil    time.Duration
	nextRequest   time.Duration // earliest time of the next request
	resignedUntil time.Duration // no requests before this time

	candidate bool          // this member is among the first in the duty's candidate order
	delay     time.Duration // extra delay before a request, by rank in that order
}

// Table is one member's view of all duties. Use New to create one.
type Table struct {
	cfg             Config
	now             time.Duration
	identity        string // name and incarnation
	slot            int
	alive           []string
	holders         []holder
	expectedMembers int
	isolated        bool
	proposerRank    int // rank in the order of the members that propose changes of the electorate
	register        register
	abstainUntil    time.Duration // no grants before this time
	grants          map[string]*grantState
	candidacies     map[string]*candidacy
	lastRound       uint64
	wallMillis      uint64
	actions         []Action
}

// holder is the holder of a slot, and since when the slot has been without one.
type holder struct {
	Holder
	slot        int
	deadSince   time.Duration // since when its holder has not been alive
	vacantSince time.Duration // since when it has been vacant
}

// New creates the table of a member that has no slot yet. As it does not remember its grants, it abstains as a voter
// until all leases that it may have granted are over. floor holds the highest number known of each duty, and last the
// last known electorate, for example from disk; both may be zero values.
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

// Handle processes an event that occurred at a time, and returns the actions to take, in order.
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
		for _, d := range t.cfg.Duties { // leases may have expired during the pause, and answers may be late
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
			b.resignedUntil = 0 // it may request the duty again at once, under a higher number
		}
	}
	return t.actions
}

// MayAct reports whether this member may act for a duty at a time on its clock, and under which number. Call it
// before and after each step that can't be undone: if it returns false afterwards, the outcome of the step is
// unknown.
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
	Owner     string        // name and incarnation; empty: unknown
	Number    uint64        // highest known
	LeaseLeft time.Duration `json:"Left"` // remaining time of the owner's lease, as far as known here
}

// Duties returns the status of all duties, in the order of the configuration.
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

// LeaseEnd returns the end of this member's lease on a duty, on its clock, and its fencing number; zeros if it has
// none.
func (t *Table) LeaseEnd(duty string) (until time.Duration, number uint64) {
	if b := t.candidacies[duty]; b != nil && b.isOwner {
		return b.leaseEnd, b.number
	}
	return 0, 0
}

// Identity returns the name and incarnation by which others know this member.
func (t *Table) Identity() string { return t.identity }

// HighestNumbers returns the highest number known of each duty, for storage on disk.
func (t *Table) HighestNumbers() map[string]uint64 {
	all := map[string]uint64{}
	for d, v := range t.grants {
		all[d] = max(v.number, t.candidacies[d].highestSeen, t.candidacies[d].number)
	}
	return all
}

func (t *Table) updateFleet(e FleetUpdate) {
	if e.Slot != t.slot && (e.SlotChanged || t.slot >= 0) { // the grants of that slot may have been given by another member
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
