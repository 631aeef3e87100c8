package gateway_test

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloepick/internal/gateway"
)

// A request is forwarded as the client sent it, except for the remaining time.
func TestRequestIsForwarded(t *testing.T) {
	b := newFakeServer(t)
	c := newTestGateway(t, longDeadline, b).dial(t)
	c.send("PING")
	c.want("+PONG")
	c.sendKeyed("id-1")
	x := b.next(t)
	if got := strings.Join(append(x.args[:3:3], x.args[4]), " "); got != "Q.DO "+customer+" id-1 BODY" {
		t.Errorf("the server got %q", got)
	}
	before, rest, _ := strings.Cut(x.args[3], "d=")
	d, tail, _ := strings.Cut(rest, ",")
	if ms, err := strconv.Atoi(d); before != "c=book,t=p," || tail != "k=77,units=1,spread=2,first=0" ||
		err != nil || ms < 1 || ms >= 30000 {
		t.Errorf("the server got the options %q", x.args[3])
	}
	x.answer(t, served("slot 4"))
	c.want("$slot 4")
}

// Responses are sent in the order of the commands, whichever request is answered first.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	b := newFakeServer(t)
	c := newTestGateway(t, longDeadline, b).dial(t)
	c.sendSafe("one")
	first := b.next(t)
	c.sendSafe("two")
	second := b.next(t)
	c.send("PING")
	second.answer(t, served("2"))
	first.answer(t, served("1"))
	c.want("$1")
	c.want("$2")
	c.want("+PONG")
}

func TestBadCommandsAreAnswered(t *testing.T) {
	b := newFakeServer(t)
	c := newTestGateway(t, longDeadline, b).dial(t)
	for _, words := range [][]string{
		{"FLUSHALL"}, {""}, {"Q.ASK"}, {"Q.ASK", customer, "id", ""}, {"Q.ASK", "xyz", "id", "c=look,t=p,d=5"},
		{"Q.ASK", customer, "id", "c=look,t=p"}, {"Q.ASK", customer, "id", "c=look,t=p,d=x"},
		{"Q.ASK", customer, "id", "c=look,t=p,d=NaN"}, {"Q.ASK", customer, "id", "c=none,t=p,d=50"},
		{"Q.ASK", customer, "id", "c=look,t=none,d=50"}, {"Q.ASK", customer, "id", "c=book,t=p,d=50"},
		{"Q.DO", customer, "id", "c=look,t=p,d=50"}, {"Q.ASK", customer, "", "c=look,t=p,d=50"},
		{"Q.ASK", customer, "id", "c=look,t=p,d=50,units=-1"}, {"Q.ASK", customer, "id", "c=look,d=5,d=6,t=p"},
		{"Q.ASK", customer, "id", "c=look,t=p,d=50,first=9999999999"}, {"Q.ASK", customer, "id", "c=look,t=p,d=50", "x", "y"},
	} {
		c.send(words...)
		if got := c.read(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q, want an error", words, got)
		}
	}
	c.sendSafe("good") // the connection is still usable
	b.next(t).answer(t, served("v"))
	c.want("$v")
}

// Invalid framing and values over 64 KiB get an error and the end of the connection, and never cause a panic:
// the parsing library indexes out of range on negative lengths and on lengths near the largest integer.
func TestBrokenFramingEndsTheConnection(t *testing.T) {
	r := newTestGateway(t, longDeadline, newFakeServer(t))
	for name, raw := range map[string]string{
		"inline": "PING\r\n", "no bulk": "*1\r\n:5\r\n", "count": "*x\r\n",
		"negative": "*1\r\n$-9999\r\n", "largest": "*1\r\n$9223372036854775807\r\n",
		"oversized": "*1\r\n$70000\r\n" + strings.Repeat("x", 70000),
	} {
		c := r.dial(t)
		c.raw(raw)
		if got := c.read(); !strings.HasPrefix(got, "-ERR protocol error") {
			t.Errorf("%s: got %q, want a protocol error", name, got)
		}
		if got := c.read(); strings.HasPrefix(got, "-") || strings.HasPrefix(got, "+") {
			t.Errorf("%s: got %q, want the end of the connection", name, got)
		}
	}
	c := r.dial(t)
	c.send("PING")
	c.want("+PONG")
}

// A keyed request that may have run at one cell must not run at another, and its failure promises nothing.
func TestKeyedRequestStaysInItsCell(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	c := newTestGateway(t, longDeadline, a, b).dial(t)
	c.sendKeyed("id-1")
	other := make(chan *fakeServer, 1)
	go func() {
		mine, its := a, b
		var x received
		select {
		case x = <-a.commands:
		case x = <-b.commands:
			mine, its = b, a
		}
		other <- its
		for ; ; x = <-mine.commands {
			if x.args != nil {
				x.conn.Close()
			}
		}
	}()
	c.want("-ERR failed")
	if o := <-other; len(o.commands) > 0 {
		t.Errorf("the other cell got %q", (<-o.commands).args)
	}
}

// A request that was not executed is refused, with the time to retry after.
func TestUnexecutedRequestIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // so that connections are refused
	for name, b := range map[string]*fakeServer{"busy": newFakeServer(t), "refused": {addr: ln.Addr().String()}} {
		c := newTestGateway(t, longDeadline, b).dial(t)
		c.sendKeyed("id-1")
		if name == "busy" {
			go func() {
				for x := range b.commands {
					if x.args != nil {
						x.answer(t, "-BUSY\r\n")
					}
				}
			}()
		}
		if got := c.read(); !strings.HasPrefix(got, "-BUSY ") {
			t.Errorf("%s: got %q, want a refusal with a retry time", name, got)
		}
	}
}

// A failed safe request is retried, also if its connection was lost after it was sent.
func TestSafeRequestIsRetried(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	c := newTestGateway(t, longDeadline, a, b).dial(t)
	c.sendSafe("id-1")
	for i := 0; ; i++ {
		var x received
		select {
		case x = <-a.commands:
		case x = <-b.commands:
		}
		switch {
		case x.args == nil: // the end of the lost connection
		case i == 0:
			x.conn.Close()
		default:
			x.answer(t, served("again"))
			c.want("$again")
			return
		}
	}
}

// A silent server does not hold a request past its deadline; the attempt is cancelled by closing its
// connection.
func TestSilentServer(t *testing.T) {
	b := newFakeServer(t)
	c := newTestGateway(t, 300*time.Millisecond, b).dial(t)
	c.sendSafe("id-1")
	b.next(t)
	if got := c.read(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("got %q, want a refusal", got)
	}
	for x := b.next(t); x.args != nil; x = b.next(t) {
		if x.args[2] != "id-1" {
			t.Errorf("the server got %q", x.args)
		}
	}
}

// When a client disconnects, its request is cancelled, because nobody waits for the result.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	b := newFakeServer(t)
	c := newTestGateway(t, longDeadline, b).dial(t)
	c.sendSafe("id-1")
	b.next(t)
	c.conn.Close()
	if x := b.next(t); x.args != nil {
		t.Errorf("the server got %q, want the connection's end", x.args)
	}
}

// A draining server gets no new requests, not even on an idle connection.
func TestDrainedServerGetsNothing(t *testing.T) {
	a := newFakeServer(t)
	r := newTestGateway(t, longDeadline, a)
	c := r.dial(t)
	c.sendSafe("id-1")
	x := a.next(t)
	x.answer(t, served("v"))
	c.want("$v")
	r.discovery.set(gateway.ServerList{Version: 2, Full: true, Servers: entries("draining", a)})
	if x := a.next(t); x.args != nil { // the list has arrived: the idle connection is closed
		t.Fatalf("the server got %q", x.args)
	}
	c.sendSafe("id-2")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal", got)
	}
	if len(a.commands) > 0 {
		t.Errorf("the draining server got %q", (<-a.commands).args)
	}
}

// A stopping gateway accepts connections for a short time, answers all requests and ends without an error.
func TestStopAnswersEverything(t *testing.T) {
	b := newFakeServer(t)
	r := newTestGateway(t, longDeadline, b)
	c := r.dial(t)
	c.sendSafe("id-1")
	x := b.nextCommand(t)
	r.stop()
	late := r.dial(t)
	late.sendSafe("id-2")
	y := b.nextCommand(t)
	idle := r.dial(t)
	if got := idle.read(); got != "EOF" {
		t.Errorf("an idle connection got %q, want its end", got)
	}
	x.answer(t, served("1"))
	y.answer(t, served("2"))
	c.want("$1")
	late.want("$2")
	c.want("EOF")
	late.want("EOF")
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}
