package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sloepick/internal/fleet"
)

// Parameters of the modelled membership engine: SWIM with suspicion and Lifeguard's suspicion time-outs. They follow what
// internal/gossip sets for memberlist v0.7.0, and the sizes of its packets and of the members' data.
const (
	probeInterval           = time.Second
	probeTimeout            = 500 * time.Millisecond
	indirectProbes          = 3 // members that are asked for an indirect probe
	gossipInterval          = 100 * time.Millisecond
	gossipNodes             = 3 // members a gossip round goes to
	updatesPerPacket        = 9 // updates that fit in a packet of 1,400 bytes
	retransmitMult          = 4 // transmissions of each update, times the logarithm of the fleet's size
	suspicionMult           = 4 // shortest suspicion time-out, in probe intervals times that logarithm
	suspicionMaxTimeoutMult = 6 // longest suspicion time-out, as a multiple of the shortest
	expectedConfirmations   = 2 // further members that must suspect a member for the shortest time-out
	syncInterval            = 15 * time.Second
	syncTimeout             = 2 * time.Second
	gossipToDeadTime        = 30 * time.Second // lost members are still gossiped to for so long, as they may be alive
	tickInterval            = 200 * time.Millisecond
)

// Fleet is a fleet of gateways. Each member has the program's own membership table on top of a model of the membership
// engine.
type Fleet struct {
	Kernel  *Kernel
	Net     *Network
	Config  fleet.Config // of all members; Self and LastClaim are set for each
	Members []*Member
	// OnAssignment is called when a member's assignment changes, and with a negative slot when its process ends.
	OnAssignment func(m *Member, a fleet.Assignment)
	// OnLog is called with the members' log messages; nil: they are dropped.
	OnLog func(m *Member, text string)

	PacketsSent     int    // by all members
	lastIncarnation uint64 // the last one given to a process
}

// NewFleet returns a fleet without members.
func NewFleet(k *Kernel, net *Network, conf fleet.Config) *Fleet {
	return &Fleet{Kernel: k, Net: net, Config: conf, OnAssignment: func(*Member, fleet.Assignment) {}}
}

// Member is a member of a Fleet and its process, if that is up.
type Member struct {
	Index      int
	Table      *fleet.Table
	Up         bool
	Paused     bool // the process runs nothing, as after SIGSTOP
	Superseded bool // it ended because a later process has its name

	fleet           *Fleet
	name            string
	incarnation     uint64
	rnd             *rand.Rand
	generation      int    // number of its process; timers and messages of an earlier one are ignored
	swimIncarnation uint32 // SWIM's counter, raised to refute a suspicion
	self            fleet.Member
	peers           []peerView
	aliveCount      int // members that peers shows as alive, suspects included
	updates         []update
	probeOrder      []int
	backlog         []func() // work that arrived while it was paused
	lastContactAt   time.Duration
	seeds           []int
	LastClaim       fleet.Claim // kept on its disk
}

// peerView is what a member's engine knows about another member.
type peerView struct {
	known           bool
	state           fleet.State
	suspected       bool
	swimIncarnation uint32
	changedAt       time.Duration // time of the last change of state
	member          fleet.Member
	suspicionTimer  *Timer
	suspectedBy     []int // members that are known to suspect it
	suspectedAt     time.Duration
}

// update is a gossiped change of a member's state.
type update struct {
	subject         int
	kind            updateKind
	incarnation     uint64 // of the subject's process; each process counts its own SWIM incarnations
	swimIncarnation uint32
	from            int
	member          fleet.Member // if kind is updateAlive
	transmits       int          // by the holder of this copy
}

type updateKind int

const (
	updateAlive updateKind = iota
	updateSuspect
	updateDead
	updateLeft
)

// AddMember adds a member that is not up.
func (f *Fleet) AddMember() *Member {
	m := &Member{Index: len(f.Members), fleet: f, LastClaim: fleet.NoClaim, name: fmt.Sprintf("n%04d", len(f.Members))}
	f.Members = append(f.Members, m)
	return m
}

// Start starts a member's process, which joins the fleet through seeds, the indexes of members.
func (m *Member) Start(seeds ...int) {
	f := m.fleet
	f.lastIncarnation++
	m.generation++
	m.Up, m.Paused, m.Superseded, m.incarnation, m.swimIncarnation = true, false, false, f.lastIncarnation, 1
	m.peers, m.aliveCount, m.updates, m.probeOrder, m.backlog = make([]peerView, len(f.Members)), 0, nil, nil, nil
	m.rnd = f.Kernel.RandomStream(fmt.Sprintf("member %d life %d", m.Index, m.generation))
	cfg := f.Config
	cfg.LastClaim = m.LastClaim
	cfg.Self = fleet.Member{Name: m.name, Incarnation: m.incarnation, Claim: fleet.NoClaim}
	m.self, m.seeds = cfg.Self, seeds
	t, err := fleet.New(cfg)
	if err != nil {
		panic(err) // the configuration comes from the test
	}
	m.Table = t
	generation := m.generation
	running := func() bool { return m.Up && m.generation == generation }
	randomDelay := func(d time.Duration) time.Duration { return time.Duration(m.rnd.Int64N(int64(d))) }
	m.handle(fleet.Tick{})
	f.Kernel.Every(randomDelay(tickInterval), tickInterval, func() bool { return m.runTimer(running, func() { m.handle(fleet.Tick{}) }) })
	f.Kernel.Every(randomDelay(gossipInterval), gossipInterval, func() bool { return m.runTimer(running, m.gossip) })
	f.Kernel.Every(randomDelay(probeInterval), probeInterval, func() bool { return m.runTimer(running, m.probe) })
	f.Kernel.Every(randomDelay(m.scaledSyncInterval()), m.scaledSyncInterval(), func() bool {
		return m.runTimer(running, func() {
			if to, ok := m.pickPeer(nil); ok {
				m.exchangeState(to, func(bool) {})
			}
		})
	})
}

// runTimer runs a periodic callback of a process and returns whether the process is still running. Timers that expire
// while the process is paused do nothing.
func (m *Member) runTimer(running func() bool, callback func()) bool {
	if running() && !m.Paused {
		callback()
	}
	return running()
}

// scaledSyncInterval returns the interval between exchanges of full state. As in memberlist, it grows with the size of the
// fleet.
func (m *Member) scaledSyncInterval() time.Duration {
	interval := syncInterval
	for n := len(m.fleet.Members); n > 32; n /= 2 {
		interval += syncInterval
	}
	return interval
}

// Kill ends a member's process without a message to the others.
func (m *Member) Kill() {
	m.Up = false
	m.fleet.OnAssignment(m, fleet.Assignment{Slot: -1})
}

// Leave announces that the member leaves, and ends its process.
func (m *Member) Leave() {
	m.handle(fleet.Leave{})
	m.queueUpdate(update{subject: m.Index, kind: updateLeft, incarnation: m.incarnation, swimIncarnation: m.swimIncarnation, from: m.Index})
	for range 3 { // memberlist waits until the leave message is sent
		m.gossip()
	}
	m.Kill()
}

// Pause suspends the process.
func (m *Member) Pause() { m.Paused = true }

// Resume continues the process, which first handles all that arrived while it was paused.
func (m *Member) Resume() {
	m.Paused = false
	backlog := m.backlog
	m.backlog = nil
	for _, callback := range backlog {
		callback()
	}
}

// handle passes an event to the table and carries out the actions that it returns.
func (m *Member) handle(e fleet.Event) {
	for _, a := range m.Table.Handle(m.fleet.Kernel.Now(), e) {
		switch a := a.(type) {
		case fleet.Announce:
			m.self = a.Self
			m.swimIncarnation++
			m.queueUpdate(update{subject: m.Index, kind: updateAlive, incarnation: m.incarnation, swimIncarnation: m.swimIncarnation, from: m.Index, member: a.Self})
		case fleet.Sync:
			m.sync(a.SkipSeeds)
		case fleet.AssignmentChange:
			if a.Slot >= 0 {
				m.LastClaim = fleet.Claim{Slot: a.Slot, Term: a.Term}
			}
			m.fleet.OnAssignment(m, a.Assignment)
		case fleet.Superseded:
			m.Superseded = true
			m.Kill()
		case fleet.LogMessage:
			if m.fleet.OnLog != nil {
				m.fleet.OnLog(m, a.Text)
			}
		}
	}
}

// syncPeerCount is the least number of members that a sync aims to exchange full state with.
const syncPeerCount = 3

// sync exchanges full state with the seeds, filled up to syncPeerCount with known members. With skipSeeds it uses known
// members alone if there are any.
func (m *Member) sync(skipSeeds bool) {
	to := slices.Clone(m.seeds)
	if p, ok := m.pickPeer(nil); skipSeeds && ok {
		to = []int{p}
	}
	for len(to) < syncPeerCount {
		p, ok := m.pickPeer(to)
		if !ok {
			break
		}
		to = append(to, p)
	}
	to = slices.DeleteFunc(to, func(i int) bool { return i == m.Index })
	pending, anyOK, generation := len(to), false, m.generation
	if pending == 0 {
		m.fleet.Kernel.After(0, func() { m.runOrQueue(generation, func() { m.handle(fleet.SyncDone{}) }) })
		return
	}
	for _, i := range to {
		m.exchangeState(i, func(answered bool) {
			pending--
			anyOK = anyOK || answered
			if pending == 0 {
				m.handle(fleet.SyncDone{OK: anyOK})
			}
		})
	}
}

// runOrQueue runs a callback of a process, or queues it while the process is paused. It does nothing if that process has
// ended.
func (m *Member) runOrQueue(generation int, callback func()) {
	switch {
	case !m.Up || m.generation != generation:
	case m.Paused:
		m.backlog = append(m.backlog, callback)
	default:
		callback()
	}
}

// fullState is what two members exchange in a sync.
type fullState struct {
	updates []update
	shared  fleet.SharedState
}

func (m *Member) fullState() fullState {
	s := fullState{updates: []update{{subject: m.Index, kind: updateAlive, incarnation: m.incarnation, swimIncarnation: m.swimIncarnation, member: m.self}}, shared: m.Table.SharedState()}
	for i := range m.peers {
		v := &m.peers[i]
		switch {
		case !v.known:
		case v.state == fleet.Alive && !v.suspected:
			s.updates = append(s.updates, update{subject: i, kind: updateAlive, incarnation: v.member.Incarnation, swimIncarnation: v.swimIncarnation, member: v.member})
		case v.state != fleet.Left: // memberlist merges dead members as suspects, so that they can refute it
			s.updates = append(s.updates, update{subject: i, kind: updateSuspect, incarnation: v.member.Incarnation, swimIncarnation: v.swimIncarnation, from: m.Index})
		}
	}
	return s
}

func (m *Member) mergeState(s fullState) {
	for _, u := range s.updates {
		m.applyUpdate(u)
	}
	m.handle(fleet.RemoteState{SharedState: s.shared})
}

// exchangeState exchanges full state with another member.
func (m *Member) exchangeState(to int, done func(ok bool)) {
	generation, local, peer := m.generation, m.fullState(), m.fleet.Members[to]
	m.fleet.Net.Call(m.Index, to, syncTimeout, func() func() {
		if !peer.Up || peer.Paused { // a paused process accepts the connection but doesn't answer
			return nil
		}
		remote := peer.fullState()
		peer.mergeState(local)
		return func() { m.runOrQueue(generation, func() { m.mergeState(remote); done(true) }) }
	}, func() { m.runOrQueue(generation, func() { done(false) }) })
}

// pickPeer picks a random member that is known to be alive and is not in exclude.
func (m *Member) pickPeer(exclude []int) (int, bool) {
	for range 3 * len(m.peers) {
		i := m.rnd.IntN(len(m.peers))
		if v := &m.peers[i]; i != m.Index && v.known && v.state == fleet.Alive && !slices.Contains(exclude, i) {
			return i, true
		}
	}
	return 0, false
}

// retransmitScale returns the factor by which the size of the fleet multiplies the transmissions of an update.
func retransmitScale(n int) float64 { return math.Ceil(math.Log10(float64(n + 1))) }

// queueUpdate queues an update for gossip in place of an earlier one about the same member. The updates with the fewest
// transmissions are at the end of the queue and are sent first.
func (m *Member) queueUpdate(u update) {
	m.updates = slices.DeleteFunc(m.updates, func(queued update) bool { return queued.subject == u.subject })
	m.updates = append(m.updates, u)
}

// sendPacket sends a payload with as many queued updates as fit. A nil payload sends the updates alone, if there are any.
func (m *Member) sendPacket(to int, payload func(peer *Member)) {
	n := min(len(m.updates), updatesPerPacket)
	if n == 0 && payload == nil {
		return
	}
	// The newest updates are at the end; those that were sent go back to the front.
	sent := slices.Clone(m.updates[len(m.updates)-n:])
	limit := retransmitMult * int(retransmitScale(m.aliveCount+1))
	requeued := make([]update, 0, n)
	for _, u := range sent {
		if u.transmits++; u.transmits < limit {
			requeued = append(requeued, u)
		}
	}
	m.updates = slices.Insert(m.updates[:len(m.updates)-n], 0, requeued...)
	m.fleet.PacketsSent++
	peer := m.fleet.Members[to]
	generation := peer.generation
	m.fleet.Net.SendPacket(m.Index, to, func() {
		peer.runOrQueue(generation, func() {
			peer.recordContact()
			for _, u := range sent {
				u.transmits = 0
				peer.applyUpdate(u)
			}
			if payload != nil {
				payload(peer)
			}
		})
	})
}

// recordContact passes a MemberContact to the table, at most once in half a tick.
func (m *Member) recordContact() {
	if now := m.fleet.Kernel.Now(); now-m.lastContactAt >= tickInterval/2 {
		m.lastContactAt = now
		m.handle(fleet.MemberContact{})
	}
}

// gossip sends queued updates to gossipNodes random members that are alive, or were lost within gossipToDeadTime.
func (m *Member) gossip() {
	if len(m.updates) == 0 {
		return
	}
	now := m.fleet.Kernel.Now()
	for n := 0; n < gossipNodes; n++ {
		for range 3 * len(m.peers) {
			i := m.rnd.IntN(len(m.peers))
			if v := &m.peers[i]; i != m.Index && v.known && (v.state == fleet.Alive || v.state == fleet.Lost && now-v.changedAt < gossipToDeadTime) {
				m.sendPacket(i, nil)
				break
			}
		}
	}
}

// probe checks the next member of the probe order: directly, then through indirectProbes other members. The member becomes
// a suspect if no acknowledgement arrives within probeInterval.
func (m *Member) probe() {
	if len(m.probeOrder) == 0 {
		for i := range m.peers {
			if i != m.Index && m.peers[i].known && m.peers[i].state == fleet.Alive {
				m.probeOrder = append(m.probeOrder, i)
			}
		}
		m.rnd.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	if len(m.probeOrder) == 0 {
		return
	}
	i := m.probeOrder[0]
	m.probeOrder = m.probeOrder[1:]
	if m.peers[i].state != fleet.Alive {
		return
	}
	acked, generation, incarnation := false, m.generation, m.peers[i].member.Incarnation
	ack := func(*Member) { acked = true }
	answerPing := func(target, prober *Member) {
		if target.incarnation == incarnation { // a later process with the same name doesn't answer for it
			target.sendPacket(prober.Index, func(prober *Member) {
				if prober == m {
					acked = true
				} else {
					prober.sendPacket(m.Index, ack)
				}
			})
		}
	}
	m.sendPacket(i, func(target *Member) { answerPing(target, m) })
	m.fleet.Kernel.After(probeTimeout, func() {
		m.runOrQueue(generation, func() {
			if acked {
				return
			}
			for n := 0; n < indirectProbes; n++ {
				if relay, ok := m.pickPeer([]int{i}); ok {
					m.sendPacket(relay, func(relay *Member) { relay.sendPacket(i, func(target *Member) { answerPing(target, relay) }) })
				}
			}
		})
	})
	m.fleet.Kernel.After(probeInterval, func() {
		m.runOrQueue(generation, func() {
			if v := &m.peers[i]; !acked && v.state == fleet.Alive {
				m.applyUpdate(update{subject: i, kind: updateSuspect, incarnation: v.member.Incarnation, swimIncarnation: v.swimIncarnation, from: m.Index})
			}
		})
	})
}

// applyUpdate applies an update and, if it is new, queues it for gossip.
func (m *Member) applyUpdate(u update) {
	if u.subject == m.Index {
		m.applyUpdateAboutSelf(u)
		return
	}
	v := &m.peers[u.subject]
	if u.kind == updateAlive {
		if v.known && (u.incarnation < v.member.Incarnation || u.incarnation == v.member.Incarnation && u.swimIncarnation <= v.swimIncarnation) {
			return
		}
		m.fleet.Kernel.Stop(v.suspicionTimer)
		changed := !v.known || v.state != fleet.Alive || v.member != u.member
		if !v.known || v.state != fleet.Alive {
			m.aliveCount++
		}
		*v = peerView{known: true, swimIncarnation: u.swimIncarnation, changedAt: m.fleet.Kernel.Now(), member: u.member}
		m.queueUpdate(u)
		if changed {
			m.handle(fleet.MemberAlive{Member: u.member})
		}
		return
	}
	if !v.known || u.incarnation != v.member.Incarnation || u.swimIncarnation < v.swimIncarnation || v.state != fleet.Alive {
		return
	}
	if u.kind == updateSuspect {
		if v.suspected {
			m.confirmSuspicion(u.subject, u.from)
			return
		}
		v.suspected, v.swimIncarnation, v.suspectedAt, v.suspectedBy = true, u.swimIncarnation, m.fleet.Kernel.Now(), []int{u.from}
		m.resetSuspicionTimer(u.subject)
		m.queueUpdate(u)
		return
	}
	m.fleet.Kernel.Stop(v.suspicionTimer)
	m.aliveCount--
	v.state, v.suspected, v.swimIncarnation, v.changedAt = fleet.Lost, false, u.swimIncarnation, m.fleet.Kernel.Now()
	if u.kind == updateLeft {
		v.state = fleet.Left
	}
	m.queueUpdate(u)
	m.handle(fleet.MemberGone{Name: v.member.Name, Incarnation: v.member.Incarnation, Left: u.kind == updateLeft})
}

// applyUpdateAboutSelf refutes a false update about this member, and passes a later process with the same name to the table.
func (m *Member) applyUpdateAboutSelf(u update) {
	switch {
	case u.kind == updateAlive && u.incarnation > m.incarnation:
		m.handle(fleet.MemberAlive{Member: u.member})
	case u.kind != updateAlive && u.incarnation == m.incarnation && u.swimIncarnation >= m.swimIncarnation:
		m.swimIncarnation = u.swimIncarnation + 1
		m.queueUpdate(update{subject: m.Index, kind: updateAlive, incarnation: m.incarnation, swimIncarnation: m.swimIncarnation, from: m.Index, member: m.self})
	}
}

// resetSuspicionTimer sets the time at which a suspect is declared dead. Each confirmation brings it nearer.
func (m *Member) resetSuspicionTimer(i int) {
	v := &m.peers[i]
	minTimeout := time.Duration(suspicionMult*math.Max(1, math.Log10(math.Max(1, float64(m.aliveCount+1))))*1000) * time.Millisecond
	maxTimeout := suspicionMaxTimeoutMult * minTimeout
	progress := math.Log(float64(len(v.suspectedBy))) / math.Log(expectedConfirmations+1)
	due := v.suspectedAt + max(minTimeout, maxTimeout-time.Duration(progress*float64(maxTimeout-minTimeout)))
	m.fleet.Kernel.Stop(v.suspicionTimer)
	generation, swimIncarnation := m.generation, v.swimIncarnation
	v.suspicionTimer = m.fleet.Kernel.At(due, func() {
		m.runOrQueue(generation, func() {
			if v := &m.peers[i]; v.suspected && v.swimIncarnation == swimIncarnation {
				m.applyUpdate(update{subject: i, kind: updateDead, incarnation: v.member.Incarnation, swimIncarnation: v.swimIncarnation, from: m.Index})
			}
		})
	})
}

// confirmSuspicion records that another member has the same suspicion.
func (m *Member) confirmSuspicion(i, from int) {
	v := &m.peers[i]
	if len(v.suspectedBy) > expectedConfirmations || slices.Contains(v.suspectedBy, from) {
		return
	}
	v.suspectedBy = append(v.suspectedBy, from)
	m.resetSuspicionTimer(i)
	m.queueUpdate(update{subject: i, kind: updateSuspect, incarnation: v.member.Incarnation, swimIncarnation: v.swimIncarnation, from: from})
}
