package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sloepick/internal/fleet"
)

// The engine of membership as it is modelled: SWIM with suspicion and Lifeguard's time-outs, with the figures that
// internal/gossip sets for memberlist v0.7.0 and its sizes of packets and members' data.
const (
	probeEvery    = time.Second
	probeWithin   = 500 * time.Millisecond
	indirect      = 3 // members that are asked to probe in one's place
	gossipEvery   = 100 * time.Millisecond
	gossipTo      = 3 // members
	perPacket     = 9 // pieces of news that a packet of 1,400 bytes holds
	retransmits   = 4 // times the logarithm of the fleet's size: so often each is passed on
	suspicion     = 4 // times that logarithm, in probes: a suspect's time to answer, where others agree ...
	suspicionMost = 6 // ... and so many times as much where they don't
	confirms      = 2 // others that must agree for the shortest time
	syncEvery     = 15 * time.Second
	syncWithin    = 2 * time.Second
	deadGossip    = 30 * time.Second // the dead are gossiped to for so long: they may be alive
	tickEvery     = 200 * time.Millisecond
)

// Fleet is members of a fleet, each with the program's own table on a model of the engine.
type Fleet struct {
	Kernel  *Kernel
	Net     *Network
	Config  fleet.Config // of all, but for Self
	Members []*Member
	// OnAssignment is told how a member stands, whenever that changes, and that it is gone (Place below 0).
	OnAssignment func(m *Member, s fleet.Assignment)
	// OnLog is told what members log; nil: nothing.
	OnLog func(m *Member, text string)

	PacketsSent int // sent by all
	lives       uint64
}

// NewFleet is a fleet without members.
func NewFleet(k *Kernel, net *Network, conf fleet.Config) *Fleet {
	return &Fleet{Kernel: k, Net: net, Config: conf, OnAssignment: func(*Member, fleet.Assignment) {}}
}

// Member is one member's process.
type Member struct {
	Index      int
	Table      *fleet.Table
	Up         bool
	Paused     bool // it stands still
	Superseded bool

	f         *Fleet
	name      string
	life      uint64
	rnd       *rand.Rand
	gen       int // counts its processes: what was set for a former one is void
	inc       uint32
	self      fleet.Member
	view      []peerView
	alive     int // of the view
	news      []news
	ring      []int
	backlog   []func() // what came while it stood still
	heardAt   time.Duration
	seeds     []int
	LastClaim fleet.Claim // on its disk
}

// peerView is what a member's engine knows of another.
type peerView struct {
	known   bool
	state   fleet.State
	suspect bool
	inc     uint32
	at      time.Duration // of the state
	member  fleet.Member
	timer   *Timer
	agree   []int // who suspects it too
	began   time.Duration
}

// news is a piece of gossip.
type news struct {
	about  int
	kind   newsKind
	life   uint64 // of the process that it is about: a later one has its own count of incarnations
	inc    uint32
	from   int
	member fleet.Member // of alive ones
	told   int
}

type newsKind int

const (
	isAlive newsKind = iota
	isSuspect
	isDead
	hasLeft
)

// AddMember makes a member that is not up.
func (f *Fleet) AddMember() *Member {
	m := &Member{Index: len(f.Members), f: f, LastClaim: fleet.NoClaim, name: fmt.Sprintf("n%04d", len(f.Members))}
	f.Members = append(f.Members, m)
	return m
}

// Start starts a member's process, which joins by the seeds: numbers of members.
func (m *Member) Start(seeds ...int) {
	f := m.f
	f.lives++
	m.gen++
	m.Up, m.Paused, m.Superseded, m.life, m.inc = true, false, false, f.lives, 1
	m.view, m.alive, m.news, m.ring, m.backlog = make([]peerView, len(f.Members)), 0, nil, nil, nil
	m.rnd = f.Kernel.RandomStream(fmt.Sprintf("member %d life %d", m.Index, m.gen))
	cfg := f.Config
	cfg.LastClaim = m.LastClaim
	cfg.Self = fleet.Member{Name: m.name, Incarnation: m.life, Claim: fleet.NoClaim}
	m.self, m.seeds = cfg.Self, seeds
	t, err := fleet.New(cfg)
	if err != nil {
		panic(err) // the configuration is the owner's own code
	}
	m.Table = t
	gen := m.gen
	alive := func() bool { return m.Up && m.gen == gen }
	late := func(d time.Duration) time.Duration { return time.Duration(m.rnd.Int64N(int64(d))) }
	m.tell(fleet.Tick{})
	f.Kernel.Every(late(tickEvery), tickEvery, func() bool { return m.run(alive, func() { m.tell(fleet.Tick{}) }) })
	f.Kernel.Every(late(gossipEvery), gossipEvery, func() bool { return m.run(alive, m.gossip) })
	f.Kernel.Every(late(probeEvery), probeEvery, func() bool { return m.run(alive, m.probe) })
	f.Kernel.Every(late(m.syncPace()), m.syncPace(), func() bool {
		return m.run(alive, func() {
			if to, ok := m.pick(nil); ok {
				m.exchange(to, func(bool) {})
			}
		})
	})
}

// run does something of a process, unless that has ended; while it stands still nothing is done, as its timers run out unseen.
func (m *Member) run(alive func() bool, do func()) bool {
	if alive() && !m.Paused {
		do()
	}
	return alive()
}

// syncPace is how often whole states are exchanged: more seldom where there are many.
func (m *Member) syncPace() time.Duration {
	pace := syncEvery
	for n := len(m.f.Members); n > 32; n /= 2 {
		pace += syncEvery
	}
	return pace
}

// Kill ends a member's process without a word.
func (m *Member) Kill() {
	m.Up = false
	m.f.OnAssignment(m, fleet.Assignment{Slot: -1})
}

// Leave ends it with a goodbye.
func (m *Member) Leave() {
	m.tell(fleet.Leave{})
	m.spread(news{about: m.Index, kind: hasLeft, life: m.life, inc: m.inc, from: m.Index})
	for range 3 { // memberlist waits for its goodbye to be passed on
		m.gossip()
	}
	m.Kill()
}

// Pause has the process stand still.
func (m *Member) Pause() { m.Paused = true }

// Resume has it go on, with all that has come meanwhile.
func (m *Member) Resume() {
	m.Paused = false
	backlog := m.backlog
	m.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// tell hands an event to the table and does what it wants.
func (m *Member) tell(e fleet.Event) {
	for _, a := range m.Table.Handle(m.f.Kernel.Now(), e) {
		switch a := a.(type) {
		case fleet.Announce:
			m.self = a.Self
			m.inc++
			m.spread(news{about: m.Index, kind: isAlive, life: m.life, inc: m.inc, from: m.Index, member: a.Self})
		case fleet.Sync:
			m.sync(a.SkipSeeds)
		case fleet.AssignmentChange:
			if a.Slot >= 0 {
				m.LastClaim = fleet.Claim{Slot: a.Slot, Term: a.Term}
			}
			m.f.OnAssignment(m, a.Assignment)
		case fleet.Superseded:
			m.Superseded = true
			m.Kill()
		case fleet.LogMessage:
			if m.f.OnLog != nil {
				m.f.OnLog(m, a.Text)
			}
		}
	}
}

// syncWith is how many members are asked for their whole state.
const syncWith = 3

// sync exchanges whole states with seeds, or with members that are known.
func (m *Member) sync(few bool) {
	to := slices.Clone(m.seeds)
	if p, ok := m.pick(nil); few && ok {
		to = []int{p}
	}
	for len(to) < syncWith {
		p, ok := m.pick(to)
		if !ok {
			break
		}
		to = append(to, p)
	}
	to = slices.DeleteFunc(to, func(i int) bool { return i == m.Index })
	left, ok, gen := len(to), false, m.gen
	if left == 0 {
		m.f.Kernel.After(0, func() { m.process(gen, func() { m.tell(fleet.SyncDone{}) }) })
		return
	}
	for _, i := range to {
		m.exchange(i, func(answered bool) {
			left--
			ok = ok || answered
			if left == 0 {
				m.tell(fleet.SyncDone{OK: ok})
			}
		})
	}
}

// process has a process do something, now or when it goes on.
func (m *Member) process(gen int, do func()) {
	switch {
	case !m.Up || m.gen != gen:
	case m.Paused:
		m.backlog = append(m.backlog, do)
	default:
		do()
	}
}

// state is a member's whole state, as it is exchanged.
type state struct {
	news []news
	past fleet.SharedState
}

func (m *Member) state() state {
	s := state{news: []news{{about: m.Index, kind: isAlive, life: m.life, inc: m.inc, member: m.self}}, past: m.Table.SharedState()}
	for i := range m.view {
		v := &m.view[i]
		switch {
		case !v.known:
		case v.state == fleet.Alive && !v.suspect:
			s.news = append(s.news, news{about: i, kind: isAlive, life: v.member.Incarnation, inc: v.inc, member: v.member})
		case v.state != fleet.Left: // memberlist merges the dead as suspects, so that they can answer
			s.news = append(s.news, news{about: i, kind: isSuspect, life: v.member.Incarnation, inc: v.inc, from: m.Index})
		}
	}
	return s
}

func (m *Member) merge(s state) {
	for _, n := range s.news {
		m.learn(n)
	}
	m.tell(fleet.RemoteState{SharedState: s.past})
}

// exchange swaps whole states with another.
func (m *Member) exchange(to int, done func(ok bool)) {
	gen, mine, other := m.gen, m.state(), m.f.Members[to]
	m.f.Net.Call(m.Index, to, syncWithin, func() func() {
		if !other.Up || other.Paused { // one that stands still accepts and does not answer
			return nil
		}
		theirs := other.state()
		other.merge(mine)
		return func() { m.process(gen, func() { m.merge(theirs); done(true) }) }
	}, func() { m.process(gen, func() { done(false) }) })
}

// pick draws a member that is not known to be gone.
func (m *Member) pick(but []int) (int, bool) {
	for range 3 * len(m.view) {
		i := m.rnd.IntN(len(m.view))
		if v := &m.view[i]; i != m.Index && v.known && v.state == fleet.Alive && !slices.Contains(but, i) {
			return i, true
		}
	}
	return 0, false
}

func logOf(n int) float64 { return math.Ceil(math.Log10(float64(n + 1))) }

// spread queues a piece of news, in place of older news of the same member; what was passed on least goes first.
func (m *Member) spread(n news) {
	m.news = slices.DeleteFunc(m.news, func(o news) bool { return o.about == n.about })
	m.news = append(m.news, n)
}

// packet sends news beside what the packet is for; nil: for the news alone.
func (m *Member) packet(to int, what func(other *Member)) {
	n := min(len(m.news), perPacket)
	if n == 0 && what == nil {
		return
	}
	// The newest stand at the end; what has been passed on goes to the front.
	with := slices.Clone(m.news[len(m.news)-n:])
	most := retransmits * int(logOf(m.alive+1))
	again := make([]news, 0, n)
	for _, o := range with {
		if o.told++; o.told < most {
			again = append(again, o)
		}
	}
	m.news = slices.Insert(m.news[:len(m.news)-n], 0, again...)
	m.f.PacketsSent++
	other := m.f.Members[to]
	gen := other.gen
	m.f.Net.SendPacket(m.Index, to, func() {
		other.process(gen, func() {
			other.hear()
			for _, n := range with {
				n.told = 0
				other.learn(n)
			}
			if what != nil {
				what(other)
			}
		})
	})
}

// hear tells the table that another member was heard, now and then.
func (m *Member) hear() {
	if now := m.f.Kernel.Now(); now-m.heardAt >= tickEvery/2 {
		m.heardAt = now
		m.tell(fleet.MemberContact{})
	}
}

func (m *Member) gossip() {
	if len(m.news) == 0 {
		return
	}
	now := m.f.Kernel.Now()
	for n := 0; n < gossipTo; n++ {
		for range 3 * len(m.view) {
			i := m.rnd.IntN(len(m.view))
			if v := &m.view[i]; i != m.Index && v.known && (v.state == fleet.Alive || v.state == fleet.Lost && now-v.at < deadGossip) {
				m.packet(i, nil)
				break
			}
		}
	}
}

// probe looks whether the next member of the ring is there.
func (m *Member) probe() {
	if len(m.ring) == 0 {
		for i := range m.view {
			if i != m.Index && m.view[i].known && m.view[i].state == fleet.Alive {
				m.ring = append(m.ring, i)
			}
		}
		m.rnd.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
	if len(m.ring) == 0 {
		return
	}
	i := m.ring[0]
	m.ring = m.ring[1:]
	if m.view[i].state != fleet.Alive {
		return
	}
	acked, gen, life := false, m.gen, m.view[i].member.Incarnation
	ack := func(*Member) { acked = true }
	pinged := func(o, by *Member) {
		if o.life == life { // a later process of its name does not answer for it
			o.packet(by.Index, func(by *Member) {
				if by == m {
					acked = true
				} else {
					by.packet(m.Index, ack)
				}
			})
		}
	}
	m.packet(i, func(o *Member) { pinged(o, m) })
	m.f.Kernel.After(probeWithin, func() {
		m.process(gen, func() {
			if acked {
				return
			}
			for n := 0; n < indirect; n++ {
				if by, ok := m.pick([]int{i}); ok {
					m.packet(by, func(b *Member) { b.packet(i, func(o *Member) { pinged(o, b) }) })
				}
			}
		})
	})
	m.f.Kernel.After(probeEvery, func() {
		m.process(gen, func() {
			if v := &m.view[i]; !acked && v.state == fleet.Alive {
				m.learn(news{about: i, kind: isSuspect, life: v.member.Incarnation, inc: v.inc, from: m.Index})
			}
		})
	})
}

// learn takes a piece of news, and passes on what is new.
func (m *Member) learn(n news) {
	if n.about == m.Index {
		m.aboutSelf(n)
		return
	}
	v := &m.view[n.about]
	if n.kind == isAlive {
		if v.known && (n.life < v.member.Incarnation || n.life == v.member.Incarnation && n.inc <= v.inc) {
			return
		}
		m.f.Kernel.Stop(v.timer)
		changed := !v.known || v.state != fleet.Alive || v.member != n.member
		if !v.known || v.state != fleet.Alive {
			m.alive++
		}
		*v = peerView{known: true, inc: n.inc, at: m.f.Kernel.Now(), member: n.member}
		m.spread(n)
		if changed {
			m.tell(fleet.MemberAlive{Member: n.member})
		}
		return
	}
	if !v.known || n.life != v.member.Incarnation || n.inc < v.inc || v.state != fleet.Alive {
		return
	}
	if n.kind == isSuspect {
		if v.suspect {
			m.confirm(n.about, n.from)
			return
		}
		v.suspect, v.inc, v.began, v.agree = true, n.inc, m.f.Kernel.Now(), []int{n.from}
		m.suspect(n.about)
		m.spread(n)
		return
	}
	m.f.Kernel.Stop(v.timer)
	m.alive--
	v.state, v.suspect, v.inc, v.at = fleet.Lost, false, n.inc, m.f.Kernel.Now()
	if n.kind == hasLeft {
		v.state = fleet.Left
	}
	m.spread(n)
	m.tell(fleet.MemberGone{Name: v.member.Name, Incarnation: v.member.Incarnation, Left: n.kind == hasLeft})
}

// aboutSelf answers what is said of this member and is not so, and learns of a later process of its name.
func (m *Member) aboutSelf(n news) {
	switch {
	case n.kind == isAlive && n.life > m.life:
		m.tell(fleet.MemberAlive{Member: n.member})
	case n.kind != isAlive && n.life == m.life && n.inc >= m.inc:
		m.inc = n.inc + 1
		m.spread(news{about: m.Index, kind: isAlive, life: m.life, inc: m.inc, from: m.Index, member: m.self})
	}
}

// suspect sets the time at which a suspect is taken for dead.
func (m *Member) suspect(i int) {
	v := &m.view[i]
	least := time.Duration(suspicion*math.Max(1, math.Log10(math.Max(1, float64(m.alive+1))))*1000) * time.Millisecond
	most := suspicionMost * least
	part := math.Log(float64(len(v.agree))) / math.Log(confirms+1)
	at := v.began + max(least, most-time.Duration(part*float64(most-least)))
	m.f.Kernel.Stop(v.timer)
	gen, inc := m.gen, v.inc
	v.timer = m.f.Kernel.At(at, func() {
		m.process(gen, func() {
			if v := &m.view[i]; v.suspect && v.inc == inc {
				m.learn(news{about: i, kind: isDead, life: v.member.Incarnation, inc: v.inc, from: m.Index})
			}
		})
	})
}

// confirm takes that another suspects one too.
func (m *Member) confirm(i, from int) {
	v := &m.view[i]
	if len(v.agree) > confirms || slices.Contains(v.agree, from) {
		return
	}
	v.agree = append(v.agree, from)
	m.suspect(i)
	m.spread(news{about: i, kind: isSuspect, life: v.member.Incarnation, inc: v.inc, from: from})
}
