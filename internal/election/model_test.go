package election

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// This file is the model that the tests run: members, their clocks, a network, and faults.

const unit = time.Second // of real time, the model's time step

// testConfig returns the configuration of the model, in which clock rates differ by a fifth at most.
func testConfig() Config {
	return Config{InitialVoters: 3, Duties: []string{"d"}, Lease: 6 * unit, ClockDrift: 0.2, RenewInterval: 2 * unit, AnswerTimeout: 2 * unit, CandidateDelay: unit}
}

// clockRates are the rates of the members' clocks. The fastest and the slowest differ by less than the drift allows.
var clockRates = []float64{1.1, 0.92, 1, 1.05, 0.95}

// envelope is a message in flight.
type envelope struct {
	from, to int
	msg      Message
}

// model is the state of all members and of the network, with what was observed so far.
type model struct {
	cfg          Config
	now          time.Duration // in real time
	members      []*member
	network      []envelope
	budget       faultBudget // faults that may still occur
	lastNumber   uint64      // highest number of an ownership so far
	incarnations uint64
	fence        Fence
	violation    string            // the invariant that was violated; empty: none
	rateOffset   int               // rotates the assignment of clock rates to members
	step         time.Duration     // in real time
	noWallClock  bool              // wall clocks are not set: only the members' memory makes numbers rise
	electorates  map[uint64]string // voters by epoch
	partition    []int             // side of each member: messages between sides are held back for now; nil: no partition
}

// faultBudget is how often each fault may occur: crashes with and without memory, pauses, duplicated messages,
// deaths, and changes of what members think of each other.
type faultBudget [6]int

type member struct {
	table     *Table
	startedAt time.Duration // start in real time
	paused    bool
	dead      bool
	views     []view // of the other members
}

// view is what a member thinks of another one.
type view int

const (
	viewAlive view = iota
	viewDead
	viewVacant // the fleet no longer reserves its slot
)

const (
	crashes = iota
	amnesia
	pauses
	duplicates
	deaths
	viewChanges
)

func newModel(cfg Config, n, rateOffset int, b faultBudget) *model {
	w := &model{cfg: cfg, rateOffset: rateOffset, step: unit, budget: b, electorates: map[uint64]string{}}
	for i := range n {
		w.members = append(w.members, &member{views: make([]view, n)})
		w.start(i, nil, Electorate{})
	}
	return w
}

func memberName(i int) string { return fmt.Sprint("m", i) }

// clock returns a member's clock reading.
func (w *model) clock(i int) time.Duration {
	return time.Duration(float64(w.now-w.members[i].startedAt) * clockRates[(i+w.rateOffset)%len(w.members)])
}

func (w *model) start(i int, floor map[string]uint64, last Electorate) {
	cfg := w.cfg
	w.incarnations++
	cfg.Self, cfg.Incarnation = memberName(i), w.incarnations
	t, err := New(cfg, 0, floor, last)
	if err != nil {
		panic(err)
	}
	*w.members[i] = member{table: t, startedAt: w.now, views: make([]view, len(w.members))}
	w.updateFleet(i, i)
}

// updateFleet passes a member its slot and its view of the others.
func (w *model) updateFleet(i, slot int) {
	s := FleetUpdate{Slot: slot, SlotChanged: w.now > w.members[i].startedAt, ExpectedMembers: len(w.members)}
	for k, v := range w.members[i].views {
		h := Holder{Name: memberName(k), Alive: v == viewAlive}
		if v == viewVacant {
			h.Name = ""
		}
		s.Holders = append(s.Holders, h)
	}
	s.SlotChanged = s.SlotChanged && w.members[i].table.slot != slot
	w.deliver(i, s)
}

// viewMoves returns the changes that may occur in what members think of each other. Any member may seem dead and
// later be seen alive again, but only the slot of a dead or paused member becomes vacant.
func (w *model) viewMoves() (all []move) {
	for k, m := range w.members {
		if m.dead || m.paused {
			continue
		}
		addMove := func(i int, v view, what string) {
			all = append(all, move{fmt.Sprintf("%s %s %s", memberName(k), what, memberName(i)), func(w *model) {
				w.budget[viewChanges]--
				w.members[k].views = slices.Clone(w.members[k].views)
				w.members[k].views[i] = v
				w.updateFleet(k, k)
			}})
		}
		for i, v := range m.views {
			switch o := w.members[i]; {
			case i == k:
			case v == viewAlive:
				addMove(i, viewDead, "misses")
			case v == viewDead && (o.dead || o.paused):
				addMove(i, viewVacant, "frees the slot of")
			case !o.dead:
				addMove(i, viewAlive, "sees again")
			}
		}
	}
	return all
}

// deliver passes an event to a member and carries out its actions.
func (w *model) deliver(i int, e Event) {
	for _, a := range w.members[i].table.Handle(w.clock(i), e) {
		switch a := a.(type) {
		case Send:
			w.network = append(w.network, envelope{i, a.To, a.Message})
		case Acquired:
			if a.Number <= w.lastNumber {
				w.violation = fmt.Sprintf("%s owns the duty under %d, but %d was used before", memberName(i), a.Number, w.lastNumber)
			}
			w.lastNumber = max(w.lastNumber, a.Number)
			w.sendAction(i)
		case ElectorateChange:
			if old, voters := w.electorates[a.Epoch], fmt.Sprint(a.Voters); old == "" {
				w.electorates[a.Epoch] = voters
			} else if old != voters {
				w.violation = fmt.Sprintf("in epoch %d both %s and %s are voters", a.Epoch, old, voters)
			}
		}
	}
	w.checkSingleOwner()
}

// sendAction has an owner send an action to a receiver with a Fence.
func (w *model) sendAction(i int) {
	if n, ok := w.members[i].table.MayAct(w.clock(i), "d"); ok {
		if above, ok := w.fence.Admit("d", Ownership{n, w.members[i].table.Identity()}); !ok {
			w.violation = fmt.Sprintf("the owner %s under %d is rejected, with %v admitted before", memberName(i), n, above)
		}
	}
}

// checkSingleOwner checks that at most one member may act at this moment, paused members included.
func (w *model) checkSingleOwner() {
	var owners []string
	for i, m := range w.members {
		if n, ok := m.table.MayAct(w.clock(i), "d"); ok {
			owners = append(owners, fmt.Sprint(memberName(i), " under ", n))
		}
	}
	if len(owners) > 1 {
		w.violation = strings.Join(owners, " and ") + " own the duty at the same time"
	}
}

// advance lets a time step pass. Members that run get a tick.
func (w *model) advance() {
	w.now += w.step
	w.checkSingleOwner()
	for i, m := range w.members {
		if !m.paused && !m.dead {
			wall := uint64(w.now / time.Millisecond)
			if w.noWallClock {
				wall = 0
			}
			w.deliver(i, Tick{WallMillis: wall})
		}
	}
}

// move is a possible next step of the model.
type move struct {
	name string
	do   func(w *model)
}

// moves returns all possible next steps. Messages in flight may arrive in any order, late, twice or never.
func (w *model) moves() (all []move) {
	all = append(all, move{"time passes", (*model).advance})
	for k, f := range w.network {
		if w.members[f.to].paused || w.members[f.to].dead || w.partition != nil && w.partition[f.from] != w.partition[f.to] {
			continue
		}
		take := func(w *model) {
			f := w.network[k]
			w.network = slices.Delete(slices.Clone(w.network), k, k+1)
			w.deliver(f.to, Received{From: f.from, Message: f.msg})
		}
		moveName := fmt.Sprintf("%s gets %c %d of %s from %s", memberName(f.to), f.msg.Kind, f.msg.Number, f.msg.Owner, memberName(f.from))
		all = append(all, move{moveName, take})
		if w.budget[duplicates] > 0 {
			all = append(all, move{moveName + ", which stays in flight", func(w *model) {
				w.budget[duplicates]--
				f := w.network[k]
				w.deliver(f.to, Received{From: f.from, Message: f.msg})
			}})
		}
	}
	if w.budget[viewChanges] > 0 {
		all = append(all, w.viewMoves()...)
	}
	for i, m := range w.members {
		if m.dead && w.budget[crashes]+w.budget[amnesia] == 0 {
			continue
		}
		if w.budget[deaths] > 0 && !m.dead {
			all = append(all, move{memberName(i) + " dies", func(w *model) { w.budget[deaths]--; w.members[i].dead, w.members[i].paused = true, false }})
		}
		if m.paused {
			all = append(all, move{memberName(i) + " resumes", func(w *model) {
				w.members[i].paused = false
				w.updateFleet(i, -1) // the fleet withholds the slot of a resumed member until its next sync
				w.updateFleet(i, i)
			}})
		} else if m.dead {
		} else if w.budget[pauses] > 0 {
			all = append(all, move{memberName(i) + " is paused", func(w *model) { w.budget[pauses]--; w.members[i].paused = true }})
		}
		if w.budget[crashes] > 0 {
			all = append(all, move{memberName(i) + " restarts with its stored state", func(w *model) {
				w.budget[crashes]--
				w.start(i, w.members[i].table.HighestNumbers(), w.members[i].table.Electorate())
			}})
		}
		if w.budget[amnesia] > 0 {
			all = append(all, move{memberName(i) + " restarts without numbers", func(w *model) { w.budget[amnesia]--; w.start(i, nil, w.members[i].table.Electorate()) }})
		}
	}
	return all
}

func (w *model) clone() *model {
	c := *w
	c.electorates = maps.Clone(w.electorates)
	c.network = slices.Clone(w.network)
	c.fence.admitted, c.fence.Rejected = maps.Clone(w.fence.admitted), maps.Clone(w.fence.Rejected)
	c.members = nil
	for _, m := range w.members {
		n, t := *m, *m.table
		t.actions, t.grants, t.candidacies = nil, map[string]*grantState{}, map[string]*candidacy{}
		for d, v := range m.table.grants {
			x := *v
			t.grants[d] = &x
		}
		for d, b := range m.table.candidacies {
			x := *b
			x.roundGrants, x.grantedBy = slices.Clone(b.roundGrants), slices.Clone(b.grantedBy)
			t.candidacies[d] = &x
		}
		t.holders = slices.Clone(m.table.holders)
		t.register.occupied, t.register.readReplies, t.register.proposal.replies = maps.Clone(m.table.register.occupied), maps.Clone(m.table.register.readReplies), maps.Clone(m.table.register.proposal.replies)
		n.table = &t
		c.members = append(c.members, &n)
	}
	return &c
}

// key returns a key that distinguishes states. Rounds and the members that are alive follow from the rest.
func (w *model) key() string {
	b := binary.AppendVarint(nil, int64(w.now))
	put := func(vs ...int64) {
		for _, v := range vs {
			b = binary.AppendVarint(b, v)
		}
	}
	text := func(s string) { b = append(append(b, s...), 0) }
	for _, n := range w.budget {
		put(int64(n))
	}
	put(int64(w.lastNumber))
	for _, m := range w.members {
		put(int64(m.startedAt), int64(m.table.abstainUntil))
		if m.paused {
			put(1, int64(m.table.now))
		}
		v, x := m.table.grants["d"], m.table.candidacies["d"]
		put(int64(v.number), int64(v.ownerHash), int64(v.until), int64(x.number), int64(x.round), int64(x.requestedAt), int64(x.leaseEnd), int64(x.highestSeen), int64(x.rivalUntil), int64(x.nextRequest), int64(x.resignedUntil))
		text(v.holder)
		if x.awaiting {
			put(1)
		}
		if x.isOwner {
			put(2)
		}
		for _, list := range [][]int{x.roundGrants, x.grantedBy} {
			set := 0
			for _, p := range list {
				set |= 1 << p
			}
			put(int64(set))
		}
	}
	for _, m := range w.members {
		r := &m.table.register
		flags := 0
		for i, is := range []bool{m.dead, r.confirmed, r.proposal.accepting} {
			if is {
				flags |= 1 << i
			}
		}
		put(int64(flags), int64(r.Epoch), int64(r.Ballot), int64(r.promised), int64(r.proposal.ballot), int64(r.proposal.highestAccepted), int64(r.proposal.startedAt), int64(r.nextProposal), int64(r.acceptedAt))
		for _, set := range []map[int]bool{r.occupied, r.readReplies, r.proposal.replies} {
			bits := 0
			for p := range set {
				bits |= 1 << p
			}
			put(int64(bits))
		}
		for _, list := range [][]int{r.Voters, r.NextVoters, r.proposal.voters, r.proposal.vacantSlots} {
			bits := 0
			for _, p := range list {
				bits |= 1 << p
			}
			put(int64(bits))
		}
		for i, h := range m.table.holders {
			put(int64(m.views[i]), int64(h.deadSince), int64(h.vacantSince))
		}
	}
	var net []string
	for _, f := range w.network {
		m := &f.msg
		net = append(net, fmt.Sprint(f.from, f.to, m.Kind, m.Number, m.Owner, m.Round, m.LeaseLeft, m.Epoch, m.Ballot, m.Voters, m.NextVoters, m.VacantSlots))
	}
	slices.Sort(net)
	return string(b) + strings.Join(net, ";")
}

// node is a state with the path to it.
type node struct {
	model  *model
	parent *node
	move   string
	depth  int
}

func (n *node) trace() (out []string) {
	for ; n.parent != nil; n = n.parent {
		out = append(out, n.move)
	}
	slices.Reverse(out)
	return out
}

// explore visits the reachable states in breadth-first order, up to a limit. It returns the first state that violates
// an invariant, which has the shortest path, or nil; the number of states seen; and the depth reached.
func explore(start *model, limit int) (bad *node, states, depth int) {
	seen := map[string]bool{start.key(): true}
	queue := []*node{{model: start}}
	for len(queue) > 0 && len(seen) < limit {
		n := queue[0]
		queue = queue[1:]
		depth = n.depth
		for _, m := range n.model.moves() {
			next := n.model.clone()
			m.do(next)
			x := &node{model: next, parent: n, move: m.name, depth: n.depth + 1}
			if next.violation != "" {
				return x, len(seen), depth
			}
			if k := next.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, x)
			}
		}
	}
	return nil, len(seen), depth
}

// settledModel returns a model in which one member owns the duty, no messages are in flight, and some time has passed.
func settledModel(t *testing.T, n, turn int, b faultBudget, since int) *model {
	t.Helper()
	cfg := testConfig()
	cfg.InitialVoters = n
	w := newModel(cfg, n, turn, b)
	owned := func() bool {
		return slices.ContainsFunc(w.members, func(m *member) bool { return m.table.candidacies["d"].isOwner })
	}
	for range 40 {
		if owned() {
			break
		}
		w.advance()
		for k := 0; k < len(w.network); k++ {
			f := w.network[k]
			w.deliver(f.to, Received{From: f.from, Message: f.msg})
		}
		w.network = nil
	}
	if !owned() {
		t.Fatal("no owner without faults")
	}
	for range since {
		w.advance()
		w.network = nil // messages sent meanwhile are lost
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	return w
}
