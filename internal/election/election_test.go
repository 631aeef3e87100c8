package election

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"sloepick/internal/testbed/seeds"
)

var (
	maxStates = flag.Int("states", 600, "states that the model checking looks at from each of its starts")
	walkSteps = flag.Int("walk", 60_000, "steps of each random walk")
)

// TestAllInterleavings looks at every order of messages that are lost, late, doubled and reversed, members that stand still, crash with and
// without memory, and clocks at both ends of their drift, from the start, from a settled ownership and from one whose lease is nearly over: no two
// own at once, numbers rise, an owner is never turned away.
func TestAllInterleavings(t *testing.T) {
	for _, n := range []int{3, 5} {
		for what, budget := range map[string]faultBudget{"lost and late": {}, "standing still": {pauses: 1}, "crashes": {crashes: 1}, "amnesia": {amnesia: 1}, "doubles": {duplicates: 1},
			"all of it": {1, 1, 1, 1, 1, 2}} {
			t.Run(fmt.Sprintf("%d members, %s", n, what), func(t *testing.T) {
				t.Parallel()
				starts := map[string]*model{"from the start": newModel(configWithVoters(n), n, 0, budget)}
				for _, since := range []int{0, 3, 5, 6} {
					for turn := range n {
						starts[fmt.Sprint("owned, ", since, " later, clocks ", turn)] = settledModel(t, n, turn, budget, since)
					}
				}
				total := 0
				for from, w := range starts {
					bad, states, depth := explore(w, *maxStates)
					total += states
					if bad != nil {
						t.Fatalf("%s: %s, after\n  %s", from, bad.model.violation, strings.Join(bad.trace(), "\n  "))
					}
					if depth < 2 {
						t.Errorf("%s: only to depth %d", from, depth)
					}
				}
				t.Logf("%d states", total)
			})
		}
	}
}

func configWithVoters(n int) Config {
	cfg := testConfig()
	cfg.InitialVoters = n
	return cfg
}

// TestRandomWalks goes on and on from the start, at random by a seed, with faults that do not run out: the invariants hold all along, and
// ownership goes from one to another.
func TestRandomWalks(t *testing.T) {
	if testing.Short() { // as under the race detector, where a walk takes ten times as long and has nobody to race with
		seeds.Run(t, []uint64{1, 2, 10, 11}, randomWalk)
		return
	}
	seeds.Run(t, []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}, randomWalk)
}

func randomWalk(t *testing.T, seed uint64) {
	rnd := seeds.Rand(seed)
	n, voters := 3+2*int(seed%2), 3+2*int(seed%2)
	if seed > 8 && seed%8 > 1 { // with spares for voters that are gone
		n, voters = 4+int(seed%2), 3
	}
	w := newModel(configWithVoters(voters), n, int(seed), faultBudget{})
	w.noWallClock = seed%4 < 2 // then nobody may forget: numbers rise by what voters remember
	maxInFlight := 4 * n       // messages on their way
	if voters < n {
		maxInFlight *= 3
	}
	owners := map[string]bool{}
	ownerships, last, pass, fault, doubt := 0, uint64(0), 0.0, 0.0, 0.0
	for step := range *walkSteps {
		if step%200 == 0 { // times in which messages are quick, and in which they are held for long; quiet ones, and others
			pass, fault = []float64{0.03, 0.1, 0.3}[rnd.IntN(3)], []float64{0, 0.02, 0.1}[rnd.IntN(3)]
			doubt, w.partition = []float64{0, 0.02, 0.2}[rnd.IntN(3)], nil
			if voters < n && rnd.IntN(2) == 0 { // and times in which the fleet is in two parts
				for range n {
					w.partition = append(w.partition, rnd.IntN(2))
				}
			}
		}
		w.budget = faultBudget{}
		if rnd.Float64() < fault {
			w.budget[rnd.IntN(len(w.budget))] = 1
		}
		if voters < n && rnd.Float64() < doubt {
			w.budget[viewChanges] = 1
		}
		if w.noWallClock {
			w.budget[amnesia] = 0
		}
		w.step = unit / time.Duration(1+rnd.IntN(4))
		all := w.moves()
		m := all[0]
		if len(all) > 1 && rnd.Float64() > pass {
			m = all[1+rnd.IntN(len(all)-1)]
		}
		if strings.HasSuffix(m.name, "goes on") && rnd.IntN(20) > 0 {
			m = all[0] // it stands still for long
		}
		if m.do(w); w.violation != "" {
			t.Fatalf("step %d, %s: %s", step, m.name, w.violation)
		}
		for len(w.network) > maxInFlight { // any are lost
			k := rnd.IntN(len(w.network))
			w.network = slices.Delete(w.network, k, k+1)
		}
		if w.lastNumber > last {
			last = w.lastNumber
			ownerships++
		}
		for i, m := range w.members {
			if m.table.candidacies["d"].isOwner {
				owners[memberName(i)] = true
			}
		}
	}
	t.Logf("%d members, clocks never set %v: %d ownerships in %v, by %d of them; %d changes of voters", n, w.noWallClock, ownerships, w.now, len(owners), len(w.electorates))
	least := 10
	if voters < n { // who dies may stay away for long
		least = 3
	}
	if ownerships < least || len(owners) < 2 {
		t.Errorf("%d ownerships in %v, by %d of %d members", ownerships, w.now, len(owners), n)
	}
}

// TestMaximumClockDrift: the owner's clock is as slow and the voters' as fast as may be, and the owner hears nobody from then on while the others
// ask again and again: another owns soon after, and never at the same time.
func TestMaximumClockDrift(t *testing.T) {
	for _, n := range []int{3, 5} {
		w := settledModel(t, n, 0, faultBudget{}, 0)
		first := slices.IndexFunc(w.members, func(m *member) bool { return m.table.candidacies["d"].isOwner })
		w.step = unit / 20
		slow, fast := 0.9, 0.9*(1+w.cfg.ClockDrift)
		firstOwner, clocks := w.members[first], []time.Duration{}
		for i := range w.members {
			clocks = append(clocks, w.clock(i))
		}
		began := w.now
		for next := false; !next; {
			if w.now += w.step; w.now-began > 4*w.cfg.Lease {
				t.Fatalf("%d members: nobody else owns after %v", n, w.now-began)
			}
			at := func(i int) time.Duration {
				rate := fast
				if i == first {
					rate = slow
				}
				return clocks[i] + time.Duration(float64(w.now-began)*rate)
			}
			for i, m := range w.members {
				if i == first {
					continue // what it says and hears is lost
				}
				queue := m.table.Handle(at(i), Tick{})
				for len(queue) > 0 {
					a := queue[0]
					queue = queue[1:]
					send, ok := a.(Send)
					next = next || !ok
					if ok && send.To != first {
						if send.Message.Kind == Grant || send.Message.Kind == Deny {
							queue = append(queue, w.members[i].table.Handle(at(i), Received{From: send.To, Message: send.Message})...)
							continue
						}
						for _, back := range w.members[send.To].table.Handle(at(send.To), Received{From: i, Message: send.Message}) {
							if b, ok := back.(Send); ok {
								queue = append(queue, Send{send.To, b.Message})
							}
						}
					}
				}
			}
			if _, ok := firstOwner.table.MayAct(at(first), "d"); ok && next {
				t.Fatalf("%d members: two own %v after the first was cut off", n, w.now-began)
			}
		}
		t.Logf("%d members: another owns %v after the first was cut off", n, w.now-began)
	}
}

// TestCandidateOrderSpreadsDuties: by the order of duties every member is the first for some; the death of one moves its own alone.
func TestCandidateOrderSpreadsDuties(t *testing.T) {
	var members []string
	for i := range 20 {
		members = append(members, memberName(i))
	}
	first := map[string]int{}
	for d := range 400 {
		duty := fmt.Sprint("duty", d)
		o := CandidateOrder(duty, members)
		first[o[0]]++
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == "m7" })
		if now := CandidateOrder(duty, rest); o[0] != "m7" && now[0] != o[0] || o[0] == "m7" && now[0] != o[1] {
			t.Errorf("%s: %s was first and is %s without m7", duty, o[0], now[0])
		}
	}
	least, most := math.MaxInt, 0
	for _, n := range first {
		least, most = min(least, n), max(most, n)
	}
	if len(first) != 20 || most > 3*400/20 || least < 400/20/4 {
		t.Errorf("%d members are first, for %d to %d of 400 duties", len(first), least, most)
	}
}

// TestLateAnswersAreIgnored: an owner's renewal is answered when it has asked again: the leases that voters gave began before the second
// question, so the answers don't count for it.
func TestLateAnswersAreIgnored(t *testing.T) {
	cfg := testConfig()
	cfg.Self = "m"
	table, err := New(cfg, 0, nil, Electorate{})
	if err != nil {
		t.Fatal(err)
	}
	table.Handle(0, FleetUpdate{Slot: 3, Holders: []Holder{{}, {}, {}, {"m", true}}}) // no voter itself
	answer := func(at time.Duration, asked []Action) {
		for _, a := range asked {
			if a, ok := a.(Send); ok && a.Message.Kind == Request {
				table.Handle(at, Received{From: a.To, Message: Message{Kind: Grant, Duty: "d", Number: a.Message.Number, Owner: a.Message.Owner, Round: a.Message.Round}})
			}
		}
	}
	answer(0, table.Handle(0, Tick{}))
	if _, ok := table.MayAct(0, "d"); !ok {
		t.Fatal("it does not own")
	}
	first := table.Handle(cfg.RenewInterval, Tick{})
	second := table.Handle(cfg.RenewInterval+cfg.AnswerTimeout, Tick{})
	if len(first) != cfg.InitialVoters || len(second) != cfg.InitialVoters {
		t.Fatalf("it asked %d and %d voters", len(first), len(second))
	}
	answer(cfg.RenewInterval+cfg.AnswerTimeout, first)
	if _, ok := table.MayAct(cfg.ownerLease(), "d"); ok {
		t.Error("it owns on by answers to a former question")
	}
	answer(cfg.RenewInterval+cfg.AnswerTimeout, second)
	if _, ok := table.MayAct(cfg.ownerLease(), "d"); !ok {
		t.Error("it does not own on by answers to the last question")
	}
}

// TestFence: an action is taken if none of a higher number, or of the same number by another, was; who is turned away is counted.
func TestFence(t *testing.T) {
	var f Fence
	for i, tc := range []struct {
		m        Ownership
		admitted bool
	}{{Ownership{5, "a"}, true}, {Ownership{5, "a"}, true}, {Ownership{5, "b"}, false}, {Ownership{4, "c"}, false}, {Ownership{9, "b"}, true}, {Ownership{5, "a"}, false}, {Ownership{9, "b"}, true}} {
		if _, ok := f.Admit("d", tc.m); ok != tc.admitted {
			t.Errorf("action %d of %v: taken %v", i, tc.m, ok)
		}
	}
	if _, ok := f.Admit("other", Ownership{1, "c"}); !ok || f.Rejected["a"] != 1 || f.Rejected["b"] != 1 || f.Rejected["c"] != 1 {
		t.Errorf("%v, turned away %v", ok, f.Rejected)
	}
}
