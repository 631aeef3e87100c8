package h2

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/seeds"
)

// caller sends requests by either protocol, one at a time.
type caller struct {
	r          *harness
	h2Client   *testbed.H2Client
	respClient *testbed.Client
}

func (c *caller) dial() {
	c.h2Client = c.r.dial(nil)
	var err error
	if c.respClient, err = testbed.Dial(c.r.respAddr); err != nil {
		c.r.t.Fatal(err)
	}
	c.r.t.Cleanup(c.respClient.Close)
}

// respCommand returns a request as a RESP2 command.
func respCommand(q testbed.H2Request) []string {
	name, class, list := "Q.ASK", strings.TrimPrefix(q.Path, "/v1/ask/"), ""
	if q.Key != "" {
		name, class, list = "Q.DO", strings.TrimPrefix(q.Path, "/v1/do/"), ",k="+q.Key
	}
	return []string{name, q.Customer, q.ID, fmt.Sprintf("c=%s,t=%s,d=%d,units=%s%s", class, q.Plan, q.Patience.Milliseconds(), q.Units, list)}
}

// send sends a request and returns the HTTP status of the response, or its equivalent for RESP2.
func (c *caller) send(q testbed.H2Request, byH2 bool) int {
	c.r.t.Helper()
	if byH2 {
		status := c.r.roundTrip(c.h2Client, q).Status
		if status == 503 { // RESP2 has one reply, -BUSY, for both
			status = 429
		}
		return status
	}
	if err := c.respClient.Send(respCommand(q)...); err != nil {
		c.r.t.Fatal(err)
	}
	got, err := c.respClient.Read()
	switch {
	case err == nil && strings.HasPrefix(got, "$"):
		return 200
	case err == nil && strings.HasPrefix(got, "-BUSY"):
		return 429
	}
	c.r.t.Fatalf("got %q, %v", got, err)
	return 0
}

// sendAndLeave sends a request on a connection of its own and cancels it once it has arrived at a node or was answered.
func (c *caller) sendAndLeave(q testbed.H2Request, byH2 bool) {
	c.r.t.Helper()
	answered := make(chan struct{})
	if byH2 {
		h2Client := c.r.dial(nil)
		id := c.r.send(h2Client, q)
		go func() {
			h2Client.Read()
			close(answered)
		}()
		c.waitArrivedOrAnswered(q.ID, answered)
		h2Client.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the reading goroutine before the next write
		<-answered
		if err := h2Client.Framer.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
			c.r.t.Error(err)
		}
		return
	}
	respClient, err := testbed.Dial(c.r.respAddr)
	if err != nil {
		c.r.t.Fatal(err)
	}
	if err := respClient.Send(respCommand(q)...); err != nil {
		c.r.t.Fatal(err)
	}
	go func() {
		respClient.Read()
		close(answered)
	}()
	c.waitArrivedOrAnswered(q.ID, answered)
	respClient.Close()
}

// waitArrivedOrAnswered waits until a request has arrived at a node or was answered.
func (c *caller) waitArrivedOrAnswered(id string, answered <-chan struct{}) {
	c.r.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		if slices.ContainsFunc(c.r.site.Recorder.Arrivals(), func(a testbed.Arrival) bool { return a.ID == id }) {
			return
		}
		select {
		case <-answered:
			return
		case <-time.After(time.Millisecond):
		}
	}
	c.r.t.Fatalf("%s did not arrive at a node", id)
}

// runMixedLoad sends random requests, which depend on the seed alone, each by the protocol that byH2 selects. Some clients cancel
// their request while it is at a node, a node drains, and the gateway is restarted. It returns the units admitted for each
// customer and the status of each request.
func runMixedLoad(t *testing.T, seed uint64, h2Nodes int, byH2 func(i int) bool) (units map[string]float64, statuses []string) {
	p := testPlatform()
	p.H2Nodes = h2Nodes
	r := newHarness(t, p, func(cfg *gateway.Config, _ *FrontendConfig) {
		cfg.BackendsByKind = map[string]gateway.Backend{testbed.H2NodeKind: NewBackend(BackendConfig{MaxStreams: 100, MaxConns: 2, PingInterval: testTimeout, IdleTimeout: testTimeout})}
	})
	for _, n := range r.site.Nodes {
		n.SetExtraDelay(func(a testbed.Arrival) time.Duration {
			if strings.HasPrefix(a.ID, "gone") {
				return 50 * time.Millisecond
			}
			return 0
		})
	}
	rnd, c := seeds.Rand(seed), &caller{r: r}
	c.dial()
	sentUnits, keyed := map[string]float64{}, map[string]bool{}
	const requests = 300
	for i := range requests {
		switch i {
		case requests / 2:
			if err := r.site.Drain(0); err != nil {
				t.Fatal(err)
			}
		case requests * 2 / 3:
			c.h2Client.Close()
			c.respClient.Close()
			r.shutdown()
			r.start()
			c.dial()
		}
		n := 1 + rnd.IntN(2)
		q := testbed.H2Request{Path: "/v1/ask/slot-lookup", Customer: fmt.Sprintf("%016x", 1+rnd.IntN(12)), Plan: p.Plans[rnd.IntN(len(p.Plans))].Name,
			ID: fmt.Sprintf("r-%d", i), Patience: testTimeout, Units: strconv.Itoa(n)}
		if rnd.IntN(2) == 0 {
			q.Path, q.Key = "/v1/do/slot-book", fmt.Sprintf("k%d", i)
		}
		abandons := rnd.IntN(20) == 0
		if abandons {
			q.ID = fmt.Sprintf("gone-%d", i)
		}
		keyed[q.ID] = q.Key != ""
		sentUnits[q.ID] = float64(n)
		if abandons {
			c.sendAndLeave(q, byH2(i))
			continue
		}
		statuses = append(statuses, fmt.Sprintf("%s %d", q.ID, c.send(q, byH2(i))))
	}
	units, seen := map[string]float64{}, map[string]bool{}
	for _, a := range r.site.Recorder.Arrivals() {
		if a.Units != sentUnits[a.ID] {
			t.Errorf("%s arrived with %v units, want %v", a.ID, a.Units, sentUnits[a.ID])
		}
		if !seen[a.ID] {
			units[a.Customer] += a.Units
		}
		seen[a.ID] = true
	}
	for id, n := range r.site.Recorder.EffectCounts() {
		if n != 1 && keyed[id] { // without a key, a lookup may be attempted twice on a slow machine
			t.Errorf("%s took effect %d times", id, n)
		}
	}
	return units, statuses
}

// TestProtocolsShareQuota runs the same load by RESP2, by HTTP/2 and by both in turn. The units admitted for each customer and
// the status of each request are the same.
func TestProtocolsShareQuota(t *testing.T) {
	seeds.Run(t, []uint64{1, 2}, func(t *testing.T, seed uint64) {
		units, statuses := runMixedLoad(t, seed, 0, func(int) bool { return false })
		for name, byH2 := range map[string]func(int) bool{"HTTP/2": func(int) bool { return true }, "both": func(i int) bool { return i%2 == 0 }} {
			gotUnits, gotStatuses := runMixedLoad(t, seed, 0, byH2)
			if fmt.Sprint(gotUnits) != fmt.Sprint(units) {
				t.Errorf("%s: %v units, by RESP2 %v", name, gotUnits, units)
			}
			if !slices.Equal(gotStatuses, statuses) {
				t.Errorf("%s: the statuses differ from those by RESP2", name)
			}
		}
		served := 0
		for _, e := range statuses {
			if strings.HasSuffix(e, " 200") {
				served++
			}
		}
		if served < 50 || served > 250 {
			t.Errorf("%d of %d requests were served, want between 50 and 250", served, len(statuses))
		}
	})
}
