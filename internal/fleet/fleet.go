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
	lostShareForSync     = 4   // where one in so many is lost, others are asked what they know
	membersPerClaimDelay = 400 // members, for whom Config.Patient is: twice as many wait twice as long
	doubtPeriods         = 3   // times Config.Silence, in which they are asked once: so long hearsay counts
)

// memberRecord is what is known of a name.
type memberRecord struct {
	Member
	state     State
	since     time.Duration // of the state
	lastSeen  time.Duration // when it was last told of
	doubtedAt time.Duration // when another member told that it is lost, though it is not known here; 0: never
}

// Table is one member's view of the fleet. Make it with New.
type Table struct {
	cfg         Config
	self        Member
	now         time.Duration
	initialized bool
	actions     []Action
	members     map[string]*memberRecord // but for this one
	absent      map[string]*memberRecord // those of them that are not alive
	doubted     map[string]*memberRecord // those that may not be
	terms       []uint64                 // the highest known, by place

	synced             bool          // the whole state of another member is known, or there is none
	claimAfter         time.Duration // a claim may be made from then on
	waitingSince       time.Duration // since when it waits for a place
	slotInUse          bool          // the claim is used
	restored           bool          // it is the former life's
	lastContact        time.Duration
	lastMajority       time.Duration // when there was one
	isolated           bool
	othersLackMajority bool // those that are not here can't have a majority
	startedAt          time.Duration
	resuming           bool          // it stood still, and has not heard how things are since
	syncing            bool          // Sync is out
	syncStale          bool          // it was out before the process stood still
	nextSync           time.Duration // while it is cut off or many are lost, others are asked again then
	nextPeerSync       time.Duration // while it waits for a place, a few are asked again then
	leaving            bool
	superseded         bool
	noFreeSlot         bool  // there was no free place when it looked last
	lastClaim          Claim // that was used
	reported           Assignment
	holderCache        []Holder // of all places; shared with what was told, so never written
	holdersStale       bool     // since held was found
}

// New makes the table of a member that has heard of no other.
func New(cfg Config) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	t := &Table{cfg: cfg, self: cfg.Self, members: map[string]*memberRecord{}, absent: map[string]*memberRecord{}, doubted: map[string]*memberRecord{}, terms: make([]uint64, cfg.Slots), lastClaim: cfg.LastClaim}
	t.self.Claim = NoClaim
	t.holderCache = make([]Holder, cfg.Slots)
	t.reported = Assignment{Slot: -1, Holders: t.holderCache}
	return t, nil
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Table) logf(format string, args ...any) { t.emit(LogMessage{fmt.Sprintf(format, args...)}) }

// Handle takes an event at a time and returns what is to be done, in order.
func (t *Table) Handle(now time.Duration, e Event) []Action {
	t.actions = nil
	before := t.now
	t.now = max(now, t.now)
	if !t.initialized {
		t.initialized, t.startedAt, t.lastContact, t.lastMajority = true, t.now, t.now, t.now
		if t.restoreClaim(t.cfg.LastClaim); !t.restored {
			t.emit(Announce{t.self})
		}
		t.requestSync()
	}
	paused := t.now-before > t.cfg.PauseThreshold && before > 0
	if paused {
		t.resume(fmt.Sprintf("nothing happened here for %v", t.now-before))
	}
	if (t.apply(e) || paused) && !t.superseded {
		t.checkMajority()
		t.updateClaim()
		t.reportAssignment()
	}
	return t.actions
}

// apply notes an event. It reports whether what follows from it must be found at once: all else waits for the next Tick, so that
// a thousand members that join cost one look at the table.
func (t *Table) apply(e Event) (urgent bool) {
	switch e := e.(type) {
	case MemberAlive:
		t.memberAlive(e.Member)
		return e.Member.Claim.Slot >= 0 && e.Member.Claim.Slot == t.self.Claim.Slot
	case MemberGone:
		t.memberGone(e)
		return false
	case RemoteState:
		t.mergeState(e.SharedState)
		return false
	case MemberContact:
		t.lastContact = t.now
		return false
	case SyncDone:
		t.syncing, t.nextSync, t.nextPeerSync = false, t.now+t.cfg.SilenceTimeout, t.now+t.cfg.ClaimDelay
		if t.syncStale { // what was asked before a standstill says nothing of now
			t.syncStale = false
			t.requestSync()
			return true
		}
		t.resuming = false
		if e.OK {
			t.lastContact = t.now
		}
		if !t.synced {
			t.synced, t.waitingSince, t.claimAfter = true, t.now, t.now+t.cfg.ClaimDelay
		}
	case ClockJump:
		t.resume("the clock jumped")
	case ConfigChange:
		if e.ExpectedMembers > 0 {
			t.cfg.ExpectedMembers = e.ExpectedMembers
		}
		if t.self.Generation != e.Generation {
			t.self.Generation = e.Generation
			t.emit(Announce{t.self})
		}
	case Leave:
		t.leaving, t.slotInUse = true, false
	}
	return true
}

// mergeState takes what another member knew of who is lost. What this one knows itself counts more.
func (t *Table) mergeState(p SharedState) {
	for slot, term := range p.Terms {
		t.learnTerm(Claim{slot, term})
	}
	for _, a := range p.Absent {
		switch {
		case a.Ago >= t.cfg.ForgetAfter || a.State == Alive:
		case a.Member.Name == t.self.Name && a.Ago < t.cfg.ReservationPeriod:
			t.restoreClaim(a.Member.Claim)
		default:
			t.mergeAbsence(a)
		}
	}
}

// resume takes that this member stood still: what it knows may be over, so it does nothing until it has heard how things are.
func (t *Table) resume(why string) {
	t.logf("%s: standing aside until the fleet is heard", why)
	t.resuming, t.syncStale = true, t.syncing
	t.requestSync()
}

func (t *Table) requestSync() { t.startSync(Sync{}) }

func (t *Table) startSync(s Sync) {
	if !t.syncing {
		t.syncing = true
		t.emit(s)
	}
}

// mergeAbsence takes that another member takes one for gone. It is no proof, but when it comes to who is cut off it counts for a while:
// of many that go at once the engine's own word comes late.
func (t *Table) mergeAbsence(a AbsentMember) {
	r := t.members[a.Member.Name]
	switch {
	case r == nil:
		r = &memberRecord{Member: a.Member, state: a.State, since: t.now - a.Ago, lastSeen: t.now - a.Ago}
		t.members[a.Member.Name], t.absent[a.Member.Name], t.holdersStale = r, r, true
	case r.state == Alive && r.Incarnation == a.Member.Incarnation && a.State == Lost:
		r.doubtedAt = t.now
		t.doubted[a.Member.Name] = r
	}
}

func (t *Table) memberAlive(m Member) {
	if m.Name == t.self.Name {
		if m.Incarnation < t.self.Incarnation { // a former life's word: its claim tells what is kept for this one
			t.restoreClaim(m.Claim)
		} else if m.Incarnation > t.self.Incarnation {
			t.superseded, t.slotInUse = true, false
			t.setClaim(NoClaim)
			t.reportAssignment()
			t.emit(Superseded{m})
		}
		return
	}
	r := t.members[m.Name]
	if r != nil && r.state == Alive && m.Incarnation < r.Incarnation {
		return // a former life of it
	}
	if r == nil || r.state != Alive || r.Claim != m.Claim || r.Incarnation != m.Incarnation {
		t.holdersStale = true
		t.postponeClaim()
	}
	t.learnTerm(m.Claim)
	if r == nil {
		r = &memberRecord{}
		t.members[m.Name] = r
	} else if r.state != Alive {
		r.since = t.now
	}
	delete(t.absent, m.Name)
	delete(t.doubted, m.Name)
	r.Member, r.state, r.lastSeen = m, Alive, t.now
	t.lastContact = t.now
}

// postponeClaim puts a claim off, as the table is still changing.
func (t *Table) postponeClaim() {
	t.claimAfter = max(t.claimAfter, min(t.now+t.cfg.ClaimDelay, t.waitingSince+t.maxClaimDelay()))
}

// maxClaimDelay is how long a member waits for a quiet table: longer among many, as what each says takes longer to reach all.
func (t *Table) maxClaimDelay() time.Duration {
	return t.cfg.MaxClaimDelay * time.Duration(max(1, (1+len(t.members))/membersPerClaimDelay))
}

// learnTerm keeps the highest term of a place, whoever tells it.
func (t *Table) learnTerm(c Claim) {
	if c.Slot >= 0 && c.Slot < len(t.terms) && c.Term > t.terms[c.Slot] {
		t.terms[c.Slot], t.holdersStale = c.Term, true
	}
}

func (t *Table) memberGone(e MemberGone) {
	r := t.members[e.Name]
	if r == nil || r.Incarnation != e.Incarnation || r.state == Left || r.state == Lost && !e.Left {
		return
	}
	r.state, r.since, t.absent[e.Name], t.holdersStale = Lost, t.now, r, true
	if e.Left {
		r.state = Left
	}
}

// checkMajority finds out whether there is a majority, and drops who is long gone.
func (t *Table) checkMajority() {
	alive := 1 + len(t.members) - len(t.absent)
	known := alive
	for name, r := range t.absent {
		t.holdersStale = t.holdersStale || t.now-r.since >= t.cfg.ReservationPeriod && r.Claim.Slot >= 0
		if t.now-r.since >= t.cfg.ForgetAfter {
			delete(t.members, name)
			delete(t.absent, name)
		} else if r.state == Lost {
			known++
		}
	}
	lost := known - alive
	for name, r := range t.doubted {
		if r.state != Alive || t.now-r.doubtedAt >= doubtPeriods*t.cfg.SilenceTimeout {
			delete(t.doubted, name)
		} else {
			alive--
		}
	}
	known = max(known, t.cfg.ExpectedMembers)
	silent := known > 1 && t.now-t.lastContact >= t.cfg.SilenceTimeout
	wasIsolated := t.isolated
	t.isolated = 2*alive <= known || silent
	if t.isolated != wasIsolated {
		t.logf("cut off: %v; %d of %d members are there, the last was heard %v ago", t.isolated, alive, known, t.now-t.lastContact)
	}
	switch {
	case t.now >= t.nextSync && (t.isolated || lostShareForSync*lost >= known):
		t.requestSync()
	case t.now >= t.nextPeerSync && t.synced && !t.slotInUse && !t.isolated && !t.leaving:
		// Of many that join at once the engine passes on what each says too slowly; whole states, from one to one, double what all know.
		t.startSync(Sync{SkipSeeds: true})
	}
	// Where the others can't have a majority either, nobody is given this place.
	others := known - alive
	if silent {
		others = known - 1
	}
	t.othersLackMajority = 2*others <= known
	if !t.isolated || t.othersLackMajority {
		t.lastMajority = t.now
	}
}

// setClaim changes what this member claims, and tells it.
func (t *Table) setClaim(c Claim) {
	if t.self.Claim == c {
		return
	}
	t.self.Claim, t.holdersStale = c, true
	t.learnTerm(c)
	t.emit(Announce{t.self})
}

// updateClaim keeps, gives up or claims a updateClaim.
func (t *Table) updateClaim() {
	c, holders := t.self.Claim, t.slotHolders()
	switch {
	case t.leaving:
	case c.Slot >= 0 && holders[c.Slot].Name != t.self.Name:
		t.logf("place %d is held by %q in a later term", c.Slot, holders[c.Slot].Name)
		t.dropClaim()
	case c.Slot >= 0 && t.now-t.lastMajority >= t.cfg.Lease:
		t.logf("place %d is given up: the lease ran out without a majority", c.Slot)
		t.dropClaim()
	case t.slotInUse || !t.synced || t.resuming:
	case t.isolated:
		if t.restored && c.Slot >= 0 && t.othersLackMajority && t.now-t.startedAt >= t.cfg.IsolatedRestoreDelay {
			t.logf("place %d is taken up alone: no others can have a majority", c.Slot)
			t.slotInUse, t.lastClaim = true, c
		}
	case c.Slot >= 0 && (t.restored || t.now >= t.claimAfter):
		t.slotInUse, t.lastClaim = true, c
	case c.Slot < 0 && t.now >= t.claimAfter:
		if p, ok := t.chooseSlot(holders); ok {
			t.waitingSince, t.claimAfter = t.now, t.now+t.cfg.ConfirmDelay
			t.setClaim(Claim{p, t.terms[p] + 1})
		}
	}
}

// restoreClaim takes the claim of this member's former life as its own. It may be used at once: whoever claims the place meanwhile waits,
// and is heard by then.
func (t *Table) restoreClaim(c Claim) {
	if c.Slot < 0 || c.Slot >= t.cfg.Slots || t.self.Claim.Slot >= 0 || t.leaving {
		return
	}
	t.restored, t.lastClaim = true, c
	t.setClaim(c)
}

func (t *Table) dropClaim() {
	t.slotInUse, t.restored, t.waitingSince, t.claimAfter = false, false, t.now, t.now+t.cfg.ClaimDelay
	t.setClaim(NoClaim)
}

// slotHolders are the winners of all places.
func (t *Table) slotHolders() []Holder {
	if !t.holdersStale {
		return t.holderCache
	}
	t.holdersStale = false
	holders := make([]Holder, t.cfg.Slots)
	consider := func(m *Member, s State) {
		p := m.Claim.Slot
		if p < 0 || p >= len(holders) || m.Claim.Term < t.terms[p] {
			return
		}
		if h := &holders[p]; h.Name == "" || m.Name < h.Name {
			*h = Holder{m.Name, m.Incarnation, s}
		}
	}
	consider(&t.self, Alive)
	for _, r := range t.members {
		if r.state == Alive || t.now-r.since < t.cfg.ReservationPeriod {
			consider(&r.Member, r.state)
		}
	}
	t.holderCache = holders
	return holders
}

// chooseSlot finds a place to claim: the one that it had, if that is free, or else of the free ones, the least used first, the one
// that is its own among all who have none: members that know the same chooseSlot different ones.
func (t *Table) chooseSlot(holders []Holder) (slot int, ok bool) {
	var free []int
	for p, h := range holders {
		if h.Name == "" {
			free = append(free, p)
		}
	}
	if slices.Contains(free, t.lastClaim.Slot) {
		return t.lastClaim.Slot, true
	}
	rank, waiting := 0, 1 // how many sort before this one of those that wait for a place; how many wait
	for _, r := range t.members {
		if c := r.Claim; r.state == Alive && (c.Slot < 0 || c.Slot >= len(holders) || holders[c.Slot].Name != r.Name) {
			waiting++
			if r.Name < t.self.Name {
				rank++
			}
		}
	}
	slices.SortStableFunc(free, func(a, b int) int { return cmp.Compare(t.terms[a], t.terms[b]) })
	if rank >= len(free) {
		t.claimAfter = t.now + t.cfg.ConfirmDelay
		if !t.noFreeSlot {
			t.logf("there is no free place: %d places, waiting members: %d", t.cfg.Slots, waiting)
		}
		t.noFreeSlot = true
		return 0, false
	}
	t.noFreeSlot = false
	return free[rank], true
}

// reportAssignment tells how this member stands, if that has changed.
func (t *Table) reportAssignment() {
	s := Assignment{Slot: -1, Isolated: t.isolated, Holders: t.slotHolders()}
	if t.slotInUse && !t.resuming {
		s.Slot, s.Term = t.self.Claim.Slot, t.self.Claim.Term
	}
	if !s.equal(&t.reported) {
		t.reported = s
		t.emit(AssignmentChange{s})
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
		all = append(all, MemberStatus{Member: r.Member, State: r.state, Since: r.since, LastContact: r.lastSeen})
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
func (t *Table) Assignment() Assignment { return t.reported }
