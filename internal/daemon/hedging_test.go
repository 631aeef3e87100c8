package daemon

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"sloepick/internal/testbed"
	"sloepick/internal/testbed/seeds"
)

var (
	tail        = flag.Bool("tail", false, "measure the tail latency with and without hedging")
	tailSeconds = flag.Int("seconds", 20, "length of each run of TestTail, in seconds")
)

// TestTail sends look-ups to ten nodes through a gateway without hedging, with hedging after a fixed delay and after a quantile, in
// turn. In one scenario one node takes 250 ms longer for half of them, in the other every node does for one in fifty.
func TestTail(t *testing.T) {
	if !*tail {
		t.Skip("a measurement; -tail runs it")
	}
	seeds.Run(t, []uint64{1}, measureTail)
}

func measureTail(t *testing.T, seed uint64) {
	const base = "route look {\n classes = [\"slot-lookup\"]\n attempts = 2\n again = [never-ran, error]\n budget = 10%\n"
	variants := []struct{ name, file string }{
		{"no hedging", base + "}\n"},
		{"after 100 ms", base + " copy { after = 100ms }\n}\n"},
		{"after the 95% quantile", base + " copy {\n  after = 100ms\n  quantile = 95%\n }\n}\n"},
	}
	scenarios := []struct {
		name         string
		nodes, oneOf int
	}{{"one slow node", 1, 2}, {"every node is slow at times", 10, 50}}
	for _, scenario := range scenarios {
		for _, v := range slices.Concat(variants, variants) {
			r := newHarnessWithNodes(t, v.file, 10)
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, 7))
			for _, n := range r.site.Nodes[:scenario.nodes] {
				n.SetExtraDelay(func(testbed.Arrival) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					if rnd.IntN(scenario.oneOf) == 0 {
						return 250 * time.Millisecond
					}
					return 0
				})
			}
			t.Logf("%-26s %-22s %s", scenario.name, v.name, r.measureLookups(seed))
			r.gateway.Kill()
			r.site.Close()
		}
	}
}

// measureLookups sends look-ups only, and returns a line with their latencies and the attempts per request at the nodes.
func (r *harness) measureLookups(seed uint64) string {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.ctx, time.Duration(*tailSeconds)*time.Second)
	defer cancel()
	var mu sync.Mutex
	var took []time.Duration
	sent := 0
	class := r.site.Platform.Classes[0]
	class.Share = 1
	load := testbed.LoadGenerator{Gateways: []string{r.endpoint.Listen}, Classes: []testbed.RequestClass{class}, Seed: seed, OnResult: func(e testbed.RequestResult) {
		mu.Lock()
		defer mu.Unlock()
		if sent++; e.Outcome == testbed.OutcomeServed {
			took = append(took, e.EndedAt.Sub(e.SentAt))
		}
	}}
	load.Customers = testbed.Customers(20, "network", 9)
	load.Run(ctx)
	slices.Sort(took)
	percentile := func(q float64) int64 { return took[min(len(took)-1, int(q*float64(len(took))))].Milliseconds() }
	received := 0
	for _, n := range r.site.Nodes {
		received += n.Counts().Received
	}
	return fmt.Sprintf("%d of %d served, p50 %d ms, p99 %d ms, p99.9 %d ms, attempts per request %.3f", len(took), sent, percentile(0.5), percentile(0.99), percentile(0.999),
		float64(received)/float64(sent))
}
