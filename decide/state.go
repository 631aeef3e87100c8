// The types of what a gateway keeps; what is done with it stands in decide.go.

package decide

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"strings"
	"time"
)

type peer struct {
	heard, sent       time.Duration
	epoch, seq, mySeq int
	known             bool // heard since this gateway started
	left              bool // it told that it stops, or its number is vacant, and was not heard since
	missing           bool // it is missing, and was not heard since
	younger           bool // it started after this gateway, so all of its totals are news
	queue             []*customer
}

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
	customers    map[uint64]*customer
	queue        []*customer // customers in the order of first sight, to sweep the idle
	peers        []peer
	epoch        int
	budget       float64
	done         rate    // answers of all servers
	usual        float64 // usual time of what is sent, seconds
	quickest     float64 // shortest aim of a class, seconds
	value        float64 // usual worth per unit of work of what is let in

	alone   bool                // cut off from the fleet
	away    []bool              // by number: not there; nil: all are
	mesh    bool                // everyone tells everyone
	asks    map[uint64]*request // that wait for a home, by number
	askNo   uint64
	flow    float64 // part of the requests that servers bear; over 1, all
	seen    rate    // answers that were seen or told
	news    newest
	shorts  map[uint64]*server
	askRate rate                  // questions that came in
	trip    time.Duration         // usual time of a home's answer
	silent  map[int]time.Duration // homes that gave no answer, until then
	all     survey

	heardAt, probedAt time.Duration // when any word came; when one was last asked for that no request waits for
	unheards          int           // questions in a row in whose time no word came
	floods            floods

	before   float64       // usual requests a second that a warm server was sent of late, or before the start ...
	beforeAt time.Duration // ... as of then
	leaked   float64       // seconds for which the buckets of strangers have leaked since they may have been half full
	changed  []*customer   // whose buckets changed since Changed was last called
}

type class struct {
	Class
	no   int
	base float64 // usual seconds of an answer
	n    float64 // answers seen
	by   shape   // how it goes with the units
}

// usual is the usual time in seconds of an answer to a request of so many units.
func (k *class) usual(units float64) float64 { return max(k.base, 1e-6) * k.by.of(units) }

func (k *class) answered(units, took float64) {
	k.by.add(units, took/max(k.base, 1e-6))
	k.n++
	k.base += max(baseGain, 1/k.n) * (took - k.base)
}

// told is what one peer last said of a customer.
type told struct {
	have        bool
	at          time.Duration
	used, asked int
	open        int // its attempts out
	rate        rate
}

type customer struct {
	key           uint64
	plan          *Plan
	planNo        int
	first, spread int
	at, last      time.Duration // of the last leak, of the last use or word of it
	level, part   float64       // of this gateway's bucket; its part of rate and mark
	whole         float64       // of the bucket that all gateways together fill, as far as told
	settled       time.Duration // the level follows what peers told up to then
	asked         rate

	usedSum, askedSum, askedTold float64

	used            rate
	metered, factor float64 // what the meter last told, units a second; factor on the part by it
	meteredAt       time.Duration
	told            []told
	queued          []bool
	open            int
	store           float64       // units of this gateway's slice of the ceiling
	spare           float64       // units of its slice of what homes leave of the ceiling
	lone            float64       // what passed here without a home's word, as a bucket ...
	loneAt          time.Duration // ... as it was then

	fleet         rate          // units that all gateways ask of this home
	asksAll       float64       // units a second that all gateways ask, as the home told ...
	toldAt, shut  time.Duration // ... then; refused at once until then, by the home's word
	grants        []grant       // of the home
	given, untold float64       // units that this home granted, modulo givenWrap; not told to the other yet
	twinGiven     float64       // what the other home last told
	twinKnown     bool
	wait          float64      // seconds that the home lets refused ones wait
	over          float64      // part of its latest requests that its quota did not bear: see watch
	homes         [homes]int16 // as they were when it was last asked of this home
	noted         bool         // it is among those that changed
	recalled      bool         // what is known of it is from before the start
}

// grant is what a home let one gateway pass on.
type grant struct {
	from int
	no   uint64
	at   time.Duration
	ok   bool
	out  bool // an attempt is out
}

type server struct {
	Server
	slow, outAvg       float64 // times the usual time of a class; its usual load
	slowAt             time.Duration
	out                int
	work               float64 // of the attempts out and of the ghosts, in usual requests
	ghosts             []ghost
	miss               []rate // by class: share left or failed, and when that was known
	short              uint64 // its name in messages
	luck               uint64 // its place in this gateway's order
	sends              rate
	lastGood, budgetAt time.Duration
	budget             float64       // cold budget, in requests
	down               int           // attempts in a row that no connection was made for
	downAt, downTill   time.Duration // when the last one failed; the server is left alone until then
	coldUntil          time.Duration
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
	cust                *customer
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
		timers: map[uint64]attemptRef{}, nextToken: beatToken + 1, customers: map[uint64]*customer{},
		asks: map[uint64]*request{}, shorts: map[uint64]*server{}, silent: map[int]time.Duration{}, trip: askFirst, flow: 1, budget: budgetMost}
	if g.mesh = g.tellsAll(); g.mesh && cfg.Limits.Peers {
		g.peers = make([]peer, cfg.Gateways)
	}
	for i, k := range cfg.Classes {
		g.classes[k.Name] = &class{no: i, Class: k, base: firstGuess * k.Aim.Seconds()}
		if g.quickest == 0 || k.Aim.Seconds() < g.quickest {
			g.quickest = k.Aim.Seconds()
		}
	}
	for i, p := range cfg.Plans {
		g.plans[p.Name] = i
	}
	g.epoch, g.askNo = g.rng.Intn(64*64), uint64(g.rng.Intn(4096))
	return g, nil
}

// wake sets a timer for an attempt, or for a question that the number -1 stands for.
func (g *Gateway) wake(id string, n int, at time.Duration, why wakeFor) {
	g.timers[g.nextToken] = attemptRef{id, n, at, why}
	g.do(SetTimer{at, g.nextToken})
	g.nextToken++
}

// rate is a sum of units that fades with partMemory; its value is in units a second.
type rate struct {
	v  float64
	at time.Duration
}

func (r *rate) add(now time.Duration, units float64) {
	r.v = r.get(now) + units/partMemory.Seconds()
	r.at = now
}

func (r *rate) get(now time.Duration) float64 {
	return r.v * math.Exp(-(now-r.at).Seconds()/partMemory.Seconds())
}

// inSet reports whether a customer's requests may come in through the gateway of that number.
func (g *Gateway) inSet(c *customer, rank int) bool {
	return (rank-c.first+g.cfg.Gateways)%g.cfg.Gateways < c.spread
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
	s := &server{slow: 1, outAvg: 0.5, miss: make([]rate, len(g.cfg.Classes)), short: shortKey(id) & shortMask}
	g.shorts[s.short] = s
	g.servers[id] = s
	at, _ := slices.BinarySearchFunc(g.order, id, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
	g.order = slices.Insert(g.order, at, s)
	s.luck = luck(g.cfg.Rank, id)
	at, _ = slices.BinarySearchFunc(g.near, s, func(a, b *server) int { return cmp.Compare(a.luck, b.luck) })
	g.near = slices.Insert(g.near, at, s)
	return s
}

func (g *Gateway) customer(key uint64, planNo int) *customer {
	if c := g.customers[key]; c != nil {
		c.last = g.now
		return c
	}
	p := &g.cfg.Plans[planNo]
	c := &customer{key: key, plan: p, planNo: planNo, spread: g.cfg.Gateways, at: g.started, last: g.now,
		told: make([]told, len(g.peers)), queued: make([]bool, len(g.peers))}
	c.part, c.factor, c.toldAt = 1/float64(c.spread), 1, -partMemory
	if !g.mesh {
		c.whole = g.startFill(p)
	}
	c.level = c.part * g.startFill(p) // leaks, and the store fills, from the start on
	g.customers[key] = c
	g.queue = append(g.queue, c)
	return c
}

// slice is the part of a customer's ceiling that this gateway keeps, beside what homes leave. A home that is cut off
// from its fleet keeps none: the home that took its place does.
func (g *Gateway) slice(c *customer) float64 {
	switch {
	case g.mesh:
		return 1 / float64(c.spread)
	case !g.alone && g.home(c.key, 0) == g.cfg.Rank:
		return homePart
	}
	return 0
}

// sweep drops customers of whom nothing is left to know, a part of all at each beat. Most customers may come
// once only, so it has to keep up with new ones however many there are.
func (g *Gateway) sweep() {
	for n := min(len(g.queue), sweepLeast+len(g.queue)/sweepBeats); n > 0; n-- {
		c := g.queue[0]
		g.queue = g.queue[1:]
		if g.asNew(c) {
			delete(g.customers, c.key)
			continue
		}
		g.queue = append(g.queue, c)
	}
}

// asNew reports whether a customer stands as one would that comes for the first time now: nothing out or to be
// told, buckets empty, store full.
func (g *Gateway) asNew(c *customer) bool {
	if c.open > 0 || c.noted || g.now-c.last < forgetAfter || c.shut > g.now || slices.Contains(c.queued, true) {
		return false
	}
	g.leak(c)
	return (c.plan.Rate == 0 || c.level == 0 && c.whole == 0) &&
		(c.plan.CeilingRate == 0 || c.store >= c.plan.CeilingBurst*g.slice(c))
}

// forgetServers drops servers that are gone and of which nothing is out. A cold one stays until it would be warm,
// so that its budget holds if it comes back; where a request may be repeated stands with its attempts.
func (g *Gateway) forgetServers() {
	gone := func(s *server) bool { return s.State == Gone && s.out == 0 && s.coldUntil <= g.now }
	g.near = slices.DeleteFunc(g.near, gone)
	g.order = slices.DeleteFunc(g.order, func(s *server) bool {
		if !gone(s) {
			return false
		}
		delete(g.servers, s.ID)
		if g.shorts[s.short] == s {
			delete(g.shorts, s.short)
		}
		return true
	})
}

// newest are the last few sights of own requests.
type newest struct {
	v [newsOf]sight
	n int
}

func (n *newest) add(v sight) {
	if v.class > maxClass {
		return // a word has no digit for it
	}
	copy(n.v[1:], n.v[:])
	n.v[0], n.n = v, min(n.n+1, newsOf)
}

// luck is a server's place in the order of the gateway of that number: rendezvous hashing (Thaler and Ravishankar,
// 1998), mixed by the finalizer of SplitMix64.
func luck(rank int, id string) uint64 {
	x := shortKey(id) ^ uint64(rank+1)*0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
