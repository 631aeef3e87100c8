package h2

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
)

// newBackendHarness returns a harness whose nodes all speak HTTP/2.
func newBackendHarness(t *testing.T, nodes int, change func(*BackendConfig)) *harness {
	t.Helper()
	p := testPlatform()
	p.H2Nodes = nodes
	backendCfg := BackendConfig{MaxStreams: 100, MaxConns: 2, PingInterval: testTimeout, IdleTimeout: testTimeout}
	if change != nil {
		change(&backendCfg)
	}
	return newHarnessWithNodes(t, p, nodes, func(cfg *gateway.Config, _ *FrontendConfig) {
		cfg.BackendsByKind = map[string]gateway.Backend{testbed.H2NodeKind: NewBackend(backendCfg)}
	})
}

// booking returns a request with an idempotency key, which must not run twice.
func booking(id string) testbed.H2Request {
	q := lookup(id)
	q.Path, q.Key = "/v1/do/slot-book", `"`+id+`"`
	return q
}

// checkEffects checks how often a request took effect, by the nodes' own count.
func (r *harness) checkEffects(id string, times int) {
	r.t.Helper()
	if n := r.site.Recorder.EffectCounts()[id]; n != times {
		r.t.Errorf("%s took effect %d times, want %d", id, n, times)
	}
}

// TestRetriesByAttemptResult checks where an attempt may be retried, by how it ended: a request that did not run goes to the
// other node; one that may have run is only retried in its group, where repeats are dropped, and otherwise the response says that
// it may have run.
func TestRetriesByAttemptResult(t *testing.T) {
	reset := func(code http2.ErrCode) func(*testbed.H2Stream) {
		return func(s *testbed.H2Stream) { s.Conn.WriteFrames(func(f *http2.Framer) { f.WriteRSTStream(s.ID, code) }) }
	}
	for name, tc := range map[string]struct {
		do    func(*testbed.H2Stream)
		again bool // it is retried in the other group
	}{
		"REFUSED_STREAM": {reset(http2.ErrCodeRefusedStream), true},
		"GOAWAY with a lower last stream": {func(s *testbed.H2Stream) {
			s.Conn.WriteFrames(func(f *http2.Framer) { f.WriteGoAway(s.ID-1, http2.ErrCodeNo, nil) })
		}, true},
		"503, sloepick-ran: never": {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 503, "", "sloepick-ran", "never") }, true},
		"429, sloepick-ran: never": {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 429, "", "sloepick-ran", "never") }, true},
		"503":                      {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 503, "") }, false},
		"500":                      {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 500, "x") }, false},
		"CANCEL":                   {reset(http2.ErrCodeCancel), false},
		"NO_ERROR":                 {reset(http2.ErrCodeNo), false},
		"connection closed":        {func(s *testbed.H2Stream) { s.Conn.Conn.Close() }, false},
		"not HTTP/2":               {func(s *testbed.H2Stream) { s.Conn.Conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")) }, false},
		"malformed response":       {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 200, "x", "Upper", "case") }, false},
		"wrong content-length":     {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 200, "x", "content-length", "5") }, false},
		"response too large":       {func(s *testbed.H2Stream) { s.Conn.Respond(s.ID, 200, strings.Repeat("x", 64<<10+1)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newBackendHarness(t, 2, nil)
			received := make(chan string, 16)
			for _, n := range r.site.Nodes { // only the first node that receives it fails, once
				n.InterceptStreams(func(s *testbed.H2Stream) bool {
					received <- n.ID()
					if len(received) > 1 {
						return false
					}
					tc.do(s)
					return true
				})
			}
			a := r.roundTrip(r.dial(nil), booking("b"))
			if tc.again {
				if a.Status != 200 {
					t.Errorf("got %+v", a)
				}
				if len(received) != 2 {
					t.Fatalf("it arrived %d times", len(received))
				}
				if first, second := <-received, <-received; first == second {
					t.Error("it arrived at the same node twice")
				}
				r.checkEffects("b", 1)
				return
			}
			first := <-received
			for len(received) > 0 {
				if next := <-received; next != first {
					t.Errorf("it may have run at %s and was sent to %s", first, next)
				}
			}
			if a.Status != 200 && (a.Status != 502 && a.Status != 504 || a.Fields["sloepick-ran"] != "unknown") {
				t.Errorf("got %+v", a)
			}
		})
	}
}

// TestStreamsShareConnections checks that attempts share a connection up to the node's stream limit, also after the node has
// lowered it, and that cancelling one attempt does not affect the others.
func TestStreamsShareConnections(t *testing.T) {
	r := newBackendHarness(t, 1, func(backendCfg *BackendConfig) { backendCfg.MaxConns = 1 })
	conns := make(chan *testbed.H2NodeConn, 64)
	r.site.Nodes[0].InterceptStreams(func(s *testbed.H2Stream) bool {
		conns <- s.Conn
		return false
	})
	release := r.holdResponses()
	c := r.dial(nil)
	var open []uint32
	for i := range 3 {
		open = append(open, r.send(c, lookup(fmt.Sprint(i))))
	}
	r.waitArrivals(2) // the node has two cores; the third request is queued there or arrives too
	conn := <-conns
	if second := <-conns; second != conn {
		t.Error("two connections were made")
	}
	if err := c.Framer.WriteRSTStream(open[0], http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	r.waitProcessed(c)
	release()
	for range 2 {
		if a := r.readResponse(c); a.Status != 200 || a.Stream == open[0] {
			t.Errorf("got %+v", a)
		}
	}
	conn.WriteFrames(func(f *http2.Framer) { f.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 0}) })
	conn.WriteFrames(func(f *http2.Framer) { f.WritePing(false, [8]byte{}) })
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // until the gateway has applied the setting
		if a := r.roundTrip(c, lookup(fmt.Sprintf("full-%d", time.Now().UnixNano()))); a.Status == 503 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("attempts are sent above the node's stream limit")
		}
	}
}

// TestNodeGoAway checks that after a node's GOAWAY the open attempts of the connection are answered, and later ones use a new
// connection.
func TestNodeGoAway(t *testing.T) {
	r := newBackendHarness(t, 1, nil)
	conns := make(chan *testbed.H2NodeConn, 64)
	r.site.Nodes[0].InterceptStreams(func(s *testbed.H2Stream) bool {
		conns <- s.Conn
		return false
	})
	release := r.holdResponses()
	c := r.dial(nil)
	first := r.send(c, lookup("first"))
	old := <-conns
	old.WriteFrames(func(f *http2.Framer) { f.WriteGoAway(1, http2.ErrCodeNo, nil) })
	var second uint32
	for { // until one uses the new connection: the GOAWAY may still be in flight
		second = r.send(c, lookup(fmt.Sprintf("next-%d", time.Now().UnixNano())))
		if <-conns != old {
			break
		}
		time.Sleep(50 * time.Millisecond) // limits the open requests, so that none is shed
	}
	release()
	seen := map[uint32]int{}
	for seen[first] == 0 || seen[second] == 0 {
		a := r.readResponse(c)
		seen[a.Stream] = a.Status
	}
	if seen[first] != 200 || seen[second] != 200 {
		t.Errorf("got %v", seen)
	}
}

// TestNodeDrainsWithOpenStreams drains a node while one connection carries attempts of several customers. All are answered, and
// no new ones are sent to the node.
func TestNodeDrainsWithOpenStreams(t *testing.T) {
	r := newBackendHarness(t, 2, nil)
	release := r.holdResponses()
	c := r.dial(nil)
	open := map[uint32]bool{}
	for i := range 4 {
		q := lookup(fmt.Sprint("open-", i))
		q.Customer = fmt.Sprintf("%016x", i+1)
		open[r.send(c, q)] = true
	}
	r.waitArrivals(4)
	before := len(r.site.Recorder.Arrivals())
	r.site.Nodes[0].InterceptStreams(func(*testbed.H2Stream) bool { return false })
	if err := r.site.Drain(0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(r.site.Platform.Rules.DrainGrace) // new attempts are allowed during this time
	for i := range 10 {
		q := lookup(fmt.Sprint("late-", i))
		q.Customer = fmt.Sprintf("%016x", i+1)
		open[r.send(c, q)] = true
	}
	release()
	for range 14 {
		a := r.readResponse(c)
		if !open[a.Stream] || a.Status != 200 && a.Status != 503 {
			t.Errorf("got %+v", a)
		}
		delete(open, a.Stream)
	}
	for _, a := range r.site.Recorder.Arrivals()[before:] {
		if a.Node == r.site.Nodes[0].ID() {
			t.Errorf("%s arrived at the draining node", a.ID)
		}
	}
}

// TestSilentConnection checks that a silent connection is detected by PING and closed, and that the response says that its
// requests may have run.
func TestSilentConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	readErr := make(chan error, 1)
	go func() { // reads everything and sends nothing
		nc, err := ln.Accept()
		if err != nil {
			readErr <- err
			return
		}
		buf := make([]byte, 4096)
		for err == nil {
			_, err = nc.Read(buf)
		}
		readErr <- err
		ln.Close()
	}()
	r := newBackendHarness(t, 1, func(b *BackendConfig) { b.PingInterval = 50 * time.Millisecond })
	list := r.site.ServerList()
	list.Version, list.Servers[0].Addr = 99, ln.Addr().String()
	if err := r.site.Discovery.Set(99, list); err != nil {
		t.Fatal(err)
	}
	c := r.dial(nil)
	for i := 0; ; i++ { // until the gateway has the new list of servers
		id := r.send(c, booking(fmt.Sprint("b", i)))
		a := r.readResponse(c)
		if a.Stream != id {
			t.Fatalf("got %+v", a)
		}
		if a.Status == 200 {
			continue
		}
		if a.Fields["sloepick-ran"] != "unknown" {
			t.Errorf("got %+v", a)
		}
		break
	}
	select {
	case <-readErr:
	case <-time.After(testTimeout):
		t.Error("the silent connection is not closed")
	}
}

// TestMixedBackends runs the mixed load with half of the nodes reached by HTTP/2, then all. Admitted units and statuses are the
// same as with RESP2 alone.
func TestMixedBackends(t *testing.T) {
	const seed = 3
	units, statuses := runMixedLoad(t, seed, 0, func(int) bool { return false })
	for _, nodes := range []int{1, 2} {
		gotUnits, gotStatuses := runMixedLoad(t, seed, nodes, func(i int) bool { return i%2 == 0 })
		if fmt.Sprint(gotUnits) != fmt.Sprint(units) || fmt.Sprint(gotStatuses) != fmt.Sprint(statuses) {
			t.Errorf("with %d of 2 nodes by HTTP/2: units %v, by RESP2 %v", nodes, gotUnits, units)
		}
	}
}

// TestNodeMovesDuringAttempt moves a node to another address while an attempt is open. When the request is cancelled, the stream
// on the old connection is reset.
func TestNodeMovesDuringAttempt(t *testing.T) {
	r := newBackendHarness(t, 2, nil)
	arrived, cancelled := make(chan struct{}, 16), make(chan string, 16)
	r.site.Nodes[0].InterceptStreams(func(s *testbed.H2Stream) bool {
		arrived <- struct{}{}
		<-s.Cancelled
		cancelled <- s.Arrival.ID
		return true
	})
	list := r.site.ServerList()
	list.Servers = list.Servers[:1]
	publish := func(version uint64) { // returns when the gateway has the list, which shows as it asks for a newer one
		list.Version = version
		if err := r.site.Discovery.Set(version, list); err != nil {
			t.Fatal(err)
		}
		for timeout := time.After(testTimeout); ; {
			select {
			case q := <-r.site.Discovery.Queries:
				if strings.Contains(q, fmt.Sprintf("after=%d&", version)) {
					return
				}
			case <-timeout:
				t.Fatal("the gateway does not receive the list")
			}
		}
	}
	publish(50)
	c := r.dial(nil)
	open := r.send(c, booking("open"))
	<-arrived
	list.Servers[0].Addr = r.site.Nodes[1].Addr()
	publish(99)
	if err := c.Framer.WriteRSTStream(open, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-cancelled:
		if got != "open" {
			t.Errorf("%s was cancelled", got)
		}
	case <-time.After(testTimeout):
		t.Error("the attempt at the old address was not cancelled")
	}
}

// TestActualUnitsSettle estimates each request at one unit, and the node reports four. Whichever protocols the client and the
// node use, the same bucket is settled, once per request, and invalid reports settle nothing.
func TestActualUnitsSettle(t *testing.T) {
	// A burst of 36 counts as half used at the start and does not refill: that admits 18 requests estimated at 1, or 5 that each
	// take 4 once they are answered (the fifth finds 34 of 36 used).
	const estimated, settled = 18, 5
	for report, want := range map[string]int{"used=200,units=4": settled, "": estimated, "units=x": estimated, "units=9": estimated, "units=4,units=4": estimated} {
		for name, protocols := range map[string]struct {
			nodes  int
			client bool
		}{"RESP2 to RESP2": {0, false}, "RESP2 to HTTP/2": {1, false}, "HTTP/2 to RESP2": {0, true}, "HTTP/2 to HTTP/2": {1, true}} {
			if want == estimated && (protocols.nodes == 1) != protocols.client {
				continue // invalid reports are tested once per backend
			}
			p := testPlatform()
			p.H2Nodes, p.EstimatedUnits, p.MaxUnits = protocols.nodes, true, 8
			r := newHarnessWithNodes(t, p, 1, func(cfg *gateway.Config, _ *FrontendConfig) {
				cfg.BackendsByKind = map[string]gateway.Backend{testbed.H2NodeKind: NewBackend(BackendConfig{MaxStreams: 100, MaxConns: 2, PingInterval: testTimeout, IdleTimeout: testTimeout})}
			})
			r.site.Nodes[0].SetUseReport(func(testbed.Arrival) string { return report })
			c, served := &caller{r: r}, 0
			c.dial()
			for n := range estimated + 4 {
				if c.send(lookup(fmt.Sprint("q", n)), protocols.client) == 200 {
					served++
				}
			}
			if served != want {
				t.Errorf("%s, %q: %d were admitted, want %d", name, report, served, want)
			}
		}
	}
}
