// This file holds the decisions of one gateway and their constants; homes.go and floods.go how many gateways
// that can't all tell each other keep a customer's quota; api.go the interface, state.go what a gateway
// keeps, codec.go the digits of messages. Read it in this order: constants; how events are taken; quota;
// sharing; choice and health of servers; attempts and deadlines; guards of the rules.

package decide

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Quota.
const (
	partMemory  = 2 * time.Second  // memory of asked units: long against gaps, short against shifts
	partPrior   = 0.05             // seconds of the even slice mixed in: steadies rare askers
	startLevel  = 0.5              // of the mark: level after a start, as the past is unknown
	peerStale   = 1 * time.Second  // a peer not heard for this long no longer settles buckets
	meterStale  = 3 * time.Second  // the meter is late; older totals say nothing
	meterGrow   = 1.02             // of the factor on the part, a report ...
	meterShrink = 0.95             // ... while the metered total exceeds the rate
	forgetAfter = 10 * time.Second // a customer that is as new is forgotten this long after its last use ...
	toldFor     = 5 * time.Second  // ... well after peers cease to count on from its totals
	sweepLeast  = 4                // customers are looked at, at each beat ...
	sweepBeats  = 32               // ... and that part of all
	slackPart   = 0.9              // of the ceiling's slack is used: the rest is for rounding
)

// Sharing.
const (
	intakePart = 0.8                    // of the stated intake is used by all peers together
	askedStep  = 0.25                   // of the burst: asked units that are worth telling
	quietBeat  = 400 * time.Millisecond // an idle peer still says that it lives
	leaveTimes = 3                      // that it leaves is said so often, as messages may be lost
)

// Servers.
const (
	usualGain  = 0.01            // gain of the usual work of what is sent, which loads are counted in
	baseGain   = 0.03            // gain of a class's usual time: slow, it is the fleet's yardstick
	slowGain   = 0.2             // gain of a server's slowness against that: a few answers tell
	firstGuess = 0.2             // of the aim: the usual time before any answer
	slowMemory = 2 * time.Second // slowness fades at least so slowly: the unused get another look
	crossZone  = 1.15            // factor on the estimate of a server in another zone
	coldMargin = 0.8             // of the cold budget is used: costs vary, others' traffic is guessed ...
	coldMost   = 2.0             // ... and at most so many times what it can do: more is answered late
	memoryOf   = 4.0             // answers of a server are how long its slowness is known ...
	memoryMost = 20.0            // ... in seconds, this at most
	missFades  = 2.0             // times that: known of a class's failures
	missGain   = 0.25            // gain of a server's share of a class's requests that it leaves or fails
	newsOf     = 3               // sights that a word carries: twice as many made the flow react to chance
	missNear   = 0.2             // over the least such share: as good as the best
	downFirst  = 0.25            // seconds that a server is left alone which no connection reached ...
	downMost   = 4.0             // ... twice as long with each further one, up to this
	lookAt     = 16              // servers, from a random one on, are looked at for a request
	nearFor    = time.Second     // a gateway keeps to as many servers as it has answers in this time ...
	nearLeast  = 8               // ... and to so many at least: fewer would feel each other's every request
	nearChance = 2.0             // deviations by which more gateways than the mean may keep to a cold server
)

// Attempts.
const (
	openKept   = 800 * time.Millisecond  // attempts that a peer told count so long: later word may be lost
	ghostFor   = 1500 * time.Millisecond // work that nobody waits for counts as load no longer than this
	waitPart   = 0.7                     // work that nobody waits for counts as load for so long
	openLeast  = 8.0                     // attempts out a server, of all gateways, that press nobody: chance
	aimMargin  = 6 * time.Millisecond    // an answer must be back at the client within the aim
	overdueX   = 4.0                     // times its estimate: an attempt is overdue
	overdueMin = 150 * time.Millisecond
	budgetPart = 0.15 // further attempts a first attempt, by this much the retry budget grows ...
	budgetMost = 10.0 // ... up to this many
	openPart   = 0.2  // of the shortest aim: if a usual request takes that, openLeast is as it stands ...
	openMost   = 4.0  // ... and so many times as much at most, where it takes less
	openFree   = 4.0  // attempts out that press nobody where evidence is thin: one alone says nothing
	shedFrom   = 0.25 // of the cap on open work, where the least worth work is shed
	flowShrink = 0.85 // of the flow let in on thin evidence, for each answer missed here or as told ...
	flowGrow   = 1.03 // ... and for each that came: it holds where one of six is missed
	flowLeast  = 0.08 // the flow that finds out that a jam is over
	flowMost   = 2.2  // over 1 nothing is shed: room for chance
	shedTo     = 0.8  // of the time left: an estimate over it is hopeless
	copyFrom   = 0.2  // of the cap on open work, where second copies stop: before anything is shed

	retryAdvice = 200 * time.Millisecond // where no bucket tells when to come back
)

// Handle takes one event at the time now and returns what is to be done, in order.
func (g *Gateway) Handle(now time.Duration, ev Event) []Action {
	g.out = nil
	g.now = max(now, g.now)
	if !g.begun {
		g.begun, g.started = true, g.now
		g.do(SetTimer{g.now + g.beatEvery(), beatToken})
	}
	switch e := ev.(type) {
	case FleetUpdate:
		g.fleet(e)
	case Request:
		g.request(e)
	case AnswerStarted:
		if a := g.attempt(e.ID, e.Attempt); a != nil {
			g.requests[e.ID].streaming = true
			a.server.lastGood = g.now
		}
	case AttemptEnded:
		g.ended(e)
	case ClientGone:
		g.finish(g.requests[e.ID])
	case TimerFired:
		g.timer(e.Token)
	case PeerMessage:
		g.heard(e)
	case Standing:
		g.standing(e)
	case Recall:
		g.recall(e)
	case Leaving:
		g.handOver()
		g.leave()
	}
	return g.out
}

func (g *Gateway) timer(token uint64) {
	if token == beatToken {
		g.beat()
		return
	}
	ref, ok := g.timers[token]
	delete(g.timers, token)
	if r := g.requests[ref.id]; ok && ref.n < 0 && r != nil && r.asking {
		g.unheard(r, ref.due)
	} else if ok && ref.why == forAgain {
		g.waited(r)
	} else if a := g.attempt(ref.id, ref.n); ok && a != nil && !a.over {
		if ref.why == forCopy {
			g.copy(r, a)
		} else {
			g.overdue(r, a)
		}
	}
}

// ---- Quota.

// leak brings a customer's buckets, store and part up to now.
func (g *Gateway) leak(c *customer) {
	dt := (g.now - c.at).Seconds()
	c.at = g.now
	c.level = max(0, c.level-c.part*c.plan.Rate*dt)
	c.whole = max(0, c.whole-c.plan.Rate*dt)
	even, slice := 1/float64(c.spread), g.slice(c)
	c.store = min(c.store+c.plan.CeilingRate*slice*dt, c.plan.CeilingBurst*slice)
	left := (1 - homePart) * even
	c.spare = min(c.spare+c.plan.CeilingRate*left*dt, c.plan.CeilingBurst*left)
	if g.alone {
		c.part = even
		return
	}
	own := c.asked.get(g.now) + partPrior*c.plan.Rate*even
	if !g.mesh && g.now-c.toldAt < partMemory {
		c.part = min(1, max(even, own/max(own, c.asksAll)))
		return
	}
	all, oldest, kept := g.askedByAll(c, own)
	c.part = even
	if oldest < 0 || all == 0 || (len(g.peers) == 0 && c.spread > 1) {
		if c.metered > 0 && g.now-c.meteredAt < meterStale {
			c.part = max(even, min(1, c.factor*c.used.get(g.now)/c.metered))
		}
		return
	}
	c.part = max(even, own/all*(1-kept))
	if g.now-oldest >= peerStale {
		return // what the silent one lets in since is not known
	}
	if c.spread > 1 && oldest > c.settled {
		if c.settled = oldest; all <= c.plan.Rate {
			c.level = 0 // else all contend for what leaks: each takes its part alone
		}
		c.level = max(c.level, c.part*c.whole)
	}
}

// askedByAll is what all gateways of a customer's set ask for it, this one so much, and since when all
// have been heard: below 0 if one never was. The last word of a peer that fell silent stands: if it died,
// its traffic comes here and the part grows by that; if it is cut off, both keep their parts as they were.
// Without this, customers of a gateway that is down would have but the even parts of the others. A fleet
// tells more: of one that is missing the even part is kept, in which it may be at work.
func (g *Gateway) askedByAll(c *customer, own float64) (all float64, oldest time.Duration, kept float64) {
	all, oldest = own, g.now
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || !g.inSet(c, i) || p.left {
			continue
		}
		if p.missing {
			kept += 1 / float64(c.spread)
			continue
		}
		if !p.known {
			return all, -1, kept
		}
		at := g.now
		if g.now-p.heard >= peerStale {
			at = p.heard
		}
		all += c.told[i].rate.get(at) + partPrior*c.plan.Rate/float64(c.spread)
		oldest = min(oldest, p.heard)
	}
	return all, oldest, kept
}

// admit decides whether the quota has room.
func (g *Gateway) admit(c *customer, r *request) bool {
	g.leak(c)
	c.asked.add(g.now, r.units)
	if c.askedSum += r.units; c.askedSum-c.askedTold > askedStep*c.plan.Burst {
		c.askedTold = c.askedSum
		g.tellSoon(c, 0, len(g.peers)) // what was sent on is told at once, what was only asked by the step
	}
	return c.room(r.units) && g.roomOpen(c) &&
		(c.plan.CeilingRate == 0 || g.storeHas(c, r.units))
}

func (c *customer) room(units float64) bool {
	return c.plan.Rate == 0 || c.level+c.part*units <= c.part*c.plan.Burst
}

// roomOpen holds the cap on attempts out. Caps are small: parts of them, rounded up, are one too many in
// all or one too few where the traffic is. So what peers told counts, and the part decides without it.
func (g *Gateway) roomOpen(c *customer) bool {
	most := c.plan.MaxOpen
	if most == 0 {
		return true
	}
	if elsewhere, told := g.openElsewhere(c); told {
		return c.open+elsewhere < most
	}
	return float64(c.open) < math.Ceil(c.part*float64(most))
}

// openElsewhere is what the other gateways of a customer's set have out for it; not told if one is silent.
func (g *Gateway) openElsewhere(c *customer) (out int, told bool) {
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || !g.inSet(c, i) || p.left {
			continue
		}
		if !p.known || p.missing || g.now-p.heard >= peerStale {
			return 0, false
		}
		if t := &c.told[i]; t.have && g.now-t.at < openKept {
			out += t.open
		}
	}
	return out, c.spread == 1 || len(g.peers) > 0
}

// roomIn is how long the quota needs to have room for so many units: what the client is told to wait.
func (g *Gateway) roomIn(c *customer, units float64) time.Duration {
	wait := (c.shut - g.now).Seconds()
	if p := c.plan; p.Rate > 0 {
		wait = max(wait, (c.level+c.part*(units-p.Burst))/(c.part*p.Rate))
	}
	slack, left := slackPart*c.plan.CeilingSlack/float64(c.spread), (1-homePart)/float64(c.spread)
	switch slice := g.slice(c); {
	case c.plan.CeilingRate == 0:
	case slice > 0:
		wait = max(wait, (units-slack-c.store)/(c.plan.CeilingRate*slice))
	case g.alone: // else the home has said how long
		wait = max(wait, (units-slack-c.spare)/(c.plan.CeilingRate*left))
	}
	if wait <= 0 { // it is the cap on attempts out, which says nothing of time
		return retryAdvice
	}
	return time.Duration(min(wait, waitMost.Seconds()) * float64(time.Second))
}

// meter takes what an answer tells of the customer's use; it decides the part where peers are silent.
func (g *Gateway) meter(c *customer, percent int) {
	c.metered, c.meteredAt = float64(percent-1)/100*c.plan.Rate, g.now
	c.factor = min(1, c.factor*meterGrow)
	if c.metered > c.plan.Rate {
		c.factor *= meterShrink
	}
}

func (g *Gateway) charge(c *customer, units float64) {
	c.level += units
	if g.mesh {
		c.whole += units
	}
	c.usedSum += units
	c.used.add(g.now, units)
	g.noted(c)
	g.tellSoon(c, 0, len(g.peers))
}

// ---- Sharing.

// tellsAll reports whether the intake lets every gateway tell every other often enough.
func (g *Gateway) tellsAll() bool {
	return !g.cfg.Limits.Peers || intakePart*g.cfg.PeerIntake >= meshPace*float64(g.cfg.Gateways-1)
}

func (g *Gateway) beatEvery() time.Duration {
	if !g.mesh {
		return homeBeat
	}
	perS := intakePart * g.cfg.PeerIntake / float64(max(1, g.cfg.Gateways-1))
	return time.Duration(float64(time.Second) / max(perS, 1))
}

// leave tells the peers that this gateway stops, so that they share its part at once.
func (g *Gateway) leave() {
	for i := range g.peers {
		if i == g.cfg.Rank {
			continue
		}
		p := &g.peers[i]
		p.mySeq = (p.mySeq + 1) % 4096
		var b strings.Builder
		encodeHead(&b, leaveVersion, g.epoch, p.mySeq)
		for range leaveTimes {
			g.do(Tell{i, b.String()})
		}
	}
}

// tellSoon queues what is known of a customer for the gateways of those numbers that are in its set.
func (g *Gateway) tellSoon(c *customer, from, to int) {
	for i := from; i < to; i++ {
		if i != g.cfg.Rank && g.inSet(c, i) && !c.queued[i] {
			c.queued[i] = true
			g.peers[i].queue = append(g.peers[i].queue, c)
		}
	}
}

func (g *Gateway) beat() {
	g.do(SetTimer{g.now + g.beatEvery(), beatToken})
	for i := range g.peers {
		p := &g.peers[i]
		if i == g.cfg.Rank || (len(p.queue) == 0 && g.now-p.sent < quietBeat) {
			continue
		}
		p.sent, p.mySeq = g.now, (p.mySeq+1)%4096
		g.do(Tell{i, g.message(i, p)})
	}
	g.survey()
	g.sweep()
}

func (g *Gateway) message(i int, p *peer) string {
	var b strings.Builder
	encodeHead(&b, msgVersion, g.epoch, p.mySeq)
	n := min(len(p.queue), (maxMessage-msgHead)/msgEntry)
	for _, c := range p.queue[:n] {
		c.queued[i] = false
		c.last = g.now
		g.leak(c)
		c.encode(&b)
	}
	p.queue = slices.Delete(p.queue, 0, n)
	return b.String()
}

// heard takes a peer's message. Totals make lost and repeated messages harmless, the number makes late
// ones so, the epoch a restart of the peer.
func (g *Gateway) heard(e PeerMessage) {
	epoch, seq, leaves, ok := parseHead(e.Text)
	other := e.From >= 0 && e.From < g.cfg.Gateways && e.From != g.cfg.Rank
	if other && !g.mesh {
		g.word(e.From, e.Text)
	}
	if !ok || !other || len(g.peers) == 0 {
		return
	}
	p := &g.peers[e.From]
	if p.known && p.epoch == epoch && diff(p.seq, seq) <= 0 {
		return
	}
	if leaves && p.known && p.epoch != epoch {
		return // a former life's word, late
	}
	if !p.known || p.epoch != epoch {
		g.greet(e.From, p)
	}
	p.epoch, p.seq, p.known, p.heard, p.left, p.missing = epoch, seq, true, g.now, leaves, false
	for s := e.Text[msgHead:]; s != ""; s = s[msgEntry:] {
		g.learn(e.From, p, s[:msgEntry])
	}
}

// greet meets a new life of a peer: its totals begin anew, and it is told all there is to tell.
func (g *Gateway) greet(i int, p *peer) {
	p.younger = p.known
	for _, c := range g.queue {
		c.told[i].have = false
		g.tellSoon(c, i, i+1)
	}
}

func (g *Gateway) learn(from int, p *peer, s string) {
	key, planNo, used, asked, open, level := parseEntry(s)
	if planNo >= len(g.cfg.Plans) {
		return
	}
	c := g.customer(key, planNo)
	g.leak(c)
	t := &c.told[from]
	switch {
	case !t.have && p.younger:
		t.used, t.asked = 0, 0
	case !t.have || g.now-t.at > toldFor: // the peer may have forgotten the customer since, and count anew
		t.used, t.asked = used, asked
		c.whole = max(c.whole, level*c.plan.Burst)
	}
	t.have, t.at = true, g.now
	c.whole = max(0, c.whole+diff(t.used, used))
	t.rate.add(g.now, max(0, diff(t.asked, asked)))
	t.used, t.asked, t.open = used, asked, open
	g.noted(c)
}

// ---- Choice and health of servers.

func (g *Gateway) fleet(e FleetUpdate) {
	if e.Kind == FleetFailed {
		return
	}
	listed := map[string]bool{}
	for _, s := range e.Servers {
		listed[s.ID] = true
		g.listed(s, e.Kind == FleetStale)
	}
	if e.Kind != FleetDelta {
		for _, s := range g.order {
			if !listed[s.ID] {
				s.State = Gone
			}
		}
	}
	g.survey()
}

func (g *Gateway) listed(e Server, stale bool) {
	if e.State == Gone { // its cell and zone may be left out, and stay as told first: repeats go by them
		if s := g.servers[e.ID]; s != nil {
			s.State = Gone
		}
		return
	}
	s := g.server(e.ID)
	if e.Started > s.Started && e.Started+g.cfg.Safety.ColdFor > g.now {
		s.coldUntil, s.budget, s.budgetAt = e.Started+g.cfg.Safety.ColdFor, g.rng.Float64(), g.now
		s.slow, s.down, s.downTill = 1, 0, 0
		clear(s.miss)
	}
	s.Server = e
}

// estimate is the time in seconds that an answer of the server to the request should take.
func (g *Gateway) estimate(s *server, r *request) float64 {
	return r.class.usual(r.units) * g.slowness(s) * (1 + g.load(s)) / (1 + s.outAvg)
}

// slowness is a server's, faded by the time since its last answer.
func (g *Gateway) slowness(s *server) float64 {
	return 1 + (s.slow-1)*math.Exp(-(g.now-s.slowAt).Seconds()/g.memory())
}

// memory is how long, in seconds, what is known of a server holds: longer where answers of it are rare.
func (g *Gateway) memory() float64 {
	return min(memoryMost, max(slowMemory.Seconds(), memoryOf*g.all.serving/max(g.seen.get(g.now), 1e-3)))
}

// missed is the share of a class's requests that a server leaves unanswered or fails.
func (g *Gateway) missed(s *server, k *class) float64 {
	m := &s.miss[k.no]
	return m.v * math.Exp(-(g.now-m.at).Seconds()/(missFades*g.memory()))
}

// note takes how a request of a class fared at a server, here or at a gateway that told it: x times the usual
// time, answered or not, or an error. It guards against servers that are slow or fail one class and serve the
// others; it should catch what a server's age, a bad disk or a lost dependency do too, whoever met it first.
// It could harm a server that only costly requests went to.
func (g *Gateway) note(s *server, k *class, x float64, missed, failed bool) {
	g.seen.add(g.now, 1)
	v, to := g.missed(s, k), 0.0
	if missed {
		to = 1
	}
	s.miss[k.no] = rate{v + missGain*(1+g.thin())*(to-v), g.now}
	if missed && !failed {
		g.flow = max(flowLeast, g.flow*flowShrink)
	} else if !missed {
		g.flow = min(flowMost, g.flow*flowGrow)
	}
	s.slow, s.slowAt = g.slowness(s), g.now
	if !missed || x > s.slow {
		s.slow += slowGain * (min(x, 20) - s.slow)
	}
}

// saw notes how an own request fared and keeps it to be told.
func (g *Gateway) saw(s *server, r *request, took time.Duration, missed, failed bool) {
	k, x := r.class, took.Seconds()/r.class.usual(r.units)
	g.note(s, k, x, missed, failed)
	g.news.add(sight{s.short, k.no, x, missed, failed})
	if !missed {
		k.answered(r.units, took.Seconds())
	}
}

// load is what this gateway has at the server: attempts out, and ghosts. A jammed server works on what has
// timed out while its attempts out look few; without ghosts the jam feeds itself. Where a server drops such
// work the first later answer clears them, so they cost little.
func (g *Gateway) load(s *server) float64 {
	for len(s.ghosts) > 0 && g.now-s.ghosts[0].at > ghostFor {
		g.unload(s, s.ghosts[0].work)
		s.ghosts = s.ghosts[1:]
	}
	return s.work
}

// unload takes work off a server.
func (g *Gateway) unload(s *server, work float64) {
	s.work = max(0, s.work-work)
	g.all.open -= work
}

// work is what a request asks of a server, in usual requests.
func (g *Gateway) work(r *request) float64 {
	w := r.class.usual(r.units)
	if g.usual == 0 {
		g.usual = w
	}
	g.usual += usualGain * (w - g.usual)
	return w / g.usual
}

// coldRate guards the rule on cold servers: requests a second that this gateway may send to it. What this
// gateway sends a usual server is its own share of the fleet's traffic, so that all gateways together stay
// within the multiple without agreement.
func (g *Gateway) coldRate(s *server) float64 {
	warm := g.warmSends()
	chance := 1.0
	if n := float64(g.nearMost()); n < g.all.serving {
		warm *= g.all.serving / n // it has more of this gateway's traffic, and none of most others'
		chance += nearChance / math.Sqrt(float64(g.cfg.Gateways)*n/g.all.serving)
	}
	f := g.cfg.Safety.ColdFrom
	age := 1 - (s.coldUntil-g.now).Seconds()/g.cfg.Safety.ColdFor.Seconds()
	return coldTimes(g.cfg.Safety, chance) * (f + (1-f)*age) * warm
}

func (g *Gateway) survey() {
	g.forgetServers()
	all := survey{}
	for _, o := range g.order {
		if o.State != Serving {
			continue
		}
		all.serving++
		all.open += g.load(o)
		if o.coldUntil <= g.now {
			all.warm++
			all.sends += o.sends.get(g.now)
		}
	}
	g.all = all
	g.keepSends()
}

func (g *Gateway) cold(s *server) bool {
	if s.coldUntil <= g.now {
		return false
	}
	s.budget = min(1, s.budget+g.coldRate(s)*(g.now-s.budgetAt).Seconds())
	s.budgetAt = g.now
	return s.budget < 1
}

// nearMost is how many servers this gateway keeps to: the first ones in its own order, which rendezvous
// hashing makes. A gateway among many that spread its few requests over all servers would meet each so rarely
// that it knew none, and open a connection for nearly every request. As each keeps to others, all together
// load all alike, and a change of the list moves only what it touches.
func (g *Gateway) nearMost() int {
	return min(len(g.order), max(nearLeast, int(g.done.get(g.now)*nearFor.Seconds())))
}

// usable reports whether a request may go to the server by health and by the rules.
func (g *Gateway) usable(s *server, r *request) bool {
	return s.State == Serving && !g.cold(s) && g.mayRepeatAt(r, s)
}

// choose takes the server with the least estimate of the near ones, or of two others where fewer near ones
// are usable; a cold one that is not near gets nothing, as its budget is with those to whom it is near. last
// is the one that failed the request before. Where answers of a server are too rare to know its load, it
// takes the better of two at random, of those that fail the class little more than the best looked at: all
// would else run to the same few servers.
func (g *Gateway) choose(r *request, last *server) (*server, float64) {
	var found [lookAt]*server
	best, n, least, cost := (*server)(nil), 0, 1.0, 0.0
	near := g.nearMost()
	for i, from := 0, g.rng.Intn(max(1, near)); i < len(g.near) && n < lookAt && (i < near || n < 2); i++ {
		s := g.near[i]
		if i < near {
			s = g.near[(from+i)%near]
		} else if s.coldUntil > g.now {
			continue
		}
		if !g.usable(s, r) || (s.downTill > g.now && !g.allDown()) {
			continue
		}
		found[n] = s
		n++
		least = min(least, g.missed(s, r.class))
	}
	most := n
	if g.thin() == 1 {
		most = 2
	}
	for _, s := range found[:n] {
		miss := g.missed(s, r.class)
		if miss > least+missNear || most == 0 {
			continue
		}
		most--
		c := g.estimate(s, r) / max(0.2, 1-miss) * (1 + 0.02*g.rng.Float64())
		if s.Zone != g.cfg.Zone {
			c *= crossZone
		}
		if s == last {
			c *= 3
		}
		if best == nil || c < cost {
			best, cost = s, c
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, g.estimate(best, r)
}

// allDown reports whether every server is left alone: then this gateway is likelier to be at fault than they,
// and none is.
func (g *Gateway) allDown() bool {
	up := func(s *server) bool { return s.State == Serving && s.downTill <= g.now }
	return !slices.ContainsFunc(g.order, up)
}

// reached takes whether an attempt reached its server. One that no connection reaches is down for all
// classes; it is left alone for longer and longer, and then one request at a time finds out. An attempt that
// began before the last failure, or before a later answer, tells nothing new.
func (g *Gateway) reached(s *server, a *attempt, o Outcome) {
	switch {
	case o == OK || o == Error || o == Full:
		s.down, s.downTill = 0, 0
	case o == NoConnection && a.at >= s.downAt && a.at > s.lastGood:
		s.down, s.downAt = s.down+1, g.now
		g.leaveAlone(s)
	}
}

func (g *Gateway) leaveAlone(s *server) {
	wait := min(downMost, downFirst*math.Exp2(float64(s.down-1))) * (0.75 + 0.5*g.rng.Float64())
	s.downTill = g.now + seconds(wait)
}

// thin is 1 where this gateway sees fewer answers in its memory than there are servers, and less where more.
func (g *Gateway) thin() float64 {
	return min(1, g.all.serving/max(g.done.get(g.now)*partMemory.Seconds(), 1))
}

// ---- Attempts and deadlines.

func (g *Gateway) request(e Request) {
	if g.requests[e.ID] != nil {
		return
	}
	k, planNo, ok := g.classes[e.Class], 0, false
	if planNo, ok = g.plans[e.Plan]; k == nil || !ok {
		g.do(Refuse{ID: e.ID})
		return
	}
	r := &request{Request: e, class: k, units: max(0, e.Units), until: e.Deadline}
	if k.LateWorth == 0 && !k.Stream && k.AimStretch == 0 {
		r.until = min(e.Deadline, g.now+max(0, k.Aim-aimMargin))
	}
	if b := e.Bounds; b != nil && b.Whole > 0 {
		r.until = min(r.until, g.now+b.Whole)
	}
	c := g.customer(shortKey(e.Customer), planNo)
	if e.Spread > 0 && e.Spread <= g.cfg.Gateways && (c.spread != e.Spread || c.first != e.First) {
		c.first, c.spread = e.First%g.cfg.Gateways, e.Spread
		c.store = min(c.store, c.plan.CeilingBurst/float64(c.spread))
		c.spare = min(c.spare, (1-homePart)*c.plan.CeilingBurst/float64(c.spread))
	}
	r.cust, r.granted = c, -1
	g.requests[e.ID] = r
	switch {
	case g.mesh:
		g.decide(r, g.admit(c, r))
	case c.shut > g.now: // a home is not asked in vain
		c.asked.add(g.now, r.units)
		g.watch(c, false)
		g.decide(r, false)
	case g.shed(r):
		c.asked.add(g.now, r.units)
		r.shed = true
		g.decide(r, false)
	default:
		c.asked.add(g.now, r.units)
		g.askNo = g.askNo%4095 + 1
		r.no = g.askNo
		g.ask(r)
	}
}

// decide ends the wait of a request: it is sent on if the quota has room and the servers have.
func (g *Gateway) decide(r *request, room bool) {
	s, cost := (*server)(nil), 0.0
	if room {
		s, cost = g.choose(r, nil)
	}
	if s == nil || cost > shedTo*(r.until-g.now).Seconds() || (g.mesh && g.shed(r)) {
		r.more = -r.units
		wait := retryAdvice
		if !room {
			wait = g.roomIn(r.cust, r.units)
		}
		g.refuse(r.ID, wait, !room && !r.shed)
		g.finish(r)
		return
	}
	if g.mesh {
		r.cust.store -= r.units // else the home or roomAlone has taken them
	}
	g.charge(r.cust, r.units)
	if b := r.Bounds; b != nil && b.Budget != nil {
		b.Budget.First(g.now, &s.Server)
	} else {
		g.budget = min(budgetMost, g.budget+budgetPart)
	}
	g.send(r, s)
}

// pressed is the open work over its cap. By Little's law open work is the answers a second times their time,
// so a cap at the answers that do come times the time they should take holds the wait down whatever the
// servers can do, and closes when they jam. A few may always be out, to find out that a jam is over.
func (g *Gateway) pressed() float64 {
	n := g.all.serving
	seen := 1 - math.Exp(-max(g.now-g.started, time.Second/4).Seconds()/partMemory.Seconds())
	mine := g.done.get(g.now) / seen * waitPart * g.quickest
	least := openLeast * min(openMost, max(1, openPart*g.quickest/max(g.usual, 1e-6)))
	return max(0, g.all.open-openFree*g.thin()) / max(mine, least*n/float64(g.cfg.Gateways))
}

// shed decides whether the wait is too long for what the request is worth.
func (g *Gateway) shed(r *request) bool {
	value := r.class.Worth * r.cust.plan.Price * r.units / r.class.usual(r.units)
	g.value += 0.01 * (value - g.value)
	f := shedFrom + (1-shedFrom)*min(1, value/max(g.value, 1e-9))
	return g.pressed() > f || g.rng.Float64() > math.Pow(g.flow, g.thin()*g.thin()*(1+1/f)/2)
}

func (g *Gateway) refuse(id string, wait time.Duration, quota bool) {
	a := Refuse{ID: id, Quota: quota}
	if g.cfg.Limits.RetryAfter {
		a.RetryAfter = min(g.cfg.Limits.MaxRetryAfter, wait)
	}
	g.do(a)
}

func (g *Gateway) send(r *request, s *server) {
	a := &attempt{server: s, n: len(r.attempts), at: g.now, ran: true, work: g.work(r)}
	r.attempts = append(r.attempts, a)
	r.out++
	r.cust.open++
	s.outAvg += 0.05 * (g.load(s) - s.outAvg)
	if s.down > 0 {
		g.leaveAlone(s) // until it is known how this one fares
	}
	if s.coldUntil > g.now {
		s.budget -= a.work
	}
	wait := max(overdueMin, time.Duration(overdueX*g.estimate(s, r)*float64(time.Second)))
	s.out++
	s.work += a.work
	g.all.open += a.work
	s.sends.add(g.now, a.work)
	allow := max(r.until-g.now, time.Millisecond)
	if b := r.Bounds; b != nil {
		if b.Attempt > 0 {
			allow = min(allow, b.Attempt)
		}
		if b.Copies && b.CopyAfter > 0 && b.CopyAfter < allow {
			g.wake(r.ID, a.n, g.now+b.CopyAfter, forCopy)
		}
	}
	g.do(Send{r.ID, s.ID, allow})
	if wait < allow {
		g.wake(r.ID, a.n, g.now+wait, forOverdue)
	}
}

// overdue looks at an attempt that should have been answered. If the server has answered others since, the
// request is merely costly; if it has not, the server may be silent.
func (g *Gateway) overdue(r *request, a *attempt) {
	s := a.server
	g.saw(s, r, g.now-a.at, true, true) // it may still come: no sign of a jam yet
	if s.lastGood > a.at {
		return
	}
	if b := r.Bounds; b != nil {
		if b.Copies && b.CopyAfter == 0 {
			g.copy(r, a)
		}
		return // its own time limit ends the attempt
	}
	if r.finished || r.streaming || g.budget < 1 || r.class.Effect == Unsafe {
		return
	}
	if !g.cfg.Limits.Parallel {
		if g.cfg.Limits.Cancel {
			g.do(Cancel{r.ID, a.n}) // its end, as Cancelled, brings the next attempt
		}
		return
	}
	g.again(r, s, false)
}

// copy sends a second copy within a request's bounds. Copies are the first to stop where the servers are
// full, and none goes out that has too little time to win.
func (g *Gateway) copy(r *request, a *attempt) {
	b := r.Bounds
	if r.finished || r.streaming || r.class.Effect == Unsafe || r.waiting != nil || r.out != 1 {
		return
	}
	if r.until-g.now >= b.CopyLeast && g.pressed() <= copyFrom && g.again(r, a.server, false) {
		g.saw(a.server, r, g.now-a.at, true, true) // else a slow one would hide behind its copies
	}
}

// again sends a further attempt if the rules, the budget and the time left allow one, at once or after the
// wait that the request's bounds ask for. What waits has its place in the budget, so it waits for an attempt.
// The module's own budget keeps repeats from feeding a jam: one that no server heard of is not in it.
func (g *Gateway) again(r *request, last *server, unheard bool) bool {
	b, most, wait := r.Bounds, g.cfg.Limits.MaxAttempts, time.Duration(0)
	if b != nil {
		if b.Attempts > 0 {
			most = min(most, b.Attempts)
		}
		if r.out == 0 {
			wait = g.waitFor(r)
		}
	}
	own := (b == nil || b.Budget == nil) && !unheard
	if (own && g.budget < 1) || len(r.attempts) >= most || (r.out > 0 && !g.cfg.Limits.Parallel) {
		return false
	}
	s, cost := g.choose(r, last)
	if s == nil || cost > (r.until-g.now-wait).Seconds() || (r.out > 0 && s == last) {
		return false
	}
	if own {
		g.budget--
	} else if b != nil && b.Budget != nil && !b.Budget.Take(g.now, &s.Server) {
		return false
	}
	if wait > 0 {
		r.waiting = s
		g.wake(r.ID, len(r.attempts), g.now+wait, forAgain)
		return true
	}
	g.send(r, s)
	return true
}

// waitFor is how long a request waits before its next attempt.
func (g *Gateway) waitFor(r *request) time.Duration {
	b := r.Bounds
	wait := float64(b.Wait) * math.Pow(max(1, b.WaitGrowth), float64(len(r.attempts)-1))
	if b.WaitMost > 0 {
		wait = min(wait, float64(b.WaitMost))
	}
	return time.Duration(wait * (1 + b.Jitter*(2*g.rng.Float64()-1)))
}

// waited ends a wait. The server that was chosen may be cold or drained by now; then another may do that the
// rules allow.
func (g *Gateway) waited(r *request) {
	if r == nil || r.finished || r.waiting == nil {
		return
	}
	s, b := r.waiting, r.Bounds
	r.waiting = nil
	if g.servers[s.ID] != s || !g.usable(s, r) {
		if s, _ = g.choose(r, nil); s != nil && b.Budget != nil && !b.Budget.Take(g.now, &s.Server) {
			s = nil
		}
	}
	if s == nil || g.now >= r.until {
		g.giveUp(r)
		return
	}
	g.send(r, s)
}

func (g *Gateway) ended(e AttemptEnded) {
	r, a := g.requests[e.ID], g.attempt(e.ID, e.Attempt)
	if a == nil || a.over {
		return
	}
	a.over = true
	a.ran = !e.Outcome.neverRan()
	r.out--
	a.server.out--
	r.cust.open--
	if r.cust.plan.MaxOpen > 0 {
		g.tellSoon(r.cust, 0, len(g.peers))
	}
	g.judge(r, a, e)
	if e.TrueUnits > 0 && g.cfg.SettledLater {
		g.charge(r.cust, e.TrueUnits-r.units)
		r.more += e.TrueUnits - r.units
		r.units = e.TrueUnits
	}
	if e.Metered > 0 {
		g.meter(r.cust, e.Metered)
	}
	if e.Done {
		g.finish(r)
	}
	if r.finished {
		g.forget(r)
		return
	}
	if e.Outcome == Moot && len(r.attempts) == 1 {
		g.charge(r.cust, -r.units) // nothing was sent, so the quota took nothing
		switch {
		case g.mesh || r.granted == g.cfg.Rank:
			r.cust.store += r.units
		case r.granted < 0:
			r.cust.spare += r.units
		}
		r.more = -r.units
	}
	worth := e.Outcome != Moot && (r.Bounds == nil || r.Bounds.Again.Has(e.Outcome))
	if r.out > 0 || r.waiting != nil || (worth && g.again(r, a.server, e.Outcome == NoConnection)) {
		return
	}
	g.giveUp(r)
}

// judge takes what an outcome says of its server.
func (g *Gateway) judge(r *request, a *attempt, e AttemptEnded) {
	s := a.server
	g.reached(s, a, e.Outcome)
	if e.Outcome == TimedOut || e.Outcome == Cancelled {
		s.ghosts = append(s.ghosts, ghost{a.at, a.work})
	} else {
		g.unload(s, a.work)
	}
	switch e.Outcome {
	case OK:
		s.lastGood = g.now
		g.done.add(g.now, a.work)
		s.ghosts = slices.DeleteFunc(s.ghosts, func(o ghost) bool {
			if o.at < a.at {
				g.unload(s, o.work)
			}
			return o.at < a.at
		})
		g.saw(s, r, e.Took, false, false)
	case Error:
		g.saw(s, r, e.Took, true, true)
		s.lastGood = g.now
	case Full:
		g.saw(s, r, e.Took, true, false) // its queue is full: a jam as well
		s.lastGood = g.now
	case NoConnection, Reset:
		g.saw(s, r, e.Took, true, true)
	case TimedOut:
		g.saw(s, r, e.Took, true, false)
	}
}

// ---- Guards of the rules.

// mayRepeatAt guards the rule on effects: whether the server may get the request, given the attempts that
// may have run.
func (g *Gateway) mayRepeatAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if r.class.Effect == Safe || !a.ran {
			continue
		}
		same := r.class.Group == GroupAll || (r.class.Group == GroupZone && s.Zone == a.server.Zone) ||
			(r.class.Group == GroupCell && s.Cell == a.server.Cell)
		if r.class.Effect == Unsafe || !same || g.now-a.at >= r.class.Window-aimMargin {
			return false
		}
	}
	return true
}

// giveUp gives the final answer: a refusal where that may be promised, else a failure.
func (g *Gateway) giveUp(r *request) {
	mayRun := func(a *attempt) bool { return a.ran }
	promise := r.class.Effect == Safe || !slices.ContainsFunc(r.attempts, mayRun) ||
		(r.class.Effect == Keyed && r.class.Group == GroupAll)
	if promise && r.out == 0 {
		advice := retryAdvice
		if r.Bounds != nil && r.Bounds.Advice > 0 {
			advice = r.Bounds.Advice
		}
		g.refuse(r.ID, advice, false)
	} else {
		g.do(Fail{r.ID})
	}
	g.finish(r)
}

// finish ends a request; what is still out is called off.
func (g *Gateway) finish(r *request) {
	if r == nil {
		return
	}
	r.finished, r.asking, r.waiting = true, false, nil
	delete(g.asks, r.no)
	for _, a := range r.attempts {
		if !a.over && g.cfg.Limits.Cancel && !r.streaming {
			g.do(Cancel{r.ID, a.n})
		}
	}
	g.forget(r)
}

// forget drops a finished request once nothing of it is out.
func (g *Gateway) forget(r *request) {
	if r.finished && r.out == 0 && g.requests[r.ID] != nil {
		g.tellEnd(r, r.more)
		delete(g.requests, r.ID)
	}
}
