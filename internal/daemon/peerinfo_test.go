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

// TestReportedPeerInfoAge runs six processes whose messages are lost, delayed and duplicated. One of them is isolated, one is received by
// nobody, one is suspended and one is killed. The age that each reports for its information about the others must never be below the
// actual age, by the wall clock that they share on one machine. While all are connected it must not exceed
// peerinfo.Config.StalenessBound and the machine's scheduling delay.
func TestReportedPeerInfoAge(t *testing.T) {
	t.Parallel() // mostly waits
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
	// observe checks the status of all members that respond for the given duration. If connected, all members must have information
	// about all others that is no older than bound.
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
					if row.Age < actual-2*time.Millisecond { // both timestamps are rounded to milliseconds
						t.Fatalf("%s: %s reports information about %s as %v old; it is %v old", what, status.Name, row.Name, row.Age, actual)
					}
					if connected && row.Age > bound+delay {
						t.Errorf("%s: the information of %s about %s is %v old, more than the bound %v and the machine's delay %v", what, status.Name, row.Name, row.Age, bound, delay)
					}
					if connected {
						ages = append(ages, row.Age)
					}
					oldest = max(oldest, row.Age)
				}
			}
		}
		t.Logf("%s: %d samples, %v old at most", what, rows, oldest.Round(time.Millisecond))
		if rows == 0 {
			t.Errorf("%s: no member has information about another", what)
		}
		return oldest
	}
	waitBound := func() { time.Sleep(bound) }
	waitBound()
	observe("connected", 2*time.Second, true)

	const faultDuration = 3 * time.Second
	r.Mesh.Partition([]int{1})
	if oldest := observe("one is isolated", faultDuration, false); oldest < faultDuration/2 {
		t.Errorf("one was isolated for %v, and no information is older than %v", faultDuration, oldest)
	}
	r.Mesh.SetFault(normalFaults, nil, nil)
	r.Mesh.SetFault(faultnet.Blackhole, []int{2}, []int{0, 1, 3, 4, 5})
	observe("one receives and is not received", faultDuration, false)
	r.Mesh.SetFault(normalFaults, nil, nil)
	resume := r.Suspend(3)
	observe("one is suspended", faultDuration, false)
	resume()
	observe("it is resumed", time.Second, false)
	r.Kill(4)
	observe("one is killed", time.Second, false)
	r.Start(0, 4)
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)
	waitBound()
	observe("all are back", 2*time.Second, true)
	slices.Sort(ages)
	t.Logf("while connected: median %v, 99th percentile %v, bound %v", ages[len(ages)/2].Round(time.Millisecond), ages[len(ages)*99/100].Round(time.Millisecond), bound)
	checkPeerInfoCounts(t, r)
}

// checkPeerInfoCounts checks that no message was dropped between a member's goroutines or malformed.
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
	t.Logf("%d messages sent, queue depth at most %d, %d dropped", all.MessagesSent, all.Queue.MaxDepth, all.Queue.Dropped)
	if all.Queue.Dropped+all.Table.Malformed > 0 || all.MessagesSent == 0 {
		t.Errorf("messages got lost inside a member: %+v", all)
	}
}
