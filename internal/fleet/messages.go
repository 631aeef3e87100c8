package fleet

import (
	"time"
)

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
