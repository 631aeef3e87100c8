package gateway_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/gateway"
	"sloepick/internal/route"
	"sloepick/internal/testbed"
	"sloepick/internal/tuning"
)

var (
	failures   = decide.NewOutcomeSet(decide.Rejected, decide.NoConnection, decide.Error, decide.Reset)
	everything = failures | decide.NewOutcomeSet(decide.TimedOut, decide.Cancelled)
)

// newRoutedGateway returns a gateway whose requests all match one route, validated as at startup.
func newRoutedGateway(t *testing.T, rt route.Route, servers []gateway.ServerEntry) *testGateway {
	t.Helper()
	return newRoutedGatewayWithDeadline(t, longDeadline, rt, servers)
}

// newRoutedGatewayWithDeadline is newRoutedGateway with a latency aim for the classes, from which the decision
// module estimates how long a response takes.
func newRoutedGatewayWithDeadline(t *testing.T, aim time.Duration, rt route.Route, servers []gateway.ServerEntry) *testGateway {
	t.Helper()
	cfg := gateway.SmallConfig(t, aim, servers)
	rt.Name = "r"
	cfg.Routes = []*route.Route{&rt}
	if diags := cfg.ValidateRoutes(cfg.Routes); len(diags) > 0 {
		t.Fatal(diags)
	}
	return startTestGateway(t, cfg)
}

// nextCommand returns the next command received by the server and skips closed connections.
func (b *fakeServer) nextCommand(t *testing.T) received {
	t.Helper()
	for {
		if x := b.next(t); x.args != nil {
			return x
		}
	}
}

// wantNoCommand fails the test if there is a command that no test has received. Closed connections are skipped:
// it depends on the scheduler when the end of a cancelled attempt is read.
func (b *fakeServer) wantNoCommand(t *testing.T) {
	t.Helper()
	for len(b.commands) > 0 {
		if x := <-b.commands; x.args != nil {
			t.Errorf("the server got another command: %q", x.args)
		}
	}
}

// timeoutMS returns the time, in ms, that the server was given for the request.
func (x received) timeoutMS(t *testing.T) int {
	t.Helper()
	_, rest, _ := strings.Cut(x.args[3], ",d=")
	d, _, _ := strings.Cut(rest, ",")
	n, err := strconv.Atoi(d)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Each attempt gets at most the route's attempt timeout, there are at most as many attempts as the route
// allows, and then the client is refused at once, with the route's retry advice.
func TestRouteBoundsAttempts(t *testing.T) {
	b := newFakeServer(t)
	c := newRoutedGatewayWithDeadline(t, 10*time.Second, route.Route{MaxAttempts: 3, AttemptTimeout: 400 * time.Millisecond, TotalTimeout: 10 * time.Second, RetryOn: everything, MinRetriesPerSecond: 100,
		RetryAfter: 70 * time.Millisecond}, entries("up", b)).dial(t)
	c.sendSafe("id")
	for range 3 {
		if d := b.nextCommand(t).timeoutMS(t); d > 400 {
			t.Errorf("an attempt was given %d ms", d)
		}
	}
	c.want("-BUSY 70")
	b.wantNoCommand(t)
}

// The route's wait passes between attempts. During it nothing is sent, and a disconnect of the client ends the
// request.
func TestRouteWaitsBetweenAttempts(t *testing.T) {
	b := newFakeServer(t)
	r := newRoutedGateway(t, route.Route{MaxAttempts: 2, TotalTimeout: 20 * time.Second, InitialBackoff: 150 * time.Millisecond, RetryOn: failures, MinRetriesPerSecond: 100}, entries("up", b))
	c := r.dial(t)
	c.sendSafe("id")
	x := b.nextCommand(t)
	at := time.Now()
	x.answer(t, "-ERR failed\r\n")
	y := b.nextCommand(t)
	if waited := time.Since(at); waited < 140*time.Millisecond {
		t.Errorf("the second attempt came after %v", waited)
	}
	y.answer(t, served("v"))
	c.want("$v")
	c.sendSafe("id-2")
	b.nextCommand(t).answer(t, "-ERR failed\r\n")
	c.conn.Close()
	d := r.dial(t)
	d.sendSafe("id-3")
	if z := b.nextCommand(t); z.args[2] != "id-3" {
		t.Errorf("the server got %q", z.args)
	}
}

// A hedged request is sent after the route's delay, the client gets the first complete response, and the other
// attempt is cancelled.
func TestRouteSendsHedge(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	c := newRoutedGateway(t, route.Route{MaxAttempts: 2, TotalTimeout: 20 * time.Second, MinRetriesPerSecond: 100,
		Hedge: route.HedgePolicy{Enabled: true, Delay: 60 * time.Millisecond}}, entries("up", a, b)).dial(t)
	c.sendSafe("id")
	first, other := a, b
	select {
	case <-a.commands:
	case <-b.commands:
		first, other = b, a
	}
	other.nextCommand(t).answer(t, served("copy"))
	c.want("$copy")
	if x := first.next(t); x.args != nil {
		t.Errorf("the slow server got %q, want the connection's end", x.args)
	}
}

// The hedge of a keyed request stays in the cell of the first attempt, even if that has no other server.
func TestKeyedHedgeStaysInItsCell(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	c := newRoutedGateway(t, route.Route{MaxAttempts: 2, AttemptTimeout: 400 * time.Millisecond, TotalTimeout: 20 * time.Second, MinRetriesPerSecond: 100,
		Hedge: route.HedgePolicy{Enabled: true, Delay: 30 * time.Millisecond}}, entries("up", a, b)).dial(t)
	c.sendKeyed("id")
	other := b
	select {
	case <-a.commands:
	case <-b.commands:
		other = a
	}
	c.want("-ERR failed") // it may have been executed, so it is not refused
	other.wantNoCommand(t)
}

// A client timeout shorter than an attempt limits the attempt: the response is sent before the client stops
// waiting.
func TestClientTimeoutShorterThanAttempt(t *testing.T) {
	b := newFakeServer(t)
	c := newRoutedGatewayWithDeadline(t, 300*time.Millisecond, route.Route{MaxAttempts: 1, AttemptTimeout: 10 * time.Second, TotalTimeout: 20 * time.Second}, entries("up", b)).dial(t)
	at := time.Now()
	c.send("Q.ASK", customer, "id", "c=look,t=p,d=150,units=1,spread=2,first=0")
	if d := b.nextCommand(t).timeoutMS(t); d > 140 {
		t.Errorf("the server was given %d ms", d)
	}
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") || time.Since(at) < 100*time.Millisecond {
		t.Errorf("got %q after %v", got, time.Since(at))
	}
}

// A request beyond the route's limit of open requests is refused at once; a finished request makes room for
// another one.
func TestRouteBoundsOpenRequests(t *testing.T) {
	b := newFakeServer(t)
	r := newRoutedGateway(t, route.Route{MaxAttempts: 1, MaxOpen: 1, RetryAfter: 30 * time.Millisecond}, entries("up", b))
	c, d := r.dial(t), r.dial(t)
	c.sendSafe("one")
	x := b.nextCommand(t)
	d.sendSafe("two")
	d.want("-BUSY 30")
	x.answer(t, served("1"))
	c.want("$1")
	d.sendSafe("three")
	b.nextCommand(t).answer(t, served("3"))
	d.want("$3")
}

// A reload that tightens or removes a route applies to new requests; open requests keep the route they started
// with.
func TestReloadOfRoutes(t *testing.T) {
	for _, next := range map[string][]*route.Route{"tightened": {{Name: "r", MaxAttempts: 1}}, "removed": nil} {
		b := newFakeServer(t)
		r := newRoutedGateway(t, route.Route{MaxAttempts: 2, RetryOn: failures, MinRetriesPerSecond: 100, MaxOpen: 1}, entries("up", b))
		c := r.dial(t)
		c.sendSafe("old")
		x := b.nextCommand(t)
		applied, tune := make(chan struct{}), tuning.Default()
		r.reloads <- gateway.Reload{Discovery: r.discovery.Addr(), Tuning: &tune, Routes: next, Applied: applied}
		<-applied
		x.answer(t, "-ERR failed\r\n")
		b.nextCommand(t).answer(t, served("again"))
		c.want("$again")
		d := r.dial(t) // the old request was counted off the old table
		d.sendSafe("new")
		y := b.nextCommand(t)
		y.answer(t, "-ERR failed\r\n")
		if next != nil {
			d.want("-BUSY 200")
			continue
		}
		b.nextCommand(t).answer(t, served("by the module's own bounds"))
		d.want("$by the module's own bounds")
	}
}

// If every node fails fast, each cell gets at most its first attempts x (1 + budget), as counted by the nodes,
// and every client gets one response.
func TestRetryBudgetAtServers(t *testing.T) {
	var mu sync.Mutex
	firsts, all := map[int]int{}, map[int]int{}
	seen := map[string]bool{}
	var servers []gateway.ServerEntry
	for i := range 4 {
		s, err := testbed.NewScriptedNode(func(conn net.Conn, args []string) {
			if len(args) < 3 { // a closed connection, or an unrelated program that looks for the previous owner of the port
				return
			}
			mu.Lock()
			if all[i%2]++; !seen[args[2]] {
				seen[args[2]] = true
				firsts[i%2]++
			}
			mu.Unlock()
			conn.Write([]byte("-ERR failed\r\n"))
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		servers = append(servers, gateway.ServerEntry{ID: fmt.Sprintf("s-%d", i), Addr: s.Addr(), Zone: "a", Cell: i % 2, State: "up", Weight: 1})
	}
	r := newRoutedGateway(t, route.Route{MaxAttempts: 5, RetryOn: failures, RetryRatio: 0.2}, servers)
	var wg sync.WaitGroup
	answered := 0
	for n := range 8 {
		wg.Go(func() {
			c, err := testbed.Dial(r.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			for i := range 50 {
				c.Conn.SetDeadline(time.Now().Add(testTimeout))
				c.Send("Q.ASK", fmt.Sprintf("%016x", n), fmt.Sprintf("id-%d-%d", n, i), "c=look,t=p,d=30000,units=1,spread=2,first=0")
				got, err := c.Read()
				if err != nil || !strings.HasPrefix(got, "-BUSY") {
					t.Errorf("got %q, %v", got, err)
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if answered != 400 {
		t.Errorf("got %d responses, want 400", answered)
	}
	for cell := range 2 {
		if float64(all[cell]) > 1.2*float64(firsts[cell])+1e-9 || firsts[cell] == 0 {
			// a request whose first attempt went to one cell may be retried at the other, on that cell's budget
			t.Errorf("cell %d got %d attempts, %d of them first ones", cell, all[cell], firsts[cell])
		}
	}
}
