package recovery

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Phase is how far a member's service has returned.
type Phase int

// The phases, in their order. Nothing is let in before PhaseRampUp.
const (
	PhaseStarting    Phase = iota // nothing is known
	PhaseDiskChecked              // the disk has been judged
	PhaseJoined                   // it has a place in its fleet, if there is one
	PhaseRampUp                   // a rising share of what was answered before
	PhaseFull
)

func (p Phase) String() string {
	return [...]string{"dark", "believed", "met", "trickle", "full"}[p]
}

// AdmissionConfig are the figures of the phases.
type AdmissionConfig struct {
	ColdCapacity   float64       // speed of a node that has just started, as a share
	ColdDuration   time.Duration // it is warm after so long
	ColdLoadFactor float64       // times what it can do that a cold node may be sent, where it is known to be cold; 0: once
	MaxRetryAfter  time.Duration // longest time that a refusal may tell to stay away; 0: none is told
	MaxUnits       float64       // of one request
	MaxPrice       float64       // of the dearest plan
	Seed           uint64        // of what spreads the crowd
}

const (
	fullCapacity      = 0.95 // of the nodes' speed: the rest is within chance
	minRate           = 10.0 // units a second that are let in where nothing is known of the time before: some requests, to learn from
	unknownRateGrowth = 2.0  // times what was answered in the last second, there
	servedWindow      = time.Second
	bucketDuration    = 500 * time.Millisecond // of the rate may be let in at once ...
	minBucketRequests = 4.0                    // ... and so many of the largest requests at least
	writeReserve      = 0.2                    // of that must be left for a new keyed request, so that repeats find room ...
	readReserve       = 0.4                    // ... and so much for one that may be asked anywhere, any time
	cheapPlanReserve  = 0.15                   // more for the cheapest plan than for the dearest: less than what parts the classes
	minRetryAfter     = 50 * time.Millisecond
)

// Request is a request, as far as its turn goes by it.
type Request struct {
	Write, ClientRetry bool // it must not run twice; it may be a repeat of one from before
	Units, Price       float64
}

// AdmissionController is the order in which a member serves again: a state machine whose phases only rise. Times are since an origin of the
// caller's choice.
type AdmissionController struct {
	cfg          AdmissionConfig
	rng          *rand.Rand
	phase        Phase
	joinedAt     time.Duration // of Trickle: nodes count as started then, as long as no list says otherwise
	servedRate   float64       // units a second that all answered before; 0: not known
	members      int           // members that are back, this one among them
	listFresh    bool          // discovery has answered since the start
	serverStarts []time.Duration
	tokens       float64 // of the bucket
	refilledAt   time.Duration
	recentRate   float64 // answered of late, a second
	recentAt     time.Duration
	Stats        AdmissionStats
}

// AdmissionStats are of requests in Trickle and before.
type AdmissionStats struct{ Admitted, Refused, RefusedEarly uint64 }

// NewAdmissionController begins in Dark.
func NewAdmissionController(cfg AdmissionConfig) *AdmissionController {
	return &AdmissionController{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), members: 1}
}

// Phase is where it is.
func (c *AdmissionController) Phase() Phase { return c.phase }

// MarkDiskChecked tells that the disk has been judged.
func (c *AdmissionController) MarkDiskChecked() { c.phase = max(c.phase, PhaseDiskChecked) }

// Join tells that the member has its place. lit: others are in full service, so that nothing needs to return.
func (c *AdmissionController) Join(now time.Duration, servedRate float64, fleetInService bool) {
	if c.phase >= PhaseJoined {
		return
	}
	c.phase, c.joinedAt, c.refilledAt, c.servedRate = PhaseJoined, now, now, servedRate
	if fleetInService {
		c.phase = PhaseFull
	}
}

// SetMemberCount tells how many members are back.
func (c *AdmissionController) SetMemberCount(n int) { c.members = max(1, n) }

// RaiseServedRate tells what all answered before, as far as is known by now.
func (c *AdmissionController) RaiseServedRate(rate float64) { c.servedRate = max(c.servedRate, rate) }

// SetServerStarts tells when the nodes that serve started; 0: long ago. fresh: discovery has said so since the start.
func (c *AdmissionController) SetServerStarts(fresh bool, starts []time.Duration) {
	if c.listFresh = c.listFresh || fresh; fresh || !c.listFresh {
		c.serverStarts = starts
	}
}

// RecordServed tells of an answer.
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

// ServerCapacity is the mean speed of the nodes, as a share of what they do when they are warm.
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

// Rate is how many units a second this member lets in.
func (c *AdmissionController) Rate(now time.Duration) float64 {
	if c.servedRate > 0 {
		factor := 1.0
		if c.listFresh { // the module knows which nodes are cold, and holds each to its budget
			factor = max(1, c.cfg.ColdLoadFactor)
		}
		return max(minRate, c.servedRate*min(1, factor*c.ServerCapacity(now))/float64(c.members))
	}
	c.decayRecentRate(now)
	return max(minRate, unknownRateGrowth*c.recentRate)
}

// Tick moves it on. It returns a line for the log when a phase was reached.
func (c *AdmissionController) Tick(now time.Duration) (note string) {
	switch {
	case c.phase == PhaseJoined:
		c.phase = PhaseRampUp
		c.tokens, c.refilledAt = c.bucketSize(now)/2, now
		note = fmt.Sprintf("%.0f units a second of %.0f that all answered before, %d members are back, nodes at %.0f%%", c.Rate(now), c.servedRate, c.members, 100*c.ServerCapacity(now))
	case c.phase == PhaseRampUp && c.ServerCapacity(now) >= fullCapacity:
		c.phase = PhaseFull
		note = fmt.Sprintf("let in %d, refused %d and %d before", c.Stats.Admitted, c.Stats.Refused, c.Stats.RefusedEarly)
	}
	return note
}

// bucketSize is how many units may be let in at once.
func (c *AdmissionController) bucketSize(now time.Duration) float64 {
	return max(c.Rate(now)*bucketDuration.Seconds(), minBucketRequests*max(1, c.cfg.MaxUnits))
}

// reserve is the share of the bucket that must be left for a request: what it leaves is for those that go before it.
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

// Admit takes a request, or tells when to return.
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

// retryAfter spreads those who are refused over the time that is left, as far as they may be told of it.
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
