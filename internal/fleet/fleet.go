// Package fleet decides what the members of a gateway fleet agree on: which member holds which numbered slot, and
// which members are cut off from the majority. It does no I/O: the membership engine passes in events with their
// time, and gets back the actions to take. All members apply the same rules, so the same facts lead to the same
// table.
//
// A slot is a gateway's number in quota sharing. A claim on a slot carries a term, one more than the highest term
// known for that slot. Of two claims on one slot the higher term wins; with equal terms, the name that sorts first.
// The loser stops using the slot at once. Only a member that is in contact with a majority may make a claim, and it
// uses the slot only after Config.ConfirmDelay, by which time all members know of the claim. A member that restarts
// finds its slot reserved and uses it at once.
//
// All times are a [time.Duration] since an origin of the caller's choice. They must never run backwards.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Config is the configuration of a member.
type Config struct {
	Self            Member // its claim is NoClaim
	Slots           int    // number of slots, numbered from 0
	ExpectedMembers int    // intended size of the fleet: a majority is counted of at least this many
	LastClaim       Claim  // the claim last used, from local disk, or NoClaim

	ClaimDelay           time.Duration // wait without new members or claims before a claim: members that start together know each other by then
	MaxClaimDelay        time.Duration // limit on that wait in a fleet that keeps changing; grows in large fleets
	ConfirmDelay         time.Duration // time between a claim and its use
	IsolatedRestoreDelay time.Duration // wait before a cut-off member uses its restored slot, if the others can't form a majority
	SilenceTimeout       time.Duration // time without contact with any member after which this one counts as cut off
	PauseThreshold       time.Duration // interval between two events that means that the process or machine was paused
	Lease                time.Duration // how long a slot is kept without a majority while the others may have one
	ReservationPeriod    time.Duration // how long the slot of a lost or departed member is reserved; more than Lease plus failure detection
	ForgetAfter          time.Duration // how long a lost member counts towards the fleet's size
}

// DefaultConfig returns settings for a local network with an engine that detects a failure within 10 s.
func DefaultConfig() Config {
	return Config{ExpectedMembers: 1, LastClaim: NoClaim, ClaimDelay: time.Second, MaxClaimDelay: 30 * time.Second, IsolatedRestoreDelay: 15 * time.Second, ConfirmDelay: 2 * time.Second, SilenceTimeout: 3 * time.Second, PauseThreshold: 2 * time.Second,
		Lease: 2 * time.Minute, ReservationPeriod: 3 * time.Minute, ForgetAfter: 10 * time.Minute}
}

// Validate returns an error for the first invalid value.
func (c *Config) Validate() error {
	switch {
	case c.Self.Name == "":
		return fmt.Errorf("fleet: member name is empty")
	case c.Slots < 1:
		return fmt.Errorf("fleet: invalid slot count %d, want 1 or more", c.Slots)
	case c.ReservationPeriod <= c.Lease:
		return fmt.Errorf("fleet: reservation period %v must be longer than the lease %v", c.ReservationPeriod, c.Lease)
	}
	return nil
}

// Claim is a member's claim on a slot.
type Claim struct {
	Slot int `json:"Place"` // negative: none
	Term uint64
}

// NoClaim is the absence of a claim.
var NoClaim = Claim{Slot: -1}

// Member is what a member announces about itself.
type Member struct {
	Name        string
	Incarnation uint64 `json:"Life"` // of two processes with one name, the later one has the higher incarnation
	Addr        string // address of its membership engine
	Generation  uint64 // generation of its configuration
	Version     int    // protocol version
	Claim       Claim
}

// State is a member's state.
type State int

// The states of a member.
const (
	Alive State = iota
	Lost        // failed or unreachable
	Left        // shut down in an orderly way
)

func (s State) String() string { return [...]string{"alive", "lost", "left"}[s] }

// Event is an input to a Table.
type Event interface{ event() }

// The events.
type (
	// MemberAlive reports that a member is alive, with its latest announcement.
	MemberAlive struct{ Member Member }
	// MemberGone reports that an incarnation of a member was lost, or has left.
	MemberGone struct {
		Name        string
		Incarnation uint64
		Left        bool
	}
	// RemoteState is another member's shared state, which the engine itself does not track: lost members and highest
	// terms.
	RemoteState struct{ SharedState }
	// MemberContact reports that a message of any other member arrived.
	MemberContact struct{}
	// SyncDone reports the end of a Sync. OK: at least one member answered; its state was passed in as RemoteState
	// before.
	SyncDone struct{ OK bool }
	// Tick reports that time has passed. Ticks must come well within Config.PauseThreshold.
	Tick struct{}
	// ClockJump reports that the wall clock jumped, as it does when the machine was suspended.
	ClockJump struct{}
	// ConfigChange sets the generation of the configuration and the expected number of members; 0 leaves that number
	// unchanged.
	ConfigChange struct {
		Generation      uint64
		ExpectedMembers int
	}
	// Leave reports that this member is shutting down. Its slot stays reserved.
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

// Action is an output of a Table, to be carried out by the caller.
type Action interface{ action() }

// The actions.
type (
	// Announce publishes this member's current announcement to the fleet.
	Announce struct{ Self Member }
	// Sync exchanges full state with a few members, and with the seeds unless SkipSeeds is set. SyncDone must follow.
	Sync struct{ SkipSeeds bool }
	// AssignmentChange reports this member's new assignment.
	AssignmentChange struct{ Assignment }
	// Superseded ends this member: a later process runs under its name.
	Superseded struct{ By Member }
	// LogMessage is a line for the log.
	LogMessage struct{ Text string }
)

func (Announce) action()         {}
func (Sync) action()             {}
func (AssignmentChange) action() {}
func (Superseded) action()       {}
func (LogMessage) action()       {}

// SharedState is what a member includes when it exchanges full state with another. Without it, a member that joins
// one part of a partitioned fleet would take that part for the whole fleet, and a reserved slot for an unused one.
type SharedState struct {
	Absent []AbsentMember
	Terms  []uint64 // highest known, by slot
}

// AbsentMember is a member that was lost, or left, some time ago.
type AbsentMember struct {
	Member Member
	State  State
	Ago    time.Duration
}

// SharedState returns what this member passes on to others.
func (t *Table) SharedState() SharedState {
	p := SharedState{Terms: slices.Clone(t.terms)}
	for _, r := range t.absent {
		p.Absent = append(p.Absent, AbsentMember{r.Member, r.state, t.now - r.since})
	}
	slices.SortFunc(p.Absent, func(a, b AbsentMember) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return p
}

// Assignment is what a gateway may do in its fleet.
type Assignment struct {
	Slot     int      `json:"Place"` // negative: it may admit no requests
	Term     uint64   // of the slot
	Isolated bool     `json:"Alone"` // cut off: it is limited to its even share of each quota
	Holders  []Holder // by slot
}

// Holder is the holder of a slot.
type Holder struct {
	Name        string // empty: the slot is vacant
	Incarnation uint64 `json:"Life"`
	State       State  // Lost and Left: the slot is reserved
}

func (s *Assignment) equal(o *Assignment) bool {
	return s.Slot == o.Slot && s.Term == o.Term && s.Isolated == o.Isolated && slices.Equal(s.Holders, o.Holders)
}

const (
	lostShareForSync     = 4   // if at least one in this many members is lost, sync with others
	membersPerClaimDelay = 400 // members per Config.MaxClaimDelay: the limit is doubled at twice this number, and so on
	doubtPeriods         = 3   // Config.SilenceTimeout periods for which a report of a loss counts; a sync takes place in each
)

// memberRecord is what is known of a member.
type memberRecord struct {
	Member
	state     State
	since     time.Duration // time of the last state change
	lastSeen  time.Duration // time of the last announcement
	doubtedAt time.Duration // time when another member reported it lost while it is alive here; 0: never
}

// Table is one member's view of the fleet. Use New to create one.
type Table struct {
	cfg         Config
	self        Member
	now         time.Duration
	initialized bool
	actions     []Action
	members     map[string]*memberRecord // other members, by name
	absent      map[string]*memberRecord // the members that are not alive
	doubted     map[string]*memberRecord // the members that are alive here and were reported lost by others
	terms       []uint64                 // highest known, by slot

	synced             bool          // the first sync is done, whether or not a member answered
	claimAfter         time.Duration // earliest time of a claim, or of the use of one
	waitingSince       time.Duration // since when this member has been waiting to claim or to use a slot
	slotInUse          bool          // the claim is in use
	restored           bool          // the claim is that of this member's previous incarnation
	lastContact        time.Duration
	lastMajority       time.Duration // time when there last was one
	isolated           bool
	othersLackMajority bool // the members out of reach can't form a majority either
	startedAt          time.Duration
	resuming           bool          // the process was paused, and no sync was done since
	syncing            bool          // a Sync is in progress
	syncStale          bool          // the Sync in progress was started before the pause
	nextSync           time.Duration // time of the next full sync while cut off or while many are lost
	nextPeerSync       time.Duration // time of the next sync without seeds while waiting for a slot
	leaving            bool
	superseded         bool
	noFreeSlot         bool  // there was no free slot at the last attempt
	lastClaim          Claim // the last one in use
	reported           Assignment
	holderCache        []Holder // by slot; shared with reported assignments, so never modified
	holdersStale       bool     // holderCache is out of date
}

// New creates the table of a member that knows no other member yet.
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

// Handle processes an event that occurred at a time, and returns the actions to take, in order.
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
		t.resume(fmt.Sprintf("no events for %v", t.now-before))
	}
	if (t.apply(e) || paused) && !t.superseded {
		t.checkMajority()
		t.updateClaim()
		t.reportAssignment()
	}
	return t.actions
}

// apply records an event. It reports whether the consequences must be evaluated at once; all others wait for the next
// Tick, so that a thousand joining members cost one evaluation.
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
		if t.syncStale { // the answers may be from before the pause
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

// mergeState merges another member's state. What this member knows first-hand takes precedence.
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

// resume handles a pause of this process: its knowledge may be outdated, so it does not use its slot until the next
// sync.
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

// mergeAbsence records that another member considers one as gone. That alone does not make it lost here, but it
// counts for a while in the decision on who is cut off: if many members fail at once, the engine detects the failures
// late.
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
		if m.Incarnation < t.self.Incarnation { // a previous incarnation, whose claim is reserved for this one
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
		return // a previous incarnation
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

// postponeClaim delays a claim because the table is still changing.
func (t *Table) postponeClaim() {
	t.claimAfter = max(t.claimAfter, min(t.now+t.cfg.ClaimDelay, t.waitingSince+t.maxClaimDelay()))
}

// maxClaimDelay returns the limit on the wait for a stable table. It grows with the fleet, as announcements take
// longer to reach all members.
func (t *Table) maxClaimDelay() time.Duration {
	return t.cfg.MaxClaimDelay * time.Duration(max(1, (1+len(t.members))/membersPerClaimDelay))
}

// learnTerm records the highest term of a slot from any source.
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

// checkMajority determines whether this member is in contact with a majority, and removes members that are to be
// forgotten.
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
		t.logf("cut off: %v; %d of %d members are alive, last contact %v ago", t.isolated, alive, known, t.now-t.lastContact)
	}
	switch {
	case t.now >= t.nextSync && (t.isolated || lostShareForSync*lost >= known):
		t.requestSync()
	case t.now >= t.nextPeerSync && t.synced && !t.slotInUse && !t.isolated && !t.leaving:
		// When many members join at once, gossip spreads their announcements too slowly. Exchanges of full state
		// between pairs of members double what each knows.
		t.startSync(Sync{SkipSeeds: true})
	}
	// If the others can't form a majority either, this member's slot can't be given to another.
	others := known - alive
	if silent {
		others = known - 1
	}
	t.othersLackMajority = 2*others <= known
	if !t.isolated || t.othersLackMajority {
		t.lastMajority = t.now
	}
}

// setClaim changes this member's claim and announces it.
func (t *Table) setClaim(c Claim) {
	if t.self.Claim == c {
		return
	}
	t.self.Claim, t.holdersStale = c, true
	t.learnTerm(c)
	t.emit(Announce{t.self})
}

// updateClaim keeps, gives up or makes a claim.
func (t *Table) updateClaim() {
	c, holders := t.self.Claim, t.slotHolders()
	switch {
	case t.leaving:
	case c.Slot >= 0 && holders[c.Slot].Name != t.self.Name:
		t.logf("claim on slot %d is void; its holder is now %q", c.Slot, holders[c.Slot].Name)
		t.dropClaim()
	case c.Slot >= 0 && t.now-t.lastMajority >= t.cfg.Lease:
		t.logf("slot %d is given up: the lease expired without a majority", c.Slot)
		t.dropClaim()
	case t.slotInUse || !t.synced || t.resuming:
	case t.isolated:
		if t.restored && c.Slot >= 0 && t.othersLackMajority && t.now-t.startedAt >= t.cfg.IsolatedRestoreDelay {
			t.logf("slot %d is taken up alone: no others can have a majority", c.Slot)
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

// restoreClaim takes over the claim of this member's previous incarnation. It may be used at once: a member that
// claims the same slot meanwhile waits for Config.ConfirmDelay, and its claim is known here by then.
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

// slotHolders returns the holders of all slots: the winners of the claims.
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

// chooseSlot selects a slot to claim: the last one used, if it is free, else one of the free slots in the order of
// their terms, lowest first. The position in that order is this member's rank among the members without a slot, so
// that members with the same knowledge choose different slots.
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
	rank, waiting := 0, 1 // members without a slot that sort before this one; all members without a slot
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
			t.logf("no free slot: %d slots, %d waiting members", t.cfg.Slots, waiting)
		}
		t.noFreeSlot = true
		return 0, false
	}
	t.noFreeSlot = false
	return free[rank], true
}

// reportAssignment reports this member's assignment if it has changed.
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
	Since       time.Duration // time of the last state change
	LastContact time.Duration `json:"Heard"` // time of its last announcement
	Self        bool
}

// Members returns all members, sorted by name.
func (t *Table) Members() (all []MemberStatus) {
	all = append(all, MemberStatus{Member: t.self, LastContact: t.now, Self: true})
	for _, r := range t.members {
		all = append(all, MemberStatus{Member: r.Member, State: r.state, Since: r.since, LastContact: r.lastSeen})
	}
	slices.SortFunc(all, func(a, b MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// MemberState returns the state of a member, and false if it is unknown.
func (t *Table) MemberState(name string) (s State, known bool) {
	r := t.members[name]
	if r == nil {
		return Alive, name == t.self.Name
	}
	return r.state, true
}

// Assignment returns this member's current assignment.
func (t *Table) Assignment() Assignment { return t.reported }
