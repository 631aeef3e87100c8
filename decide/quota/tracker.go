// Package quota keeps what one gateway knows of the customers' quotas, and what gateways tell each other about them: with
// a small fleet everyone's totals (peers.go), with a large one the bucket at a customer's homes (homes.go), the floods that
// are told on (floods.go), what outlives a process (memory.go) and what a fleet's standing changes (standing.go). Whom to
// let in is decided by its caller, from a customer's figures and from [Tracker.Leak], which tells this gateway's part.
//
// The package is pure: no I/O, no clock, no goroutine. A Book is not safe for concurrent use. Times are durations since an
// origin of the caller's choice and never run backwards; units are those of the customers' plans.
package quota

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

const (
	RateTimeConstant = 2 * time.Second  // memory of asked units: long against gaps, short against shifts
	InitialFill      = 0.5              // of the mark: level after a start, as the past is unknown
	idleExpiry       = 10 * time.Second // a customer that is as new is forgotten this long after its last use ...
	totalsValidFor   = 5 * time.Second  // ... well after peers cease to count on from its totals
	minSweep         = 4                // customers are looked at, at each beat ...
	sweepDivisor     = 32               // ... and that part of all
	minBurst         = 1e-9             // units: no bucket is so small
)

// Plan describes the quota of each customer on it, over all gateways together.
type Plan struct {
	Name         string
	Rate         float64 // units a second; 0 means no such quota
	Burst        float64 // units at once
	CeilingRate  float64 // hard ceiling, units a second; 0 means none
	CeilingBurst float64
	CeilingSlack float64
	MaxOpen      int // attempts out at once; 0 means no such quota
	Price        float64
	OverWorth    float64 // part of its worth that a request earns when sent on beyond the quota
	OverCost     float64 // part of its worth that such a request costs
}

// Config is what a Book is told when it starts.
type Config struct {
	Rank, Gateways int // this gateway's number, from 0, and how many there are
	Plans          []Plan
	PeersAllowed   bool    // gateways may tell each other
	PeerIntake     float64 // messages a second that a gateway takes in
	TrackChanges   bool    // what changes is marked for Changed
}

// Tracker is what one gateway knows of the customers' quotas. Make it with New.
type Tracker struct {
	Now       time.Duration // of the event that is handled
	Rank      int           // this gateway's number
	Isolated  bool          // cut off from the fleet
	Mesh      bool          // everyone tells everyone; else customers have homes
	Samples   RecentSamples // rides along with words
	OverQuota OverQuotaReports

	cfg           Config
	send          func(to int, text string)
	rng           *rand.Rand
	started       time.Duration
	customers     map[uint64]*Customer
	sweepQueue    []*Customer // customers in the order of first sight, to sweep the idle
	peers         []peer
	epoch         int
	inactive      []bool      // by number: not there; nil: all are
	leakedSeconds float64     // seconds for which the buckets of strangers have leaked since they may have been half full
	changed       []*Customer // whose buckets changed since Changed was last called
}

// New returns a book that knows only its configuration. It hands its messages to tell, and draws the number of its life
// from rng.
func New(cfg Config, rng *rand.Rand, send func(to int, text string)) *Tracker {
	t := &Tracker{Rank: cfg.Rank, cfg: cfg, send: send, rng: rng, customers: map[uint64]*Customer{}}
	if t.Mesh = t.canMesh(); t.Mesh && cfg.PeersAllowed {
		t.peers = make([]peer, cfg.Gateways)
	}
	t.epoch = rng.Intn(peermsg.CounterModulus)
	return t
}

// Start tells a book when its gateway started.
func (t *Tracker) Start(now time.Duration) { t.started = now }

// Customer is what is known of one: levels and parts hold as of the last call of [Tracker.Leak].
type Customer struct {
	Key                        uint64
	Plan                       *Plan
	PlanNo                     int
	FirstGateway, GatewayCount int     // its gateways: number of the first, and how many
	Level, Share               float64 // of this gateway's bucket; its part of rate and mark
	FleetLevel                 float64 // of the bucket that all gateways together fill, as far as told
	Demand                     Rate
	Open                       int           // attempts out here
	CeilingTokens              float64       // units of this gateway's slice of the ceiling
	FallbackTokens             float64       // units of its slice of what homes leave of the ceiling
	FallbackLevel              float64       // what passed here without a home's word, as a bucket ...
	FallbackLevelAt            time.Duration // ... as it was then
	FleetDemand                Rate          // units that all gateways ask of this home
	TotalDemand                float64       // units a second that all gateways ask, as the home told ...
	TotalDemandAt, RefuseUntil time.Duration // ... then; refused at once until then, by the home's word
	Grants                     []Grant       // of the home
	RetryWait                  float64       // seconds that the home lets refused ones wait
	OverShare                  float64       // part of its latest requests that its quota did not bear: see Watch

	updatedAt, lastUsed                      time.Duration // of the last leak, of the last use or word of it
	settledAt                                time.Duration // the level follows what peers told up to then
	usedTotal, requestedTotal, requestedSent float64
	usedRate                                 Rate
	meteredRate, meterFactor                 float64 // what the meter last told, units a second; factor on the part by it
	meteredAt                                time.Duration
	byPeer                                   []peerTotals
	queued                                   []bool
	grantTotal, unsentGrants                 float64 // units that this home granted, modulo words.GivenWrap; not told to the other yet
	otherGrantTotal                          float64 // what the other home last told
	otherGrantKnown                          bool
	coordinators                             [MaxCoordinators]int16 // as they were when it was last asked of this home
	inChanged                                bool                   // it is among those that changed
	restored                                 bool                   // what is known of it is from before the start
}

// Grant is what a home let one gateway pass on.
type Grant struct {
	From      int
	RequestNo uint64
	At        time.Duration
	OK        bool
	Open      bool // an attempt is out
}

// Rate is a sum of units that fades with PartMemory; its value is in units a second.
type Rate struct {
	value     float64
	updatedAt time.Duration
}

// Add adds units.
func (r *Rate) Add(now time.Duration, units float64) {
	r.value = r.Get(now) + units/RateTimeConstant.Seconds()
	r.updatedAt = now
}

// Get is the value now.
func (r *Rate) Get(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/RateTimeConstant.Seconds())
}

// Find is a customer by its key, or nil if nothing is known of it.
func (t *Tracker) Find(key uint64) *Customer { return t.customers[key] }

// Customer finds a customer by its key (see [peermsg.Key]), or makes it.
func (t *Tracker) Customer(key uint64, planNo int) *Customer {
	if c := t.customers[key]; c != nil {
		c.lastUsed = t.Now
		return c
	}
	p := &t.cfg.Plans[planNo]
	c := &Customer{Key: key, Plan: p, PlanNo: planNo, GatewayCount: t.cfg.Gateways, updatedAt: t.started, lastUsed: t.Now,
		byPeer: make([]peerTotals, len(t.peers)), queued: make([]bool, len(t.peers))}
	c.Share, c.meterFactor, c.TotalDemandAt = 1/float64(c.GatewayCount), 1, -RateTimeConstant
	if !t.Mesh {
		c.FleetLevel = t.initialLevel(p)
	}
	c.Level = c.Share * t.initialLevel(p) // leaks, and the store fills, from the start on
	t.customers[key] = c
	t.sweepQueue = append(t.sweepQueue, c)
	return c
}

// SetGateways tells which gateways a customer's requests come in through, where its request says so.
func (t *Tracker) SetGateways(c *Customer, first, count int) {
	if count <= 0 || count > t.cfg.Gateways || (c.GatewayCount == count && c.FirstGateway == first) {
		return
	}
	c.FirstGateway, c.GatewayCount = first%t.cfg.Gateways, count
	c.CeilingTokens = min(c.CeilingTokens, c.Plan.CeilingBurst/float64(c.GatewayCount))
	c.FallbackTokens = min(c.FallbackTokens, (1-CoordinatorShare)*c.Plan.CeilingBurst/float64(c.GatewayCount))
}

// initialLevel is how many units of a customer's burst count as used when nothing is known of it.
func (t *Tracker) initialLevel(p *Plan) float64 {
	return max(0, InitialFill*p.Burst-t.leakedSeconds*p.Rate)
}

// AddDemand notes that so many units were asked here; peers are told.
func (t *Tracker) AddDemand(c *Customer, units float64) {
	c.Demand.Add(t.Now, units)
	if c.requestedTotal += units; c.requestedTotal-c.requestedSent > demandStep*c.Plan.Burst {
		c.requestedSent = c.requestedTotal
		t.QueueUpdate(c) // what was sent on is told at once, what was only asked by the step
	}
}

// Charge fills the bucket by so many units, or empties it where they are below 0.
func (t *Tracker) Charge(c *Customer, units float64) {
	c.Level += units
	if t.Mesh {
		c.FleetLevel += units
	}
	c.usedTotal += units
	c.usedRate.Add(t.Now, units)
	t.markChanged(c)
	t.QueueUpdate(c)
}

// Sweep drops customers of whom nothing is left to know, a part of all at each beat. Most customers may come
// once only, so it has to keep up with new ones however many there are.
func (t *Tracker) Sweep() {
	for n := min(len(t.sweepQueue), minSweep+len(t.sweepQueue)/sweepDivisor); n > 0; n-- {
		c := t.sweepQueue[0]
		t.sweepQueue = t.sweepQueue[1:]
		if t.sameAsNew(c) {
			delete(t.customers, c.Key)
			continue
		}
		t.sweepQueue = append(t.sweepQueue, c)
	}
}

// sameAsNew reports whether a customer stands as one would that comes for the first time now: nothing out or to be
// told, buckets empty, store full.
func (t *Tracker) sameAsNew(c *Customer) bool {
	if c.Open > 0 || c.inChanged || t.Now-c.lastUsed < idleExpiry || c.RefuseUntil > t.Now || slices.Contains(c.queued, true) {
		return false
	}
	t.Leak(c)
	return (c.Plan.Rate == 0 || c.Level == 0 && c.FleetLevel == 0) &&
		(c.Plan.CeilingRate == 0 || c.CeilingTokens >= c.Plan.CeilingBurst*t.CeilingShare(c))
}
