package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sloepick/internal/election"
	"sloepick/internal/testbed/seeds"
)

// TestElectionFailover simulates 20 and 200 members, 2,000 with -large, with ten duties and 5 % packet loss. Owners are
// killed and restarted fifty times. No duty may have two owners at once, and each must have a new owner within four leases.
func TestElectionFailover(t *testing.T) {
	for _, n := range fleetSizes(20, 200) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { testElectionFailover(t, seed, n) })
		})
	}
}

func testElectionFailover(t *testing.T, seed uint64, n int) {
	const duties, kills = 10, 50
	k := NewKernel(seed, startTime)
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
	ownerOf, fencing := map[string]*ElectionMember{}, map[string]uint64{}
	o.OnOwnerChange = func(m *ElectionMember, duty string, owns bool) {
		if !owns {
			if ownerOf[duty] == m {
				delete(ownerOf, duty)
			}
			return
		}
		if previous := ownerOf[duty]; previous != nil && previous != m && previous.Up {
			if _, ok := previous.Table.MayAct(k.Now(), duty); ok {
				t.Errorf("%s has two owners at %v", duty, k.Now())
			}
		}
		number, _ := m.Table.MayAct(k.Now(), duty)
		if number <= fencing[duty] {
			t.Errorf("%s was acquired with number %d after number %d", duty, number, fencing[duty])
		}
		ownerOf[duty], fencing[duty] = m, number
	}
	k.RunUntil(startTime + 30*time.Second)
	if len(ownerOf) != duties {
		t.Fatalf("%d of %d duties have an owner", len(ownerOf), duties)
	}
	sentBefore := o.MessagesSent
	k.RunUntil(k.Now() + time.Minute)
	distinctOwners := map[*ElectionMember]bool{}
	for _, m := range ownerOf {
		distinctOwners[m] = true
	}
	t.Logf("%d members, %d duties of %d owners: %.1f messages per second in the whole fleet when idle", n, duties, len(distinctOwners), float64(o.MessagesSent-sentBefore)/60)

	var ownerless []time.Duration
	for i := range kills {
		duty := conf.Duties[i%duties]
		owner := ownerOf[duty]
		if owner == nil {
			t.Fatalf("%s has no owner", duty)
		}
		killedAt, number := k.Now(), fencing[duty]
		o.Kill(owner)
		for fencing[duty] == number && k.Now()-killedAt < time.Minute {
			k.RunUntil(k.Now() + 50*time.Millisecond)
		}
		ownerless = append(ownerless, k.Now()-killedAt)
		if err := o.Start(owner); err != nil {
			t.Fatal(err)
		}
		k.RunUntil(k.Now() + 20*time.Second)
	}
	testVoterReplacement(t, o, duties, fencing)
	slices.Sort(ownerless)
	t.Logf("time without an owner after a kill: median %v, maximum %v", ownerless[kills/2], ownerless[kills-1])
	if len(distinctOwners) < 3 {
		t.Errorf("%d duties are spread over %d members, want 3 at least", duties, len(distinctOwners))
	}
	if limit := 4 * conf.Lease; ownerless[kills-1] > limit {
		t.Errorf("a duty had no owner for %v after a kill, want %v at most", ownerless[kills-1], limit)
	}
}

// testVoterReplacement kills three voters, each after the one before was replaced, and then a majority of the voters at
// once. All duties must keep an owner or get one again, at the latest after the slots of the killed members were released.
func testVoterReplacement(t *testing.T, o *ElectionFleet, duties int, fencing map[string]uint64) {
	t.Helper()
	observer := o.Members[len(o.Members)-1]
	isVoter := func(m *ElectionMember) bool { return slices.Contains(observer.Table.Electorate().Voters, m.Index) }
	allOwned := func() bool {
		owned := 0
		for _, m := range o.Members {
			for d := range duties {
				if _, ok := m.Table.MayAct(o.Kernel.Now(), fmt.Sprint("duty", d)); ok && m.Up {
					owned++
				}
			}
		}
		return owned == duties
	}
	waitFor := func(description string, timeout time.Duration, condition func() bool) time.Duration {
		t.Helper()
		for began := o.Kernel.Now(); ; o.Kernel.RunUntil(o.Kernel.Now() + 50*time.Millisecond) {
			if condition() {
				return o.Kernel.Now() - began
			}
			if o.Kernel.Now()-began > timeout {
				t.Fatalf("condition not met within %v: %s", timeout, description)
			}
		}
	}
	var durations []time.Duration
	for range 3 {
		voter := o.Members[observer.Table.Electorate().Voters[1]]
		sentBefore := o.MessagesSent
		o.Kill(voter)
		durations = append(durations, waitFor("replacement of a voter", 2*time.Minute, func() bool { return !isVoter(voter) }))
		t.Logf("a voter was killed and replaced %v later; all members sent %d messages meanwhile", durations[len(durations)-1], o.MessagesSent-sentBefore)
		o.Kernel.RunUntil(o.Kernel.Now() + 10*time.Second) // a new voter abstains at first
	}
	waitFor("an owner for every duty", time.Minute, allOwned)
	killed := o.Members[:0:0]
	for _, slot := range observer.Table.Electorate().Voters[:3] {
		killed = append(killed, o.Members[slot])
		o.Kill(o.Members[slot])
	}
	durations = append(durations, waitFor("replacement of the voters and an owner for every duty", o.ReservationPeriod+2*time.Minute, func() bool {
		return allOwned() && !slices.ContainsFunc(killed, isVoter)
	}))
	t.Logf("three of five voters were killed at once: all duties had owners again %v later", durations[len(durations)-1])
}
