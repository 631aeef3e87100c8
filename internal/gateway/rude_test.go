package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/tuning"
)

// brief are limits that a test can wait out.
var brief = func() *tuning.Tuning {
	t := tuning.Default()
	t.Clients.FirstCommand, t.Clients.Idle = 30*time.Millisecond, 30*time.Millisecond
	return &t
}()

var usual = func() *tuning.Tuning {
	t := tuning.Default()
	return &t
}()

// connect gives the loop a connection with the limits, on which something was sent, and returns the client's end.
func connect(t *testing.T, l *loop, limits *tuning.Tuning, sent string) (*client, net.Conn) {
	t.Helper()
	l.tune.Store(limits)
	near, far := pair(t)
	if _, err := io.WriteString(far, sent); err != nil {
		t.Fatal(err)
	}
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	c := newClient(l, out)
	join(l, c)
	return c, far
}

// A connection that says nothing, half a command, or nothing more, gives its descriptor back in time. Without a
// limit hundreds of them took all descriptors for good.
func TestQuietConnectionsEnd(t *testing.T) {
	for name, tc := range map[string]struct{ sent, want string }{
		"silent":       {"", ""},
		"half":         {"*1\r\n$4\r\nPI", "-ERR protocol error: the command did not end in time\r\n"},
		"idle":         {"*1\r\n$4\r\nPING\r\n", "+PONG\r\n"},
		"half, behind": {"*1\r\n$4\r\nPING\r\n*1\r\n", "+PONG\r\n-ERR protocol error: the command did not end in time\r\n"},
	} {
		l := still(t, nil)
		c, far := connect(t, l, brief, tc.sent)
		for !c.closed {
			step(l)
		}
		if got := text(t, far); got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// A command that comes in drops gets no more time than one that stops half way.
func TestTricklingCommandEnds(t *testing.T) {
	l := still(t, nil)
	c, far := connect(t, l, brief, "")
	go func() {
		for _, b := range []byte("*1\r\n$60000\r\n" + strings.Repeat("x", 60000)) {
			if _, err := far.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	for !c.closed {
		step(l)
	}
}

// A client that waits for its answer is not idle, however long that takes.
func TestWaitingClientIsNotIdle(t *testing.T) {
	l := still(t, unreachable(t))
	c, _ := connect(t, l, brief, asked("id"))
	for len(c.slots) == 0 {
		step(l)
	}
	time.Sleep(4 * brief.Clients.Idle) // its limit passes, some times
	for _, e := range l.in.take(nil) {
		if e, ok := e.(commands); ok && e.last {
			t.Error("the waiting client was given up")
		}
	}
}

// asked is a request as it stands on the wire.
func asked(id string) string {
	const list = "c=look,t=p,d=30000,units=1,spread=2,first=0"
	return fmt.Sprintf("*4\r\n$5\r\nQ.ASK\r\n$16\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", customer, len(id), id, len(list), list)
}

// Where room is needed the connection that has been quiet for longest goes, and not one that is owed an answer.
func TestWhoMakesRoom(t *testing.T) {
	l := still(t, unreachable(t))
	owed, _ := connect(t, l, usual, asked("id"))
	for len(owed.slots) == 0 {
		step(l)
	}
	owed.used = 0
	old, far := connect(t, l, usual, "")
	young, _ := connect(t, l, usual, "")
	old.used = young.used - time.Second
	l.evictClient()
	for !old.closed {
		step(l)
	}
	if got := text(t, far); got != "" || owed.ending || young.ending {
		t.Errorf("the old one got %q; ending are: owed %v, young %v", got, owed.ending, young.ending)
	}
}

// A request that has come in when its connection is to end is answered: closing on it would lose it.
func TestWeanedConnectionReadsWhatHasCome(t *testing.T) {
	l := still(t, nil)
	near, far := pair(t)
	out, err := newOutlet(near)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	c := newClient(l, out)
	for c.quiet() { // the kernel has it before the reader is started
		time.Sleep(time.Millisecond)
	}
	c.weaned.Store(true)
	join(l, c)
	l.wean(c)
	for !c.closed {
		step(l)
	}
	if got := text(t, far); got != "+PONG\r\n" {
		t.Errorf("got %q", got)
	}
}

// What the settings do not allow ends at the gateway. It would be counted and told as the customer's demand, or
// rewrite its set, or be turned away by a server and held against that.
func TestValuesAreHeldToTheSettings(t *testing.T) {
	l := still(t, unreachable(t))
	parse := func(cust, id, list string) error {
		name := "Q.ASK"
		if strings.Contains(list, "c=book") {
			name = "Q.DO"
		}
		_, err := parseRequest(&l.cfg, name, [][]byte{[]byte(name), []byte(cust), []byte(id), []byte(list)}, 0)
		return err
	}
	const good = "c=look,t=p,d=30000,units=8,spread=2,first=1"
	if err := parse("00000001ffffffff", "id", good); err != nil {
		t.Fatal(err)
	}
	if err := parse(customer, "id", "c=book,k=5c0f,"+good[7:]); err != nil {
		t.Fatal(err)
	}
	l.cfg.Settings.Decide.Classes[0].Deadline -= time.Millisecond / 2 // 29,999.5 ms, which a client rounds up
	if err := parse(customer, "id", good); err != nil {
		t.Errorf("a d that is rounded up to the next millisecond: %v", err)
	}
	for _, cust := range []string{"0000000200000000", "ffffffffffffffff", "000000000000000x", "0000000b4d65521", "+000000b4d655210"} {
		if parse(cust, "id", good) == nil {
			t.Errorf("customer %q passes", cust)
		}
	}
	for _, edit := range []string{
		"units=8|units=9", "units=8|units=0", "units=8|units=0.5", "units=8|units=-1", "units=8|units=1e0", "units=8|units=0x1",
		"units=8|units=inf", "units=8|units=", "units=8|units=NaN", "units=8|units=1,units=2", "units=8|units=99999999999999999999",
		"spread=2|spread=3", "spread=2|spread=0", "spread=2|spread=-1", "spread=2|spread=x", "spread=2|spread=18446744073709551618",
		"first=1|first=2", "first=1|first=-1", "first=1|first=+1", "first=1|first=", "d=30000|d=30001", "d=30000|d=0", "d=30000|d=-5",
		"d=30000|d=soon", "d=30000,|", "d=30000|d=1e3", "c=look|c=book", "c=look|c=none", "t=p|t=none", "t=p|t=p,t=p", "c=look|c=book,k=",
		"c=look|c=book,k=" + strings.Repeat("k", keyMost+1),
	} {
		from, to, _ := strings.Cut(edit, "|")
		if parse(customer, "id", strings.Replace(good, from, to, 1)) == nil {
			t.Errorf("%q in place of %q passes", to, from)
		}
	}
}

// A second request with an id that is open gets an error and meets nobody's answer; once the first is over the id
// is free.
func TestIDThatIsOpen(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, long, b)
	first, second := r.dial(t), r.dial(t)
	first.look("id")
	x := b.next(t)
	second.look("id")
	if got := second.read(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("got %q, want an error", got)
	}
	x.answer(t, served("v"))
	first.want("$v")
	second.look("id")
	b.next(t).answer(t, served("w"))
	second.want("$w")
}

// What can't be read ends its connection soon, though requests are open on it.
func TestFaultDoesNotWaitForOpenRequests(t *testing.T) {
	l := still(t, unreachable(t))
	c, far := connect(t, l, usual, asked("id")+"*-1\r\n")
	for !c.read {
		step(l)
	}
	if c.closed || len(l.requests) != 1 {
		t.Fatal("the open request got no time")
	}
	for _, a := range l.alarms {
		a.at -= usual.Clients.Fault
	}
	l.ring()
	text(t, far)
	if !c.closed || len(l.requests) != 0 {
		t.Error("the connection is still open")
	}
}

// A flood of events waits with those who send them, and ends with the gateway.
func TestInboxIsBounded(t *testing.T) {
	q := newInbox()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * inboxMost {
			q.post(left{})
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
	l := still(t, unreachable(t))
	before := len(l.alarms)
	r, _ := open(t, l)
	timers := 0 // the module's own, which name what they are about and don't hold it
	for _, a := range l.alarms[before:] {
		if a != r.overdue && a != r.attempts[0].expiry {
			timers++
		}
	}
	l.closeClient(clientOf(r))
	l.drainTodo()
	if len(l.alarms) != before+timers || len(l.requests) != 0 || len(l.ids) != 0 {
		t.Errorf("%d alarms, want %d; %d requests, %d ids", len(l.alarms), before+timers, len(l.requests), len(l.ids))
	}
}

// A server that is gone is forgotten once no connection leads to it, not before.
func TestGoneServerIsForgotten(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	a := r.attempts[0]
	near, _ := pair(t)
	dialed{a, a.server.addr, near, nil}.apply(l)
	l.fleet(decide.FleetFull, serverList{Version: 2, Full: true})
	if len(l.pool.servers) != 1 {
		t.Error("a server with an attempt out is forgotten")
	}
	l.pool.cancel(a)
	l.fleet(decide.FleetDelta, serverList{Version: 3, Servers: []serverEntry{{ID: "never", State: "removed"}}})
	if len(l.pool.servers) != 0 {
		t.Errorf("%d servers are kept", len(l.pool.servers))
	}
}
