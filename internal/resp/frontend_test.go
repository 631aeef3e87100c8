package resp

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/internal/tuning"
)

// shortTimeouts are limits that a test can wait out.
func shortTimeouts(t *tuning.Tuning) {
	t.Clients.FirstCommand, t.Clients.Idle = 30*time.Millisecond, 30*time.Millisecond
}

// A connection that says nothing, half a command, or nothing more, gives its descriptor back in time. Without a
// limit hundreds of them took all descriptors for good.
func TestInactiveConnectionsAreClosed(t *testing.T) {
	for name, tc := range map[string]struct{ sent, want string }{
		"silent":       {"", ""},
		"half":         {"*1\r\n$4\r\nPI", "-ERR protocol error: the command did not end in time\r\n"},
		"idle":         {"*1\r\n$4\r\nPING\r\n", "+PONG\r\n"},
		"half, behind": {"*1\r\n$4\r\nPING\r\n*1\r\n", "+PONG\r\n-ERR protocol error: the command did not end in time\r\n"},
	} {
		h := newHarness(t, longAim)
		h.updateTuning(shortTimeouts)
		c, peer := h.connect(tc.sent)
		h.waitFor(name, func() bool { return c.closed })
		if got := readAll(t, peer); got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// A command that comes in drops gets no more time than one that stops half way.
func TestTricklingCommandTimesOut(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(shortTimeouts)
	c, peer := h.connect("")
	go func() {
		for _, b := range []byte("*1\r\n$60000\r\n" + strings.Repeat("x", 60000)) {
			if _, err := peer.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	h.waitFor("the end", func() bool { return c.closed })
}

// A client that waits for its answer is not idle, however long that takes.
func TestWaitingClientIsNotIdle(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(shortTimeouts)
	_, c, _ := h.openRequest("id")
	time.Sleep(4 * h.tuning.Clients.Idle) // its limit passes, some times
	if h.Step(); c.closing || c.closed {
		t.Error("the waiting client was given up")
	}
}

// A request that has come in when its connection is to end is answered: closing on it would lose it.
func TestDrainedConnectionAnswersReceivedCommand(t *testing.T) {
	h := newHarness(t, longAim)
	gatewayEnd, peer := connPair(t)
	mustWrite(t, peer, "*1\r\n$4\r\nPING\r\n")
	c := newClient(h.Core(), gatewayEnd)
	for c.writer.ReceiveQueueEmpty() { // the kernel has it before the reader is started
		time.Sleep(time.Millisecond)
	}
	c.Drain()
	h.Core().AdmitConn(c)
	go newReader(c).run()
	h.waitFor("the end", func() bool { return c.closed })
	if got := readAll(t, peer); got != "+PONG\r\n" {
		t.Errorf("got %q", got)
	}
}

// A command of which a part has come when its connection is to end is still read to its end and answered.
func TestDrainedConnectionCompletesPartialCommand(t *testing.T) {
	h := newHarness(t, longAim)
	c, peer := h.connect("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI")
	h.waitFor("the first answer", func() bool {
		return c.lastUsed > 0 && c.maxUnanswered.Load() > 0 && len(c.pending) == 0 && c.unanswered.Load() == 0
	})
	c.Drain()
	time.Sleep(20 * time.Millisecond) // in which the reader wakes and looks; if it comes later, it has the rest at once
	mustWrite(t, peer, "NG\r\n")
	h.waitFor("the end", func() bool { return c.closed })
	if got := readAll(t, peer); got != "+PONG\r\n+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// What can't be read ends its connection soon, though requests are open on it.
func TestProtocolErrorDoesNotWaitForOpenRequests(t *testing.T) {
	h := newHarness(t, longAim)
	c, peer := h.connect(askCommand("id") + "*-1\r\n")
	h.waitFor("the fault", func() bool { return c.readDone })
	if c.closed || h.Stats().Requests != 1 {
		t.Fatal("the open request got no time")
	}
	h.advance(h.tuning.Clients.Fault)
	h.pool().Cancel(h.backend.attempts[0])
	readAll(t, peer)
	if !c.closed || h.Stats().RequestBytes != 0 {
		t.Error("the connection is still open")
	}
}

// A client that reads nothing must not make the loop wait, nor its answers fill the memory.
func TestClientThatReadsNothing(t *testing.T) {
	h := newHarness(t, longAim)
	gatewayEnd, _ := connPairWithSmallBuffer(t)
	c := newClient(h.Core(), gatewayEnd)
	h.Core().AdmitConn(c)
	reply := redcon.AppendBulk(nil, bytes.Repeat([]byte("x"), maxValueSize))
	for n := 0; !c.closed; n++ {
		if n*len(reply) > 64<<20 {
			t.Fatal("the client's answers pile up without end")
		}
		c.handleBatch(commandBatch{commands: []parsedCommand{{reply: reply}}})
	}
	if len(c.backlog) != 0 || h.Stats().Clients != 0 {
		t.Error("the client is kept")
	}
}

// Many commands at once are all answered, though only so many may be owed at a time.
func TestDeepPipeline(t *testing.T) {
	h := newHarness(t, longAim)
	c, peer := h.connect("")
	n := 5 * h.tuning.Clients.Pipeline
	go io.WriteString(peer, strings.Repeat("*1\r\n$4\r\nPING\r\n", n))
	done := make(chan string, 1)
	go func() {
		got := make([]byte, n*len("+PONG\r\n"))
		_, err := io.ReadFull(peer, got)
		if err != nil {
			got = []byte(err.Error())
		}
		done <- string(got)
		h.Core().Post(c.Close)
	}()
	h.waitFor("the answers", func() bool { return c.closed })
	if got := <-done; got != strings.Repeat("+PONG\r\n", n) {
		t.Errorf("got %.80q", got)
	}
}

// What is in the list is read strictly, each name once.
func TestParseRequest(t *testing.T) {
	parse := func(list string) (*command, error) {
		return parseRequest(askName, [][]byte{[]byte(askName), []byte(customer), []byte("id"), []byte(list)}, 0)
	}
	c, err := parse("c=look,t=p,d=30000.5,k=5c0f,r=1,units=8,spread=2,first=1,x=?")
	if err != nil || c.Class != "look" || c.Plan != "p" || c.ClientTimeout != 30000500*time.Microsecond || c.Key != "5c0f" || !c.ClientRetry || c.Units != 8 ||
		c.GatewayCount != 2 || c.FirstGateway != 1 {
		t.Errorf("got %+v, %v", c, err)
	}
	for _, list := range []string{
		"", "c", "c=look,t=p", "c=look,d=5,d=6", "x=1,x=2,d=5", "d=x", "d=", "d=-5", "d=1e3", "d=inf", "d=NaN", "d=99999999", "d=5,units=+1", "d=5,units=0x1",
		"d=5,spread=0", "d=5,spread=-1", "d=5,spread=1.5", "d=5,spread=9999999", "d=5,first=x", "d=5,k=",
	} {
		if _, err := parse(list); err == nil {
			t.Errorf("%q passes", list)
		}
	}
}
