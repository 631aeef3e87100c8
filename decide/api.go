// Package decide makes the decisions of an API gateway that keeps quotas: which requests to admit, which server to send a
// request to, when to retry and when to stop.
//
// A [Gateway] is a plain state machine. The caller owns the clock, the network and the queue of events; it
// calls [Gateway.Handle] once for each [Event] and carries out the returned actions in order. The package
// does no I/O, reads no clock, starts no goroutine and keeps no state outside the Gateway: the same
// configuration, seed and events always give the same actions. A Gateway is not safe for concurrent use.
//
// All times are a [time.Duration] since an origin of the caller's choice; they never run backwards.
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
	Unsafe Effect = iota // must not run twice
	Keyed                // servers of one Group drop a repeat within the class's DedupWindow
	Safe                 // may run any number of times
)

// Group says which servers drop each other's repeats of a keyed request.
type Group int

// The groups of servers that do.
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
	DedupWindow          time.Duration // for Keyed: for how long servers drop a repeat
	LatencyTarget        time.Duration // an answer within it earns the full worth
	LatencyTargetStretch float64       // the target grows by this multiple of a request's own work
	Deadline             time.Duration // how long a client waits over all of its attempts
	Worth                float64
	LateWorthFraction    float64 // fraction of the worth that an answer after the target earns
	Stream               bool
}

// Package quota keeps what customers are allowed and what they have used.
type (
	// Plan describes the quota of each customer on it, over all gateways together.
	Plan = quota.Plan
	// BucketSnapshot is how full a customer's bucket was, as far as one gateway knew.
	BucketSnapshot = quota.BucketSnapshot
	// Allowance is what a customer's bucket at this gateway has room for.
	Allowance = quota.Allowance
	// PeerStatus says whether the gateway of a rank takes part in the fleet.
	PeerStatus = quota.PeerStatus
)

// The statuses of a peer.
const (
	PeerActive      = quota.PeerActive
	PeerUnreachable = quota.PeerUnreachable
	PeerAbsent      = quota.PeerAbsent
)

// Limits says what a gateway is allowed to do.
type Limits struct {
	MaxAttempts      int
	ParallelAttempts bool // a request may have two open attempts
	Cancel           bool
	PeerMessages     bool
	Probes           bool
	RetryAfter       bool
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration
}

// Safety holds the parameters of the safety rules.
type Safety struct {
	AnswerSlack    time.Duration
	DrainGrace     time.Duration
	ColdCapacity   float64       // fraction of its capacity that a server has at least after its start
	ColdDuration   time.Duration // a started server is warm after this at the latest
	OverloadFactor float64       // load above this multiple of its present capacity ...
	OverloadWindow time.Duration // ... for this long makes a server fail
	ListMaxAge     time.Duration // with Subscribe: for how long a list that was not asked for stays valid
}

// Prices are points deducted from the result, each for one unit of what it names.
type Prices struct {
	CrossZone, Waste, Probe, Peer, LateFail, Counter float64
}

// Config configures a gateway.
type Config struct {
	Rank, Gateways int // this gateway's number, from 0, and how many there are
	Zone           string
	Classes        []Class
	Plans          []Plan
	SettledLater   bool // a request's units are an estimate; its answer reports the actual ones
	MaxUnits       float64
	MaxCustomers   int           // customers whose quotas are tracked at a time; requests of further ones are refused. 0: no limit
	MeterPeriod    time.Duration // 0: no meter
	PeerIntake     float64       // messages a second that a gateway accepts
	Counter        bool          // a shared counter may be called
	CounterTimeout time.Duration
	Limits         Limits
	Safety         Safety
	Prices         Prices
	ReportsOnProbe bool // load reports come with probe results only
	Subscribe      bool // list changes come only when asked for
	TrackChanges   bool // changed buckets are marked for Gateway.AppendChanged
}

func checkNonNegative(field string, v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("decide: %s is %v, want a number of 0 or more", field, v)
	}
	return nil
}

// Validate reports the first setting that a gateway can't work with, by its path in the settings.
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

// Outcome says how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. Rejected, NoConnection and NotSent prove that the attempt never ran.
const (
	OK Outcome = 1 + iota
	Error
	Rejected // the server declined to run it
	TimedOut
	NoConnection // no connection was made, or it broke before the last byte was written
	Reset        // the connection broke after the last byte was written
	Cancelled
	NotSent // this gateway could not send anything
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// State is the state of a server in the list of servers.
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

// LoadReport is a server's own report of its load, by name of the figure (queue, util, qps, latency_ms, inflight,
// errors_per_s).
type LoadReport map[string]float64

// OutcomeSet is a set of outcomes.
type OutcomeSet uint16

// NewOutcomeSet returns the set of those outcomes.
func NewOutcomeSet(all ...Outcome) (s OutcomeSet) {
	for _, o := range all {
		s |= 1 << o
	}
	return s
}

// Has reports whether an outcome is in the set.
func (s OutcomeSet) Has(o Outcome) bool { return s&(1<<o) != 0 }

// RetryPolicy restricts the attempts of a request. It never widens what the settings and the rules allow. A
// RetryPolicy is shared by many requests and must not be changed while one of them is open.
type RetryPolicy struct {
	MaxAttempts    int           // including the first; 0: as many as the settings allow
	AttemptTimeout time.Duration // 0: until the request's end
	TotalTimeout   time.Duration // for all attempts, from the request on; 0: until its deadline
	RetryOn        OutcomeSet    // outcomes after which a retry may be made; NotSent is never followed by one
	// InitialBackoff is the wait before the first retry; each further wait is BackoffFactor times as long, up to
	// MaxBackoff, plus or minus a random part of at most the fraction Jitter. A hedged attempt does not wait.
	InitialBackoff, MaxBackoff time.Duration
	BackoffFactor, Jitter      float64
	Hedge                      bool          // a hedged attempt may be sent while another is open ...
	HedgeDelay                 time.Duration // ... after this; 0: once the module finds that one overdue ...
	HedgeMinTimeLeft           time.Duration // ... if at least this much time is left
	RetryAfter                 time.Duration // advice of a refusal after attempts failed; 0: the module's own
	Budget                     RetryBudget   // nil: the module's own
}

// RetryBudget limits retries and hedged attempts. It is called from within Handle only.
type RetryBudget interface {
	RecordFirstAttempt(now time.Duration, s *Server) // a first attempt is sent to the server
	TakeRetry(now time.Duration, s *Server) bool     // reports whether a further one may be sent, which is then made
}

// Event is something that happened, for a gateway to handle.
type Event interface{ event() }

// ListKind says how a ServerListUpdate is to be read.
type ListKind int

// The kinds of update.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListStale                  // the whole list as last known, maybe long out of date
	ListFailed                 // the list could not be fetched; the former one stays
)

type (
	// ServerListUpdate changes or replaces the list of servers.
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
		FirstGateway, GatewayCount int // the gateways that receive the customer's requests: rank of the first, and how many
		ClientRetry                bool
		Write                      bool
		RetryPolicy                *RetryPolicy // nil: no restrictions beyond the settings
	}
	// ResponseStarted reports that a streamed answer has begun.
	ResponseStarted struct {
		ID, Server string
		Attempt    int
		Latency    time.Duration
	}
	// AttemptEnded reports how an attempt ended. RequestDone: the request is finished.
	AttemptEnded struct {
		ID, Server            string
		Attempt               int
		Outcome               Outcome
		Latency               time.Duration
		RequestDone           bool
		MeteredPercentPlusOne int     // 1 + the customer's use in percent of its rate; 0: not reported
		ActualUnits           float64 // 0: not reported
		Report                LoadReport
	}
	// ClientDisconnected reports that the client left; no answer is owed.
	ClientDisconnected struct{ ID string }
	// TimerFired reports that the time of a SetTimer has come.
	TimerFired struct{ Token uint64 }
	// ProbeEnded reports the result of a Probe.
	ProbeEnded struct {
		Server  string
		Outcome Outcome
		Latency time.Duration
		Report  LoadReport
	}
	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From int
		Text string
	}
	// MembershipUpdate is what the gateways of a fleet have agreed on. Without one, each has the rank of its Config
	// and all peers are active.
	MembershipUpdate struct {
		Rank           int  // this gateway's number
		RankReassigned bool // the rank is new to this gateway, or may have been another's in between
		Isolated       bool // cut off from the fleet: it keeps to its even share
		Peers          []PeerStatus
	}
	// StateRestored carries what is believed of the time before the start. It only raises what is known already.
	StateRestored struct {
		Buckets []BucketSnapshot // filled as they are now
		// LeakedSeconds is how long the buckets of all others have leaked since they may have been half full.
		LeakedSeconds  float64
		WarmServerRate float64 // usual requests a second that this gateway sent a warm server; 0: not known
	} // typical requests a second that this gateway sent a warm server; 0: not known
	// Shutdown reports that the gateway stops and owes no more answers. It is the last event.
	Shutdown struct{}
	// CounterCallEnded reports the result of an IncrementCounter.
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

// Action is something for the caller to carry out.
type Action interface{ action() }

type (
	// SendAttempt starts an attempt. A request's attempts are numbered from 0.
	SendAttempt struct {
		ID, Server string
		Timeout    time.Duration // 0: until the client gives up
		// WriteDeadline is when the last byte must be written, or nothing may be: later, servers may have forgotten
		// the key of a request that may have run. 0: none.
		WriteDeadline time.Duration
	}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      string
		Attempt int
	}
	// Refuse is a final answer that promises the client that a retry does no harm.
	Refuse struct {
		ID         string
		RetryAfter time.Duration // 0: no advice
		OverQuota  bool          // the customer's quota has no room; otherwise the servers have none, or no attempt ran
	}
	// Fail is a final answer without that promise.
	Fail struct{ ID string }
	// SetTimer requests a TimerFired.
	SetTimer struct {
		At    time.Duration
		Token uint64
	}
	// Probe asks a server for its load.
	Probe struct{ Server string }
	// CloseIdle closes the idle connections to a server.
	CloseIdle struct{ Server string }
	// Subscribe starts or ends the subscription to changes of the list of servers.
	Subscribe struct{ On bool }
	// FetchServerList requests the whole list once.
	FetchServerList struct{}
	// SendToPeer sends a message to one peer.
	SendToPeer struct {
		To   int
		Text string
	}
	// IncrementCounter adds to a named value of the shared counter.
	IncrementCounter struct {
		Name  uint64
		Delta float64
		TTL   time.Duration
	}
	// Log writes a line to the operator's log.
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
