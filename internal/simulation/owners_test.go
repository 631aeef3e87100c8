package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sloepick/internal/election"
	"sloepick/internal/testbed/seeds"
)

// TestOwnersInVirtualTime plays 20 and 200 members, 2,000 with -large, with ten duties: owners are killed and come back fifty times under 5 % of
// loss. No two own a duty at a time, and each goes on elsewhere within the stated time.
func TestOwnersInVirtualTime(t *testing.T) {
	for _, n := range sizes(20, 200) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { playOwners(t, seed, n) })
		})
	}
}

func playOwners(t *testing.T, seed uint64, n int) {
	const duties, deaths = 10, 50
	k := NewKernel(seed, start)
	net := NewNetwork(k, 200*time.Microsecond, 2*time.Millisecond)
	net.LossRate = 0.05
	conf := election.DefaultConfig()
	for d := range duties {
		conf.Duties = append(conf.Duties, fmt.Sprint("duty", d))
	}
	o, err := NewElectionFleet(k, net, conf, n)
	if err != nil {
		t.Fatal(err)
	}
	who, numbers := map[string]*ElectionMember{}, map[string]uint64{}
	o.OnOwnerChange = func(m *ElectionMember, duty string, owns bool) {
		if !owns {
			if who[duty] == m {
				delete(who, duty)
			}
			return
		}
		if old := who[duty]; old != nil && old != m && old.Up {
			if _, ok := old.Table.MayAct(k.Now(), duty); ok {
				t.Errorf("%s is owned by two at %v", duty, k.Now())
			}
		}
		number, _ := m.Table.MayAct(k.Now(), duty)
		if number <= numbers[duty] {
			t.Errorf("%s is owned under %d after %d", duty, number, numbers[duty])
		}
		who[duty], numbers[duty] = m, number
	}
	k.RunUntil(start + 30*time.Second)
	if len(who) != duties {
		t.Fatalf("%d of %d duties are owned", len(who), duties)
	}
	sent := o.MessagesSent
	k.RunUntil(k.Now() + time.Minute)
	owners := map[*ElectionMember]bool{}
	for _, m := range who {
		owners[m] = true
	}
	t.Logf("%d members, %d duties by %d owners: %.1f messages a second of the whole fleet at rest", n, duties, len(owners), float64(o.MessagesSent-sent)/60)

	var without []time.Duration
	for i := range deaths {
		duty := conf.Duties[i%duties]
		victim := who[duty]
		if victim == nil {
			t.Fatalf("nobody owns %s", duty)
		}
		died, number := k.Now(), numbers[duty]
		o.Kill(victim)
		for numbers[duty] == number && k.Now()-died < time.Minute {
			k.RunUntil(k.Now() + 50*time.Millisecond)
		}
		without = append(without, k.Now()-died)
		if err := o.Start(victim); err != nil {
			t.Fatal(err)
		}
		k.RunUntil(k.Now() + 20*time.Second)
	}
	renew(t, o, duties, numbers)
	slices.Sort(without)
	t.Logf("without an owner after a death: %v in the middle, %v at worst", without[deaths/2], without[deaths-1])
	if len(owners) < 3 {
		t.Errorf("%d duties are done by %d members", duties, len(owners))
	}
	if most := 4 * conf.Lease; without[deaths-1] > most {
		t.Errorf("without an owner for %v after a death, want %v at most", without[deaths-1], most)
	}
}

// renew kills three voters one after the other, each when all knew that the one before was replaced, and then a majority of them at once:
// the duties are owned on or again, after the places were given up at the latest.
func renew(t *testing.T, o *ElectionFleet, duties int, numbers map[string]uint64) {
	t.Helper()
	watcher := o.Members[len(o.Members)-1]
	votes := func(m *ElectionMember) bool { return slices.Contains(watcher.Table.Electorate().Voters, m.Index) }
	owned := func() bool {
		n := 0
		for _, m := range o.Members {
			for d := range duties {
				if _, ok := m.Table.MayAct(o.Kernel.Now(), fmt.Sprint("duty", d)); ok && m.Up {
					n++
				}
			}
		}
		return n == duties
	}
	wait := func(what string, most time.Duration, done func() bool) time.Duration {
		t.Helper()
		for from := o.Kernel.Now(); ; o.Kernel.RunUntil(o.Kernel.Now() + 50*time.Millisecond) {
			if done() {
				return o.Kernel.Now() - from
			}
			if o.Kernel.Now()-from > most {
				t.Fatalf("not within %v: %s", most, what)
			}
		}
	}
	var took []time.Duration
	for range 3 {
		victim := o.Members[watcher.Table.Electorate().Voters[1]]
		sent := o.MessagesSent
		o.Kill(victim)
		took = append(took, wait("a voter is replaced", 2*time.Minute, func() bool { return !votes(victim) }))
		t.Logf("a voter died and was replaced %v later; %d messages of all members meanwhile", took[len(took)-1], o.MessagesSent-sent)
		o.Kernel.RunUntil(o.Kernel.Now() + 10*time.Second) // the new one abstains
	}
	wait("all is owned", time.Minute, owned)
	dead := o.Members[:0:0]
	for _, p := range watcher.Table.Electorate().Voters[:3] {
		dead = append(dead, o.Members[p])
		o.Kill(o.Members[p])
	}
	took = append(took, wait("others vote and all is owned", o.ReservationPeriod+2*time.Minute, func() bool {
		return owned() && !slices.ContainsFunc(dead, votes)
	}))
	t.Logf("three of five voters died at once: all is owned again %v later", took[len(took)-1])
}
