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
	cfg          Config
	rng          *rand.Rand
	now, started time.Duration
	begun        bool
	out          []Action
	classes      map[string]*class
	plans        map[string]int
	servers      map[string]*server
	order        []*server // by ID
	near         []*server // in this gateway's own order, by luck
	requests     map[string]*request
	timers       map[uint64]attemptRef
	nextToken    uint64
	quota        *quota.Tracker
	budget       float64
	done         quota.Rate // answers of all servers
	usual        float64    // usual time of what is sent, seconds
	quickest     float64    // shortest aim of a class, seconds
	value        float64    // usual worth per unit of work of what is let in

	asks    map[uint64]*request // that wait for a home, by number
	askNo   uint64
	flow    float64    // part of the requests that servers bear; over 1, all
	seen    quota.Rate // answers that were seen or told
	shorts  map[uint64]*server
	askRate quota.Rate            // questions that came in
	trip    time.Duration         // usual time of a home's answer
	silent  map[int]time.Duration // homes that gave no answer, until then
	all     survey

	heardAt, probedAt time.Duration // when any word came; when one was last asked for that no request waits for
	unheards          int           // questions in a row in whose time no word came

	before   float64       // usual requests a second that a warm server was sent of late, or before the start ...
	beforeAt time.Duration // ... as of then
}

type class struct {
	Class
	no   int
	base float64             // usual seconds of an answer
	n    float64             // answers seen
	by   latencymodel.Linear // how it goes with the units
}

// usual is the usual time in seconds of an answer to a request of so many units.
func (k *class) usual(units float64) float64 { return max(k.base, 1e-6) * k.by.RelativeTime(units) }

func (k *class) answered(units, took float64) {
	k.by.Add(units, took/max(k.base, 1e-6))
	k.n++
	k.base += max(baseGain, 1/k.n) * (took - k.base)
}

type server struct {
	Server
	slow, outAvg       float64 // times the usual time of a class; its usual load
	slowAt             time.Duration
	out                int
	work               float64 // of the attempts out and of the ghosts, in usual requests
	ghosts             []ghost
	miss               []sighted // by class: share left or failed, and when that was known
	short              uint64    // its name in messages
	luck               uint64    // its place in this gateway's order
	sends              quota.Rate
	lastGood, budgetAt time.Duration
	budget             float64       // cold budget, in requests
	down               int           // attempts in a row that no connection was made for
	downAt, downTill   time.Duration // when the last one failed; the server is left alone until then
	coldUntil          time.Duration
}

// sighted is a value as of a time.
type sighted struct {
	v  float64
	at time.Duration
}

// ghost is an attempt that ended unanswered and may still run.
type ghost struct {
	at   time.Duration // when it was sent
	work float64
}

// survey counts the servers at each beat and each change of the list, so that no request needs to.
type survey struct {
	serving, warm, sends, open float64
}

type attempt struct {
	server    *server
	n         int
	at        time.Duration
	over, ran bool // ran: it may have run
	work      float64
}

type attemptRef struct {
	id  string
	n   int
	due time.Duration
	why wakeFor
}

// wakeFor is what a timer of an attempt is about.
type wakeFor int

const (
	forOverdue wakeFor = iota
	forCopy
	forAgain
)

type request struct {
	Request
	class               *class
	cust                *quota.Customer
	units               float64
	until               time.Duration // no use after this
	attempts            []*attempt
	out                 int
	streaming, finished bool
	shed                bool   // the servers are pressed
	no                  uint64 // of the question to the home
	asked               int    // questions put
	askedAt, askedLast  time.Duration
	asking              bool
	granted             int     // the home that let it in, or -1
	waiting             *server // a further attempt is to go to it after a wait; nil: none
	more                float64 // units used beyond those told at first
}

const beatToken = 1 // timer of the beat; tokens above it name attempts and questions

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

// New returns a gateway that knows only its configuration. The seed feeds its random choices.
func New(cfg Config, seed int64) (*Gateway, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, rng: rand.New(rand.NewSource(seed)), classes: map[string]*class{},
		plans: map[string]int{}, servers: map[string]*server{}, requests: map[string]*request{},
		timers: map[uint64]attemptRef{}, nextToken: beatToken + 1,
		asks: map[uint64]*request{}, shorts: map[uint64]*server{}, silent: map[int]time.Duration{}, trip: askFirst, flow: 1, budget: budgetMost}
	g.quota = quota.New(quota.Config{Rank: cfg.Rank, Gateways: cfg.Gateways, Plans: cfg.Plans, PeersAllowed: cfg.Limits.PeerMessages,
		PeerIntake: cfg.PeerIntake, TrackChanges: cfg.TrackChanges}, g.rng, func(to int, text string) { g.do(SendToPeer{to, text}) })
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{no: i, Class: k, base: firstGuess * k.LatencyTarget.Seconds()}
		if g.quickest == 0 || k.LatencyTarget.Seconds() < g.quickest {
			g.quickest = k.LatencyTarget.Seconds()
		}
	}
	for i, p := range cfg.Plans {
		g.plans[p.Name] = i
	}
	g.askNo = uint64(g.rng.Intn(4096))
	return g, nil
}

// wake sets a timer for an attempt, or for a question that the number -1 stands for.
func (g *Gateway) wake(id string, n int, at time.Duration, why wakeFor) {
	g.timers[g.nextToken] = attemptRef{id, n, at, why}
	g.do(SetTimer{at, g.nextToken})
	g.nextToken++
}

func (g *Gateway) attempt(id string, n int) *attempt {
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		return r.attempts[n]
	}
	return nil
}

// server finds a server, or makes it.
func (g *Gateway) server(id string) *server {
	if s := g.servers[id]; s != nil {
		return s
	}
	s := &server{slow: 1, outAvg: 0.5, miss: make([]sighted, len(g.cfg.Classes)), short: peermsg.Key(id) & peermsg.ServerKeyMask}
	g.shorts[s.short] = s
	g.servers[id] = s
	at, _ := slices.BinarySearchFunc(g.order, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
	g.order = slices.Insert(g.order, at, s)
	s.luck = luck(g.quota.Rank, id)
	at, _ = slices.BinarySearchFunc(g.near, s, func(a, b *server) int { return cmp.Compare(a.luck, b.luck) })
	g.near = slices.Insert(g.near, at, s)
	return s
}

// Allowance reads a customer's bucket. It changes nothing. It reports false for a plan without a rate; a customer that is not
// known here is told the bucket of one that was not seen for long.
func (g *Gateway) Allowance(now time.Duration, customer, plan string) (Allowance, bool) {
	no, ok := g.plans[plan]
	if !ok {
		return Allowance{}, false
	}
	return g.quota.Allowance(now, peermsg.Key(customer), no)
}

// AppendChanged appends to a list what changed of the customers' buckets since it was last taken, so many at most; the others wait
// for the next call. There is nothing unless Config.Remember is set.
func (g *Gateway) AppendChanged(list []BucketSnapshot, most int) []BucketSnapshot {
	return g.quota.AppendChanged(list, most)
}
