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

const peerInfoInterval = 200 * time.Millisecond

// TestReportedPeerInfoAge plays six processes whose messages are lost, late and doubled, one of which is cut off, one that is heard by
// nobody, one that stands still and one that is killed. Each tells how old its news of the others is: never less than it is, by the wall
// clock that all of them have on one machine; and while all hear each other not more than peerinfo.Config.StalenessBound, and the machine's lateness.
func TestReportedPeerInfoAge(t *testing.T) {
	t.Parallel() // it waits more than it works
	const n = 6
	normalFaults := faultnet.Fault{Loss: 0.05, Duplicate: 0.02, MinDelay: 3 * time.Millisecond, MaxDelay: 20 * time.Millisecond}
	r := newFleet(t, testbed.SmallPlatform(), n, 1, "commons {\n every = 200ms\n}\nregion floor-3 {\n clock = \"Asia/Seoul\"\n quiet = [\"daily 00:00-24:00\"]\n}\n")
	monitor := testbed.NewSchedulingMonitor()
	t.Cleanup(monitor.Close)
	r.Mesh.SetFault(normalFaults, nil, nil)
	r.Start(0, r.AllGateways()...)
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)

	conf := peerinfo.DefaultConfig()
	conf.Interval = peerInfoInterval
	bound := conf.StalenessBound(n, normalFaults.Loss, normalFaults.MaxDelay)
	var ages []time.Duration
	// observe looks at all members that say something for a while. Where calm, all have to know all others as of stale ago.
	observe := func(what string, duration time.Duration, connected bool) (oldest time.Duration) {
		t.Helper()
		rows := 0
		for start := time.Now(); time.Since(start) < duration; time.Sleep(20 * time.Millisecond) {
			for i := range n {
				askedAt := time.Now()
				status := readStatus(r, i)
				if status == nil {
					continue
				}
				delay := monitor.DelayBetween(askedAt.Add(-bound), time.Now())
				if connected && (!status.Clock.OK || status.Clock.AgreeingMembers != n || len(status.Regions) != 1 || status.Regions[0].Remaining < time.Hour) {
					t.Fatalf("%s: %s has the clock %+v and the regions %+v", what, status.Name, status.Clock, status.Regions)
				}
				if connected && len(status.PeerInfo) != n {
					t.Fatalf("%s: %s knows %d members of %d: %+v", what, status.Name, len(status.PeerInfo), n, status.PeerInfo)
				}
				for _, row := range status.PeerInfo {
					if row.Name == status.Name {
						continue
					}
					rows++
					actual := time.Duration(status.WallMillis-row.WallMillis) * time.Millisecond
					if row.Age < actual-2*time.Millisecond { // of two clocks' rounding to whole ones
						t.Fatalf("%s: %s tells %s's news as %v old; it is %v", what, status.Name, row.Name, row.Age, actual)
					}
					if connected && row.Age > bound+delay {
						t.Errorf("%s: %s knows %s's news as of %v ago, more than %v and the machine's %v", what, status.Name, row.Name, row.Age, bound, delay)
					}
					if connected {
						ages = append(ages, row.Age)
					}
					oldest = max(oldest, row.Age)
				}
			}
		}
		t.Logf("%s: %d looks at news, %v old at most", what, rows, oldest.Round(time.Millisecond))
		if rows == 0 {
			t.Errorf("%s: nobody knows anything", what)
		}
		return oldest
	}
	waitBound := func() { time.Sleep(bound) }
	waitBound()
	observe("in peace", 2*time.Second, true)

	const faultDuration = 3 * time.Second
	r.Mesh.Partition([]int{1})
	if oldest := observe("one is cut off", faultDuration, false); oldest < faultDuration/2 {
		t.Errorf("one was cut off for %v, and nobody's news is older than %v", faultDuration, oldest)
	}
	r.Mesh.SetFault(normalFaults, nil, nil)
	r.Mesh.SetFault(faultnet.Blackhole, []int{2}, []int{0, 1, 3, 4, 5})
	observe("one hears and is not heard", faultDuration, false)
	r.Mesh.SetFault(normalFaults, nil, nil)
	resume := r.Suspend(3)
	observe("one stands still", faultDuration, false)
	resume()
	observe("it goes on", time.Second, false)
	r.Kill(4)
	observe("one is dead", time.Second, false)
	r.Start(0, 4)
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)
	waitBound()
	observe("all are back", 2*time.Second, true)
	slices.Sort(ages)
	t.Logf("while all hear each other: %v in the middle, %v at the 99th of 100, bound %v", ages[len(ages)/2].Round(time.Millisecond), ages[len(ages)*99/100].Round(time.Millisecond), bound)
	checkPeerInfoCounts(t, r)
}

// checkPeerInfoCounts holds that nothing waited long or was dropped between a member's goroutines.
func checkPeerInfoCounts(t *testing.T, r *e2e.Harness) {
	t.Helper()
	var all gossip.PeerInfoStats
	for i := range r.Processes {
		if status := readStatus(r, i); status != nil {
			all.Queue.MaxDepth = max(all.Queue.MaxDepth, status.PeerInfoStats.Queue.MaxDepth)
			all.Queue.Dropped += status.PeerInfoStats.Queue.Dropped
			all.Table.Malformed += status.PeerInfoStats.Table.Malformed
			all.MessagesSent += status.PeerInfoStats.MessagesSent
		}
	}
	t.Logf("%d messages sent, %d waited at most, %d dropped", all.MessagesSent, all.Queue.MaxDepth, all.Queue.Dropped)
	if all.Queue.Dropped+all.Table.Malformed > 0 || all.MessagesSent == 0 {
		t.Errorf("news got lost inside a member: %+v", all)
	}
}
