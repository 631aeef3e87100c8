// Package quota tracks what one gateway knows about its customers' quotas and shares that knowledge with the other gateways.
// In a small fleet every gateway sends its totals to every other one (totals.go). In a large one, coordinators keep each
// customer's bucket (coordinator.go), and messages carry reports on customers over their quota (overquota.go). Buckets are
// saved and restored across restarts (snapshot.go), and changes in the fleet's membership are applied (membership.go). The
// caller decides whom to admit, from a customer's fields after [Tracker.Leak] has updated them.
//
// The package does no I/O, reads no clock and starts no goroutine. A Tracker is not safe for concurrent use. Times are
// durations since an origin of the caller's choice and never run backwards; units are those of the customers' plans.
package quota

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"sloepick/decide/peermsg"
)

const (
	RateTimeConstant = 2 * time.Second  // of a Rate: long against gaps between requests, short against shifts of traffic
	InitialFill      = 0.5              // share of the burst that counts as used after a start, as earlier use is unknown
	idleExpiry       = 10 * time.Second // a customer whose state equals a new one's is removed this long after its last use
	// totalsValidFor is the age from which on a peer's totals of a customer are replaced, not counted from, as the peer may
	// have removed the customer since. It is well below idleExpiry.
	totalsValidFor  = 5 * time.Second
	minSweep        = 4           // customers that a Sweep examines, in addition to ...
	sweepDivisor    = 32          // ... one in so many of all
	roomScan        = 32          // customers that MakeRoom examines
	disposableAfter = time.Second // a customer that has used its quota may be removed so long after its last use ...
	disposableLevel = 0.25        // ... if its bucket is at most so full, as a share of the burst
	minBurst        = 1e-9        // units; avoids a division by zero
)

// Plan describes the quota of each customer on it, over all gateways together.
type Plan struct {
	Name         string
	Rate         float64 // units per second; 0: no rate quota
	Burst        float64 // units that may be used at once
	CeilingRate  float64 // hard ceiling, units per second; 0: none
	CeilingBurst float64
	CeilingSlack float64
	MaxOpen      int // attempts in progress at once; 0: no limit
	Price        float64
	OverWorth    float64 // share of its worth that a request earns when sent beyond the quota
	OverCost     float64 // share of its worth that such a request costs
}

// Config configures a Tracker.
type Config struct {
	Rank, Gateways int // this gateway's rank, from 0, and the number of gateways
	Plans          []Plan
	PeersAllowed   bool    // gateways may send messages to each other
	PeerIntake     float64 // messages per second that a gateway accepts
	TrackChanges   bool    // changed customers are recorded for AppendChanged
	MaxCustomers   int     // customers known at a time, beside those that peers tell of; see MakeRoom. 0: no limit
}

// Tracker holds what one gateway knows about its customers' quotas. Create it with New.
type Tracker struct {
	Now       time.Duration // time of the event being handled
	Rank      int           // this gateway's rank in the fleet
	Isolated  bool          // cut off from the fleet
	Mesh      bool          // every gateway sends totals to every other; otherwise customers have coordinators
	Samples   RecentSamples // sent along with messages about customers
	OverQuota OverQuotaReports

	cfg           Config
	send          func(to int, text string)
	rng           *rand.Rand
	started       time.Duration
	customers     map[uint64]*Customer
	sweepQueue    []*Customer // customers in the order in which Sweep examines them
	peers         []peer
	epoch         int
	inactive      []bool      // by rank: no active gateway; nil: all are active
	leakedSeconds float64     // seconds for which unknown customers' buckets have leaked since they were at InitialFill at most
	changed       []*Customer // customers whose buckets changed since AppendChanged took them last
}

// New returns a Tracker that knows only its configuration. It passes outgoing messages to send, and draws the epoch that
// identifies this incarnation to peers from rng.
func New(cfg Config, rng *rand.Rand, send func(to int, text string)) *Tracker {
	t := &Tracker{Rank: cfg.Rank, cfg: cfg, send: send, rng: rng, customers: map[uint64]*Customer{}}
	if t.Mesh = t.canMesh(); t.Mesh && cfg.PeersAllowed {
		t.peers = make([]peer, cfg.Gateways)
	}
	t.epoch = rng.Intn(peermsg.CounterModulus)
	return t
}

// Start sets the time at which the gateway started.
func (t *Tracker) Start(now time.Duration) { t.started = now }

// Customer is the state of one customer. Levels and shares are as of the last call of [Tracker.Leak].
type Customer struct {
	Key                        uint64
	Plan                       *Plan
	PlanNo                     int
	FirstGateway, GatewayCount int     // gateways at which its requests arrive: rank of the first, and how many
	Level, Share               float64 // level of this gateway's bucket; this gateway's share of rate and burst
	FleetLevel                 float64 // level of the bucket that all gateways fill together, as far as known here
	Demand                     Rate
	Open                       int           // attempts in progress at this gateway
	CeilingTokens              float64       // units left of this gateway's share of the ceiling
	FallbackTokens             float64       // units left of this gateway's share of what coordinators leave of the ceiling
	FallbackLevel              float64       // level of the bucket of requests admitted here without a coordinator's reply ...
	FallbackLevelAt            time.Duration // ... at this time
	FleetDemand                Rate          // units per second that all gateways request from this coordinator
	TotalDemand                float64       // units per second that all gateways request, as a coordinator replied ...
	TotalDemandAt, RefuseUntil time.Duration // ... at this time; until this time requests are refused without asking
	Grants                     []Grant       // recent decisions of this coordinator
	RetryWait                  float64       // seconds for which this coordinator makes refused gateways wait
	OverShare                  float64       // average share of its requests that did not fit in its quota; see RecordDecision

	updatedAt, lastUsed                      time.Duration // time of the last Leak; of the last request or message
	settledAt                                time.Duration // Level includes what peers reported up to this time
	usedTotal, requestedTotal, requestedSent float64
	usedRate                                 Rate
	meteredRate, meterFactor                 float64 // latest metered use, units per second; resulting factor on Share
	meteredAt                                time.Duration
	byPeer                                   []peerTotals
	queued                                   []bool
	// grantTotal is the units granted as coordinator, modulo peermsg.GrantTotalModulus; unsentGrants those of them that the other
	// coordinator was not sent yet.
	grantTotal, unsentGrants float64
	otherGrantTotal          float64 // latest total from the other coordinator
	otherGrantKnown          bool
	coordinators             [MaxCoordinators]int16 // ranks + 1, as of the last BecomeCoordinator; 0: none
	inChanged                bool                   // it is in Tracker.changed
	restored                 bool                   // its level is from before the start
}

// Grant is a coordinator's decision on one request of a gateway.
type Grant struct {
	From      int
	RequestNo uint64
	At        time.Duration
	OK        bool // the units were granted
	Open      bool // its attempt is in progress
}

// Rate is a sum of units that decays exponentially with RateTimeConstant; its value is in units per second.
type Rate struct {
	value     float64
	updatedAt time.Duration
}

// Add adds units at time now.
func (r *Rate) Add(now time.Duration, units float64) {
	r.value = r.Get(now) + units/RateTimeConstant.Seconds()
	r.updatedAt = now
}

// Get returns the value at time now.
func (r *Rate) Get(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.updatedAt).Seconds()/RateTimeConstant.Seconds())
}

// Find returns the customer with the key, or nil if it is unknown.
func (t *Tracker) Find(key uint64) *Customer { return t.customers[key] }

// Customer returns the customer with the key (see [peermsg.Key]), and adds it if it is unknown.
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
	c.Level = c.Share * t.initialLevel(p) // the bucket leaks, and ceiling tokens refill, from the start on
	t.customers[key] = c
	t.sweepQueue = append(t.sweepQueue, c)
	return c
}

// SetGateways sets the gateways at which a customer's requests arrive. It does nothing if the request doesn't say them, with a
// count of 0, or if the count is more than Config.Gateways.
func (t *Tracker) SetGateways(c *Customer, first, count int) {
	if count <= 0 || count > t.cfg.Gateways || (c.GatewayCount == count && c.FirstGateway == first) {
		return
	}
	c.FirstGateway, c.GatewayCount = first%t.cfg.Gateways, count
	c.CeilingTokens = min(c.CeilingTokens, c.Plan.CeilingBurst/float64(c.GatewayCount))
	c.FallbackTokens = min(c.FallbackTokens, (1-CoordinatorShare)*c.Plan.CeilingBurst/float64(c.GatewayCount))
}

// initialLevel returns how many units of a customer's burst count as used when nothing is known about it.
func (t *Tracker) initialLevel(p *Plan) float64 {
	return max(0, InitialFill*p.Burst-t.leakedSeconds*p.Rate)
}

// AddDemand records units requested at this gateway. Peers are sent an update for each demandStep of the burst.
func (t *Tracker) AddDemand(c *Customer, units float64) {
	c.Demand.Add(t.Now, units)
	if c.requestedTotal += units; c.requestedTotal-c.requestedSent > demandStep*c.Plan.Burst {
		c.requestedSent = c.requestedTotal
		t.QueueUpdate(c) // units that are used too are sent at once, by Charge
	}
}

// Charge adds units to the customer's bucket, or takes them out if they are negative.
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

// MakeRoom reports whether the customer with the key is known or may be added. If Config.MaxCustomers are known, it removes
// one that is disposable, of the next few.
func (t *Tracker) MakeRoom(key uint64) bool {
	if t.cfg.MaxCustomers == 0 || len(t.customers) < t.cfg.MaxCustomers || t.customers[key] != nil {
		return true
	}
	for range min(len(t.sweepQueue), roomScan) {
		c := t.sweepQueue[0]
		t.sweepQueue = t.sweepQueue[1:]
		if t.disposable(c) {
			delete(t.customers, c.Key)
			return true
		}
		t.sweepQueue = append(t.sweepQueue, c)
	}
	return false
}

// disposable reports whether little is lost by removing a customer: no attempt is in progress, there is nothing to send or
// save, and it has used nothing, or not lately and little of its quota and nothing of its ceiling.
func (t *Tracker) disposable(c *Customer) bool {
	if c.Open > 0 || c.inChanged || c.RefuseUntil > t.Now || slices.Contains(c.queued, true) {
		return false
	}
	knownToPeers := slices.ContainsFunc(c.byPeer, func(p peerTotals) bool { return p.known })
	if c.usedTotal == 0 && c.grantTotal == 0 && !c.restored && !knownToPeers {
		return true
	}
	if t.Now-c.lastUsed < disposableAfter {
		return false
	}
	t.Leak(c)
	return c.Level <= disposableLevel*c.Share*c.Plan.Burst && c.FleetLevel <= disposableLevel*c.Plan.Burst &&
		(c.Plan.CeilingRate == 0 || c.CeilingTokens >= c.Plan.CeilingBurst*t.CeilingShare(c))
}

// Sweep removes customers whose state equals a new one's; each call examines a part of all. As most customers may send a
// single request, it has to keep up with new ones however many there are.
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

// sameAsNew reports whether a customer's state equals that of one added now: no attempt in progress, nothing to send or
// save, empty buckets, full ceiling tokens.
func (t *Tracker) sameAsNew(c *Customer) bool {
	if c.Open > 0 || c.inChanged || t.Now-c.lastUsed < idleExpiry || c.RefuseUntil > t.Now || slices.Contains(c.queued, true) {
		return false
	}
	t.Leak(c)
	return (c.Plan.Rate == 0 || c.Level == 0 && c.FleetLevel == 0) &&
		(c.Plan.CeilingRate == 0 || c.CeilingTokens >= c.Plan.CeilingBurst*t.CeilingShare(c))
}
