// Package fleet decides what a fleet of gateways agrees on: who holds which numbered place, who is cut off, and since when. It is
// pure: what an engine of membership hears comes in as events with the time, and what is to be told or done comes out. All
// members go by the same rules, so that from the same facts they reach the same table.
//
// A place is a gateway's number in quota sharing. A claim on one carries a term, one more than the highest known of that place;
// of two claims on a place the higher term wins, of equal terms the name that sorts first. The loser stops at once. Only who
// hears a majority may make a claim, and it is used only once the table has been quiet for Config.Prove: by then all know of it.
// A member that comes back finds its place kept, and uses it at once.
//
// All times are a [time.Duration] since an origin of the caller's choice; they must never run backwards.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Config is what a member is told at its start.
type Config struct {
	Self            Member // its claim is of no place
	Slots           int    // numbered from 0
	ExpectedMembers int    // members that the fleet is meant to have: a majority is of at least these
	LastClaim       Claim  // that it used before, by its own disk; None: none

	ClaimDelay           time.Duration // before a claim, with no new member or claim heard: those who start together know each other by then
	MaxClaimDelay        time.Duration // neither waits longer than this, in a fleet that is never quiet and has some hundred members
	ConfirmDelay         time.Duration // ... and so long before it is used
	IsolatedRestoreDelay time.Duration // a member whose disk tells its place takes it up alone after this, where none of the others can have a majority
	SilenceTimeout       time.Duration // with nothing heard from any member for so long, it is cut off
	PauseThreshold       time.Duration // between two events: a longer one means that the process or its machine stood still
	Lease                time.Duration // a place is kept for so long without a majority, if others may have one
	ReservationPeriod    time.Duration // a place is kept for one that is lost or left for so long; more than Lease and the time to notice a loss
	ForgetAfter          time.Duration // a lost member counts in majorities for so long
}

// DefaultConfig are times for a local network: an engine that finds a loss within 10 s.
func DefaultConfig() Config {
	return Config{ExpectedMembers: 1, LastClaim: NoClaim, ClaimDelay: time.Second, MaxClaimDelay: 30 * time.Second, IsolatedRestoreDelay: 15 * time.Second, ConfirmDelay: 2 * time.Second, SilenceTimeout: 3 * time.Second, PauseThreshold: 2 * time.Second,
		Lease: 2 * time.Minute, ReservationPeriod: 3 * time.Minute, ForgetAfter: 10 * time.Minute}
}

// Validate reports the first value that can't be used.
func (c *Config) Validate() error {
	switch {
	case c.Self.Name == "":
		return fmt.Errorf("fleet: the member has no name")
	case c.Slots < 1:
		return fmt.Errorf("fleet: %d places, want 1 or more", c.Slots)
	case c.ReservationPeriod <= c.Lease:
		return fmt.Errorf("fleet: a lost place is held for %v, which is not more than the lease of %v", c.ReservationPeriod, c.Lease)
	}
	return nil
}

// Claim is what a member claims of a place.
type Claim struct {
	Slot int `json:"Place"` // below 0: none
	Term uint64
}

// NoClaim is no claim.
var NoClaim = Claim{Slot: -1}

// Member is what a member tells of itself.
type Member struct {
	Name        string
	Incarnation uint64 `json:"Life"` // of two processes of one name the higher is the later
	Addr        string // of the engine
	Generation  uint64 // of its configuration
	Version     int    // of what it speaks
	Claim       Claim
}

// State is how a member stands.
type State int

// The states.
const (
	Alive State = iota
	Lost        // found dead, or out of reach
	Left        // it said goodbye
)

func (s State) String() string { return [...]string{"alive", "lost", "left"}[s] }

// Event is what a Table is told.
type Event interface{ event() }

// The events.
type (
	// MemberAlive tells that a member is there, and what it says of itself.
	MemberAlive struct{ Member Member }
	// MemberGone tells that a life of a member is lost, or left.
	MemberGone struct {
		Name        string
		Incarnation uint64
		Left        bool
	}
	// RemoteState is what another member knows and the engine does not tell: who is lost, and how far terms are.
	RemoteState struct{ SharedState }
	// MemberContact tells that any other member was heard.
	MemberContact struct{}
	// SyncDone is the answer to Sync. OK: a member answered with its whole state, which was told before.
	SyncDone struct{ OK bool }
	// Tick tells that time has passed; one must come well within Config.Gap.
	Tick struct{}
	// ClockJump tells that the wall clock jumped, as it does over a machine's sleep.
	ClockJump struct{}
	// ConfigChange tells the generation of the configuration that counts from now on, and the members that it expects; 0: as before.
	ConfigChange struct {
		Generation      uint64
		ExpectedMembers int
	}
	// Leave tells that the member ends. Its place is kept for it.
	Leave struct{}
)

func (MemberAlive) event()   {}
func (RemoteState) event()   {}
func (MemberGone) event()    {}
func (MemberContact) event() {}
func (SyncDone) event()      {}
func (Tick) event()          {}
func (ClockJump) event()     {}
func (ConfigChange) event()  {}
func (Leave) event()         {}

// Action is what is to be done.
type Action interface{ action() }

// The actions.
type (
	// Announce is what all members are to be told of this one.
	Announce struct{ Self Member }
	// Sync asks for an exchange of the whole state with a few members, and with the seeds too unless Few; Synced is owed.
	Sync struct{ SkipSeeds bool }
	// AssignmentChange tells how this member stands, whenever that changes.
	AssignmentChange struct{ Assignment }
	// Superseded ends this member: a later process has its name.
	Superseded struct{ By Member }
	// LogMessage is for the log.
	LogMessage struct{ Text string }
)

func (Announce) action()         {}
func (Sync) action()             {}
func (AssignmentChange) action() {}
func (Superseded) action()       {}
func (LogMessage) action()       {}

// SharedState is what a member passes on to another with its whole state: without it one that joins a part of a fleet would take it for
// the whole, and a place for a fresh one.
type SharedState struct {
	Absent []AbsentMember
	Terms  []uint64 // by place
}

// AbsentMember is a member that was lost, or left, so long ago.
type AbsentMember struct {
	Member Member
	State  State
	Ago    time.Duration
}

// SharedState is what this member passes on.
func (t *Table) SharedState() SharedState {
	p := SharedState{Terms: slices.Clone(t.terms)}
	for _, r := range t.absent {
		p.Absent = append(p.Absent, AbsentMember{r.Member, r.state, t.now - r.since})
	}
	slices.SortFunc(p.Absent, func(a, b AbsentMember) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return p
}

// Assignment is what a gateway may do.
type Assignment struct {
	Slot     int      `json:"Place"` // below 0: it may let nothing in
	Term     uint64   // of the place
	Isolated bool     `json:"Alone"` // cut off: it keeps to its even part
	Holders  []Holder // by place
}

// Holder is whose a place is.
type Holder struct {
	Name        string // "": it is vacant
	Incarnation uint64 `json:"Life"`
	State       State  // Lost and Left: it is kept
}

func (s *Assignment) equal(o *Assignment) bool {
	return s.Slot == o.Slot && s.Term == o.Term && s.Isolated == o.Isolated && slices.Equal(s.Holders, o.Holders)
}

const (
	manyLost   = 4   // where one in so many is lost, others are asked what they know
	patientFor = 400 // members, for whom Config.Patient is: twice as many wait twice as long
	doubtFor   = 3   // times Config.Silence, in which they are asked once: so long hearsay counts
)

// record is what is known of a name.
type record struct {
	Member
	state State
	since time.Duration // of the state
	at    time.Duration // when it was last told of
	doubt time.Duration // when another member told that it is lost, though it is not known here; 0: never
}

// Table is one member's view of the fleet. Make it with New.
type Table struct {
	cfg     Config
	self    Member
	now     time.Duration
	begun   bool
	out     []Action
	members map[string]*record // but for this one
	absent  map[string]*record // those of them that are not alive
	doubted map[string]*record // those that may not be
	terms   []uint64           // the highest known, by place

	synced   bool          // the whole state of another member is known, or there is none
	settleBy time.Duration // a claim may be made from then on
	waited   time.Duration // since when it waits for a place
	placed   bool          // the claim is used
	kept     bool          // it is the former life's
	heard    time.Duration
	majority time.Duration // when there was one
	alone    bool
	others   bool // those that are not here can't have a majority
	started  time.Duration
	waking   bool          // it stood still, and has not heard how things are since
	asked    bool          // Sync is out
	stale    bool          // it was out before the process stood still
	askBy    time.Duration // while it is cut off or many are lost, others are asked again then
	fewBy    time.Duration // while it waits for a place, a few are asked again then
	leaving  bool
	yielded  bool
	full     bool  // there was no free place when it looked last
	last     Claim // that was used
	told     Assignment
	held     []Holder // of all places; shared with what was told, so never written
	changed  bool     // since held was found
}

// New makes the table of a member that has heard of no other.
func New(cfg Config) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	t := &Table{cfg: cfg, self: cfg.Self, members: map[string]*record{}, absent: map[string]*record{}, doubted: map[string]*record{}, terms: make([]uint64, cfg.Slots), last: cfg.LastClaim}
	t.self.Claim = NoClaim
	t.held = make([]Holder, cfg.Slots)
	t.told = Assignment{Slot: -1, Holders: t.held}
	return t, nil
}

func (t *Table) do(a Action) { t.out = append(t.out, a) }

func (t *Table) note(format string, args ...any) { t.do(LogMessage{fmt.Sprintf(format, args...)}) }

// Handle takes an event at a time and returns what is to be done, in order.
func (t *Table) Handle(now time.Duration, e Event) []Action {
	t.out = nil
	before := t.now
	t.now = max(now, t.now)
	if !t.begun {
		t.begun, t.started, t.heard, t.majority = true, t.now, t.now, t.now
		if t.keep(t.cfg.LastClaim); !t.kept {
			t.do(Announce{t.self})
		}
		t.ask()
	}
	woke := t.now-before > t.cfg.PauseThreshold && before > 0
	if woke {
		t.wake(fmt.Sprintf("nothing happened here for %v", t.now-before))
	}
	if (t.take(e) || woke) && !t.yielded {
		t.judge()
		t.place()
		t.stand()
	}
	return t.out
}

// take notes an event. It reports whether what follows from it must be found at once: all else waits for the next Tick, so that
// a thousand members that join cost one look at the table.
func (t *Table) take(e Event) (now bool) {
	switch e := e.(type) {
	case MemberAlive:
		t.seen(e.Member)
		return e.Member.Claim.Slot >= 0 && e.Member.Claim.Slot == t.self.Claim.Slot
	case MemberGone:
		t.gone(e)
		return false
	case RemoteState:
		t.past(e.SharedState)
		return false
	case MemberContact:
		t.heard = t.now
		return false
	case SyncDone:
		t.asked, t.askBy, t.fewBy = false, t.now+t.cfg.SilenceTimeout, t.now+t.cfg.ClaimDelay
		if t.stale { // what was asked before a standstill says nothing of now
			t.stale = false
			t.ask()
			return true
		}
		t.waking = false
		if e.OK {
			t.heard = t.now
		}
		if !t.synced {
			t.synced, t.waited, t.settleBy = true, t.now, t.now+t.cfg.ClaimDelay
		}
	case ClockJump:
		t.wake("the clock jumped")
	case ConfigChange:
		if e.ExpectedMembers > 0 {
			t.cfg.ExpectedMembers = e.ExpectedMembers
		}
		if t.self.Generation != e.Generation {
			t.self.Generation = e.Generation
			t.do(Announce{t.self})
		}
	case Leave:
		t.leaving, t.placed = true, false
	}
	return true
}

// past takes what another member knew of who is lost. What this one knows itself counts more.
func (t *Table) past(p SharedState) {
	for place, term := range p.Terms {
		t.learn(Claim{place, term})
	}
	for _, a := range p.Absent {
		switch {
		case a.Ago >= t.cfg.ForgetAfter || a.State == Alive:
		case a.Member.Name == t.self.Name && a.Ago < t.cfg.ReservationPeriod:
			t.keep(a.Member.Claim)
		default:
			t.hearsay(a)
		}
	}
}

// wake takes that this member stood still: what it knows may be over, so it does nothing until it has heard how things are.
func (t *Table) wake(why string) {
	t.note("%s: standing aside until the fleet is heard", why)
	t.waking, t.stale = true, t.asked
	t.ask()
}

func (t *Table) ask() { t.sync(Sync{}) }

func (t *Table) sync(s Sync) {
	if !t.asked {
		t.asked = true
		t.do(s)
	}
}

// hearsay takes that another member takes one for gone. It is no proof, but when it comes to who is cut off it counts for a while:
// of many that go at once the engine's own word comes late.
func (t *Table) hearsay(a AbsentMember) {
	r := t.members[a.Member.Name]
	switch {
	case r == nil:
		r = &record{Member: a.Member, state: a.State, since: t.now - a.Ago, at: t.now - a.Ago}
		t.members[a.Member.Name], t.absent[a.Member.Name], t.changed = r, r, true
	case r.state == Alive && r.Incarnation == a.Member.Incarnation && a.State == Lost:
		r.doubt = t.now
		t.doubted[a.Member.Name] = r
	}
}

func (t *Table) seen(m Member) {
	if m.Name == t.self.Name {
		if m.Incarnation < t.self.Incarnation { // a former life's word: its claim tells what is kept for this one
			t.keep(m.Claim)
		} else if m.Incarnation > t.self.Incarnation {
			t.yielded, t.placed = true, false
			t.claim(NoClaim)
			t.stand()
			t.do(Superseded{m})
		}
		return
	}
	r := t.members[m.Name]
	if r != nil && r.state == Alive && m.Incarnation < r.Incarnation {
		return // a former life of it
	}
	if r == nil || r.state != Alive || r.Claim != m.Claim || r.Incarnation != m.Incarnation {
		t.changed = true
		t.unsettle()
	}
	t.learn(m.Claim)
	if r == nil {
		r = &record{}
		t.members[m.Name] = r
	} else if r.state != Alive {
		r.since = t.now
	}
	delete(t.absent, m.Name)
	delete(t.doubted, m.Name)
	r.Member, r.state, r.at = m, Alive, t.now
	t.heard = t.now
}

// unsettle puts a claim off, as the table is still changing.
func (t *Table) unsettle() {
	t.settleBy = max(t.settleBy, min(t.now+t.cfg.ClaimDelay, t.waited+t.patience()))
}

// patience is how long a member waits for a quiet table: longer among many, as what each says takes longer to reach all.
func (t *Table) patience() time.Duration {
	return t.cfg.MaxClaimDelay * time.Duration(max(1, (1+len(t.members))/patientFor))
}

// learn keeps the highest term of a place, whoever tells it.
func (t *Table) learn(c Claim) {
	if c.Slot >= 0 && c.Slot < len(t.terms) && c.Term > t.terms[c.Slot] {
		t.terms[c.Slot], t.changed = c.Term, true
	}
}

func (t *Table) gone(e MemberGone) {
	r := t.members[e.Name]
	if r == nil || r.Incarnation != e.Incarnation || r.state == Left || r.state == Lost && !e.Left {
		return
	}
	r.state, r.since, t.absent[e.Name], t.changed = Lost, t.now, r, true
	if e.Left {
		r.state = Left
	}
}

// judge finds out whether there is a majority, and drops who is long gone.
func (t *Table) judge() {
	alive := 1 + len(t.members) - len(t.absent)
	known := alive
	for name, r := range t.absent {
		t.changed = t.changed || t.now-r.since >= t.cfg.ReservationPeriod && r.Claim.Slot >= 0
		if t.now-r.since >= t.cfg.ForgetAfter {
			delete(t.members, name)
			delete(t.absent, name)
		} else if r.state == Lost {
			known++
		}
	}
	lost := known - alive
	for name, r := range t.doubted {
		if r.state != Alive || t.now-r.doubt >= doubtFor*t.cfg.SilenceTimeout {
			delete(t.doubted, name)
		} else {
			alive--
		}
	}
	known = max(known, t.cfg.ExpectedMembers)
	silent := known > 1 && t.now-t.heard >= t.cfg.SilenceTimeout
	was := t.alone
	t.alone = 2*alive <= known || silent
	if t.alone != was {
		t.note("cut off: %v; %d of %d members are there, the last was heard %v ago", t.alone, alive, known, t.now-t.heard)
	}
	switch {
	case t.now >= t.askBy && (t.alone || manyLost*lost >= known):
		t.ask()
	case t.now >= t.fewBy && t.synced && !t.placed && !t.alone && !t.leaving:
		// Of many that join at once the engine passes on what each says too slowly; whole states, from one to one, double what all know.
		t.sync(Sync{SkipSeeds: true})
	}
	// Where the others can't have a majority either, nobody is given this place.
	others := known - alive
	if silent {
		others = known - 1
	}
	t.others = 2*others <= known
	if !t.alone || t.others {
		t.majority = t.now
	}
}

// claim changes what this member claims, and tells it.
func (t *Table) claim(c Claim) {
	if t.self.Claim == c {
		return
	}
	t.self.Claim, t.changed = c, true
	t.learn(c)
	t.do(Announce{t.self})
}

// place keeps, gives up or claims a place.
func (t *Table) place() {
	c, holders := t.self.Claim, t.holders()
	switch {
	case t.leaving:
	case c.Slot >= 0 && holders[c.Slot].Name != t.self.Name:
		t.note("place %d is held by %q in a later term", c.Slot, holders[c.Slot].Name)
		t.lose()
	case c.Slot >= 0 && t.now-t.majority >= t.cfg.Lease:
		t.note("place %d is given up: the lease ran out without a majority", c.Slot)
		t.lose()
	case t.placed || !t.synced || t.waking:
	case t.alone:
		if t.kept && c.Slot >= 0 && t.others && t.now-t.started >= t.cfg.IsolatedRestoreDelay {
			t.note("place %d is taken up alone: no others can have a majority", c.Slot)
			t.placed, t.last = true, c
		}
	case c.Slot >= 0 && (t.kept || t.now >= t.settleBy):
		t.placed, t.last = true, c
	case c.Slot < 0 && t.now >= t.settleBy:
		if p, ok := t.choose(holders); ok {
			t.waited, t.settleBy = t.now, t.now+t.cfg.ConfirmDelay
			t.claim(Claim{p, t.terms[p] + 1})
		}
	}
}

// keep takes the claim of this member's former life as its own. It may be used at once: whoever claims the place meanwhile waits,
// and is heard by then.
func (t *Table) keep(c Claim) {
	if c.Slot < 0 || c.Slot >= t.cfg.Slots || t.self.Claim.Slot >= 0 || t.leaving {
		return
	}
	t.kept, t.last = true, c
	t.claim(c)
}

func (t *Table) lose() {
	t.placed, t.kept, t.waited, t.settleBy = false, false, t.now, t.now+t.cfg.ClaimDelay
	t.claim(NoClaim)
}

// holders are the winners of all places.
func (t *Table) holders() []Holder {
	if !t.changed {
		return t.held
	}
	t.changed = false
	holders := make([]Holder, t.cfg.Slots)
	better := func(m *Member, s State) {
		p := m.Claim.Slot
		if p < 0 || p >= len(holders) || m.Claim.Term < t.terms[p] {
			return
		}
		if h := &holders[p]; h.Name == "" || m.Name < h.Name {
			*h = Holder{m.Name, m.Incarnation, s}
		}
	}
	better(&t.self, Alive)
	for _, r := range t.members {
		if r.state == Alive || t.now-r.since < t.cfg.ReservationPeriod {
			better(&r.Member, r.state)
		}
	}
	t.held = holders
	return holders
}

// choose finds a place to claim: the one that it had, if that is free, or else of the free ones, the least used first, the one
// that is its own among all who have none: members that know the same choose different ones.
func (t *Table) choose(holders []Holder) (place int, ok bool) {
	var free []int
	for p, h := range holders {
		if h.Name == "" {
			free = append(free, p)
		}
	}
	if slices.Contains(free, t.last.Slot) {
		return t.last.Slot, true
	}
	at, waiting := 0, 1 // how many sort before this one of those that wait for a place; how many wait
	for _, r := range t.members {
		if c := r.Claim; r.state == Alive && (c.Slot < 0 || c.Slot >= len(holders) || holders[c.Slot].Name != r.Name) {
			waiting++
			if r.Name < t.self.Name {
				at++
			}
		}
	}
	slices.SortStableFunc(free, func(a, b int) int { return cmp.Compare(t.terms[a], t.terms[b]) })
	if at >= len(free) {
		t.settleBy = t.now + t.cfg.ConfirmDelay
		if !t.full {
			t.note("there is no free place: %d places, waiting members: %d", t.cfg.Slots, waiting)
		}
		t.full = true
		return 0, false
	}
	t.full = false
	return free[at], true
}

// stand tells how this member stands, if that has changed.
func (t *Table) stand() {
	s := Assignment{Slot: -1, Isolated: t.alone, Holders: t.holders()}
	if t.placed && !t.waking {
		s.Slot, s.Term = t.self.Claim.Slot, t.self.Claim.Term
	}
	if !s.equal(&t.told) {
		t.told = s
		t.do(AssignmentChange{s})
	}
}

// MemberStatus is what is known of one member.
type MemberStatus struct {
	Member
	State       State
	Since       time.Duration // of the state
	LastContact time.Duration `json:"Heard"` // when it was last told of
	Self        bool
}

// Members are all members, by name.
func (t *Table) Members() (all []MemberStatus) {
	all = append(all, MemberStatus{Member: t.self, LastContact: t.now, Self: true})
	for _, r := range t.members {
		all = append(all, MemberStatus{Member: r.Member, State: r.state, Since: r.since, LastContact: r.at})
	}
	slices.SortFunc(all, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// MemberState is how a member stands; false: it is not known.
func (t *Table) MemberState(name string) (s State, known bool) {
	r := t.members[name]
	if r == nil {
		return Alive, name == t.self.Name
	}
	return r.state, true
}

// Assignment is how this member stands.
func (t *Table) Assignment() Assignment { return t.told }
