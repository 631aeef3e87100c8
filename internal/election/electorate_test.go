package election

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// testFleet is a set of members whose messages arrive at once, unless sender or receiver is down.
type testFleet struct {
	t           *testing.T
	now         time.Duration
	tables      []*Table
	down        map[int]bool
	holders     []Holder
	electorates map[uint64][]int // voters by epoch
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

// setHolder changes the holder of a slot in the view of all running members.
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
				c.t.Errorf("in epoch %d both %v and %v are voters", a.Epoch, old, a.Voters)
			}
			c.electorates[a.Epoch] = a.Voters
		}
	}
}

// waitUntil lets time pass until a condition holds, and returns how long that took.
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
			c.t.Fatalf("no success within %v: %s", c.now-from, what)
		}
	}
}

// hasOwner reports whether a running member owns the duty.
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

// TestVotersFailInSequence: of seven members three are voters. Three voters fail, each as soon as the one before was
// replaced. Each time the duty has an owner again within the time that docs/design/owner.md states.
func TestVotersFailInSequence(t *testing.T) {
	c := newTestFleet(t, 7)
	c.waitUntil("an owner", c.hasOwner)
	maxDelay := c.tables[0].cfg.Lease + 6*c.tables[0].cfg.CandidateDelay + c.tables[0].cfg.abstainPeriod() + 2*unit
	for range 3 {
		dead := c.tables[6].register.Voters[0]
		c.kill(dead)
		took := c.waitUntil("the failed voter is replaced", func() bool { return !slices.Contains(c.tables[6].register.Voters, dead) })
		took += c.waitUntil("an owner", func() bool {
			return c.hasOwner() && c.now >= c.tables[c.tables[6].register.Voters[0]].abstainUntil
		})
		t.Logf("m%d failed: voters are %v, and the duty has an owner, after %v", dead, c.tables[6].register.Voters, took)
		if took > maxDelay {
			t.Errorf("it took %v, want %v at most", took, maxDelay)
		}
	}
}

// TestTwoOfThreeVotersFailTogether: the voters are not replaced before the fleet has freed their slots; then the duty
// gets an owner again. When the two restart with their stored state, they learn of the new electorate.
func TestTwoOfThreeVotersFailTogether(t *testing.T) {
	c := newTestFleet(t, 5)
	c.waitUntil("an owner", c.hasOwner)
	c.kill(0, 2)
	for end := c.now + 60*unit; c.now < end; {
		c.waitUntil("time passes", func() bool { return true })
	}
	if c.tables[1].register.Epoch > 0 {
		t.Fatalf("voters are now %v, without a majority of the previous ones", c.tables[1].register.Voters)
	}
	c.setHolder(0, Holder{})
	c.setHolder(2, Holder{})
	took := c.waitUntil("an owner", func() bool { return c.hasOwner() && c.tables[1].register.Epoch == 2 })
	t.Logf("slots freed; the duty has an owner after %v, voters are %v", took, c.tables[1].register.Voters)
	if slices.Contains(c.tables[1].register.Voters, 0) || slices.Contains(c.tables[1].register.Voters, 2) {
		t.Errorf("voters are %v", c.tables[1].register.Voters)
	}
	for _, i := range []int{0, 2} {
		c.down[i] = false
		c.tables[i] = c.start(i, c.tables[i].Electorate())
		c.setHolder(i, Holder{Name: memberName(i), Alive: true})
	}
	c.waitUntil("the two know the new electorate", func() bool { return c.tables[0].register.Epoch == 2 && c.tables[2].register.Epoch == 2 })
}

// TestElectorateChangeRules checks rules that random walks of the model rarely reach, one message each. Member 3 is
// under test.
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
		c.waitUntil("the end of the abstention", func() bool { return c.now >= c.tables[3].abstainUntil })
		return c
	}
	t.Run("a slot with a holder is not confirmed as vacant", func(t *testing.T) {
		c := ready(t)
		m := accept
		m.VacantSlots = []int{2}
		if got := kinds(c, 1, m); len(got) != 0 {
			t.Errorf("answered %c", got)
		}
		c.down[2] = true
		c.setHolder(2, Holder{})
		if got := kinds(c, 1, m); !slices.Equal(got, []Kind{Accepted}) {
			t.Errorf("the slot is vacant, and it answered %c", got)
		}
	})
	t.Run("nor is the slot of a member that came back and read the electorate", func(t *testing.T) {
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
	t.Run("a restarted voter grants nothing before a majority has confirmed the electorate", func(t *testing.T) {
		c := ready(t)
		c.tables[1] = c.start(1, Electorate{})
		c.down = map[int]bool{0: true, 2: true, 3: true, 4: true}
		c.updateFleet(1)
		c.waitUntil("the end of the abstention", func() bool { return c.now >= c.tables[1].abstainUntil })
		ask := Received{4, Message{Kind: Request, Duty: "d", Number: 1 << 40, Owner: "m4.1", Round: 9}}
		if got := c.tables[1].Handle(c.now, ask); len(got) != 0 {
			t.Errorf("without confirmation it answered %+v", got)
		}
		c.down = map[int]bool{0: true}
		c.waitUntil("the electorate is confirmed", func() bool { return c.tables[1].register.confirmed })
	})
	t.Run("a new voter knows the numbers granted by earlier ones", func(t *testing.T) {
		c := ready(t)
		e := Electorate{Epoch: 1, Voters: []int{1, 3, 4}, Granted: []GrantRecord{{Number: 77, OwnerHash: hashOwner("m1.1")}}}
		kinds(c, 1, Message{Kind: ElectorateState, Epoch: e.Epoch, Voters: e.Voters, Granted: e.Granted})
		c.tables[3].register.confirmed = true
		ask := Message{Kind: Request, Duty: "d", Number: 77, Owner: "m4.1", Round: 9, Epoch: 1}
		if got := kinds(c, 4, ask); len(got) != 0 {
			t.Errorf("a new voter did not abstain: it answered %c", got)
		}
		c.now = c.tables[3].abstainUntil
		if got := kinds(c, 4, ask); !slices.Equal(got, []Kind{Deny}) {
			t.Errorf("on the number of another owner it answered %c", got)
		}
		ask.Owner = "m1.1"
		if got := kinds(c, 1, ask); !slices.Equal(got, []Kind{Grant}) {
			t.Errorf("on the owner's renewal it answered %c", got)
		}
	})
	t.Run("a voter that missed an epoch abstains", func(t *testing.T) {
		c := ready(t)
		at := c.tables[1].abstainUntil
		c.tables[1].Handle(c.now, Received{3, Message{Kind: ElectorateState, Epoch: 2, Voters: []int{1, 3, 4}}})
		if c.tables[1].abstainUntil <= at {
			t.Error("it may not have been a voter in between, but does not abstain")
		}
	})
	t.Run("requests and grants of another epoch have no effect", func(t *testing.T) {
		c := ready(t)
		kinds(c, 1, Message{Kind: ElectorateState, Epoch: 1, Voters: []int{1, 3, 4}})
		c.tables[3].register.confirmed = true
		c.now = c.tables[3].abstainUntil
		if got := kinds(c, 4, Message{Kind: Request, Duty: "d", Number: 1 << 40, Owner: "m4.1", Round: 9}); !slices.Equal(got, []Kind{ElectorateState}) {
			t.Errorf("on a request of an earlier epoch it answered %c", got)
		}
		if got := kinds(c, 4, Message{Kind: Request, Duty: "d", Number: 1 << 40, Owner: "m4.1", Round: 9, Epoch: 2}); !slices.Equal(got, []Kind{ReadElectorate}) {
			t.Errorf("on a request of a later epoch it answered %c", got)
		}
		b := c.tables[3].candidacies["d"]
		*b = candidacy{number: 9, round: 7, awaiting: true, requestedAt: c.now, epoch: 1, voters: []int{1, 3, 4}}
		for _, from := range b.voters {
			kinds(c, from, Message{Kind: Grant, Duty: "d", Number: 9, Round: 7})
		}
		if b.isOwner {
			t.Error("grants of an earlier epoch made it the owner")
		}
	})
	t.Run("a proposal expires", func(t *testing.T) {
		c := ready(t)
		c.tables[3].register.proposal = proposal{ballot: 5, startedAt: c.now, accepting: true, voters: accept.NextVoters, replies: map[int]bool{}}
		c.now += c.tables[3].cfg.Lease
		for from := range 5 {
			kinds(c, from, Message{Kind: Accepted, Number: 5})
		}
		if c.tables[3].register.Epoch != 0 {
			t.Error("late answers changed the electorate; the members that gave them may have restarted and forgotten them")
		}
	})
}

// TestMessageSize: the largest messages about the electorate fit into 256 bytes, the engine's limit.
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
