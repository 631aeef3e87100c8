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

// The types of what a gateway keeps.

// Gateway decides for one gateway. Make it with New.
type Gateway struct {
	cfg           Config
	rng           *rand.Rand
	now, started  time.Duration
	initialized   bool
	actions       []Action
	classes       map[string]*class
	planIndex     map[string]int
	servers       map[string]*server
	serversByID   []*server // by ID
	serversByHash []*server // in this gateway's own order, by luck
	requests      map[string]*request
	timers        map[uint64]timerRef
	nextToken     uint64
	quota         *quota.Tracker
	retryBudget   float64
	answeredWork  quota.Rate // answers of all servers
	meanTime      float64    // usual time of what is sent, seconds
	minTarget     float64    // shortest aim of a class, seconds
	meanValue     float64    // usual worth per unit of work of what is let in

	pendingGrants    map[uint64]*request // that wait for a home, by number
	lastRequestNo    uint64
	admitShare       float64    // part of the requests that servers bear; over 1, all
	sampleRate       quota.Rate // answers that were seen or told
	serversByKey     map[uint64]*server
	grantRequestRate quota.Rate            // questions that came in
	meanRoundTrip    time.Duration         // usual time of a home's answer
	silentUntil      map[int]time.Duration // homes that gave no answer, until then
	totals           serverTotals

	lastPeerMessage, lastPeerProbe time.Duration // when any word came; when one was last asked for that no request waits for
	silentTimeouts                 int           // questions in a row in whose time no word came

	warmServerRate   float64       // usual requests a second that a warm server was sent of late, or before the start ...
	warmServerRateAt time.Duration // ... as of then
}

type class struct {
	Class
	index       int
	meanTime    float64             // usual seconds of an answer
	answers     float64             // answers seen
	timeByUnits latencymodel.Linear // how it goes with the units
}

// expectedTime is the expectedTime time in seconds of an answer to a request of so many units.
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
	slowFactor, meanLoad           float64 // times the usual time of a class; its usual load
	slowFactorAt                   time.Duration
	openAttempts                   int
	openWork                       float64 // of the attempts out and of the ghosts, in usual requests
	abandoned                      []abandonedAttempt
	missRates                      []timedValue // by class: share left or failed, and when that was known
	key                            uint64       // its name in messages
	hash                           uint64       // its place in this gateway's order
	sendRate                       quota.Rate
	lastAnswer, coldBudgetAt       time.Duration
	coldBudget                     float64       // cold budget, in requests
	connectFailures                int           // attempts in a row that no connection was made for
	lastConnectFailure, avoidUntil time.Duration // when the last one failed; the server is left alone until then
	coldUntil                      time.Duration
}

// timedValue is a value as of a time.
type timedValue struct {
	value float64
	at    time.Duration
}

// abandonedAttempt is an attempt that ended unanswered and may still run.
type abandonedAttempt struct {
	sentAt time.Duration // when it was sent
	work   float64
}

// serverTotals counts the servers at each beat and each change of the list, so that no request needs to.
type serverTotals struct {
	servers, warmServers, warmSendRate, openWork float64
}

type attempt struct {
	server            *server
	index             int
	sentAt            time.Duration
	ended, mayHaveRun bool // ran: it may have run
	work              float64
}

type timerRef struct {
	requestID string
	attempt   int
	at        time.Duration
	purpose   timerPurpose
}

// timerPurpose is what a timer of an attempt is about.
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
	expires                   time.Duration // no use after this
	attempts                  []*attempt
	openAttempts              int
	streaming, finished       bool
	shedByLoad                bool   // the servers are pressed
	requestNo                 uint64 // of the question to the home
	grantTries                int    // questions put
	firstAskedAt, lastAskedAt time.Duration
	awaitingGrant             bool
	grantedBy                 int     // the home that let it in, or -1
	retryServer               *server // a further attempt is to go to it after a wait; nil: none
	extraUnits                float64 // units used beyond those told at first
}

const tickToken = 1 // timer of the beat; tokens above it name attempts and questions

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
		PeerIntake: cfg.PeerIntake, TrackChanges: cfg.TrackChanges}, g.rng, func(to int, text string) { g.emit(SendToPeer{to, text}) })
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

// setTimer sets a timer for an attempt, or for a question that the number -1 stands for.
func (g *Gateway) setTimer(id string, n int, at time.Duration, why timerPurpose) {
	g.timers[g.nextToken] = timerRef{id, n, at, why}
	g.emit(SetTimer{at, g.nextToken})
	g.nextToken++
}

func (g *Gateway) findAttempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

// ensureServer finds a ensureServer, or makes it.
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

// Allowance reads a customer's bucket. It changes nothing. It reports false for a plan without a rate; a customer that is not
// known here is told the bucket of one that was not seen for long.
func (g *Gateway) Allowance(now time.Duration, customer, plan string) (Allowance, bool) {
	no, ok := g.planIndex[plan]
	if !ok {
		return Allowance{}, false
	}
	return g.quota.Allowance(now, peermsg.Key(customer), no)
}

// AppendChanged appends to a list what changed of the customers' buckets since it was last taken, so many at most; the others wait
// for the next call. There is nothing unless Config.Remember is set.
func (g *Gateway) AppendChanged(list []BucketSnapshot, limit int) []BucketSnapshot {
	return g.quota.AppendChanged(list, limit)
}
