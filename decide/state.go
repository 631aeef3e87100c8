package decide

import (
	"cmp"
	"math/rand"
	"slices"
	"strings"
	"time"

	"sloepick/decide/latencymodel"
	"sloepick/decide/peermsg"
	"sloepick/decide/quota"
)

// This file holds the state of a gateway.

// Gateway makes the decisions of one gateway. Create it with New.
type Gateway struct {
	cfg           Config
	rng           *rand.Rand
	now, started  time.Duration
	initialized   bool
	actions       []Action
	classes       map[string]*class
	planIndex     map[string]int
	servers       map[string]*server
	serversByID   []*server
	serversByHash []*server // in this gateway's own order: see rendezvousHash
	requests      map[string]*request
	timers        map[uint64]timerRef
	nextToken     uint64
	quota         *quota.Tracker
	retryBudget   float64
	answeredWork  quota.Rate // rate of work that all servers answered, in typical requests
	meanTime      float64    // mean time of the requests sent, seconds: that of a typical request
	minTarget     float64    // shortest latency target of a class, seconds
	meanValue     float64    // mean worth of requests per second of work

	pendingGrants    map[uint64]*request // requests that wait for a coordinator, by request number
	lastRequestNo    uint64
	admitShare       float64    // share of the requests that the servers can take; above 1, all
	sampleRate       quota.Rate // rate of samples, own and reported
	serversByKey     map[uint64]*server
	grantRequestRate quota.Rate            // rate of received grant requests
	meanRoundTrip    time.Duration         // mean round trip to a coordinator
	silentUntil      map[int]time.Duration // until when coordinators that did not answer are skipped, by rank
	totals           serverTotals

	lastPeerMessage, lastPeerProbe time.Duration // last message of any peer; last probe of one
	silentTimeouts                 int           // grant requests in a row that timed out without a message of any peer

	warmServerRate   float64       // recent rate to a warm server, or the one before the start, in typical requests a second ...
	warmServerRateAt time.Duration // ... as of then
}

type class struct {
	Class
	index       int
	meanTime    float64 // seconds of an answer
	answers     float64
	timeByUnits latencymodel.Linear // how the time depends on the units
}

// expectedTime returns the time in seconds that an answer to a request of that many units should take.
func (k *class) expectedTime(units float64) float64 {
	return max(k.meanTime, 1e-6) * k.timeByUnits.RelativeTime(units)
}

func (k *class) recordAnswer(units, latency float64) {
	k.timeByUnits.Add(units, latency/max(k.meanTime, 1e-6))
	k.answers++
	k.meanTime += max(classTimeGain, 1/k.answers) * (latency - k.meanTime)
}

type server struct {
	Server
	slowFactor, meanLoad           float64 // relative to a class's expected time; mean of openWork
	slowFactorAt                   time.Duration
	openAttempts                   int
	openWork                       float64 // of the open and the abandoned attempts, in typical requests
	abandoned                      []abandonedAttempt
	missRates                      []timedValue // by class: share left unanswered or failed
	key                            uint64       // its name in messages
	hash                           uint64       // its position in this gateway's order
	sendRate                       quota.Rate
	lastAnswer, coldBudgetAt       time.Duration
	coldBudget                     float64       // in typical requests
	connectFailures                int           // attempts in a row without a connection
	lastConnectFailure, avoidUntil time.Duration // when the last one failed; the server is avoided until then
	coldUntil                      time.Duration
}

// timedValue is a value as of a time.
type timedValue struct {
	value float64
	at    time.Duration
}

// abandonedAttempt is an attempt that ended without an answer and may still run.
type abandonedAttempt struct {
	sentAt time.Duration
	work   float64
}

// serverTotals sums up the servers at each tick and each change of the list, so that no request needs to.
type serverTotals struct {
	servers, warmServers, warmSendRate, openWork float64
}

type attempt struct {
	server            *server
	index             int
	sentAt            time.Duration
	ended, mayHaveRun bool
	work              float64
}

type timerRef struct {
	requestID string
	attempt   int
	at        time.Duration
	purpose   timerPurpose
}

// timerPurpose is what the timer of a request is for.
type timerPurpose int

const (
	timerOverdue timerPurpose = iota
	timerHedge
	timerRetry
)

type request struct {
	Request
	class                     *class
	customer                  *quota.Customer
	units                     float64
	expires                   time.Duration // an answer is of no use after this
	attempts                  []*attempt
	openAttempts              int
	streaming, finished       bool
	shedByLoad                bool   // refused because of the servers' load
	requestNo                 uint64 // identifies its grant requests
	grantTries                int    // grant requests sent or skipped, two per coordinator
	firstAskedAt, lastAskedAt time.Duration
	awaitingGrant             bool
	grantedBy                 int     // rank of the coordinator that granted it, or -1
	retryServer               *server // server of the retry whose backoff has not ended; nil: none
	extraUnits                float64 // units used beyond those of the request
}

const tickToken = 1 // token of the timer of the tick; those above it belong to requests

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// New returns a gateway that knows only its configuration. The seed feeds its random choices.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, rng: rand.New(rand.NewSource(seed)), classes: map[string]*class{},
		planIndex: map[string]int{}, servers: map[string]*server{}, requests: map[string]*request{},
		timers: map[uint64]timerRef{}, nextToken: tickToken + 1,
		pendingGrants: map[uint64]*request{}, serversByKey: map[uint64]*server{}, silentUntil: map[int]time.Duration{},
		meanRoundTrip: initialRoundTrip, admitShare: 1, retryBudget: maxRetryBudget}
	g.quota = quota.New(quota.Config{Rank: cfg.Rank, Gateways: cfg.Gateways, Plans: cfg.Plans, PeersAllowed: cfg.Limits.PeerMessages,
		PeerIntake: cfg.PeerIntake, TrackChanges: cfg.TrackChanges, MaxCustomers: cfg.MaxCustomers}, g.rng, func(to int, text string) { g.emit(SendToPeer{to, text}) })
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{index: i, Class: k, meanTime: initialTimeShare * k.LatencyTarget.Seconds()}
		if g.minTarget == 0 || k.LatencyTarget.Seconds() < g.minTarget {
			g.minTarget = k.LatencyTarget.Seconds()
		}
	}
	for i, p := range cfg.Plans {
		g.planIndex[p.Name] = i
	}
	g.lastRequestNo = uint64(g.rng.Intn(4096))
	return g, nil
}

// setTimer sets a timer for an attempt, or for a grant request if the attempt is -1.
func (g *Gateway) setTimer(id string, n int, at time.Duration, purpose timerPurpose) {
	g.timers[g.nextToken] = timerRef{id, n, at, purpose}
	g.emit(SetTimer{at, g.nextToken})
	g.nextToken++
}

func (g *Gateway) findAttempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

// ensureServer returns the server of that ID, creating it if needed.
func (g *Gateway) ensureServer(id string) *server {
	if s := g.servers[id]; s != nil {
		return s
	}
	s := &server{slowFactor: 1, meanLoad: 0.5, missRates: make([]timedValue, len(g.cfg.Classes)),
		key: peermsg.Key(id) & peermsg.ServerKeyMask}
	g.serversByKey[s.key] = s
	g.servers[id] = s
	at, _ := slices.BinarySearchFunc(g.serversByID, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
	g.serversByID = slices.Insert(g.serversByID, at, s)
	s.hash = rendezvousHash(g.quota.Rank, id)
	at, _ = slices.BinarySearchFunc(g.serversByHash, s, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	g.serversByHash = slices.Insert(g.serversByHash, at, s)
	return s
}

// Allowance returns what a customer's bucket has room for. It changes nothing. It reports false for a plan without a
// rate; a customer that is not known here gets the allowance of one without recent requests.
func (g *Gateway) Allowance(now time.Duration, customer, plan string) (Allowance, bool) {
	planIndex, ok := g.planIndex[plan]
	if !ok {
		return Allowance{}, false
	}
	return g.quota.Allowance(now, peermsg.Key(customer), planIndex)
}

// AppendChanged appends to list the customers' buckets that changed since they were last returned, at most limit of
// them; the others wait for the next call. There are none unless Config.TrackChanges is set.
func (g *Gateway) AppendChanged(list []BucketSnapshot, limit int) []BucketSnapshot {
	return g.quota.AppendChanged(list, limit)
}
