package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/faultconn"
	"sloepick/internal/testbed/leaks"
	"sloepick/internal/tuning"
)

const longResponse = 60 << 10 // bytes

// h2Peer is an HTTP/2 client that reads only when the test says so.
type h2Peer struct {
	*testbed.H2Client
	asked int
}

// newH2Peer opens a connection. addedWindow is added to the connection's flow-control window.
func (r *scenario) newH2Peer(addedWindow uint32, set ...http2.Setting) *h2Peer {
	r.t.Helper()
	c, err := testbed.DialH2(r.addr, nil, set...)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	if addedWindow > 0 {
		if err := c.Framer.WriteWindowUpdate(0, addedWindow); err != nil {
			r.t.Fatal(err)
		}
	}
	return &h2Peer{H2Client: c}
}

// send sends a request and waits until it has reached its node or was refused.
func (r *scenario) send(p *h2Peer) {
	r.t.Helper()
	seen := len(r.ended)
	p.asked++
	q := testbed.H2Request{Path: "/v1/ask/look", Customer: testCustomer, Plan: "p", ID: fmt.Sprint(p.Conn.LocalAddr(), "/", p.asked), Patience: 30 * time.Second}
	if _, err := p.Send(q); err != nil {
		r.t.Fatal(err)
	}
	for end := time.Now().Add(endTimeout); len(r.ended) == seen; r.pump() {
		if time.Now().After(end) {
			r.t.Fatal("the request did not reach the core")
		}
	}
}

// ask sends a request, which is answered with a long response.
func (r *scenario) ask(p *h2Peer) {
	r.t.Helper()
	r.send(p)
	r.answer(longResponse)
	r.pump()
}

// readResponses reads everything that the client is sent until it has all responses, and returns the number of those
// that are whole, and of those that say that the gateway has failed.
func (r *scenario) readResponses(p *h2Peer) (whole, failed int) {
	r.t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Conn.SetReadDeadline(time.Now().Add(endTimeout))
		for whole+failed < p.asked {
			a, err := p.Read()
			switch {
			case err != nil || a.Reset || a.GoAway:
				r.t.Errorf("the client got %d responses, then %+v, %v", whole+failed, a, err)
				return
			case a.Status == 200 && len(a.Body) == longResponse:
				whole++
			default:
				failed++
			}
		}
	}()
	for {
		select {
		case <-r.core.Wakeups():
			r.core.Step()
		case <-done:
			return whole, failed
		}
	}
}

// Guards against an HTTP/2 client being cut off, with all of its requests unanswered, when more responses are ready
// than it has taken: because they exceed Clients.MaxUnreadBytes before any of it was written, or while a write is in
// progress, or because they wait for its windows.
func TestUnreadHTTP2ResponsesAreDelivered(t *testing.T) {
	for name, addedWindow := range map[string]uint32{"usual window": 0, "large window": 64 << 20} {
		t.Run(name, func(t *testing.T) {
			leaks.Check(t)
			r := newScenario(t, protocols(t)["HTTP/2"], &faultconn.Injector{}, false)
			p := r.newH2Peer(addedWindow)
			const n = 90
			for range n {
				r.ask(p)
			}
			if held, limit := r.core.Stats().UnsentBytes, tuning.Default().Clients.MaxUnreadBytes; held <= limit {
				t.Fatalf("only %d bytes were held, which is not over the limit", held)
			}
			if whole, failed := r.readResponses(p); whole != n {
				t.Errorf("%d whole responses and %d failures, want %d", whole, failed, n)
			}
			p.Close()
			r.shutDown()
		})
	}
}

// Guards against the response to a slow request being reset at once, because its time to be taken was counted from
// when the client last sent something.
func TestSlowHTTP2ResponseHasItsTimeToBeTaken(t *testing.T) {
	leaks.Check(t)
	r := newScenario(t, protocols(t)["HTTP/2"], &faultconn.Injector{}, false)
	p := r.newH2Peer(0, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	r.send(p)
	r.clock.now.Add(int64(2 * tuning.Default().Clients.WriteTimeout))
	r.answer(longResponse)
	r.clock.now.Add(int64(tuning.Default().Clients.WriteTimeout / 2))
	r.pump()
	if err := p.Framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: longResponse}); err != nil {
		t.Fatal(err)
	}
	if whole, _ := r.readResponses(p); whole != 1 {
		t.Error("the response was not delivered")
	}
	p.Close()
	r.shutDown()
}

// Guards against HTTP/2 clients that read nothing filling the memory together, and costing another client its
// response.
func TestHTTP2ClientsThatReadNothingShareTheMemory(t *testing.T) {
	leaks.Check(t)
	const clients, requests = 6, 90
	r := newScenario(t, protocols(t)["HTTP/2"], &faultconn.Injector{}, false)
	share := int(tuning.Default().Clients.MemoryShare * 64 * (1 << 20))
	most := 0
	var idle []*h2Peer
	for range clients {
		p := r.newH2Peer(0)
		idle = append(idle, p)
		for range requests {
			r.ask(p)
			most = max(most, r.core.Stats().UnsentBytes)
		}
	}
	if bound := share + clients*4*gateway.MaxPayloadSize; most < share*3/4 || most > bound {
		t.Errorf("%d bytes were held, want at most %d, and enough to test that", most, bound)
	}
	other := r.newH2Peer(0)
	r.ask(other)
	if whole, _ := r.readResponses(other); whole != 1 {
		t.Error("another client did not get its response")
	}
	r.clock.now.Add(int64(time.Second)) // the idle clients count as not reading now: they make room
	other = r.newH2Peer(0)
	for range requests {
		r.ask(other)
	}
	if whole, failed := r.readResponses(other); whole != requests {
		t.Errorf("another client got %d responses and %d failures, want %d", whole, failed, requests)
	}
	for _, p := range idle {
		p.Close()
	}
	other.Close()
	r.shutDown()
	if held := r.core.Stats().UnsentBytes; held != 0 {
		t.Errorf("%d bytes are left", held)
	}
}
