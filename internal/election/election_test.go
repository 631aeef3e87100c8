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
	maxStates = flag.Int("states", 600, "number of states that the model checker explores from each start")
	walkSteps = flag.Int("walk", 60_000, "number of steps of each random walk")
)

// TestAllInterleavings checks the invariants in every order of events: messages that are lost, delayed, duplicated
// and reordered, members that are paused or crash with and without memory, and clocks at both ends of their drift. It
// starts from the initial state, and from ownerships of various ages. No two members own a duty at the same time,
// numbers rise, and no owner is ever rejected.
func TestAllInterleavings(t *testing.T) {
	for _, n := range []int{3, 5} {
		for what, budget := range map[string]faultBudget{"loss and delay": {}, "pauses": {pauses: 1}, "crashes": {crashes: 1}, "amnesia": {amnesia: 1}, "duplicates": {duplicates: 1},
			"all faults": {1, 1, 1, 1, 1, 2}} {
			t.Run(fmt.Sprintf("%d members, %s", n, what), func(t *testing.T) {
				t.Parallel()
				starts := map[string]*model{"initial state": newModel(configWithVoters(n), n, 0, budget)}
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
						t.Fatalf("%s: %s, trace:\n  %s", from, bad.model.violation, strings.Join(bad.trace(), "\n  "))
					}
					if depth < 2 {
						t.Errorf("%s: explored only to depth %d", from, depth)
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

// TestRandomWalks runs long seeded random walks with faults that do not run out: the invariants hold throughout, and
// the ownership passes between members.
func TestRandomWalks(t *testing.T) {
	if testing.Short() { // as with the race detector: there a walk takes ten times as long, and it has only one goroutine
		seeds.Run(t, []uint64{1, 2, 10, 11}, randomWalk)
		return
	}
	seeds.Run(t, []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}, randomWalk)
}

func randomWalk(t *testing.T, seed uint64) {
	rnd := seeds.Rand(seed)
	n, voters := 3+2*int(seed%2), 3+2*int(seed%2)
	if seed > 8 && seed%8 > 1 { // with spare members that can replace failed voters
		n, voters = 4+int(seed%2), 3
	}
	w := newModel(configWithVoters(voters), n, int(seed), faultBudget{})
	w.noWallClock = seed%4 < 2 // then no member may lose its memory, as only memory makes numbers rise
	maxInFlight := 4 * n       // limit on messages in flight
	if voters < n {
		maxInFlight *= 3
	}
	owners := map[string]bool{}
	ownerships, last, pass, fault, doubt := 0, uint64(0), 0.0, 0.0, 0.0
	for step := range *walkSteps {
		if step%200 == 0 { // periods with fast and slow delivery, and with few and many faults
			pass, fault = []float64{0.03, 0.1, 0.3}[rnd.IntN(3)], []float64{0, 0.02, 0.1}[rnd.IntN(3)]
			doubt, w.partition = []float64{0, 0.02, 0.2}[rnd.IntN(3)], nil
			if voters < n && rnd.IntN(2) == 0 { // and periods in which the fleet is partitioned
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
		if strings.HasSuffix(m.name, "resumes") && rnd.IntN(20) > 0 {
			m = all[0] // it stays paused for long
		}
		if m.do(w); w.violation != "" {
			t.Fatalf("step %d, %s: %s", step, m.name, w.violation)
		}
		for len(w.network) > maxInFlight { // random ones are lost
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
	t.Logf("%d members, no wall clock %v: %d ownerships in %v, by %d of them; %d changes of electorate", n, w.noWallClock, ownerships, w.now, len(owners), len(w.electorates))
	minOwnerships := 10
	if voters < n { // failed members may stay away for long
		minOwnerships = 3
	}
	if ownerships < minOwnerships || len(owners) < 2 {
		t.Errorf("only %d ownerships in %v, by %d of %d members", ownerships, w.now, len(owners), n)
	}
}

// TestMaximumClockDrift: the owner's clock is as slow and the voters' clocks are as fast as allowed, and the owner is
// cut off while the others keep requesting the duty. Another member soon owns it, and never at the same time as the
// first.
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
				t.Fatalf("%d members: no other owner after %v", n, w.now-began)
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
					continue // all its messages are lost
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
				t.Fatalf("%d members: two owners %v after the first was cut off", n, w.now-began)
			}
		}
		t.Logf("%d members: another member owns the duty %v after the first was cut off", n, w.now-began)
	}
}

// TestCandidateOrderSpreadsDuties: every member is first in the order of some duties, and the loss of one moves only
// its own.
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
			t.Errorf("%s: %s was first, but %s is without m7", duty, o[0], now[0])
		}
	}
	least, most := math.MaxInt, 0
	for _, n := range first {
		least, most = min(least, n), max(most, n)
	}
	if len(first) != 20 || most > 3*400/20 || least < 400/20/4 {
		t.Errorf("%d members are first, each for %d to %d of 400 duties", len(first), least, most)
	}
}

// TestLateAnswersAreIgnored guards against an owner that extends its lease by answers to an earlier renewal. The
// voters' leases for that renewal began before the latest request, from which the owner counts its lease.
func TestLateAnswersAreIgnored(t *testing.T) {
	cfg := testConfig()
	cfg.Self = "m"
	table, err := New(cfg, 0, nil, Electorate{})
	if err != nil {
		t.Fatal(err)
	}
	table.Handle(0, FleetUpdate{Slot: 3, Holders: []Holder{{}, {}, {}, {"m", true}}}) // not a voter itself
	answer := func(at time.Duration, asked []Action) {
		for _, a := range asked {
			if a, ok := a.(Send); ok && a.Message.Kind == Request {
				table.Handle(at, Received{From: a.To, Message: Message{Kind: Grant, Duty: "d", Number: a.Message.Number, Owner: a.Message.Owner, Round: a.Message.Round}})
			}
		}
	}
	answer(0, table.Handle(0, Tick{}))
	if _, ok := table.MayAct(0, "d"); !ok {
		t.Fatal("it does not own the duty")
	}
	first := table.Handle(cfg.RenewInterval, Tick{})
	second := table.Handle(cfg.RenewInterval+cfg.AnswerTimeout, Tick{})
	if len(first) != cfg.InitialVoters || len(second) != cfg.InitialVoters {
		t.Fatalf("%d and %d voters were asked", len(first), len(second))
	}
	answer(cfg.RenewInterval+cfg.AnswerTimeout, first)
	if _, ok := table.MayAct(cfg.ownerLease(), "d"); ok {
		t.Error("answers to an earlier request extended the lease")
	}
	answer(cfg.RenewInterval+cfg.AnswerTimeout, second)
	if _, ok := table.MayAct(cfg.ownerLease(), "d"); !ok {
		t.Error("answers to the latest request did not extend the lease")
	}
}

// TestFence: an action is admitted unless one with a higher number, or with the same number by another owner, was
// admitted before. Rejections are counted by sender.
func TestFence(t *testing.T) {
	var f Fence
	for i, tc := range []struct {
		m        Ownership
		admitted bool
	}{{Ownership{5, "a"}, true}, {Ownership{5, "a"}, true}, {Ownership{5, "b"}, false}, {Ownership{4, "c"}, false}, {Ownership{9, "b"}, true}, {Ownership{5, "a"}, false}, {Ownership{9, "b"}, true}} {
		if _, ok := f.Admit("d", tc.m); ok != tc.admitted {
			t.Errorf("action %d of %v: admitted %v", i, tc.m, ok)
		}
	}
	if _, ok := f.Admit("other", Ownership{1, "c"}); !ok || f.Rejected["a"] != 1 || f.Rejected["b"] != 1 || f.Rejected["c"] != 1 {
		t.Errorf("admitted %v, rejections %v", ok, f.Rejected)
	}
}
