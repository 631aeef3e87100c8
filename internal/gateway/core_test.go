package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/tuning"
)

const long = 30 * time.Second // an aim that no test reaches

// hand is a clock that a test moves.
type hand struct{ now time.Duration }

func (h *hand) Now() time.Duration { return h.now }

// wire is a back without connections: it keeps the tries that are out, and what became of its nodes.
type wire struct {
	tries   []*Attempt
	givenUp []*Attempt
	retired int
	idle    map[string]time.Duration // by address
	evicted []string
}

type wireNode struct {
	w *wire
	p *Endpoint
}

func (w *wire) NewTransport(_ *Core, p *Endpoint) Transport { return &wireNode{w, p} }

func (n *wireNode) Start(t *Attempt) {
	if !n.p.ReserveConn() {
		t.Fail(NoLocalCapacity)
		return
	}
	n.w.tries = append(n.w.tries, t)
}
func (n *wireNode) Cancel(t *Attempt) { n.w.givenUp = append(n.w.givenUp, t); n.p.ReleaseConn() }
func (n *wireNode) Drain()            { n.w.retired++ }
func (n *wireNode) OldestIdle() (time.Duration, bool) {
	at, any := n.w.idle[n.p.Addr()]
	return at, any
}
func (n *wireNode) EvictIdle() {
	n.w.evicted = append(n.w.evicted, n.p.Addr())
	n.p.ReleaseConn()
}

// still is a loop that a test drives by hand, with so many servers.
func still(t *testing.T, servers int) (*loop, *wire) {
	t.Helper()
	var list []ServerEntry
	for i := range servers {
		list = append(list, ServerEntry{ID: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "a", Cell: i, State: "up", Weight: 1})
	}
	cfg, w := SmallConfig(t, long, list), &wire{}
	cfg.DefaultBackend = w
	l, err := newLoop(cfg, &hand{time.Hour}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return l, w
}

func (l *loop) later(d time.Duration) {
	l.clock.(*hand).now += d
	l.ring()
	l.settle()
}

// asked keeps the endings of a request.
type asked struct{ ends []Response }

func (a *asked) Respond(e Response) { a.ends = append(a.ends, e) }

func values(id string) *Request {
	return &Request{Customer: "00000000b4d65521", ID: id, Class: "look", Plan: "p", ClientTimeout: long, Units: 1, GatewayCount: 2, ReceivedAt: time.Hour}
}

// open puts a request into the loop.
func open(l *loop, id string) (*asked, RequestHandle) {
	a := &asked{}
	t := l.door.Submit(a, values(id))
	l.drainTodo()
	return a, t
}

func (a *asked) want(t *testing.T, kind ResponseKind, why string) {
	t.Helper()
	if len(a.ends) != 1 || a.ends[0].Kind != kind || a.ends[0].Reason != why {
		t.Errorf("the client got %+v, want one of kind %d, %q", a.ends, kind, why)
	}
}

// A module that panics must cost no client its answer.
func TestPanicAnswersAll(t *testing.T) {
	l, w := still(t, 1)
	first, _ := open(l, "one")
	second, _ := open(l, "two")
	broken := &decide.Gateway{} // not made by New
	l.core = broken
	l.feed(decide.ServerListUpdate{Servers: []decide.Server{{ID: "s"}}})
	l.drainTodo()
	if l.core == broken || len(l.requests) != 0 || len(w.givenUp) != 2 {
		t.Errorf("%d requests are open, %d attempts given up, new module %v", len(l.requests), len(w.givenUp), l.core != broken)
	}
	first.want(t, Failed, "internal error")
	second.want(t, Failed, "internal error")
	if _, handle := open(l, "three"); len(handle.r.attempts) != 1 {
		t.Error("the new module sends nothing")
	}
}

// A request that the module forgot is failed before its client stops waiting, once.
func TestOverdueRequestIsFailed(t *testing.T) {
	l, _ := still(t, 1)
	a, handle := open(l, "id")
	l.overdue(handle.r)
	l.overdue(handle.r)
	l.drainTodo()
	a.want(t, Failed, "failed")
	if len(l.requests) != 0 {
		t.Errorf("%d requests are still known", len(l.requests))
	}
}

// Whatever a node does, the answer leaves before the client stops waiting, and nothing follows it.
func TestSilenceEndsInTime(t *testing.T) {
	l, w := still(t, 1)
	a, _ := open(l, "id")
	w.tries[0].MarkConnected()
	w.tries[0].MarkFullySent()
	l.later(long - deadlineMargin)
	if len(a.ends) != 1 {
		t.Fatalf("%d answers at the deadline", len(a.ends))
	}
	w.tries[0].Succeed([]byte("late"), nil)
	l.later(time.Minute)
	if len(a.ends) != 1 || len(l.requests) != 0 {
		t.Errorf("%d answers, %d requests", len(a.ends), len(l.requests))
	}
}

// Over the bound of open requests, or of the memory that they hold, a request is refused at once.
func TestOpenRequestsAreBounded(t *testing.T) {
	for name, fill := range map[string]func(l *loop){
		"open": func(l *loop) { l.cfg.Settings.OpenCap = 1 },
		"held": func(l *loop) { l.held = l.heldMost() },
	} {
		l, _ := still(t, 1)
		open(l, "id")
		fill(l)
		a, handle := open(l, "id-2")
		if a.want(t, Refused, ""); handle.Open() || a.ends[0].RetryAfter != time.Second {
			t.Errorf("%s: %+v, open %v", name, a.ends, handle.Open())
		}
	}
}

// What the settings do not allow ends at the gateway. It would be counted and told as the customer's demand, or
// rewrite its set, or be turned away by a server and held against that.
func TestValuesAreHeldToTheSettings(t *testing.T) {
	l, _ := still(t, 1)
	try := func(change func(v *Request)) error {
		v := values("id")
		change(v)
		return v.check(&l.cfg)
	}
	l.cfg.Settings.Decide.Classes[0].Deadline -= time.Millisecond / 2 // 29,999.5 ms, which a client rounds up
	book := func(v *Request) { v.Class, v.Write, v.Key = "book", true, "5c0f" }
	for name, change := range map[string]func(v *Request){
		"as it is": func(*Request) {}, "keyed": book, "last customer": func(v *Request) { v.Customer = "00000001ffffffff" },
		"most units": func(v *Request) { v.Units = 8 }, "no set": func(v *Request) { v.GatewayCount = 0 },
	} {
		if err := try(change); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, change := range map[string]func(v *Request){
		"customer":      func(v *Request) { v.Customer = "0000000200000000" },
		"short":         func(v *Request) { v.Customer = "b4d65521" },
		"no hex":        func(v *Request) { v.Customer = "0000000xb4d65521" },
		"no id":         func(v *Request) { v.ID = "" },
		"long id":       func(v *Request) { v.ID = fmt.Sprintf("%0129d", 1) },
		"class":         func(v *Request) { v.Class = "none" },
		"plan":          func(v *Request) { v.Plan = "none" },
		"other command": func(v *Request) { v.Write = true },
		"no key":        func(v *Request) { v.Class, v.Write = "book", true },
		"long key":      func(v *Request) { book(v); v.Key = fmt.Sprintf("%065d", 1) },
		"no time":       func(v *Request) { v.ClientTimeout = 0 },
		"too long":      func(v *Request) { v.ClientTimeout = long + time.Millisecond },
		"units":         func(v *Request) { v.Units = 8.5 },
		"few units":     func(v *Request) { v.Units = 0.5 },
		"spread":        func(v *Request) { v.GatewayCount = 3 },
		"first":         func(v *Request) { v.FirstGateway = 2 },
		"body":          func(v *Request) { v.Body = make([]byte, MaxPayloadSize+1) },
	} {
		if try(change) == nil {
			t.Errorf("%s passes", name)
		}
	}
}

// A second request with an id that is open meets nobody's answer; once the first is over the id is free.
func TestIDThatIsOpen(t *testing.T) {
	l, w := still(t, 1)
	first, _ := open(l, "id")
	second, _ := open(l, "id")
	second.want(t, Rejected, "a request with this id is open")
	w.tries[0].MarkConnected()
	w.tries[0].MarkFullySent()
	w.tries[0].Succeed([]byte("v"), nil)
	l.drainTodo()
	first.want(t, Served, "")
	if _, third := open(l, "id"); !third.Open() {
		t.Error("the id is not free")
	}
}

// client is a connection that owes something or not.
type client struct {
	quiet          bool
	used           time.Duration
	drained, ended int
}

func (c *client) Idle() bool              { return c.quiet }
func (c *client) LastUsed() time.Duration { return c.used }
func (c *client) Drain()                  { c.drained++ }
func (c *client) Close()                  { c.ended++ }

// Clients and servers together stay within the descriptors, and a client over the last of them is sent away.
func TestDescriptorsAreBounded(t *testing.T) {
	l, _ := still(t, 1)
	most := l.cfg.Sockets - leastSockets
	for range most {
		if !l.door.AdmitConn(&client{}) { // owed an answer, so not to be evicted
			t.Fatal("a client that there is room for is turned away")
		}
	}
	if room := l.pool.room(); room+len(l.clients)+reserveSockets > l.cfg.Sockets || room < 1 {
		t.Errorf("room for %d connections to servers beside %d clients", room, len(l.clients))
	}
	if l.door.AdmitConn(&client{}) || len(l.clients) != most {
		t.Errorf("one more is taken: %d", len(l.clients))
	}
}

// Where room is needed the connection that has been quiet for longest goes, and not one that is owed an answer.
func TestWhoMakesRoom(t *testing.T) {
	l, _ := still(t, 1)
	old, young, owed := &client{quiet: true, used: 5}, &client{quiet: true, used: 9}, &client{used: 1}
	for _, c := range []*client{young, old, owed} {
		l.door.AdmitConn(c)
	}
	l.evictClient()
	if old.drained != 1 || young.drained+owed.drained != 0 {
		t.Errorf("drained: old %d, young %d, owed %d", old.drained, young.drained, owed.drained)
	}
}

// Connections to servers are bounded, and the one idle for longest gives way.
func TestConnectionsAreBounded(t *testing.T) {
	l, w := still(t, 2)
	s := l.pool.servers["s-0"]
	for name, full := range map[string]func(){"of the server": func() { s.conns = l.pool.perNode }, "of all": func() { l.pool.conns = l.pool.most }} {
		l.pool.conns, s.conns = 0, 0
		full()
		a := &attempt{req: &request{id: "r"}, server: s}
		if l.pool.start(a); !a.over || a.outcome != decide.NotSent {
			t.Errorf("%s: a connection over the bound is made", name)
		}
	}
	w.idle = map[string]time.Duration{"127.0.0.1:1": 9, "127.0.0.1:2": 5}
	other := l.pool.servers["s-1"]
	l.pool.conns, s.conns, other.conns = l.pool.most, 1, 1
	a := &attempt{req: &request{id: "r"}, server: s}
	if l.pool.start(a); a.over || len(w.evicted) != 1 || w.evicted[0] != "127.0.0.1:2" {
		t.Errorf("evicted: %v, over %v", w.evicted, a.over)
	}
}

// A time-out that the loop comes to late, as the core was busy, is not the server's; one before there is a connection never
// ran.
func TestLateTimeOutBlamesNobody(t *testing.T) {
	for _, c := range []struct {
		placed bool
		late   time.Duration
		want   decide.Outcome
	}{{true, 0, decide.TimedOut}, {true, lateness + 1, decide.Cancelled}, {false, 0, decide.NoConnection}} {
		l, w := still(t, 1)
		_, handle := open(l, "id")
		a := handle.r.attempts[0]
		a.placed = c.placed
		l.clock.(*hand).now = a.until + c.late
		l.pool.expire(a)
		if a.outcome != c.want || len(w.givenUp) != 1 {
			t.Errorf("%v late: outcome %v, want %v", c.late, a.outcome, c.want)
		}
	}
}

// The one table of what may have run, and the one exception: what broke before it was whole never left.
func TestFates(t *testing.T) {
	for _, c := range []struct {
		result AttemptResult
		whole  bool
		want   decide.Outcome
	}{{NoLocalCapacity, false, decide.NotSent}, {NotFullySent, false, decide.NoConnection}, {RefusedByNode, true, decide.Rejected}, {ConnectionLost, true, decide.Reset},
		{ConnectionLost, false, decide.NoConnection}, {BadResponse, true, decide.Error}} {
		l, w := still(t, 1)
		_, handle := open(l, "id")
		a := handle.r.attempts[0]
		a.whole = c.whole
		w.tries[0].Fail(c.result)
		if a.outcome != c.want {
			t.Errorf("result %d, whole %v: outcome %v, want %v", c.result, c.whole, a.outcome, c.want)
		}
	}
}

// A flood of events waits with those who send them, and ends with the gateway.
func TestInboxIsBounded(t *testing.T) {
	q := newInbox()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * inboxMost {
			q.post(func() {})
		}
	}()
	<-q.ready
	if n := len(q.take(nil)); n > inboxMost {
		t.Errorf("%d events at once, want %d at most", n, inboxMost)
	}
	q.close()
	<-done
}

// What is over is let go at once: its alarms would hold it for as long as its client would have waited.
func TestEndedWorkIsLetGo(t *testing.T) {
	l, _ := still(t, 1)
	before := len(l.alarms)
	_, handle := open(l, "id")
	timers := 0 // the module's own, which name what they are about and don't hold it
	for _, a := range l.alarms[before:] {
		if a != handle.r.overdue && a != handle.r.attempts[0].expiry {
			timers++
		}
	}
	l.door.Abandon(handle)
	l.drainTodo()
	if len(l.alarms) != before+timers || len(l.requests) != 0 || len(l.ids) != 0 || l.held != 0 {
		t.Errorf("%d alarms, want %d; %d requests, %d ids, %d bytes", len(l.alarms), before+timers, len(l.requests), len(l.ids), l.held)
	}
}

// A server that is gone is forgotten once no connection leads to it, not before.
func TestGoneServerIsForgotten(t *testing.T) {
	l, w := still(t, 1)
	_, handle := open(l, "id")
	l.fleet(decide.ListFull, ServerList{Version: 2, Full: true})
	if len(l.pool.servers) != 1 || w.retired != 1 {
		t.Errorf("%d servers with an attempt out, %d retired", len(l.pool.servers), w.retired)
	}
	l.pool.cancel(handle.r.attempts[0])
	l.fleet(decide.ListDelta, ServerList{Version: 3, Servers: []ServerEntry{{ID: "never", State: "removed"}}})
	if len(l.pool.servers) != 0 {
		t.Errorf("%d servers are kept", len(l.pool.servers))
	}
}

// A server that moves or starts anew has another transport, and the old one takes nothing more.
func TestMovedServerHasAnotherCarrier(t *testing.T) {
	l, w := still(t, 1)
	for i, e := range []ServerEntry{{Addr: "127.0.0.1:9", State: "up"}, {Addr: "127.0.0.1:9", State: "up", StartedMS: 7}} {
		before := l.pool.servers["s-0"].transport
		e.ID = "s-0"
		l.fleet(decide.ListDelta, ServerList{Version: uint64(2 + i), Servers: []ServerEntry{e}})
		if l.pool.servers["s-0"].transport == before || w.retired != i+1 {
			t.Errorf("%+v: the transport stays, %d retired", e, w.retired)
		}
	}
	before := l.pool.servers["s-0"].transport
	l.fleet(decide.ListDelta, ServerList{Version: 4, Servers: []ServerEntry{{ID: "s-0", Addr: "127.0.0.1:9", State: "draining", StartedMS: 7}}})
	if l.pool.servers["s-0"].transport != before || w.retired != 3 {
		t.Errorf("draining: %d retired", w.retired)
	}
}

// New values hold for what is begun from then on, and nothing that is in use is taken away.
func TestRetune(t *testing.T) {
	l, w := still(t, 1)
	_, handle := open(l, "id")
	a := handle.r.attempts[0]
	next := tuning.Default()
	next.Nodes.Connections, next.Nodes.IdlePart, next.Nodes.Descriptors = 1, 6, 0.25
	next.Clients.Held = 0.01
	before, idleFor, held := l.pool.most, l.pool.idleFor, l.heldMost()
	taken := make(chan struct{})
	l.retune(Reload{Tuning: &next, Applied: taken})
	<-taken
	if a.over || len(w.givenUp) != 0 {
		t.Error("an attempt that is out was ended")
	}
	if l.pool.most != before/2 || l.pool.idleFor != idleFor/2 || l.heldMost() != held/25 {
		t.Errorf("most %d of %d, idle for %v of %v, held %d of %d", l.pool.most, before, l.pool.idleFor, idleFor, l.heldMost(), held)
	}
	second := &attempt{req: &request{id: "r"}, server: a.server}
	if l.pool.start(second); !second.over {
		t.Error("a second connection to the node is made")
	}
	l.retune(Reload{})
	if l.pool.perNode != 1 {
		t.Error("a reload without values changed them")
	}
}

// However short the stop may be, it is not shorter than clients wait.
func TestStopIsNeverShorterThanClientsWait(t *testing.T) {
	l, _ := still(t, 0)
	c := &client{}
	l.door.AdmitConn(c)
	short := tuning.Default()
	short.Stop.Longest, short.Stop.Accept, short.Stop.LastCall = time.Second, 0, 0
	l.tune.Store(&short)
	l.stop()
	if l.later(29 * time.Second); c.drained != 1 || c.ended != 0 { // the classes' 30 s
		t.Errorf("drained %d times, ended %d times", c.drained, c.ended)
	}
	if l.later(time.Second); c.ended != 1 {
		t.Error("a connection that is never answered holds the gateway")
	}
}

// The core under its owner's hands: a request goes out, is answered, and the end owes nothing.
func TestCoreByHand(t *testing.T) {
	cfg, w, clock := SmallConfig(t, long, []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", State: "up", Weight: 1}}), &wire{}, &hand{time.Hour}
	cfg.DefaultBackend = w
	c, err := NewStepper(cfg, clock, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	events := 0
	c.Observe(func(decide.Event, []decide.Action) { events++ })
	a := &asked{}
	c.Core().Post(func() { c.Core().Submit(a, values("id")) })
	<-c.Wakeups()
	c.Step()
	if f := c.Stats(); f.Requests != 1 || f.RequestBytes == 0 || len(w.tries) != 1 {
		t.Fatalf("%+v, %d attempts", f, len(w.tries))
	}
	w.tries[0].MarkFullySent()
	w.tries[0].Succeed([]byte("v"), nil)
	c.Step()
	a.want(t, Served, "")
	if f := c.Stats(); f.Requests != 0 || f.RequestBytes != 0 || events < 2 {
		t.Errorf("%+v, %d events", f, events)
	}
	c.Stop()
	for !c.Stopped() {
		at, any := c.NextTimer()
		if !any {
			t.Fatal("nothing is due, and it has not stopped")
		}
		clock.now = at
		c.Step()
	}
}
