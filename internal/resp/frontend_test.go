package resp

import (
	"io"
	"strings"
	"testing"
	"time"

	"sloepick/internal/tuning"
)

// shortTimeouts sets timeouts that a test can wait for.
func shortTimeouts(t *tuning.Tuning) {
	t.Clients.ReadTimeout, t.Clients.IdleTimeout = 30*time.Millisecond, 30*time.Millisecond
}

// A connection on which nothing, a partial command, or nothing more arrives must be closed after a timeout. Without a
// timeout, hundreds of such connections held all descriptors forever.
func TestInactiveConnectionsAreClosed(t *testing.T) {
	for name, tc := range map[string]struct{ sent, want string }{
		"silent":       {"", ""},
		"half":         {"*1\r\n$4\r\nPI", "-ERR protocol error: the command did not end in time\r\n"},
		"idle":         {"*1\r\n$4\r\nPING\r\n", "+PONG\r\n"},
		"half, second": {"*1\r\n$4\r\nPING\r\n*1\r\n", "+PONG\r\n-ERR protocol error: the command did not end in time\r\n"},
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

// A command that trickles in has no more time than one that stops halfway.
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
	h.waitFor("the close", func() bool { return c.closed })
}

// A client that waits for a reply is not idle, however long that takes.
func TestWaitingClientIsNotIdle(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(shortTimeouts)
	_, c, _ := h.openRequest("id")
	time.Sleep(4 * h.tuning.Clients.IdleTimeout) // several times the idle timeout
	if h.Step(); c.closing || c.closed {
		t.Error("the waiting client was dropped")
	}
}

// A command that has arrived before its connection is drained must be answered: closing the connection would lose it.
func TestDrainedConnectionAnswersReceivedCommand(t *testing.T) {
	h := newHarness(t, longAim)
	gatewayEnd, peer := connPair(t)
	mustWrite(t, peer, "*1\r\n$4\r\nPING\r\n")
	c := newClient(h.Core(), gatewayEnd)
	for c.writer.ReceiveQueueEmpty() { // until the kernel has received the command; the reader is not started yet
		time.Sleep(time.Millisecond)
	}
	c.Drain()
	h.Core().AdmitConn(c)
	go newReader(c).run()
	h.waitFor("the close", func() bool { return c.closed })
	if got := readAll(t, peer); got != "+PONG\r\n" {
		t.Errorf("got %q", got)
	}
}

// A command that has partly arrived when its connection is drained must be read to its end and answered.
func TestDrainedConnectionCompletesPartialCommand(t *testing.T) {
	h := newHarness(t, longAim)
	c, peer := h.connect("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI")
	h.waitFor("the first reply", func() bool {
		return c.lastUsed > 0 && c.intake.maxUnanswered.Load() > 0 && len(c.pending) == 0 && c.intake.unanswered.Load() == 0
	})
	c.Drain()
	time.Sleep(20 * time.Millisecond) // time for the reader to wake up and check; a slower reader gets the rest at once, and the test still passes
	mustWrite(t, peer, "NG\r\n")
	h.waitFor("the close", func() bool { return c.closed })
	if got := readAll(t, peer); got != "+PONG\r\n+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// A protocol error must close the connection after Clients.Fault, even if requests are still open on it.
func TestProtocolErrorDoesNotWaitForOpenRequests(t *testing.T) {
	h := newHarness(t, longAim)
	c, peer := h.connect(askCommand("id") + "*-1\r\n")
	h.waitFor("the protocol error", func() bool { return c.readDone })
	if c.closed || h.Stats().Requests != 1 {
		t.Fatal("the open request was dropped at once")
	}
	h.advance(h.tuning.Clients.ProtocolErrorTimeout)
	h.pool().Cancel(h.backend.attempts[0])
	readAll(t, peer)
	if !c.closed || h.Stats().RequestBytes != 0 {
		t.Error("the connection is still open")
	}
}

// Many commands sent at once must all be answered, although the number of unanswered ones is limited.
func TestDeepPipeline(t *testing.T) {
	h := newHarness(t, longAim)
	c, peer := h.connect("")
	n := 5 * h.tuning.Clients.MaxPipeline
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
	h.waitFor("all replies", func() bool { return c.closed })
	if got := <-done; got != strings.Repeat("+PONG\r\n", n) {
		t.Errorf("got %.80q", got)
	}
}

// The list must be parsed strictly, and each name accepted only once.
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
			t.Errorf("%q is accepted", list)
		}
	}
}
