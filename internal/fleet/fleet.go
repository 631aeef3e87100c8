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

// SharedState returns what this member passes on to others.
func (t *Table) SharedState() SharedState {
	p := SharedState{Terms: slices.Clone(t.terms)}
	for _, r := range t.absent {
		p.Absent = append(p.Absent, AbsentMember{r.Member, r.state, t.now - r.since})
	}
	slices.SortFunc(p.Absent, func(a, b AbsentMember) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return p
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
