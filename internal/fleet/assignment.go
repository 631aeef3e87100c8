package fleet

import (
	"cmp"
	"slices"
	"time"
)

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
