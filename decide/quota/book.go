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
	forgetAfter      = 10 * time.Second // a customer that is as new is forgotten this long after its last use ...
	toldFor          = 5 * time.Second  // ... well after peers cease to count on from its totals
	sweepLeast       = 4                // customers are looked at, at each beat ...
	sweepBeats       = 32               // ... and that part of all
	tiny             = 1e-9             // units: no bucket is so small
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

	cfg       Config
	tell      func(to int, text string)
	rng       *rand.Rand
	started   time.Duration
	customers map[uint64]*Customer
	queue     []*Customer // customers in the order of first sight, to sweep the idle
	peers     []peer
	epoch     int
	away      []bool      // by number: not there; nil: all are
	leaked    float64     // seconds for which the buckets of strangers have leaked since they may have been half full
	changed   []*Customer // whose buckets changed since Changed was last called
}

// New returns a book that knows only its configuration. It hands its messages to tell, and draws the number of its life
// from rng.
func New(cfg Config, rng *rand.Rand, tell func(to int, text string)) *Tracker {
	b := &Tracker{Rank: cfg.Rank, cfg: cfg, tell: tell, rng: rng, customers: map[uint64]*Customer{}}
	if b.Mesh = b.tellsAll(); b.Mesh && cfg.PeersAllowed {
		b.peers = make([]peer, cfg.Gateways)
	}
	b.epoch = rng.Intn(peermsg.CounterModulus)
	return b
}

// Start tells a book when its gateway started.
func (b *Tracker) Start(now time.Duration) { b.started = now }

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

	at, last                     time.Duration // of the last leak, of the last use or word of it
	settled                      time.Duration // the level follows what peers told up to then
	usedSum, askedSum, askedTold float64
	used                         Rate
	metered, factor              float64 // what the meter last told, units a second; factor on the part by it
	meteredAt                    time.Duration
	told                         []told
	queued                       []bool
	given, untold                float64 // units that this home granted, modulo words.GivenWrap; not told to the other yet
	twinGiven                    float64 // what the other home last told
	twinKnown                    bool
	homes                        [MaxCoordinators]int16 // as they were when it was last asked of this home
	noted                        bool                   // it is among those that changed
	recalled                     bool                   // what is known of it is from before the start
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
	v  float64
	at time.Duration
}

// Add adds units.
func (r *Rate) Add(now time.Duration, units float64) {
	r.v = r.Get(now) + units/RateTimeConstant.Seconds()
	r.at = now
}

// Get is the value now.
func (r *Rate) Get(now time.Duration) float64 {
	return r.v * math.Exp(-(now-r.at).Seconds()/RateTimeConstant.Seconds())
}

// Find is a customer by its key, or nil if nothing is known of it.
func (b *Tracker) Find(key uint64) *Customer { return b.customers[key] }

// Customer finds a customer by its key (see [peermsg.Key]), or makes it.
func (b *Tracker) Customer(key uint64, planNo int) *Customer {
	if c := b.customers[key]; c != nil {
		c.last = b.Now
		return c
	}
	p := &b.cfg.Plans[planNo]
	c := &Customer{Key: key, Plan: p, PlanNo: planNo, GatewayCount: b.cfg.Gateways, at: b.started, last: b.Now,
		told: make([]told, len(b.peers)), queued: make([]bool, len(b.peers))}
	c.Share, c.factor, c.TotalDemandAt = 1/float64(c.GatewayCount), 1, -RateTimeConstant
	if !b.Mesh {
		c.FleetLevel = b.startFill(p)
	}
	c.Level = c.Share * b.startFill(p) // leaks, and the store fills, from the start on
	b.customers[key] = c
	b.queue = append(b.queue, c)
	return c
}

// SetGateways tells which gateways a customer's requests come in through, where its request says so.
func (b *Tracker) SetGateways(c *Customer, first, spread int) {
	if spread <= 0 || spread > b.cfg.Gateways || (c.GatewayCount == spread && c.FirstGateway == first) {
		return
	}
	c.FirstGateway, c.GatewayCount = first%b.cfg.Gateways, spread
	c.CeilingTokens = min(c.CeilingTokens, c.Plan.CeilingBurst/float64(c.GatewayCount))
	c.FallbackTokens = min(c.FallbackTokens, (1-CoordinatorShare)*c.Plan.CeilingBurst/float64(c.GatewayCount))
}

// startFill is how many units of a customer's burst count as used when nothing is known of it.
func (b *Tracker) startFill(p *Plan) float64 { return max(0, InitialFill*p.Burst-b.leaked*p.Rate) }

// AddDemand notes that so many units were asked here; peers are told.
func (b *Tracker) AddDemand(c *Customer, units float64) {
	c.Demand.Add(b.Now, units)
	if c.askedSum += units; c.askedSum-c.askedTold > askedStep*c.Plan.Burst {
		c.askedTold = c.askedSum
		b.QueueUpdate(c) // what was sent on is told at once, what was only asked by the step
	}
}

// Charge fills the bucket by so many units, or empties it where they are below 0.
func (b *Tracker) Charge(c *Customer, units float64) {
	c.Level += units
	if b.Mesh {
		c.FleetLevel += units
	}
	c.usedSum += units
	c.used.Add(b.Now, units)
	b.noteChange(c)
	b.QueueUpdate(c)
}

// Sweep drops customers of whom nothing is left to know, a part of all at each beat. Most customers may come
// once only, so it has to keep up with new ones however many there are.
func (b *Tracker) Sweep() {
	for n := min(len(b.queue), sweepLeast+len(b.queue)/sweepBeats); n > 0; n-- {
		c := b.queue[0]
		b.queue = b.queue[1:]
		if b.asNew(c) {
			delete(b.customers, c.Key)
			continue
		}
		b.queue = append(b.queue, c)
	}
}

// asNew reports whether a customer stands as one would that comes for the first time now: nothing out or to be
// told, buckets empty, store full.
func (b *Tracker) asNew(c *Customer) bool {
	if c.Open > 0 || c.noted || b.Now-c.last < forgetAfter || c.RefuseUntil > b.Now || slices.Contains(c.queued, true) {
		return false
	}
	b.Leak(c)
	return (c.Plan.Rate == 0 || c.Level == 0 && c.FleetLevel == 0) &&
		(c.Plan.CeilingRate == 0 || c.CeilingTokens >= c.Plan.CeilingBurst*b.CeilingShare(c))
}
