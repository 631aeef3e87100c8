package gateway_test

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloepick/internal/gateway"
)

// A request goes on as the client sent it, but for the time that is left.
func TestServes(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
	c.send("PING")
	c.want("+PONG")
	c.book("id-1")
	x := b.next(t)
	if got := strings.Join(append(x.args[:3:3], x.args[4]), " "); got != "Q.DO "+customer+" id-1 BODY" {
		t.Errorf("the server got %q", got)
	}
	before, rest, _ := strings.Cut(x.args[3], "d=")
	d, tail, _ := strings.Cut(rest, ",")
	if ms, err := strconv.Atoi(d); before != "c=book,t=p," || tail != "k=77,units=1,spread=2,first=0" ||
		err != nil || ms < 1 || ms >= 30000 {
		t.Errorf("the server got the list %q", x.args[3])
	}
	x.answer(t, served("slot 4"))
	c.want("$slot 4")
}

// Answers come in the order of the commands, whoever is answered first.
func TestPipelinedAnswersKeepOrder(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
	c.look("one")
	first := b.next(t)
	c.look("two")
	second := b.next(t)
	c.send("PING")
	second.answer(t, served("2"))
	first.answer(t, served("1"))
	c.want("$1")
	c.want("$2")
	c.want("+PONG")
}

func TestBadCommandsAreAnswered(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
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
	c.look("good") // the connection lives
	b.next(t).answer(t, served("v"))
	c.want("$v")
}

// Broken framing and values over 64 KiB get an error and an end, and never a panic: the parsing library
// indexes out of range on lengths below nothing or near the largest number.
func TestBrokenFramingEndsTheConnection(t *testing.T) {
	r := newRig(t, long, newBackend(t))
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
			t.Errorf("%s: got %q, want the end", name, got)
		}
	}
	c := r.dial(t)
	c.send("PING")
	c.want("+PONG")
}

// A request that may have run at one cell must not run at another, and gets no promise.
func TestKeyedRequestStaysInItsCell(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	c := newRig(t, long, a, b).dial(t)
	c.book("id-1")
	other := make(chan *backend, 1)
	go func() {
		mine, its := a, b
		var x exchange
		select {
		case x = <-a.got:
		case x = <-b.got:
			mine, its = b, a
		}
		other <- its
		for ; ; x = <-mine.got {
			if x.args != nil {
				x.conn.Close()
			}
		}
	}()
	c.want("-ERR failed")
	if o := <-other; len(o.got) > 0 {
		t.Errorf("the other cell got %q", (<-o.got).args)
	}
}

// What never ran may be refused, and the client is told when to come back.
func TestNeverRanIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // connections are refused
	for name, b := range map[string]*backend{"busy": newBackend(t), "refused": {addr: ln.Addr().String()}} {
		c := newRig(t, long, b).dial(t)
		c.book("id-1")
		if name == "busy" {
			go func() {
				for x := range b.got {
					if x.args != nil {
						x.answer(t, "-BUSY\r\n")
					}
				}
			}()
		}
		if got := c.read(); !strings.HasPrefix(got, "-BUSY ") {
			t.Errorf("%s: got %q, want a refusal with advice", name, got)
		}
	}
}

// A failed safe request is tried again, and one that breaks late is too.
func TestSafeRequestIsTriedAgain(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	c := newRig(t, long, a, b).dial(t)
	c.look("id-1")
	for i := 0; ; i++ {
		var x exchange
		select {
		case x = <-a.got:
		case x = <-b.got:
		}
		switch {
		case x.args == nil: // the broken connection's end
		case i == 0:
			x.conn.Close()
		default:
			x.answer(t, served("again"))
			c.want("$again")
			return
		}
	}
}

// A silent server must not hold a request past its time, and the attempt is given up by its connection's end.
func TestSilentServer(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, 300*time.Millisecond, b).dial(t)
	c.look("id-1")
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

// A client that leaves takes its request with it: work that nobody waits for is called off.
func TestClientGone(t *testing.T) {
	b := newBackend(t)
	c := newRig(t, long, b).dial(t)
	c.look("id-1")
	b.next(t)
	c.conn.Close()
	if x := b.next(t); x.args != nil {
		t.Errorf("the server got %q, want the connection's end", x.args)
	}
}

// A server that drains gets nothing new, over an idle connection neither.
func TestDrainedServerGetsNothing(t *testing.T) {
	a := newBackend(t)
	r := newRig(t, long, a)
	c := r.dial(t)
	c.look("id-1")
	x := a.next(t)
	x.answer(t, served("v"))
	c.want("$v")
	r.reg.set(gateway.ServerList{Version: 2, Full: true, Servers: entries("draining", a)})
	if x := a.next(t); x.args != nil { // told: the idle connection is closed
		t.Fatalf("the server got %q", x.args)
	}
	c.look("id-2")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal", got)
	}
	if len(a.got) > 0 {
		t.Errorf("the draining server got %q", (<-a.got).args)
	}
}

// A stopping gateway still takes what comes for a moment, answers all that it has, and ends without error.
func TestStopOwesNothing(t *testing.T) {
	b := newBackend(t)
	r := newRig(t, long, b)
	c := r.dial(t)
	c.look("id-1")
	x := b.asked(t)
	r.stop()
	late := r.dial(t)
	late.look("id-2")
	y := b.asked(t)
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
