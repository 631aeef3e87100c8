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

// brief are limits that a test can wait out.
func brief(t *tuning.Tuning) {
	t.Clients.FirstCommand, t.Clients.Idle = 30*time.Millisecond, 30*time.Millisecond
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
		b := newBench(t, long)
		b.retune(brief)
		c, far := b.connect(tc.sent)
		b.until(name, func() bool { return c.closed })
		if got := text(t, far); got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// A command that comes in drops gets no more time than one that stops half way.
func TestTricklingCommandEnds(t *testing.T) {
	b := newBench(t, long)
	b.retune(brief)
	c, far := b.connect("")
	go func() {
		for _, b := range []byte("*1\r\n$60000\r\n" + strings.Repeat("x", 60000)) {
			if _, err := far.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	b.until("the end", func() bool { return c.closed })
}

// A client that waits for its answer is not idle, however long that takes.
func TestWaitingClientIsNotIdle(t *testing.T) {
	b := newBench(t, long)
	b.retune(brief)
	_, c, _ := b.attempted("id")
	time.Sleep(4 * b.tune.Clients.Idle) // its limit passes, some times
	if b.Step(); c.ending || c.closed {
		t.Error("the waiting client was given up")
	}
}

// A request that has come in when its connection is to end is answered: closing on it would lose it.
func TestDrainedConnectionReadsWhatHasCome(t *testing.T) {
	b := newBench(t, long)
	near, far := pair(t)
	write(t, far, "*1\r\n$4\r\nPING\r\n")
	c := newClient(b.Core(), near)
	for c.out.ReceiveQueueEmpty() { // the kernel has it before the reader is started
		time.Sleep(time.Millisecond)
	}
	c.Drain()
	b.Core().AdmitConn(c)
	go newReader(c).run()
	b.until("the end", func() bool { return c.closed })
	if got := text(t, far); got != "+PONG\r\n" {
		t.Errorf("got %q", got)
	}
}

// A command of which a part has come when its connection is to end is still read to its end and answered.
func TestDrainedConnectionFinishesItsCommand(t *testing.T) {
	b := newBench(t, long)
	c, far := b.connect("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPI")
	b.until("the first answer", func() bool { return c.used > 0 && c.owedMost.Load() > 0 && len(c.slots) == 0 && c.owed.Load() == 0 })
	c.Drain()
	time.Sleep(20 * time.Millisecond) // in which the reader wakes and looks; if it comes later, it has the rest at once
	write(t, far, "NG\r\n")
	b.until("the end", func() bool { return c.closed })
	if got := text(t, far); got != "+PONG\r\n+PONG\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// What can't be read ends its connection soon, though requests are open on it.
func TestFaultDoesNotWaitForOpenRequests(t *testing.T) {
	b := newBench(t, long)
	c, far := b.connect(asked("id") + "*-1\r\n")
	b.until("the fault", func() bool { return c.read })
	if c.closed || b.Stats().Requests != 1 {
		t.Fatal("the open request got no time")
	}
	b.later(b.tune.Clients.Fault)
	b.node().Cancel(b.held.tries[0])
	text(t, far)
	if !c.closed || b.Stats().RequestBytes != 0 {
		t.Error("the connection is still open")
	}
}

// A client that reads nothing must not make the loop wait, nor its answers fill the memory.
func TestClientThatReadsNothing(t *testing.T) {
	b := newBench(t, long)
	near, _ := narrow(t)
	c := newClient(b.Core(), near)
	b.Core().AdmitConn(c)
	answer := redcon.AppendBulk(nil, bytes.Repeat([]byte("x"), valueMost))
	for n := 0; !c.closed; n++ {
		if n*len(answer) > 64<<20 {
			t.Fatal("the client's answers pile up without end")
		}
		c.take(commands{got: []received{{reply: answer}}})
	}
	if len(c.backlog) != 0 || b.Stats().Clients != 0 {
		t.Error("the client is kept")
	}
}

// Many commands at once are all answered, though only so many may be owed at a time.
func TestDeepPipeline(t *testing.T) {
	b := newBench(t, long)
	c, far := b.connect("")
	n := 5 * b.tune.Clients.Pipeline
	go io.WriteString(far, strings.Repeat("*1\r\n$4\r\nPING\r\n", n))
	done := make(chan string, 1)
	go func() {
		got := make([]byte, n*len("+PONG\r\n"))
		_, err := io.ReadFull(far, got)
		if err != nil {
			got = []byte(err.Error())
		}
		done <- string(got)
		b.Core().Post(c.Close)
	}()
	b.until("the answers", func() bool { return c.closed })
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
