package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sloepick/internal/peerinfo"
	"sloepick/internal/testbed/seeds"
)

// TestNewsInVirtualTime plays 20 and 300 members, 2,000 with -large, under 5 % of loss, delays of up to 40 ms, a cut of 4 s in two halves, and
// the restart of a third: no age is told younger than it is, and while all hear each other none is older than peerinfo.Config.StalenessBound.
func TestNewsInVirtualTime(t *testing.T) {
	for _, n := range sizes(20, 300) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { playNews(t, seed, n) })
		})
	}
}

func playNews(t *testing.T, seed uint64, n int) {
	const loss, slow, cut = 0.05, 40 * time.Millisecond, 4 * time.Second
	k := NewKernel(seed, start)
	net := NewNetwork(k, time.Millisecond, slow)
	net.LossRate, net.DuplicateRate = loss, 0.01
	conf := peerinfo.DefaultConfig()
	c, err := NewPeerInfoFleet(k, net, conf, n)
	if err != nil {
		t.Fatal(err)
	}
	bound := conf.StalenessBound(n, loss, slow)
	look := func(what string, took time.Duration, most time.Duration) {
		t.Helper()
		var ages []time.Duration
		sent, bytes := c.MessagesSent, c.BytesSent
		const looks = 20
		for range looks {
			k.RunUntil(k.Now() + took/looks)
			for i, m := range c.Members {
				for j := 1; j <= min(n-1, 40); j++ {
					of := c.Members[(i+j*max(1, n/40))%n]
					if of == m {
						continue
					}
					told, is, ok := c.Age(m, of)
					if ok && told < is {
						t.Fatalf("%s: %s tells %s's news as %v old; it is %v", what, m.Name, of.Name, told, is)
					}
					if !ok || told > most {
						t.Fatalf("%s: %s knows %s's news as of %v ago (%v), more than %v", what, m.Name, of.Name, told, ok, most)
					}
					ages = append(ages, told)
				}
			}
		}
		slices.Sort(ages)
		rate := float64(n) * took.Seconds()
		t.Logf("%d members, %s: news %v old in the middle, %v at the 99th of 100, %v at most, bound %v; %.1f messages and %.1f KB a member and second", n, what,
			ages[len(ages)/2].Round(time.Millisecond), ages[len(ages)*99/100].Round(time.Millisecond), ages[len(ages)-1].Round(time.Millisecond), most.Round(time.Millisecond),
			float64(c.MessagesSent-sent)/rate, float64(c.BytesSent-bytes)/rate/1000)
	}
	k.RunUntil(k.Now() + bound)
	look("in peace", cut, bound)
	net.Partitioned = func(a, b int) bool { return (a < n/2) != (b < n/2) }
	look("cut in two", cut, bound+cut)
	net.Partitioned = nil
	look("after it", cut, bound+cut)
	for _, m := range c.Members[:n/3] {
		c.Kill(m)
		if err := c.Start(m); err != nil {
			t.Fatal(err)
		}
	}
	k.RunUntil(k.Now() + bound)
	look("after the restart of a third", cut, bound)
}
