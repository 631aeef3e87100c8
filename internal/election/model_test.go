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

// This file is the model that the checks play: members, clocks, a network, and what may happen to them.

const unit = time.Second // of real time, by which it moves on

// small are the figures of the model: clocks differ by a fifth at most.
func small() Config {
	return Config{InitialVoters: 3, Duties: []string{"d"}, Lease: 6 * unit, ClockDrift: 0.2, RenewInterval: 2 * unit, AnswerTimeout: 2 * unit, CandidateDelay: unit}
}

// rates are how fast members' clocks run: the fastest and the slowest differ by less than the drift.
var rates = []float64{1.1, 0.92, 1, 1.05, 0.95}

// flight is a message on its way.
type flight struct {
	from, to int
	msg      Message
}

// model is members, what is on its way between them, and what was seen of them.
type model struct {
	cfg     Config
	now     time.Duration // real time
	members []*member
	net     []flight
	budget  budget // what is left of it
	last    uint64 // number of the last ownership
	lives   uint64
	fence   Fence
	bad     string            // a broken invariant
	turn    int               // by which the clocks are dealt out
	step    time.Duration     // of real time
	unset   bool              // nobody's wall clock was ever set: numbers rise by memory alone
	elected map[uint64]string // by epoch
	side    []int             // what is said from one side to another is held for now; nil: all is heard
}

// budget is how many faults there may be: crashes with and without memory, standstills, doubled messages, deaths, and changes of what
// members think of each other.
type budget [6]int

type member struct {
	t      *Table
	from   time.Duration // real time of its start
	frozen bool
	dead   bool
	views  []view // of the others
}

// view is what a member thinks of another's place.
type view int

const (
	there view = iota
	gone
	vacant // the fleet has given it up
)

const (
	crashes = iota
	amnesia
	standstills
	doubles
	deaths
	doubts
)

func newModel(cfg Config, n, turn int, b budget) *model {
	w := &model{cfg: cfg, turn: turn, step: unit, budget: b, elected: map[uint64]string{}}
	for i := range n {
		w.members = append(w.members, &member{views: make([]view, n)})
		w.start(i, nil, Electorate{})
	}
	return w
}

func name(i int) string { return fmt.Sprint("m", i) }

// clock is what a member's clock shows.
func (w *model) clock(i int) time.Duration {
	return time.Duration(float64(w.now-w.members[i].from) * rates[(i+w.turn)%len(w.members)])
}

func (w *model) start(i int, floor map[string]uint64, last Electorate) {
	cfg := w.cfg
	w.lives++
	cfg.Self, cfg.Incarnation = name(i), w.lives
	t, err := New(cfg, 0, floor, last)
	if err != nil {
		panic(err)
	}
	*w.members[i] = member{t: t, from: w.now, views: make([]view, len(w.members))}
	w.stand(i, i)
}

// stand tells a member how it stands.
func (w *model) stand(i, place int) {
	s := FleetUpdate{Slot: place, SlotChanged: w.now > w.members[i].from, ExpectedMembers: len(w.members)}
	for k, v := range w.members[i].views {
		h := Holder{Name: name(k), Alive: v == there}
		if v == vacant {
			h.Name = ""
		}
		s.Holders = append(s.Holders, h)
	}
	s.SlotChanged = s.SlotChanged && w.members[i].t.place != place
	w.tell(i, s)
}

// others are what may change in what members think of each other: anyone may seem gone, and be there after all; only who is dead or
// stands still is given up.
func (w *model) others() (all []move) {
	for k, m := range w.members {
		if m.dead || m.frozen {
			continue
		}
		see := func(i int, v view, what string) {
			all = append(all, move{fmt.Sprintf("%s %s %s", name(k), what, name(i)), func(w *model) {
				w.budget[doubts]--
				w.members[k].views = slices.Clone(w.members[k].views)
				w.members[k].views[i] = v
				w.stand(k, k)
			}})
		}
		for i, v := range m.views {
			switch o := w.members[i]; {
			case i == k:
			case v == there:
				see(i, gone, "misses")
			case v == gone && (o.dead || o.frozen):
				see(i, vacant, "gives up the place of")
			case !o.dead:
				see(i, there, "hears again of")
			}
		}
	}
	return all
}

// tell hands a member an event.
func (w *model) tell(i int, e Event) {
	for _, a := range w.members[i].t.Handle(w.clock(i), e) {
		switch a := a.(type) {
		case Send:
			w.net = append(w.net, flight{i, a.To, a.Message})
		case Acquired:
			if a.Number <= w.last {
				w.bad = fmt.Sprintf("%s owns under %d, and %d was used", name(i), a.Number, w.last)
			}
			w.last = max(w.last, a.Number)
			w.act(i)
		case ElectorateChange:
			if old, seats := w.elected[a.Epoch], fmt.Sprint(a.Voters); old == "" {
				w.elected[a.Epoch] = seats
			} else if old != seats {
				w.bad = fmt.Sprintf("in epoch %d vote %s and %s", a.Epoch, old, seats)
			}
		}
	}
	w.look()
}

// act has an owner send an action to a receiver, which keeps the highest number.
func (w *model) act(i int) {
	if n, ok := w.members[i].t.MayAct(w.clock(i), "d"); ok {
		if above, ok := w.fence.Admit("d", Ownership{n, w.members[i].t.Identity()}); !ok {
			w.bad = fmt.Sprintf("the owner %s under %d is turned away below %v", name(i), n, above)
		}
	}
}

// look holds that no two may act at this moment, whoever stands still.
func (w *model) look() {
	var who []string
	for i, m := range w.members {
		if n, ok := m.t.MayAct(w.clock(i), "d"); ok {
			who = append(who, fmt.Sprint(name(i), " under ", n))
		}
	}
	if len(who) > 1 {
		w.bad = strings.Join(who, " and ") + " own at once"
	}
}

// pass lets a unit of real time pass. Who does not stand still notices.
func (w *model) pass() {
	w.now += w.step
	w.look()
	for i, m := range w.members {
		if !m.frozen && !m.dead {
			wall := uint64(w.now / time.Millisecond)
			if w.unset {
				wall = 0
			}
			w.tell(i, Tick{WallMillis: wall})
		}
	}
}

// move is something that may happen next.
type move struct {
	name string
	do   func(w *model)
}

// moves are all that may happen in a state. What is on its way may come in any order, late, twice or never.
func (w *model) moves() (all []move) {
	all = append(all, move{"time passes", (*model).pass})
	for k, f := range w.net {
		if w.members[f.to].frozen || w.members[f.to].dead || w.side != nil && w.side[f.from] != w.side[f.to] {
			continue
		}
		take := func(w *model) {
			f := w.net[k]
			w.net = slices.Delete(slices.Clone(w.net), k, k+1)
			w.tell(f.to, Received{From: f.from, Message: f.msg})
		}
		what := fmt.Sprintf("%s hears %c %d of %s from %s", name(f.to), f.msg.Kind, f.msg.Number, f.msg.Owner, name(f.from))
		all = append(all, move{what, take})
		if w.budget[doubles] > 0 {
			all = append(all, move{what + ", and it will come again", func(w *model) {
				w.budget[doubles]--
				f := w.net[k]
				w.tell(f.to, Received{From: f.from, Message: f.msg})
			}})
		}
	}
	if w.budget[doubts] > 0 {
		all = append(all, w.others()...)
	}
	for i, m := range w.members {
		if m.dead && w.budget[crashes]+w.budget[amnesia] == 0 {
			continue
		}
		if w.budget[deaths] > 0 && !m.dead {
			all = append(all, move{name(i) + " dies", func(w *model) { w.budget[deaths]--; w.members[i].dead, w.members[i].frozen = true, false }})
		}
		if m.frozen {
			all = append(all, move{name(i) + " goes on", func(w *model) {
				w.members[i].frozen = false
				w.stand(i, -1) // by the fleet's rule it stands aside until it has heard how things are
				w.stand(i, i)
			}})
		} else if m.dead {
		} else if w.budget[standstills] > 0 {
			all = append(all, move{name(i) + " stands still", func(w *model) { w.budget[standstills]--; w.members[i].frozen = true }})
		}
		if w.budget[crashes] > 0 {
			all = append(all, move{name(i) + " starts anew with what it knew", func(w *model) {
				w.budget[crashes]--
				w.start(i, w.members[i].t.HighestNumbers(), w.members[i].t.Electorate())
			}})
		}
		if w.budget[amnesia] > 0 {
			all = append(all, move{name(i) + " starts anew and knows no number", func(w *model) { w.budget[amnesia]--; w.start(i, nil, w.members[i].t.Electorate()) }})
		}
	}
	return all
}

func (w *model) clone() *model {
	c := *w
	c.elected = maps.Clone(w.elected)
	c.net = slices.Clone(w.net)
	c.fence.taken, c.fence.Rejected = maps.Clone(w.fence.taken), maps.Clone(w.fence.Rejected)
	c.members = nil
	for _, m := range w.members {
		n, t := *m, *m.t
		t.out, t.votes, t.bids = nil, map[string]*vote{}, map[string]*bid{}
		for d, v := range m.t.votes {
			x := *v
			t.votes[d] = &x
		}
		for d, b := range m.t.bids {
			x := *b
			x.grants, x.granted = slices.Clone(b.grants), slices.Clone(b.granted)
			t.bids[d] = &x
		}
		t.holders = slices.Clone(m.t.holders)
		t.reg.taken, t.reg.from, t.reg.bid.answers = maps.Clone(m.t.reg.taken), maps.Clone(m.t.reg.from), maps.Clone(m.t.reg.bid.answers)
		n.t = &t
		c.members = append(c.members, &n)
	}
	return &c
}

// key tells states apart. Rounds and who is alive follow from the rest.
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
	put(int64(w.last))
	for _, m := range w.members {
		put(int64(m.from), int64(m.t.abstain))
		if m.frozen {
			put(1, int64(m.t.now))
		}
		v, x := m.t.votes["d"], m.t.bids["d"]
		put(int64(v.number), int64(v.by), int64(v.until), int64(x.number), int64(x.round), int64(x.asked), int64(x.until), int64(x.above), int64(x.rivalFor), int64(x.next), int64(x.yielded))
		text(v.holder)
		if x.asking {
			put(1)
		}
		if x.owns {
			put(2)
		}
		for _, list := range [][]int{x.grants, x.granted} {
			set := 0
			for _, p := range list {
				set |= 1 << p
			}
			put(int64(set))
		}
	}
	for _, m := range w.members {
		r := &m.t.reg
		flags := 0
		for i, is := range []bool{m.dead, r.read, r.bid.accepts} {
			if is {
				flags |= 1 << i
			}
		}
		put(int64(flags), int64(r.Epoch), int64(r.Ballot), int64(r.promised), int64(r.bid.ballot), int64(r.bid.best), int64(r.bid.began), int64(r.at), int64(r.since))
		for _, set := range []map[int]bool{r.taken, r.from, r.bid.answers} {
			bits := 0
			for p := range set {
				bits |= 1 << p
			}
			put(int64(bits))
		}
		for _, list := range [][]int{r.Voters, r.NextVoters, r.bid.seats, r.bid.vacant} {
			bits := 0
			for _, p := range list {
				bits |= 1 << p
			}
			put(int64(bits))
		}
		for i, h := range m.t.holders {
			put(int64(m.views[i]), int64(h.gone), int64(h.since))
		}
	}
	var net []string
	for _, f := range w.net {
		m := &f.msg
		net = append(net, fmt.Sprint(f.from, f.to, m.Kind, m.Number, m.Owner, m.Round, m.LeaseLeft, m.Epoch, m.Ballot, m.Voters, m.NextVoters, m.VacantSlots))
	}
	slices.Sort(net)
	return string(b) + strings.Join(net, ";")
}

// node is a state with the way to it.
type node struct {
	w    *model
	up   *node
	made string
	deep int
}

func (n *node) trace() (out []string) {
	for ; n.up != nil; n = n.up {
		out = append(out, n.made)
	}
	slices.Reverse(out)
	return out
}

// explore looks at all states that can be reached, the nearest first, up to so many. It returns the first that breaks an invariant, which
// has the shortest way, or nil, and how many it saw, all of them to which depth.
func explore(start *model, most int) (bad *node, states, depth int) {
	seen := map[string]bool{start.key(): true}
	queue := []*node{{w: start}}
	for len(queue) > 0 && len(seen) < most {
		n := queue[0]
		queue = queue[1:]
		depth = n.deep
		for _, m := range n.w.moves() {
			next := n.w.clone()
			m.do(next)
			x := &node{w: next, up: n, made: m.name, deep: n.deep + 1}
			if next.bad != "" {
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

// settled is a model in which one member owns, all that was on its way has come, and so much time has passed since.
func settled(t *testing.T, n, turn int, b budget, since int) *model {
	t.Helper()
	cfg := small()
	cfg.InitialVoters = n
	w := newModel(cfg, n, turn, b)
	owned := func() bool {
		return slices.ContainsFunc(w.members, func(m *member) bool { return m.t.bids["d"].owns })
	}
	for range 40 {
		if owned() {
			break
		}
		w.pass()
		for k := 0; k < len(w.net); k++ {
			f := w.net[k]
			w.tell(f.to, Received{From: f.from, Message: f.msg})
		}
		w.net = nil
	}
	if !owned() {
		t.Fatal("nobody owns in peace")
	}
	for range since {
		w.pass()
		w.net = nil // all that was said meanwhile is lost
	}
	if w.bad != "" {
		t.Fatal(w.bad)
	}
	return w
}
