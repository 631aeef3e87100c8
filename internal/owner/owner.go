// Package owner decides who does a piece of work on behalf of a fleet: one member at a time, under a number that only rises. It is
// pure: messages, the fleet's places and time come in as values, messages and ownerships come out. docs/design/owner.md states what
// holds, and under which assumptions.
//
// A few members, those in the lowest places, are voters. Each grants a duty to one member at a time, for a lease by its own clock; who
// has a majority of all voters owns it for a little less, counted from when it asked. So no two own it at a time, whatever is lost,
// late or doubled, as long as clocks run about alike and a voter that forgot what it granted abstains until it is over (PaxosLease,
// Trencseni and Gazso, 2012).
//
// Times are a [time.Duration] on the member's own monotonic clock.
package owner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Config is what a member goes by. All members have the same but for Self and Life.
type Config struct {
	Self   string // its name
	Life   uint64 // of its process: what a former one was granted is not this one's
	Duties []string
	Voters int // those in the places below this
	Lease  time.Duration
	Drift  float64       // by which clocks run faster or slower than another, as a share
	Renew  time.Duration // an owner asks again so often; well under Lease
	Answer time.Duration // a question is waited for so long
	Step   time.Duration // the next one in a duty's order proposes so much later
}

// Default are times for a local network.
func Default() Config {
	return Config{Voters: 5, Lease: 6 * time.Second, Drift: 0.1, Renew: 1500 * time.Millisecond, Answer: 500 * time.Millisecond, Step: time.Second}
}

// Validate reports the first value that can't be used.
func (c *Config) Validate() error {
	switch {
	case c.Self == "":
		return fmt.Errorf("owner: the member has no name")
	case c.Voters < 1:
		return fmt.Errorf("owner: %d voters, want 1 or more", c.Voters)
	case c.Drift < 0 || c.Drift >= 0.5:
		return fmt.Errorf("owner: clocks that differ by a share of %v", c.Drift)
	case c.Renew <= 0 || c.Answer <= 0 || c.Renew+c.Answer >= c.holds():
		return fmt.Errorf("owner: a lease of %v can't be renewed each %v with answers within %v", c.Lease, c.Renew, c.Answer)
	}
	return nil
}

// holds is for how long an owner has a lease, from when it asked.
func (c *Config) holds() time.Duration { return time.Duration(float64(c.Lease) * (1 - c.Drift)) }

// abstains is for how long a voter that may have forgotten what it granted grants nothing.
func (c *Config) abstains() time.Duration { return time.Duration(float64(c.Lease) * (1 + c.Drift)) }

// Kind is what a message is.
type Kind byte

// The kinds.
const (
	Ask   Kind = 'a' // for a lease, or for its renewal
	Grant Kind = 'g'
	Deny  Kind = 'd' // with what the voter knows
	Free  Kind = 'f' // lets go of what was granted
)

// Msg is what members say to each other.
type Msg struct {
	Kind   Kind
	Duty   string
	Number uint64        // of the ownership that is asked for; of a Deny: the highest that the voter granted
	Who    string        // that asks, by name and life; of a Deny: the holder, "" if there is none
	Round  uint64        // names the question, so that a late answer to a former one is told
	Left   time.Duration // of a Deny: of the holder's lease
}

// Event is what a Table is told.
type Event interface{ event() }

// The events.
type (
	// Heard is a message of the member in that place.
	Heard struct {
		From int
		Msg  Msg
	}
	// Tick tells that time has passed. Wall is what the wall clock shows, in milliseconds since 1970: a floor for numbers.
	Tick struct{ Wall uint64 }
	// Stand tells this member's place in the fleet (below 0: none) and the names of the members that are alive, itself among them.
	// Anew: the place is not the one that it had.
	Stand struct {
		Place int
		Anew  bool
		Alive []string
	}
	// Woke tells that the process stood still.
	Woke struct{}
	// Yield lets go of a duty, so that the next one takes it.
	Yield struct{ Duty string }
	// Above tells that a receiver turned this member away, as it has seen a number that is higher.
	Above struct {
		Duty   string
		Number uint64
	}
)

func (Heard) event() {}
func (Tick) event()  {}
func (Stand) event() {}
func (Woke) event()  {}
func (Yield) event() {}
func (Above) event() {}

// Action is what is to be done.
type Action interface{ action() }

// The actions.
type (
	// Tell is a message to the member in a place. One to its own place comes back as Heard.
	Tell struct {
		To  int
		Msg Msg
	}
	// Own tells that this member owns a duty under a number. For how long tells Table.May.
	Own struct {
		Duty   string
		Number uint64
	}
	// Lost tells that it owns it no more.
	Lost struct{ Duty string }
)

func (Tell) action() {}
func (Own) action()  {}
func (Lost) action() {}

// vote is what a voter knows of a duty.
type vote struct {
	number uint64 // the highest that it granted
	holder string // of the last lease; "": let go
	until  time.Duration
}

// bid is what a member knows of a duty as one that owns it or would.
type bid struct {
	number   uint64
	round    uint64 // of the last question
	asked    time.Duration
	asking   bool
	grants   []int // places that granted the last question
	granted  []int // those that granted the number at all
	until    time.Duration
	owns     bool
	above    uint64 // the highest number that was heard of
	rival    string // who has it, as a voter told ...
	rivalFor time.Duration
	next     time.Duration // no question before this
	yielded  time.Duration // it does not propose before this

	candidate bool          // it is among the first in the duty's order ...
	turn      time.Duration // ... and proposes so much later than the first
}

// Table is one member's view of all duties. Make it with New.
type Table struct {
	cfg     Config
	now     time.Duration
	who     string // name and life
	place   int
	alive   []string
	abstain time.Duration // it grants nothing before this
	votes   map[string]*vote
	bids    map[string]*bid
	rounds  uint64
	wall    uint64
	out     []Action
}

// New makes the table of a member without a place, that remembers nothing: it abstains as a voter until what it may have granted
// before is over. floor are the highest numbers that it knows of, such as by its disk; nil: none.
func New(cfg Config, now time.Duration, floor map[string]uint64) (*Table, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	t := &Table{cfg: cfg, now: now, who: fmt.Sprintf("%s.%d", cfg.Self, cfg.Life), place: -1, abstain: now + cfg.abstains(), votes: map[string]*vote{}, bids: map[string]*bid{}}
	for _, d := range cfg.Duties {
		t.votes[d], t.bids[d] = &vote{number: floor[d]}, &bid{above: floor[d]}
	}
	return t, nil
}

func (t *Table) do(a Action) { t.out = append(t.out, a) }

// Handle takes an event at a time and returns what is to be done, in order.
func (t *Table) Handle(now time.Duration, e Event) []Action {
	t.out = nil
	t.now = max(t.now, now)
	switch e := e.(type) {
	case Heard:
		t.heard(e.From, e.Msg)
	case Tick:
		t.wall = e.Wall
		t.tick()
	case Stand:
		t.stand(e)
	case Woke:
		for _, d := range t.cfg.Duties { // its leases may be over, and its questions are
			b := t.bids[d]
			b.asking = false
			t.end(d, b)
		}
	case Yield:
		if b := t.bids[e.Duty]; b != nil {
			t.yield(e.Duty, b)
		}
	case Above:
		if b := t.bids[e.Duty]; b != nil {
			b.above = max(b.above, e.Number)
			t.yield(e.Duty, b)
			b.yielded = 0 // it may try again at once, above that
		}
	}
	return t.out
}

// May reports whether this member may act for a duty at a time on its clock, and under which number. It is to be asked before and
// after each step that can't be taken back: after it, no means that the outcome is unknown.
func (t *Table) May(now time.Duration, duty string) (number uint64, ok bool) {
	b := t.bids[duty]
	if b == nil || !b.owns || now >= b.until {
		return 0, false
	}
	return b.number, true
}

// Row is what this member knows of a duty.
type Row struct {
	Duty   string
	Owner  string        // by name and life; "": not known
	Number uint64        // the highest that it knows of
	Left   time.Duration // of the owner's lease, as far as is known here
}

// Rows are all duties, in the order of the configuration.
func (t *Table) Rows(now time.Duration) (all []Row) {
	floor := t.Floor()
	for _, d := range t.cfg.Duties {
		r, b, v := Row{Duty: d, Number: floor[d]}, t.bids[d], t.votes[d]
		switch {
		case b.owns && now < b.until:
			r.Owner, r.Number, r.Left = t.who, b.number, b.until-now
		case v.holder != "" && v.holder != t.who && now < v.until:
			r.Owner, r.Left = v.holder, v.until-now
		case now < b.rivalFor:
			r.Owner, r.Left = b.rival, b.rivalFor-now
		}
		all = append(all, r)
	}
	return all
}

// Until is the end of this member's lease on a duty, by its clock, and the number; 0: it has none.
func (t *Table) Until(duty string) (until time.Duration, number uint64) {
	if b := t.bids[duty]; b != nil && b.owns {
		return b.until, b.number
	}
	return 0, 0
}

// Who is this member as others are told: its name and its life.
func (t *Table) Who() string { return t.who }

// Floor are the highest numbers that this member knows of: what a disk may keep.
func (t *Table) Floor() map[string]uint64 {
	all := map[string]uint64{}
	for d, v := range t.votes {
		all[d] = max(v.number, t.bids[d].above, t.bids[d].number)
	}
	return all
}

// ---- As a voter.

// votes reports that it votes, and remembers what it granted.
func (t *Table) mayVote() bool {
	return t.place >= 0 && t.place < t.cfg.Voters && t.now >= t.abstain
}

// ask answers a question. It is granted if the number is above all that were granted, and the lease of the last one is over or the
// asker's own; and renewed to its holder.
func (t *Table) ask(from int, m Msg) {
	v := t.votes[m.Duty]
	if v == nil || !t.mayVote() {
		return
	}
	held := v.holder != "" && t.now < v.until
	renews := v.holder == m.Who && v.number == m.Number
	if !renews && (m.Number <= v.number || held && v.holder != m.Who) {
		d := Msg{Kind: Deny, Duty: m.Duty, Number: v.number, Round: m.Round}
		if held {
			d.Who, d.Left = v.holder, v.until-t.now
		}
		t.do(Tell{from, d})
		return
	}
	v.number, v.holder, v.until = m.Number, m.Who, t.now+t.cfg.Lease
	t.do(Tell{from, Msg{Kind: Grant, Duty: m.Duty, Number: m.Number, Who: m.Who, Round: m.Round}})
}

// free lets go of a lease, if it is that one: a late word must not end a later ownership.
func (t *Table) free(m Msg) {
	if v := t.votes[m.Duty]; v != nil && v.holder == m.Who && v.number == m.Number {
		v.holder = ""
	}
}

// ---- As a member that owns, or would.

func (t *Table) heard(from int, m Msg) {
	switch m.Kind {
	case Ask:
		t.ask(from, m)
		return
	case Free:
		t.free(m)
		return
	}
	b := t.bids[m.Duty]
	if b == nil || from < 0 || from >= t.cfg.Voters || m.Round != b.round || !b.asking {
		return
	}
	if m.Kind == Deny {
		b.above = max(b.above, m.Number)
		if m.Who != "" && m.Who != t.who {
			b.rival, b.rivalFor = m.Who, t.now+m.Left
		}
		return
	}
	if m.Number != b.number || slices.Contains(b.grants, from) {
		return
	}
	b.grants = append(b.grants, from)
	if !slices.Contains(b.granted, from) {
		b.granted = append(b.granted, from)
	}
	if 2*len(b.grants) <= t.cfg.Voters {
		return
	}
	// It counts from when it asked: a voter's lease began later.
	if until := b.asked + t.cfg.holds(); until > t.now {
		b.until, b.asking, b.next = until, false, b.asked+t.cfg.Renew
		if !b.owns {
			b.owns = true
			t.do(Own{m.Duty, b.number})
		}
	}
}

func (t *Table) tick() {
	for _, d := range t.cfg.Duties {
		b := t.bids[d]
		if b.owns && t.now >= b.until {
			t.end(d, b)
		}
		if b.asking && t.now >= b.asked+t.cfg.Answer {
			b.asking = false
			if !b.owns {
				t.letGo(d, b) // it fell short
				b.next = t.now + t.cfg.Answer + b.turn
			}
		}
		switch {
		case t.place < 0 || b.asking || t.now < b.next:
		case b.owns:
			t.question(d, b)
		case b.candidate && t.now >= b.yielded && t.now >= b.rivalFor+b.turn:
			b.number, b.granted = max(b.above+1, b.number+1, t.wall), nil
			t.question(d, b)
		}
	}
}

// question asks all voters.
func (t *Table) question(d string, b *bid) {
	t.rounds++
	b.round, b.asked, b.asking, b.grants = t.rounds, t.now, true, nil
	for p := range t.cfg.Voters {
		t.do(Tell{p, Msg{Kind: Ask, Duty: d, Number: b.number, Who: t.who, Round: b.round}})
	}
}

// letGo has those that granted the number grant another one at once.
func (t *Table) letGo(d string, b *bid) {
	for _, p := range b.granted {
		t.do(Tell{p, Msg{Kind: Free, Duty: d, Number: b.number, Who: t.who}})
	}
	b.granted = nil
}

// end ends an ownership. Answers to its renewal that come later count no more: the next one has a number of its own.
func (t *Table) end(d string, b *bid) {
	if b.owns {
		b.owns, b.asking, b.until = false, false, 0
		t.do(Lost{d})
	}
}

// yield ends an ownership before its time. It may not be taken up here for a lease.
func (t *Table) yield(d string, b *bid) {
	b.asking = false
	t.end(d, b)
	t.letGo(d, b)
	b.yielded = t.now + t.cfg.Lease
}

func (t *Table) stand(e Stand) {
	if e.Place != t.place && (e.Anew || t.place >= 0) { // a voter's place may have been another's, who granted
		t.abstain = max(t.abstain, t.now+t.cfg.abstains())
		for _, v := range t.votes {
			v.holder, v.until = "", 0
		}
	}
	if alive := slices.Sorted(slices.Values(e.Alive)); !slices.Equal(alive, t.alive) {
		t.alive = alive
		t.order()
	}
	t.place = e.Place
	if t.place < 0 {
		for _, d := range t.cfg.Duties {
			b := t.bids[d]
			b.asking = false
			t.end(d, b)
		}
	}
}

// order finds who proposes itself for which duty, and how much later than the first: a few of each duty's order, as the others would only ask
// in vain. When these are gone the members that are alive are others.
func (t *Table) order() {
	for _, d := range t.cfg.Duties {
		n := slices.Index(Order(d, t.alive), t.cfg.Self)
		t.bids[d].candidate, t.bids[d].turn = n >= 0 && n < candidates, t.cfg.Step*time.Duration(n)
	}
}

const candidates = 3 // of a duty

// Order is in which order members propose themselves for a duty: by rendezvous hashing, so that duties are spread over all and the death of a
// member moves its own alone.
func Order(duty string, members []string) []string {
	score := map[string]uint64{}
	for _, m := range members {
		h := fnv.New64a()
		h.Write([]byte(duty + "\x00" + m))
		score[m] = h.Sum64()
	}
	return slices.SortedFunc(maps.Keys(score), func(a, b string) int { return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(a, b)) })
}

// Fence is what a receiver keeps of each duty: the highest number that it took, and whose. The zero value has taken none.
type Fence struct {
	taken  map[string]Mark
	Turned map[string]uint64 // actions that were turned away, by who sent them
}

// Mark is an ownership.
type Mark struct {
	Number uint64
	Who    string
}

// Take reports whether an action of an owner may be carried out: none of a higher number was. If not, it tells what stands above.
func (f *Fence) Take(duty string, m Mark) (above Mark, ok bool) {
	if f.taken == nil {
		f.taken, f.Turned = map[string]Mark{}, map[string]uint64{}
	}
	if old := f.taken[duty]; m.Number < old.Number || m.Number == old.Number && old.Who != "" && m.Who != old.Who {
		if _, known := f.Turned[m.Who]; known || len(f.Turned) < turnedMost {
			f.Turned[m.Who]++
		}
		return old, false
	}
	f.taken[duty] = m
	return m, true
}

const turnedMost = 4096 // members that are counted by name
