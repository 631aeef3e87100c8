package daemon

import (
	"slices"
	"testing"
	"time"

	"sloepick/internal/gossip"
	"sloepick/internal/peerinfo"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
)

const askEvery = 200 * time.Millisecond

// TestNewsIsNeverYoungerThanTold plays six processes whose messages are lost, late and doubled, one of which is cut off, one that is heard by
// nobody, one that stands still and one that is killed. Each tells how old its news of the others is: never less than it is, by the wall
// clock that all of them have on one machine; and while all hear each other not more than peerinfo.Config.StalenessBound, and the machine's lateness.
func TestNewsIsNeverYoungerThanTold(t *testing.T) {
	t.Parallel() // it waits more than it works
	const n = 6
	usual := faultnet.Fault{Loss: 0.05, Duplicate: 0.02, MinDelay: 3 * time.Millisecond, MaxDelay: 20 * time.Millisecond}
	r := newFleet(t, testbed.SmallPlatform(), n, 1, "commons {\n every = 200ms\n}\nregion floor-3 {\n clock = \"Asia/Seoul\"\n quiet = [\"daily 00:00-24:00\"]\n}\n")
	pulse := testbed.NewSchedulingMonitor()
	t.Cleanup(pulse.Close)
	r.Mesh.SetFault(usual, nil, nil)
	r.Start(0, r.AllGateways()...)
	agreed(t, r, time.Minute, r.AllGateways()...)

	conf := peerinfo.DefaultConfig()
	conf.Interval = askEvery
	stale := conf.StalenessBound(n, usual.Loss, usual.MaxDelay)
	var ages []time.Duration
	// watch looks at all members that say something for a while. Where calm, all have to know all others as of stale ago.
	watch := func(what string, took time.Duration, calm bool) (most time.Duration) {
		t.Helper()
		rows := 0
		for begin := time.Now(); time.Since(begin) < took; time.Sleep(20 * time.Millisecond) {
			for i := range n {
				asked := time.Now()
				rep := report(r, i)
				if rep == nil {
					continue
				}
				late := pulse.DelayBetween(asked.Add(-stale), time.Now())
				if calm && (!rep.Clock.OK || rep.Clock.AgreeingMembers != n || len(rep.Regions) != 1 || rep.Regions[0].Remaining < time.Hour) {
					t.Fatalf("%s: %s has the clock %+v and the regions %+v", what, rep.Name, rep.Clock, rep.Regions)
				}
				if calm && len(rep.PeerInfo) != n {
					t.Fatalf("%s: %s knows %d members of %d: %+v", what, rep.Name, len(rep.PeerInfo), n, rep.PeerInfo)
				}
				for _, row := range rep.PeerInfo {
					if row.Name == rep.Name {
						continue
					}
					rows++
					is := time.Duration(rep.WallMillis-row.WallMillis) * time.Millisecond
					if row.Age < is-2*time.Millisecond { // of two clocks' rounding to whole ones
						t.Fatalf("%s: %s tells %s's news as %v old; it is %v", what, rep.Name, row.Name, row.Age, is)
					}
					if calm && row.Age > stale+late {
						t.Errorf("%s: %s knows %s's news as of %v ago, more than %v and the machine's %v", what, rep.Name, row.Name, row.Age, stale, late)
					}
					if calm {
						ages = append(ages, row.Age)
					}
					most = max(most, row.Age)
				}
			}
		}
		t.Logf("%s: %d looks at news, %v old at most", what, rows, most.Round(time.Millisecond))
		if rows == 0 {
			t.Errorf("%s: nobody knows anything", what)
		}
		return most
	}
	settle := func() { time.Sleep(stale) }
	settle()
	watch("in peace", 2*time.Second, true)

	const cut = 3 * time.Second
	r.Mesh.Partition([]int{1})
	if most := watch("one is cut off", cut, false); most < cut/2 {
		t.Errorf("one was cut off for %v, and nobody's news is older than %v", cut, most)
	}
	r.Mesh.SetFault(usual, nil, nil)
	r.Mesh.SetFault(faultnet.Blackhole, []int{2}, []int{0, 1, 3, 4, 5})
	watch("one hears and is not heard", cut, false)
	r.Mesh.SetFault(usual, nil, nil)
	thaw := r.Suspend(3)
	watch("one stands still", cut, false)
	thaw()
	watch("it goes on", time.Second, false)
	r.Kill(4)
	watch("one is dead", time.Second, false)
	r.Start(0, 4)
	agreed(t, r, time.Minute, r.AllGateways()...)
	settle()
	watch("all are back", 2*time.Second, true)
	slices.Sort(ages)
	t.Logf("while all hear each other: %v in the middle, %v at the 99th of 100, bound %v", ages[len(ages)/2].Round(time.Millisecond), ages[len(ages)*99/100].Round(time.Millisecond), stale)
	counts(t, r)
}

// counts holds that nothing waited long or was dropped between a member's goroutines.
func counts(t *testing.T, r *e2e.Harness) {
	t.Helper()
	var all gossip.PeerInfoStats
	for i := range r.Processes {
		if rep := report(r, i); rep != nil {
			all.Queue.MaxDepth = max(all.Queue.MaxDepth, rep.PeerInfoStats.Queue.MaxDepth)
			all.Queue.Dropped += rep.PeerInfoStats.Queue.Dropped
			all.Table.Malformed += rep.PeerInfoStats.Table.Malformed
			all.MessagesSent += rep.PeerInfoStats.MessagesSent
		}
	}
	t.Logf("%d messages sent, %d waited at most, %d dropped", all.MessagesSent, all.Queue.MaxDepth, all.Queue.Dropped)
	if all.Queue.Dropped+all.Table.Malformed > 0 || all.MessagesSent == 0 {
		t.Errorf("news got lost inside a member: %+v", all)
	}
}
