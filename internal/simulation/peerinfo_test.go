package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sloepick/internal/peerinfo"
	"sloepick/internal/testbed/seeds"
)

// TestPeerInfoStaleness simulates 20 and 300 members, 2,000 with -large, with 5 % packet loss, delays of up to 40 ms, a
// partition into halves for 4 s, and the restart of a third. No record may be reported younger than it is, and none
// may be older than peerinfo.Config.StalenessBound, plus the partition's duration during and after it.
func TestPeerInfoStaleness(t *testing.T) {
	for _, n := range fleetSizes(20, 300) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { testPeerInfoStaleness(t, seed, n) })
		})
	}
}

func testPeerInfoStaleness(t *testing.T, seed uint64, n int) {
	const loss, maxDelay, partitionDuration = 0.05, 40 * time.Millisecond, 4 * time.Second
	k := NewKernel(seed, startTime)
	net := NewNetwork(k, time.Millisecond, maxDelay)
	net.LossRate, net.DuplicateRate = loss, 0.01
	conf := peerinfo.DefaultConfig()
	c, err := NewPeerInfoFleet(k, net, conf, n)
	if err != nil {
		t.Fatal(err)
	}
	bound := conf.StalenessBound(n, loss, maxDelay)
	check := func(phase string, duration time.Duration, maxAge time.Duration) {
		t.Helper()
		var ages []time.Duration
		sentBefore, bytesBefore := c.MessagesSent, c.BytesSent
		const samples = 20
		for range samples {
			k.RunUntil(k.Now() + duration/samples)
			for i, m := range c.Members {
				for j := 1; j <= min(n-1, 40); j++ {
					subject := c.Members[(i+j*max(1, n/40))%n]
					if subject == m {
						continue
					}
					reported, actual, ok := c.Age(m, subject)
					if ok && reported < actual {
						t.Fatalf("%s: %s reports the record of %s as %v old; it is %v old", phase, m.Name, subject.Name, reported, actual)
					}
					if !ok || reported > maxAge {
						t.Fatalf("%s: %s has a record of %s that is %v old (found: %v), want %v at most", phase, m.Name, subject.Name, reported, ok, maxAge)
					}
					ages = append(ages, reported)
				}
			}
		}
		slices.Sort(ages)
		memberSeconds := float64(n) * duration.Seconds()
		t.Logf("%d members, %s: age of records: median %v, 99th percentile %v, maximum %v, bound %v; %.1f messages and %.1f KB per member and second", n, phase,
			ages[len(ages)/2].Round(time.Millisecond), ages[len(ages)*99/100].Round(time.Millisecond), ages[len(ages)-1].Round(time.Millisecond), maxAge.Round(time.Millisecond),
			float64(c.MessagesSent-sentBefore)/memberSeconds, float64(c.BytesSent-bytesBefore)/memberSeconds/1000)
	}
	k.RunUntil(k.Now() + bound)
	check("without faults", partitionDuration, bound)
	net.Partitioned = func(a, b int) bool { return (a < n/2) != (b < n/2) }
	check("during the partition", partitionDuration, bound+partitionDuration)
	net.Partitioned = nil
	check("after the partition", partitionDuration, bound+partitionDuration)
	for _, m := range c.Members[:n/3] {
		c.Kill(m)
		if err := c.Start(m); err != nil {
			t.Fatal(err)
		}
	}
	k.RunUntil(k.Now() + bound)
	check("after the restart of a third of the members", partitionDuration, bound)
}
