package gateway_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"sloepick/decide"
	"sloepick/internal/gateway"
	"sloepick/internal/h2"
	"sloepick/internal/h2/wire"
	"sloepick/internal/resp"
	"sloepick/internal/settings"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/faultconn"
	"sloepick/internal/tuning"
)

var scriptsOf = flag.Int("acts", 2, "acts of each script of TestConnectionsEndOnce, 5 at most")

const (
	endWithin = 20 * time.Second // no run waits for it to pass
	openMost  = 2                // requests: the third of a piece is refused at once
	whose     = "00000000b4d65521"
)

// hand is a clock that a test moves.
type hand struct{ now atomic.Int64 }

func (h *hand) Now() time.Duration { return time.Duration(h.now.Load()) }

// puppet is a node that answers when the test says so.
type puppet struct {
	tries  []*gateway.Attempt
	served int
}

func (p *puppet) NewTransport(*gateway.Core, *gateway.Endpoint) gateway.Transport { return p }
func (p *puppet) Drain()                                                          {}
func (p *puppet) OldestIdle() (time.Duration, bool)                               { return 0, false }
func (p *puppet) EvictIdle()                                                      {}

func (p *puppet) Start(t *gateway.Attempt) {
	if t.Revalidate() {
		t.MarkConnected()
		t.MarkFullySent()
		p.tries = append(p.tries, t)
	}
}

func (p *puppet) Cancel(t *gateway.Attempt) {
	p.tries = slices.DeleteFunc(p.tries, func(o *gateway.Attempt) bool { return o == t })
}

// run is one core with a front, a client of it, and an audit of what the core does for its requests.
type run struct {
	t     *testing.T
	core  *gateway.Stepper
	clock hand
	back  puppet
	plan  *faultconn.Injector
	addr  string
	far   net.Conn
	ended map[string]bool
	gone  map[string]bool // their clients
	mu    sync.Mutex
	got   bytes.Buffer
	stop  func() // as SIGTERM does, once
}

// protocol is a front with the pieces that its clients send.
type protocol struct {
	front   func(ln net.Listener) gateway.Frontend
	piece   func() (b []byte, answers int) // some commands: one rejected at once, two good, one too many
	answers func(got []byte) int
}

func protocols(t testing.TB) map[string]protocol {
	ask := func(id, class string) string {
		b := redcon.AppendArray(nil, 4)
		for _, arg := range []string{"Q.ASK", whose, id, "c=" + class + ",t=p,d=30000,units=1,spread=2,first=0"} {
			b = redcon.AppendBulkString(b, arg)
		}
		return string(b)
	}
	return map[string]protocol{
		"RESP2": {
			front: func(ln net.Listener) gateway.Frontend {
				f := resp.NewFrontend(netip.AddrPort{})
				f.UseSocket(ln)
				return f
			},
			piece: func() ([]byte, int) {
				return []byte("*1\r\n$4\r\nPING\r\n" + ask("bad", "none") + ask("a", "look") + "*1\r\n$4\r\nPING\r\n" + ask("b", "look") + ask("c", "look") + ask("worse", "none")), 7
			},
			answers: func(got []byte) (n int) {
				for len(got) > 0 {
					size, r := redcon.ReadNextRESP(got)
					if size == 0 || r.Type == 0 {
						break
					}
					got, n = got[size:], n+1
				}
				return n
			},
		},
		"HTTP/2": {
			front: func(ln net.Listener) gateway.Frontend {
				f, err := h2.NewFrontend(h2.FrontendConfig{Name: "x", MaxStreams: 100})
				if err != nil {
					t.Fatal(err)
				}
				f.UseSocket(ln)
				return f
			},
			piece: func() ([]byte, int) {
				c := wire.NewClient(wire.DefaultLimits(), 0)
				askH2(c, "bad", "a", "b", "c", "worse")
				return bytes.Clone(c.TakeOutput()), 5
			},
			answers: func(got []byte) (n int) {
				c := wire.NewClient(wire.DefaultLimits(), 0)
				for range 5 {
					c.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/"}}, nil)
				}
				for _, e := range c.Feed(0, got) {
					if e.Kind == wire.ResponseReceived {
						n++
					}
				}
				return n
			},
		},
	}
}

// askH2 asks by HTTP/2; ids longer than a letter are of a class that there is not.
func askH2(c *wire.Conn, ids ...string) {
	for _, id := range ids {
		class := "look"
		if len(id) > 1 {
			class = "none"
		}
		c.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/v1/ask/" + class},
			{Name: "sloepick-customer", Value: whose}, {Name: "sloepick-plan", Value: "p"}, {Name: "sloepick-id", Value: id},
			{Name: "sloepick-patience", Value: "30000"}}, nil)
	}
}

func newRun(t *testing.T, p protocol, plan *faultconn.Injector, slow bool) *run {
	return newRunOf(t, p, plan, slow, nil, "127.0.0.1:1")
}

// newRunOf is one whose node is at an address, reached by a back; nil: the puppet.
func newRunOf(t *testing.T, p protocol, plan *faultconn.Injector, slow bool, back gateway.Backend, node string) *run {
	set, err := settings.Parse(testbed.MinimalSettings(30 * time.Second))
	if err != nil {
		t.Fatal(err)
	}
	set.OpenCap = openMost
	r := &run{t: t, plan: plan, ended: map[string]bool{}, gone: map[string]bool{}}
	r.clock.now.Store(int64(time.Hour))
	if back == nil {
		back = &r.back
	}
	tune := tuning.Default()
	cfg := gateway.Config{Name: "n0", Cores: 1, MemoryMB: 64, Sockets: 100, Settings: set, Seed: 1, DefaultBackend: back, Tuning: tune,
		KnownServers: gateway.ServerList{Version: 1, Full: true, Servers: []gateway.ServerEntry{{ID: "s-0", Addr: node, Zone: "a", State: "up", Weight: 1}}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	front := p.front(faultconn.Listener{Listener: ln, Injector: plan})
	cfg.Frontends = []gateway.Frontend{front}
	if r.core, err = gateway.NewStepper(cfg, &r.clock, nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	r.stop = sync.OnceFunc(r.core.Stop)
	r.core.Observe(r.audit)
	if err := front.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		front.Serve(context.Background(), r.core.Core())
	}()
	t.Cleanup(func() { front.Close(); <-served })
	r.far = r.dial(slow)
	return r
}

func (r *run) dial(slow bool) net.Conn {
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	if slow { // it reads nothing, and its kernel takes little
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		return c
	}
	go func() {
		b := make([]byte, 4<<10)
		for {
			n, err := c.Read(b)
			r.mu.Lock()
			r.got.Write(b[:n])
			r.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return c
}

// audit holds what is to hold for every request: it comes from a connection that is there, it ends once, and nothing goes out for it after that.
func (r *run) audit(e decide.Event, actions []decide.Action) {
	end := func(id, how string) {
		if r.ended[id] {
			r.t.Errorf("%s a second time: %s", id, how)
		}
		r.ended[id] = true
	}
	switch e := e.(type) {
	case decide.Request:
		if _, known := r.ended[e.ID]; known {
			r.t.Errorf("%s came twice", e.ID)
		}
		r.ended[e.ID] = false
		if r.plan.FirstClosed() {
			r.t.Errorf("%s is taken from a connection that is closed", e.ID)
		}
	case decide.ClientDisconnected:
		if r.gone[e.ID] {
			r.t.Errorf("%s is told a second time to have no client", e.ID)
		}
		// Of two that the module ends at once the first one's answer may show that nobody is there for the second.
		r.gone[e.ID], r.ended[e.ID] = true, true
	case decide.AttemptEnded:
		if e.Outcome == decide.OK {
			r.ended[e.ID] = true // once more if a second copy is answered
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Refuse:
			end(a.ID, "refused")
		case decide.Fail:
			end(a.ID, "failed")
		case decide.SendAttempt:
			if r.ended[a.ID] {
				r.t.Errorf("%s goes out after its end", a.ID)
			}
		}
	}
}

// pump steps until nothing was posted for a moment.
func (r *run) pump() {
	for r.core.Step(); ; r.core.Step() {
		select {
		case <-r.core.Wakeups():
		case <-time.After(time.Millisecond):
			return
		}
	}
}

// answer answers all that is open with so many bytes.
func (r *run) answer(size int) {
	for len(r.back.tries) > 0 {
		t := r.back.tries[0]
		r.back.tries = r.back.tries[1:]
		t.Succeed(bytes.Repeat([]byte("v"), size), nil)
		r.back.served++
	}
	r.core.Step()
}

// settled holds that where no client is there nothing is open.
func (r *run) settled() {
	r.pump()
	if f := r.core.Stats(); f.Clients == 0 && (f.RequestBytes > 0 || len(r.back.tries) > 0) {
		r.t.Errorf("no client is there, and %+v, %d attempts", f, len(r.back.tries))
	}
}

// acts are what may happen to a connection with requests on it.
var acts = map[string]func(r *run){
	"answer": func(r *run) { r.answer(60 << 10) },
	"reset": func(r *run) {
		r.far.(*net.TCPConn).SetLinger(0)
		r.far.Close()
	},
	"half-close": func(r *run) { r.far.(*net.TCPConn).CloseWrite() },
	"term":       func(r *run) { r.stop() },
	"evict": func(r *run) { // newcomers until there is no room
		for range 40 {
			c, err := net.Dial("tcp", r.addr)
			if err != nil {
				break // the listener is closed
			}
			r.t.Cleanup(func() { c.Close() })
		}
		r.pump()
	},
}

// scripts are all orders of so many different acts.
func scripts(most int) (all [][]string) {
	names := []string{"answer", "reset", "half-close", "term", "evict"}
	all = [][]string{nil}
	for from := 0; len(all[len(all)-1]) < most; {
		to := len(all)
		for _, s := range all[from:to] {
			for _, n := range names {
				if !slices.Contains(s, n) {
					all = append(all, append(slices.Clone(s), n))
				}
			}
		}
		from = to
	}
	return all
}

// TestConnectionsEndOnce plays on both fronts every order of some acts (answers, a reset, a half-close, SIGTERM, newcomers that want room)
// after a piece with many commands, with a client that reads and one that does not, and fails in each the nth read, write, look, deadline, close and accept of its
// connections, for all n that come about. Whatever happens: no request is taken from a connection that is closed, each ends once, nothing goes out for it
// after that, no connection, request or byte is left, and nothing panics. Where nothing fails and the client stays, all its commands are answered.
func TestConnectionsEndOnce(t *testing.T) {
	for name, p := range protocols(t) {
		for _, script := range scripts(*scriptsOf) {
			t.Run(name+" "+strings.Join(script, " "), func(t *testing.T) {
				t.Parallel()
				for _, slow := range []bool{false, true} {
					failEach(t, faultconn.Accept, 12, func(t *testing.T, plan *faultconn.Injector) { play(t, p, plan, script, slow) })
				}
			})
		}
	}
}

// failEach plays with nothing that fails, and with the nth operation of each kind failing, for all n that come about, up to most.
func failEach(t *testing.T, last faultconn.Op, most int, play func(t *testing.T, plan *faultconn.Injector)) {
	for op := faultconn.None; op <= last && !t.Failed(); op++ {
		for n := 1; n <= most; n++ {
			plan := &faultconn.Injector{Op: op, Nth: n}
			t.Run(fmt.Sprintf("%v %d", op, n), func(t *testing.T) { play(t, plan) })
			if op == faultconn.None || !plan.Triggered() {
				break
			}
		}
	}
}

func play(t *testing.T, p protocol, plan *faultconn.Injector, script []string, slow bool) {
	r := newRun(t, p, plan, slow)
	b, commands := p.piece()
	r.pump()
	r.far.Write(b)
	r.settled()
	for end := time.Now().Add(endWithin); plan.Op == faultconn.None && r.core.Stats().Requests < openMost && time.Now().Before(end); {
		r.pump() // a late machine may not have read the piece: a connection without a request gives way to newcomers
	}
	for _, s := range script {
		acts[s](r)
		r.settled()
	}
	acts["answer"](r)
	r.pump()
	if plan.Op == faultconn.None && !slow && !slices.Contains(script, "reset") && !slices.Contains(script, "half-close") {
		var n int
		for end := time.Now().Add(endWithin); n != commands && time.Now().Before(end); time.Sleep(time.Millisecond) {
			r.pump()
			acts["answer"](r) // what came late
			r.mu.Lock()
			n = p.answers(r.got.Bytes())
			r.mu.Unlock()
		}
		if n != commands {
			t.Errorf("%d of %d commands were answered", n, commands)
		}
		if r.back.served != openMost {
			t.Errorf("%d requests were served, want %d", r.back.served, openMost)
		}
	}
	r.conclude()
}

// conclude ends the client and the gateway, and holds that nothing is left.
func (r *run) conclude() {
	t := r.t
	r.far.Close()
	r.stop()
	for end := time.Now().Add(endWithin); !r.core.Stopped() || r.plan.OpenConns() > 0 || r.core.Stats().Requests > 0; r.pump() {
		r.clock.now.Add(int64(100 * time.Millisecond))
		if time.Now().After(end) {
			t.Fatalf("it does not end: %+v, %d connections are not closed", r.core.Stats(), r.plan.OpenConns())
		}
	}
	if f := r.core.Stats(); f.RequestBytes != 0 || f.Clients != 0 {
		t.Errorf("left: %+v", f)
	}
	for id, ended := range r.ended {
		if !ended {
			t.Errorf("%s has no ending", id)
		}
	}
}

// FuzzConnections plays scripts of a connection: bytes in pieces of any size, answers, cuts, resets, times, and a failing operation. It holds what
// TestConnectionsEndOnce does. Without -fuzz its seeds are played.
func FuzzConnections(f *testing.F) {
	for name := range protocols(f) {
		f.Add(name == "HTTP/2", byte(faultconn.Write), byte(1), []byte{0, 200, 2, 5})
		f.Add(name == "HTTP/2", byte(faultconn.None), byte(0), []byte{1, 3, 6, 0, 90, 2, 3, 7, 7})
		f.Add(name == "HTTP/2", byte(faultconn.Deadline), byte(2), []byte{0, 250, 4, 2, 6, 6, 5})
	}
	f.Fuzz(func(t *testing.T, byH2 bool, op, n byte, script []byte) {
		name := "RESP2"
		if byH2 {
			name = "HTTP/2"
		}
		p := protocols(t)[name]
		plan := &faultconn.Injector{Op: faultconn.Op(op) % (faultconn.Accept + 1), Nth: 1 + int(n%8)}
		r := newRun(t, p, plan, false)
		b, _ := p.piece()
		left := b
		for i := 0; i < min(len(script), 40); i++ {
			switch script[i] % 8 {
			case 0: // so many of the piece's bytes; behind its end it comes again
				if i++; i < len(script) {
					k := min(int(script[i])*4, len(left))
					r.far.Write(left[:k])
					if left = left[k:]; len(left) == 0 {
						left = b
					}
				}
			case 1: // bytes of the script's own
				r.far.Write(script[i:])
			case 2:
				acts["answer"](r)
			case 3:
				acts["reset"](r)
			case 4:
				acts["half-close"](r)
			case 5:
				acts["term"](r)
			case 6:
				r.clock.now.Add(int64(time.Second))
			case 7:
				r.pump()
			}
			r.core.Step()
		}
		acts["answer"](r)
		r.pump()
		r.conclude()
	})
}

// TestPieceBehindTheEndByHTTP2: a client gives no window, so that its answers pile up to the limit; then it sends a piece whose first request is
// rejected, which ends the connection, and the next must not be taken in.
func TestPieceBehindTheEndByHTTP2(t *testing.T) {
	r := newRun(t, protocols(t)["HTTP/2"], &faultconn.Injector{}, false)
	c := wire.NewClient(wire.DefaultLimits(), 0)
	var b bytes.Buffer
	b.Write(bytes.Clone(c.TakeOutput()))
	if err := http2.NewFramer(&b, nil).WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}); err != nil {
		t.Fatal(err)
	}
	r.far.Write(b.Bytes())
	left := wire.DefaultLimits().MaxUnsentBytes
	for n := 0; left > 0; n++ {
		askH2(c, string(rune('a'+n)))
		r.far.Write(bytes.Clone(c.TakeOutput()))
		for end := time.Now().Add(endWithin); len(r.back.tries) == 0; r.pump() {
			if time.Now().After(end) {
				t.Fatal("the request did not come to its node")
			}
		}
		size := min(left, 60<<10)
		r.answer(size)
		left -= size
	}
	askH2(c, "bad", "Z")
	r.far.Write(bytes.Clone(c.TakeOutput()))
	before := r.back.served
	for end := time.Now().Add(endWithin); r.core.Stats().Clients > 0; r.pump() {
		r.clock.now.Add(int64(100 * time.Millisecond))
		if time.Now().After(end) {
			t.Fatal("the connection does not end")
		}
	}
	if len(r.ended) != before || len(r.back.tries) > 0 {
		t.Errorf("%d requests were taken, want %d", len(r.ended), before)
	}
	r.conclude()
}
