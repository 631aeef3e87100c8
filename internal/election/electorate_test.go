package election

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// testFleet is members whose messages come at once, unless one of the two is down.
type testFleet struct {
	t           *testing.T
	now         time.Duration
	tables      []*Table
	down        map[int]bool
	holders     []Holder
	electorates map[uint64][]int // by epoch
}

func newTestFleet(t *testing.T, n int) *testFleet {
	c := &testFleet{t: t, now: time.Hour, down: map[int]bool{}, electorates: map[uint64][]int{}}
	for i := range n {
		c.holders = append(c.holders, Holder{Name: memberName(i), Alive: true})
	}
	for i := range n {
		c.tables = append(c.tables, c.start(i, Electorate{}))
	}
	for i := range n {
		c.updateFleet(i)
	}
	return c
}

func (c *testFleet) start(i int, last Electorate) *Table {
	cfg := testConfig()
	cfg.Self, cfg.Incarnation = memberName(i), uint64(c.now)
	table, err := New(cfg, c.now, nil, last)
	if err != nil {
		c.t.Fatal(err)
	}
	return table
}

func (c *testFleet) updateFleet(i int) {
	c.apply(i, c.tables[i].Handle(c.now, FleetUpdate{Slot: i, ExpectedMembers: len(c.tables), Holders: slices.Clone(c.holders)}))
}

// setHolder changes what all that are there know of a place.
func (c *testFleet) setHolder(i int, h Holder) {
	c.holders[i] = h
	for k := range c.tables {
		if !c.down[k] {
			c.updateFleet(k)
		}
	}
}

func (c *testFleet) apply(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if !c.down[a.To] && !c.down[i] {
				c.apply(a.To, c.tables[a.To].Handle(c.now, Received{i, a.Message}))
			}
		case ElectorateChange:
			if old := c.electorates[a.Epoch]; old != nil && !slices.Equal(old, a.Voters) {
				c.t.Errorf("in epoch %d vote %v and %v", a.Epoch, old, a.Voters)
			}
			c.electorates[a.Epoch] = a.Voters
		}
	}
}

// waitUntil lets time pass waitUntil something holds, and returns how long that took.
func (c *testFleet) waitUntil(what string, done func() bool) time.Duration {
	c.t.Helper()
	for from := c.now; ; {
		c.now += unit / 5
		for i := range c.tables {
			if !c.down[i] {
				c.apply(i, c.tables[i].Handle(c.now, Tick{WallMillis: uint64(c.now / time.Millisecond)}))
			}
		}
		if done() {
			return c.now - from
		}
		if c.now-from > 200*unit {
			c.t.Fatalf("not within %v: %s", c.now-from, what)
		}
	}
}

// hasOwner reports that one who is there owns.
func (c *testFleet) hasOwner() bool {
	return slices.ContainsFunc(c.tables, func(t *Table) bool {
		i := slices.Index(c.tables, t)
		_, ok := t.MayAct(c.now, "d")
		return ok && !c.down[i]
	})
}

func (c *testFleet) kill(who ...int) {
	for _, i := range who {
		c.down[i] = true
	}
	for _, i := range who {
		c.setHolder(i, Holder{Name: memberName(i)})
	}
}

// TestVotersFailInSequence: of seven members three vote; four die one after the other, the voters first, each as soon as the one before
// was replaced. The work goes on each time within what the note states.
func TestVotersFailInSequence(t *testing.T) {
	c := newTestFleet(t, 7)
	c.waitUntil("an owner", c.hasOwner)
	most := c.tables[0].cfg.Lease + 6*c.tables[0].cfg.CandidateDelay + c.tables[0].cfg.abstainPeriod() + 2*unit
	for range 3 {
		dead := c.tables[6].register.Voters[0]
		c.kill(dead)
		took := c.waitUntil("others vote", func() bool { return !slices.Contains(c.tables[6].register.Voters, dead) })
		took += c.waitUntil("an owner", func() bool {
			return c.hasOwner() && c.now >= c.tables[c.tables[6].register.Voters[0]].abstainUntil
		})
		t.Logf("m%d died: %v vote, and one owns, %v later", dead, c.tables[6].register.Voters, took)
		if took > most {
			t.Errorf("it took %v, want %v at most", took, most)
		}
	}
}

// TestTwoOfThreeVotersFailTogether: no one votes on in their place before the fleet has given up their places; then the work goes on. When the two
// come back with what they knew, they find that others vote.
func TestTwoOfThreeVotersFailTogether(t *testing.T) {
	c := newTestFleet(t, 5)
	c.waitUntil("an owner", c.hasOwner)
	c.kill(0, 2)
	for end := c.now + 60*unit; c.now < end; {
		c.waitUntil("time passes", func() bool { return true })
	}
	if c.tables[1].register.Epoch > 0 {
		t.Fatalf("%v vote without a majority of the former voters", c.tables[1].register.Voters)
	}
	c.setHolder(0, Holder{})
	c.setHolder(2, Holder{})
	took := c.waitUntil("an owner", func() bool { return c.hasOwner() && c.tables[1].register.Epoch == 2 })
	t.Logf("given up; the work goes on %v later, voters are %v", took, c.tables[1].register.Voters)
	if slices.Contains(c.tables[1].register.Voters, 0) || slices.Contains(c.tables[1].register.Voters, 2) {
		t.Errorf("%v vote", c.tables[1].register.Voters)
	}
	for _, i := range []int{0, 2} {
		c.down[i] = false
		c.tables[i] = c.start(i, c.tables[i].Electorate())
		c.setHolder(i, Holder{Name: memberName(i), Alive: true})
	}
	c.waitUntil("the two know who votes", func() bool { return c.tables[0].register.Epoch == 2 && c.tables[2].register.Epoch == 2 })
}

// TestElectorateChangeRules are the rules of a change that walks of the model meet too seldom, one message each. Member 3 is the one that is asked.
func TestElectorateChangeRules(t *testing.T) {
	accept := Message{Kind: Accept, Ballot: 5, NextVoters: []int{1, 3, 4}}
	kinds := func(c *testFleet, from int, m Message) (all []Kind) {
		for _, a := range c.tables[3].Handle(c.now, Received{from, m}) {
			if a, ok := a.(Send); ok {
				all = append(all, a.Message.Kind)
			}
		}
		return all
	}
	ready := func(t *testing.T) *testFleet {
		c := newTestFleet(t, 5)
		c.waitUntil("an owner", c.hasOwner)
		c.waitUntil("none abstains", func() bool { return c.now >= c.tables[3].abstainUntil })
		return c
	}
	t.Run("seats are not taken for vacant that have a holder here", func(t *testing.T) {
		c := ready(t)
		m := accept
		m.VacantSlots = []int{2}
		if got := kinds(c, 1, m); len(got) != 0 {
			t.Errorf("answered %c", got)
		}
		c.down[2] = true
		c.setHolder(2, Holder{})
		if got := kinds(c, 1, m); !slices.Equal(got, []Kind{Accepted}) {
			t.Errorf("vacant here too, and answered %c", got)
		}
	})
	t.Run("nor those that asked what holds, as they are back", func(t *testing.T) {
		c := ready(t)
		c.down[2] = true
		c.setHolder(2, Holder{})
		kinds(c, 2, Message{Kind: ReadElectorate, Round: 1})
		m := accept
		m.VacantSlots = []int{2}
		if got := kinds(c, 1, m); len(got) != 0 {
			t.Errorf("answered %c", got)
		}
	})
	t.Run("a voter that starts grants nothing before a majority has told who votes", func(t *testing.T) {
		c := ready(t)
		c.tables[1] = c.start(1, Electorate{})
		c.down = map[int]bool{0: true, 2: true, 3: true, 4: true}
		c.updateFleet(1)
		c.waitUntil("it abstains no more", func() bool { return c.now >= c.tables[1].abstainUntil })
		ask := Received{4, Message{Kind: Request, Duty: "d", Number: 1 << 40, Owner: "m4.1", Round: 9}}
		if got := c.tables[1].Handle(c.now, ask); len(got) != 0 {
			t.Errorf("alone it says %+v", got)
		}
		c.down = map[int]bool{0: true}
		c.waitUntil("it has read", func() bool { return c.tables[1].register.confirmed })
	})
	t.Run("a new voter knows the numbers of those before it", func(t *testing.T) {
		c := ready(t)
		e := Electorate{Epoch: 1, Voters: []int{1, 3, 4}, Granted: []GrantRecord{{Number: 77, OwnerHash: hashOwner("m1.1")}}}
		kinds(c, 1, Message{Kind: ElectorateState, Epoch: e.Epoch, Voters: e.Voters, Granted: e.Granted})
		c.tables[3].register.confirmed = true
		ask := Message{Kind: Request, Duty: "d", Number: 77, Owner: "m4.1", Round: 9, Epoch: 1}
		if got := kinds(c, 4, ask); len(got) != 0 {
			t.Errorf("a new voter does not abstain: it says %c", got)
		}
		c.now = c.tables[3].abstainUntil
		if got := kinds(c, 4, ask); !slices.Equal(got, []Kind{Deny}) {
			t.Errorf("another's number again: it says %c", got)
		}
		ask.Owner = "m1.1"
		if got := kinds(c, 1, ask); !slices.Equal(got, []Kind{Grant}) {
			t.Errorf("the owner's renewal: it says %c", got)
		}
	})
	t.Run("a voter of an epoch before the last abstains", func(t *testing.T) {
		c := ready(t)
		at := c.tables[1].abstainUntil
		c.tables[1].Handle(c.now, Received{3, Message{Kind: ElectorateState, Epoch: 2, Voters: []int{1, 3, 4}}})
		if c.tables[1].abstainUntil <= at {
			t.Error("it may have been no voter in between, and grants at once")
		}
	})
	t.Run("questions and grants of another epoch count for nothing", func(t *testing.T) {
		c := ready(t)
		kinds(c, 1, Message{Kind: ElectorateState, Epoch: 1, Voters: []int{1, 3, 4}})
		c.tables[3].register.confirmed = true
		c.now = c.tables[3].abstainUntil
		if got := kinds(c, 4, Message{Kind: Request, Duty: "d", Number: 1 << 40, Owner: "m4.1", Round: 9}); !slices.Equal(got, []Kind{ElectorateState}) {
			t.Errorf("asked by the former epoch it says %c", got)
		}
		if got := kinds(c, 4, Message{Kind: Request, Duty: "d", Number: 1 << 40, Owner: "m4.1", Round: 9, Epoch: 2}); !slices.Equal(got, []Kind{ReadElectorate}) {
			t.Errorf("asked by a later epoch it says %c", got)
		}
		b := c.tables[3].candidacies["d"]
		*b = candidacy{number: 9, round: 7, awaiting: true, requestedAt: c.now, epoch: 1, voters: []int{1, 3, 4}}
		for _, from := range b.voters {
			kinds(c, from, Message{Kind: Grant, Duty: "d", Number: 9, Round: 7})
		}
		if b.isOwner {
			t.Error("it owns by grants of the former epoch")
		}
	})
	t.Run("a proposal is given up in time", func(t *testing.T) {
		c := ready(t)
		c.tables[3].register.proposal = proposal{ballot: 5, startedAt: c.now, accepting: true, voters: accept.NextVoters, replies: map[int]bool{}}
		c.now += c.tables[3].cfg.Lease
		for from := range 5 {
			kinds(c, from, Message{Kind: Accepted, Number: 5})
		}
		if c.tables[3].register.Epoch != 0 {
			t.Error("voters were changed by answers of long ago: who gave them may have forgotten")
		}
	})
}

// TestMessageSize: the largest message on voters has room in 256 bytes, which is what the engine takes.
func TestMessageSize(t *testing.T) {
	m := Message{Kind: ElectorateState, Round: 1 << 30, Epoch: 1 << 20, Ballot: 1 << 40}
	for p := range 9 {
		m.Voters, m.NextVoters = append(m.Voters, 4087+p), append(m.NextVoters, 4087+p)
	}
	for range maxDuties {
		m.Granted = append(m.Granted, GrantRecord{Number: 1 << 41, OwnerHash: 1 << 31})
	}
	b, err := cbor.Marshal(m)
	if err != nil || len(b) > 256 {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	m = Message{Kind: Accept, Epoch: 1 << 20, Ballot: 1 << 40, NextVoters: m.NextVoters, VacantSlots: m.NextVoters}
	if b, err = cbor.Marshal(m); err != nil || len(b) > 256 {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}
