package recovery

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Phase is how far a member has got in returning to service.
type Phase int

// The phases, in order. No request is admitted before PhaseRampUp.
const (
	PhaseStarting    Phase = iota // nothing has been checked yet
	PhaseDiskChecked              // the snapshot on disk has been checked
	PhaseJoined                   // the member has its slot in the fleet, if it is in one
	PhaseRampUp                   // a rising share of the rate before the start is admitted
	PhaseFull                     // everything is admitted
)

func (p Phase) String() string {
	return [...]string{"dark", "believed", "met", "trickle", "full"}[p]
}

// AdmissionConfig configures an AdmissionController.
type AdmissionConfig struct {
	ColdCapacity   float64       // capacity of a server that has just started, as a share of its warm capacity
	ColdDuration   time.Duration // time after which a server is warm
	ColdLoadFactor float64       // load that a server known to be cold may get, in multiples of its capacity; below 1: 1
	MaxRetryAfter  time.Duration // longest Retry-After of a refusal; 0: refusals have none
	MaxUnits       float64       // largest request
	MaxPrice       float64       // of the most expensive plan
	Seed           uint64        // of the jitter of Retry-After
}

const (
	fullCapacity      = 0.95 // server capacity from which on everything is admitted: the rest is within noise
	minRate           = 10.0 // units a second that are always admitted, so that an unknown rate can be measured
	unknownRateGrowth = 2.0  // where the rate before is unknown: admitted rate, in multiples of the rate served in servedWindow
	servedWindow      = time.Second
	bucketDuration    = 500 * time.Millisecond // time whose units may be admitted in one burst ...
	minBucketRequests = 4.0                    // ... but at least this many of the largest requests
	writeReserve      = 0.2                    // share of the bucket that must be left by a new write, so that retries of writes find room ...
	readReserve       = 0.4                    // ... and by a read, which can be sent to any gateway at any time
	cheapPlanReserve  = 0.15                   // added for the cheapest plan, not for the most expensive; less than the gap between writes and reads
	minRetryAfter     = 50 * time.Millisecond
)

// Request holds the properties of a request that decide on its admission.
type Request struct {
	Write, ClientRetry bool // it must not run twice; it may repeat a request from before the start
	Units, Price       float64
}

// AdmissionController decides how many requests a member admits after its start, and which first. It is a state machine whose phases
// only advance. Times are offsets from an origin that the caller chooses.
type AdmissionController struct {
	cfg          AdmissionConfig
	rng          *rand.Rand
	phase        Phase
	joinedAt     time.Duration // servers count as started then until discovery reports their starts
	servedRate   float64       // units a second that the fleet served before; 0: unknown
	members      int           // members that are back, including this one
	listFresh    bool          // discovery has answered since this member started
	serverStarts []time.Duration
	tokens       float64 // units left in the token bucket
	refilledAt   time.Duration
	recentRate   float64 // units a second served in about the last servedWindow
	recentAt     time.Duration
	Stats        AdmissionStats
}

// AdmissionStats counts requests in PhaseRampUp and, as RefusedEarly, before it.
type AdmissionStats struct{ Admitted, Refused, RefusedEarly uint64 }

// NewAdmissionController returns a controller in PhaseStarting.
func NewAdmissionController(cfg AdmissionConfig) *AdmissionController {
	return &AdmissionController{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), members: 1}
}

// Phase returns the current phase.
func (c *AdmissionController) Phase() Phase { return c.phase }

// MarkDiskChecked moves on to PhaseDiskChecked.
func (c *AdmissionController) MarkDiskChecked() { c.phase = max(c.phase, PhaseDiskChecked) }

// Join moves on to PhaseJoined: the member has its slot. servedRate is what the fleet served before, in units a second. With
// fleetInService other members are in PhaseFull, so this one skips the ramp-up.
func (c *AdmissionController) Join(now time.Duration, servedRate float64, fleetInService bool) {
	if c.phase >= PhaseJoined {
		return
	}
	c.phase, c.joinedAt, c.refilledAt, c.servedRate = PhaseJoined, now, now, servedRate
	if fleetInService {
		c.phase = PhaseFull
	}
}

// SetMemberCount sets the number of members that are back, which share the rate.
func (c *AdmissionController) SetMemberCount(n int) { c.members = max(1, n) }

// RaiseServedRate sets the rate that the fleet served before, if that is higher than what is known so far.
func (c *AdmissionController) RaiseServedRate(rate float64) { c.servedRate = max(c.servedRate, rate) }

// SetServerStarts sets when the serving servers started; 0: long ago. fresh: the list comes from an answer of discovery since this
// member started. Once there was such an answer, lists that are not fresh are ignored.
func (c *AdmissionController) SetServerStarts(fresh bool, starts []time.Duration) {
	if c.listFresh = c.listFresh || fresh; fresh || !c.listFresh {
		c.serverStarts = starts
	}
}

// RecordServed adds the units of a request that was served.
func (c *AdmissionController) RecordServed(now time.Duration, units float64) {
	if c.phase < PhaseFull {
		c.decayRecentRate(now)
		c.recentRate += units / servedWindow.Seconds()
	}
}

func (c *AdmissionController) decayRecentRate(now time.Duration) {
	c.recentRate *= max(0, 1-(now-c.recentAt).Seconds()/servedWindow.Seconds())
	c.recentAt = now
}

// ServerCapacity is the mean capacity of the servers, as a share of their warm capacity.
func (c *AdmissionController) ServerCapacity(now time.Duration) float64 {
	if c.cfg.ColdDuration <= 0 {
		return 1
	}
	capacity := func(started time.Duration) float64 {
		return c.cfg.ColdCapacity + (1-c.cfg.ColdCapacity)*min(1, max(0, (now-started).Seconds()/c.cfg.ColdDuration.Seconds()))
	}
	if !c.listFresh {
		return capacity(c.joinedAt)
	}
	sum := 0.0
	for _, start := range c.serverStarts {
		if start == 0 {
			sum++
		} else {
			sum += capacity(start)
		}
	}
	return sum / float64(max(1, len(c.serverStarts)))
}

// Rate is the rate that this member admits, in units a second.
func (c *AdmissionController) Rate(now time.Duration) float64 {
	if c.servedRate > 0 {
		factor := 1.0
		if c.listFresh { // package decide knows which servers are cold and limits the load of each
			factor = max(1, c.cfg.ColdLoadFactor)
		}
		return max(minRate, c.servedRate*min(1, factor*c.ServerCapacity(now))/float64(c.members))
	}
	c.decayRecentRate(now)
	return max(minRate, unknownRateGrowth*c.recentRate)
}

// Tick advances the phase if it is time. It returns a text for the log if a new phase was reached.
func (c *AdmissionController) Tick(now time.Duration) (note string) {
	switch {
	case c.phase == PhaseJoined:
		c.phase = PhaseRampUp
		c.tokens, c.refilledAt = c.bucketSize(now)/2, now
		note = fmt.Sprintf("admitting %.0f of %.0f units a second that the fleet served before, %d members are back, servers at %.0f%% of capacity", c.Rate(now), c.servedRate, c.members, 100*c.ServerCapacity(now))
	case c.phase == PhaseRampUp && c.ServerCapacity(now) >= fullCapacity:
		c.phase = PhaseFull
		note = fmt.Sprintf("admitted %d, refused %d, refused %d before the ramp-up", c.Stats.Admitted, c.Stats.Refused, c.Stats.RefusedEarly)
	}
	return note
}

// bucketSize is the size of the token bucket: the units that may be admitted in one burst.
func (c *AdmissionController) bucketSize(now time.Duration) float64 {
	return max(c.Rate(now)*bucketDuration.Seconds(), minBucketRequests*max(1, c.cfg.MaxUnits))
}

// reserve is the share of the token bucket that must be left after a request is admitted. It is kept for requests of higher priority.
func (c *AdmissionController) reserve(req Request) (share float64) {
	if req.Write && req.ClientRetry {
		return 0
	}
	if share = readReserve; req.Write {
		share = writeReserve
	}
	if c.cfg.MaxPrice > 0 {
		share += cheapPlanReserve * (1 - min(1, max(0, req.Price/c.cfg.MaxPrice)))
	}
	return share
}

// Admit reports whether a request is admitted, and if not, after which time the client should retry.
func (c *AdmissionController) Admit(now time.Duration, req Request) (ok bool, retryAfter time.Duration) {
	switch c.phase {
	case PhaseFull:
		return true, 0
	case PhaseRampUp:
	default:
		c.Stats.RefusedEarly++
		return false, c.retryAfter(now)
	}
	bucketSize := c.bucketSize(now)
	c.tokens = min(bucketSize, c.tokens+c.Rate(now)*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	if c.tokens < req.Units+c.reserve(req)*bucketSize {
		c.Stats.Refused++
		return false, c.retryAfter(now)
	}
	c.tokens -= req.Units
	c.Stats.Admitted++
	return true, 0
}

// retryAfter returns a random time, so that refused clients don't all return at once. It is at most the rest of the ramp-up and
// MaxRetryAfter.
func (c *AdmissionController) retryAfter(now time.Duration) time.Duration {
	if c.cfg.MaxRetryAfter <= 0 {
		return 0
	}
	limit := c.cfg.MaxRetryAfter
	if c.phase == PhaseRampUp {
		limit = min(limit, max(minRetryAfter, time.Duration((1-c.ServerCapacity(now))*float64(c.cfg.ColdDuration))))
	}
	return min(c.cfg.MaxRetryAfter, minRetryAfter+time.Duration(c.rng.Int64N(int64(limit))))
}
