// Package decide makes the decisions of a quota-keeping API gateway: whom to let in, which server to
// send a request to, when to try again and when to stop.
//
// A [Gateway] is a plain state machine. The caller owns the clock, the network and the queue of events; it
// calls [Gateway.Handle] once for each [Event] and carries out the returned actions in order. The package
// does no I/O, reads no clock, starts no goroutine and keeps no state outside the Gateway: the same
// configuration, seed and events always give the same actions. A Gateway is not safe for concurrent use.
//
// All times are a [time.Duration] since an origin of the caller's choice; they must never run backwards.
package decide

import (
	"fmt"
	"math"
	"time"

	"sloepick/decide/quota"
)

// Effect says whether a request of a class may run more than once.
type Effect int

// The effects a class may have.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // servers of one Group drop a repeat within the class's Window
	Safe                 // may run any number of times
)

// Group says which servers drop each other's repeats of a keyed request.
type Group int

// The groups of servers.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class describes a kind of request.
type Class struct {
	Name                 string
	Effect               Effect
	Group                Group         // for Keyed
	DedupWindow          time.Duration // for Keyed: how long a repeat is dropped
	LatencyTarget        time.Duration // an answer within this earns the full worth
	LatencyTargetStretch float64       // the aim grows by this multiple of a request's own work
	Deadline             time.Duration // what a client waits for over all of its tries
	Worth                float64
	LateWorthFraction    float64 // part of the worth that an answer past the aim earns
	Stream               bool
}

// What customers have, and what is known of it, is package quota's.
type (
	// Plan describes the quota of each customer on it, over all gateways together.
	Plan = quota.Plan
	// BucketSnapshot is how full a customer's bucket was, as far as one gateway knew.
	BucketSnapshot = quota.BucketSnapshot
	// Allowance is what a customer's bucket at this gateway has room for.
	Allowance = quota.Allowance
	// PeerStatus is whether the gateway of a number is there.
	PeerStatus = quota.PeerStatus
)

// The presences.
const (
	PeerActive      = quota.PeerActive
	PeerUnreachable = quota.PeerUnreachable
	PeerAbsent      = quota.PeerAbsent
)

// Limits tells what a gateway is allowed to do.
type Limits struct {
	MaxAttempts      int
	ParallelAttempts bool // two attempts of a request may be out at once
	Cancel           bool
	PeerMessages     bool
	Probes           bool
	RetryAfter       bool
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration
}

// Safety holds the figures of the rules.
type Safety struct {
	AnswerSlack    time.Duration
	DrainGrace     time.Duration
	ColdCapacity   float64       // part of its capacity that a started server has at least
	ColdDuration   time.Duration // it is warm no later than this
	OverloadFactor float64       // work beyond this multiple of its present capacity ...
	OverloadWindow time.Duration // ... for this long makes it fall over
	ListMaxAge     time.Duration // with Subscribe: how long an unasked list stays good
}

// Prices are points taken off the result, each for one unit of what it names.
type Prices struct {
	CrossZone, Waste, Probe, Peer, LateFail, Counter float64
}

// Config is all that a gateway is told when it starts.
type Config struct {
	Rank, Gateways int // this gateway's number, from 0, and how many there are
	Zone           string
	Classes        []Class
	Plans          []Plan
	SettledLater   bool // units told with a request are a guess; the answer tells the true ones
	MaxUnits       float64
	MeterPeriod    time.Duration // 0: no meter
	PeerIntake     float64       // messages a second that a gateway takes in
	Counter        bool          // a shared counter may be called
	CounterTimeout time.Duration
	Limits         Limits
	Safety         Safety
	Prices         Prices
	ReportsOnProbe bool // load reports come with probe results only
	Subscribe      bool // list changes come only when asked for
	TrackChanges   bool // what changes is marked for Gateway.Changed
}

func checkNonNegative(field string, v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("decide: %s is %v, want a number of 0 or more", field, v)
	}
	return nil
}

// Validate reports the first setting that a gateway can't work with.
func (c *Config) Validate() error {
	if c.Gateways < 1 {
		return fmt.Errorf("decide: Gateways is %d, want 1 or more", c.Gateways)
	}
	if c.Rank < 0 || c.Rank >= c.Gateways {
		return fmt.Errorf("decide: Rank is %d, want 0 to %d", c.Rank, c.Gateways-1)
	}
	if len(c.Classes) == 0 {
		return fmt.Errorf("decide: Classes is empty, want one or more")
	}
	if c.Limits.MaxAttempts < 1 {
		return fmt.Errorf("decide: Limits.MaxAttempts is %d, want 1 or more", c.Limits.MaxAttempts)
	}
	if c.Safety.ColdDuration > 0 && c.Safety.OverloadWindow <= 0 {
		return fmt.Errorf("decide: Safety.FallWindow is %v, want more than 0", c.Safety.OverloadWindow)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Safety.ColdFrom", c.Safety.ColdCapacity}, {"Safety.FallMultiple", c.Safety.OverloadFactor},
		{"PeerIntake", c.PeerIntake}, {"MaxUnits", c.MaxUnits}} {
		if err := checkNonNegative(f.name, f.v); err != nil {
			return err
		}
	}
	for i, k := range c.Classes {
		if err := k.validate(fmt.Sprintf("Classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, p := range c.Plans {
		if err := validatePlan(&p, fmt.Sprintf("Plans[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (k *Class) validate(path string) error {
	if k.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", path)
	}
	if k.LatencyTarget <= 0 {
		return fmt.Errorf("decide: %s.Aim is %v, want more than 0", path, k.LatencyTarget)
	}
	return checkNonNegative(path+".Worth", k.Worth)
}

func validatePlan(p *Plan, path string) error {
	if p.Name == "" {
		return fmt.Errorf("decide: %s.Name is empty", path)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"Rate", p.Rate}, {"Burst", p.Burst}, {"CeilingRate", p.CeilingRate},
		{"CeilingBurst", p.CeilingBurst}, {"CeilingSlack", p.CeilingSlack}, {"MaxOpen", float64(p.MaxOpen)},
		{"Price", p.Price}, {"OverWorth", p.OverWorth}, {"OverCost", p.OverCost}} {
		if err := checkNonNegative(path+"."+f.name, f.v); err != nil {
			return err
		}
	}
	return nil
}

// Outcome tells how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. Rejected, NoConnection and NotSent prove that the attempt never ran.
const (
	OK Outcome = 1 + iota
	Error
	Rejected
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
)

// neverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) neverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// State is what the list of servers says of one of them.
type State int

// The states of a server.
const (
	Serving State = iota
	Draining
	Gone
)

// Server is an entry of the list of servers.
type Server struct {
	ID      string
	Zone    string
	Cell    int
	Kind    string
	State   State
	Started time.Duration // 0: long ago
	Weight  float64
}

// LoadReport is a server's own account of its load, by name of the figure (queue, util, qps, latency_ms,
// inflight, errors_per_s).
type LoadReport map[string]float64

// OutcomeSet is a set of outcomes.
type OutcomeSet uint16

// NewOutcomeSet is the set of those outcomes.
func NewOutcomeSet(all ...Outcome) (s OutcomeSet) {
	for _, o := range all {
		s |= 1 << o
	}
	return s
}

// Has reports whether an outcome is in the set.
func (s OutcomeSet) Has(o Outcome) bool { return s&(1<<o) != 0 }

// RetryPolicy narrow what is decided for one request. They never widen what the settings and the rules allow. A RetryPolicy is
// shared by many requests and not changed while one of them is open.
type RetryPolicy struct {
	MaxAttempts    int           // in all; 0: as many as the settings allow
	AttemptTimeout time.Duration // longest time for one; 0: to the request's end
	TotalTimeout   time.Duration // longest time for all, from the request on; 0: to its deadline
	RetryOn        OutcomeSet    // those after which another may be made; Moot is never followed by one
	// InitialBackoff is the time before the first further attempt; each further one waits WaitGrowth times as long, MaxBackoff at
	// most, give or take the share Jitter. A second copy does not wait.
	InitialBackoff, MaxBackoff time.Duration
	BackoffFactor, Jitter      float64
	Hedge                      bool          // a second copy may go out while an attempt is ...
	HedgeDelay                 time.Duration // ... after this; 0: when the attempt is overdue by the module's own guess ...
	HedgeMinTimeLeft           time.Duration // ... if so much time is left to it
	RetryAfter                 time.Duration // told with a refusal for want of an answer; 0: the module's own
	Budget                     RetryBudget   // nil: the module's own
}

// RetryBudget bounds further attempts. It is called from within Handle only.
type RetryBudget interface {
	RecordFirstAttempt(now time.Duration, s *Server) // a first attempt goes to the server
	TakeRetry(now time.Duration, s *Server) bool     // whether a further one may, which is then made
}

// Event is something that a gateway is told.
type Event interface{ event() }

// ListKind tells how a FleetUpdate is to be read.
type ListKind int

// The kinds of update.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListStale                  // the whole list as last held, maybe long out of date
	ListFailed                 // asking failed; the former list stays
)

type (
	// ServerListUpdate brings news of the list of servers.
	ServerListUpdate struct {
		Kind    ListKind
		Version uint64
		Servers []Server
	}
	// Request is a client's request; it must get one final answer before Deadline.
	Request struct {
		ID, Class, Plan, Customer  string
		Units                      float64
		Deadline                   time.Duration
		FirstGateway, GatewayCount int // the customer's gateways: number of the first, and how many
		ClientRetry                bool
		Write                      bool
		RetryPolicy                *RetryPolicy // nil: none beyond the settings
	}
	// ResponseStarted says that a streamed answer has begun.
	ResponseStarted struct {
		ID, Server string
		Attempt    int
		Latency    time.Duration
	}
	// AttemptEnded tells how an attempt ended. Done: the request is finished.
	AttemptEnded struct {
		ID, Server            string
		Attempt               int
		Outcome               Outcome
		Latency               time.Duration
		RequestDone           bool
		MeteredPercentPlusOne int     // 1 + the customer's use in percent of its rate; 0: not told
		ActualUnits           float64 // 0: not told
		Report                LoadReport
	}
	// ClientDisconnected says that the client left; no answer is owed.
	ClientDisconnected struct{ ID string }
	// TimerFired is the answer to SetTimer.
	TimerFired struct{ Token uint64 }
	// ProbeEnded is the answer to Probe.
	ProbeEnded struct {
		Server  string
		Outcome Outcome
		Latency time.Duration
		Report  LoadReport
	}
	// PeerMessage is what another gateway told.
	PeerMessage struct {
		From int
		Text string
	}
	// MembershipUpdate is what the gateways of a fleet have agreed on. Without one, each has the number that its Config tells and all are
	// there.
	MembershipUpdate struct {
		Rank           int  // this gateway's number
		RankReassigned bool // it was not this gateway's before, or may have been another's since
		Isolated       bool // it is cut off: it keeps to its even part
		Peers          []PeerStatus
	}
	// StateRestored is what is believed of the time before the start. What is known already is only raised by it.
	StateRestored struct {
		Buckets []BucketSnapshot // as full as they are now
		// LeakedSeconds is for how many seconds the buckets of all others have leaked since they may have been half full.
		LeakedSeconds  float64
		WarmServerRate float64 // usual requests a second that this gateway sent a warm server; 0: not known
	}
	// Shutdown says that the gateway stops and owes nothing any more: the last event that it takes.
	Shutdown struct{}
	// CounterCallEnded is the answer to Count.
	CounterCallEnded struct {
		Name    uint64
		Outcome Outcome
		Total   float64
		Latency time.Duration
	}
)

func (ServerListUpdate) event()   {}
func (Request) event()            {}
func (ResponseStarted) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeEnded) event()         {}
func (PeerMessage) event()        {}
func (MembershipUpdate) event()   {}
func (Shutdown) event()           {}
func (CounterCallEnded) event()   {}
func (StateRestored) event()      {}

// Action is something that a gateway wants done.
type Action interface{ action() }

type (
	// SendAttempt starts an attempt. A request's attempts are numbered from 0.
	SendAttempt struct {
		ID, Server string
		Timeout    time.Duration // 0: until the client gives up
		// WriteDeadline is when the last byte must be written, or nothing may be: servers forget the key of a request that may have
		// run. 0: there is no such time.
		WriteDeadline time.Duration
	}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      string
		Attempt int
	}
	// Refuse is a final answer that promises the client that trying again does no harm.
	Refuse struct {
		ID         string
		RetryAfter time.Duration // 0: no advice
		OverQuota  bool          // it is the customer's quota that has no room; else it is the servers, or an attempt that never ran
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		At    time.Duration
		Token uint64
	}
	// Probe asks a server for its load.
	Probe struct{ Server string }
	// CloseIdle drops the idle connections to a server.
	CloseIdle struct{ Server string }
	// Subscribe asks for changes of the list of servers, or no more of them.
	Subscribe struct{ On bool }
	// FetchServerList asks for the whole list once.
	FetchServerList struct{}
	// SendToPeer sends a message to one peer.
	SendToPeer struct {
		To   int
		Text string
	}
	// IncrementCounter adds to a named number of the shared counter.
	IncrementCounter struct {
		Name  uint64
		Delta float64
		TTL   time.Duration
	}
	// Log adds a line to the operator's log.
	Log struct{ Text string }
)

func (SendAttempt) action()      {}
func (CancelAttempt) action()    {}
func (Refuse) action()           {}
func (Fail) action()             {}
func (SetTimer) action()         {}
func (Probe) action()            {}
func (CloseIdle) action()        {}
func (Subscribe) action()        {}
func (FetchServerList) action()  {}
func (SendToPeer) action()       {}
func (IncrementCounter) action() {}
func (Log) action()              {}
