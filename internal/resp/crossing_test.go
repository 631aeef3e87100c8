package resp

import (
	"io"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed"
	"sloepick/internal/tuning"
)

// Each test here forces one order of two events that can cross on a connection. docs/design/crossings.md lists them.

const (
	ping      = "*1\r\n$4\r\nPING\r\n"
	keyedList = "c=book,t=p,d=30000,units=1,spread=2,first=0,k=77"
)

// unread waits until something lies unread in the kernel.
func unread(t *testing.T, c *client) {
	t.Helper()
	for late := time.Now().Add(patience); c.out.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("nothing came")
		}
	}
}

// TestTimeIsUpWithBytesUnread: a connection's time is up in the moment in which a command has come and was not read. The command
// is read and answered before the connection ends.
func TestTimeIsUpWithBytesUnread(t *testing.T) {
	for name, tc := range map[string]struct{ read, unread, want string }{
		"a whole command":       {"", ping, "+PONG\r\n"},
		"the rest of one":       {"*1\r\n$4\r\nPI", "NG\r\n", "+PONG\r\n"},
		"one of several pieces": {"*1\r\n", "$4\r\nPI", "-ERR protocol error: the command did not end in time\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, long)
			b.retune(brief)
			near, far := pair(t)
			c := newClient(b.Core(), near)
			b.Core().AdmitConn(c)
			write(t, far, tc.unread)
			unread(t, c)
			r := newReader(c)
			r.buf, r.since = append(r.buf, tc.read...), time.Now().Add(-time.Hour)
			r.heard = tc.read == ""
			go r.run()
			b.until("the end", func() bool { return c.closed })
			if got := text(t, far); got != tc.want {
				t.Errorf("the client got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestTimeIsGrantedOnce: a client whose bytes keep coming gets one more read for a command, and no more.
func TestTimeIsGrantedOnce(t *testing.T) {
	b := newBench(t, long)
	near, far := pair(t)
	c := newClient(b.Core(), near)
	b.Core().AdmitConn(c)
	write(t, far, "$4\r\nPI")
	unread(t, c)
	r := newReader(c)
	r.buf = append(r.buf, "*1\r\n"...)
	if !r.expired() {
		t.Error("what has come is not read")
	}
	if r.expired() {
		t.Error("the command has no end to its time")
	}
}

// TestClientLeavesBehindAFullPipeline: a client that has sent more commands than may be owed answers, and closes, is seen to have
// gone though nothing more is handed on: what waits behind reaches nobody, and what is open is abandoned.
func TestClientLeavesBehindAFullPipeline(t *testing.T) {
	b := newBench(t, long)
	b.retune(func(t *tuning.Tuning) { t.Clients.Pipeline = 1 })
	asks := 0
	b.Observe(func(e decide.Event, _ []decide.Action) {
		if _, ok := e.(decide.Request); ok {
			asks++
		}
	})
	c, far := b.connect(asked("one"))
	b.until("the first", func() bool { return asks == 1 })
	write(t, far, asked("two")+asked("three"))
	far.Close()
	b.until("the client's end", func() bool { return c.closed })
	b.bring(b.held.tries[0])
	if asks != 1 || b.Stats().RequestBytes != 0 {
		t.Errorf("%d requests of a client that has gone reached the core, %d bytes are held", asks, b.Stats().RequestBytes)
	}
}

// TestFullPipelineIsReadSoFarAhead: what a client sends behind a full pipeline waits in its own kernel beyond a bound.
func TestFullPipelineIsReadSoFarAhead(t *testing.T) {
	b := newBench(t, long)
	b.retune(func(t *tuning.Tuning) { t.Clients.Pipeline = 1 })
	near, far := pair(t)
	c := newClient(b.Core(), near)
	b.Core().AdmitConn(c)
	r, done := newReader(c), make(chan struct{})
	go func() {
		defer close(done)
		r.run()
	}()
	write(t, far, asked("one"))
	b.until("the first", func() bool { return len(b.held.tries) == 1 })
	if err := far.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil { // a later one would find more, a sooner one less
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, strings.Repeat(ping, 1<<20)); err == nil {
		t.Error("all was taken")
	}
	c.Close()
	<-done
	if len(r.buf) > 2*aheadMost {
		t.Errorf("the reader holds %d bytes", len(r.buf))
	}
}

// TestRoomComesAsTheReaderWaits: commands behind a full pipeline go on, each as the answer before it is given, whether the reader
// reads ahead just then or waits with a full buffer.
func TestRoomComesAsTheReaderWaits(t *testing.T) {
	for name, behind := range map[string]int{"reads ahead": 3, "waits": 2 * aheadMost / len(ping)} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, long)
			b.retune(func(t *tuning.Tuning) { t.Clients.Pipeline, t.Clients.FirstCommand = 1, time.Minute })
			c, far := b.connect(asked("one"))
			b.until("the first", func() bool { return len(b.held.tries) == 1 })
			write(t, far, strings.Repeat(ping, behind))
			for late := time.Now().Add(patience); name == "reads ahead" && !c.out.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
				if time.Now().After(late) {
					t.Fatal("the reader does not read ahead")
				}
			}
			write(t, b.bring(b.held.tries[0]), testbed.FormatReply("v"))
			want := "$1\r\nv\r\n" + strings.Repeat("+PONG\r\n", behind)
			got := make(chan string, 1)
			go func() {
				all := make([]byte, len(want))
				if _, err := io.ReadFull(far, all); err != nil {
					all = []byte(err.Error())
				}
				got <- string(all)
				b.Core().Post(c.Close)
			}()
			b.until("all answers", func() bool { return c.closed })
			if all := <-got; all != want {
				t.Errorf("got %.60q ...", all)
			}
		})
	}
}

// TestRequestCrossesTheClose: a command that comes after a connection has stopped reading must not reset it: the client reads the
// answer that it is owed and a plain end, by which it knows that the other command was not read.
func TestRequestCrossesTheClose(t *testing.T) {
	b := newBench(t, long)
	try, c, far := b.attempted("one")
	c.Drain()
	b.until("the reader's end", func() bool { return c.read })
	write(t, far, asked("two"))
	unread(t, c)
	write(t, b.bring(try), testbed.FormatReply("v"))
	ended := make(chan string, 1)
	go func() {
		all, err := io.ReadAll(far)
		if err != nil {
			all = append(all, err.Error()...)
		}
		far.Close()
		ended <- string(all)
	}()
	b.until("the close", func() bool { return c.closed })
	if got := <-ended; got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
	if len(b.held.tries) != 1 {
		t.Errorf("%d attempts: what came after the end was sent on", len(b.held.tries))
	}
}

// TestClientThatDoesNotClose: a client that leaves its side open after the gateway has ended its own holds the descriptor for so
// long and no longer.
func TestClientThatDoesNotClose(t *testing.T) {
	b := newBench(t, long)
	b.retune(func(t *tuning.Tuning) { t.Clients.Fault = 30 * time.Millisecond })
	c, far := b.connect("*0\r\n")
	b.until("an answer", func() bool { return c.used > 0 && len(c.slots) == 0 && c.owed.Load() == 0 && c.owedMost.Load() > 0 })
	b.clock.now.Add(1) // the answer and the connection are not of the same moment
	c.used = b.clock.Now()
	c.Drain()
	b.until("the half close", func() bool { return c.half })
	b.until("the close", func() bool { return c.closed })
	if b.Stats().Clients != 0 {
		t.Error("the descriptor is still counted")
	}
	far.Close()
}

// TestClientClosesAsItIsAnswered: once the client has closed its side the connection goes at once, not after its time.
func TestClientClosesAsItIsAnswered(t *testing.T) {
	b := newBench(t, long)
	b.retune(func(t *tuning.Tuning) { t.Clients.Fault = time.Minute })
	try, c, far := b.attempted("one")
	c.Drain()
	b.until("the reader's end", func() bool { return c.read })
	b.clock.now.Add(1)
	write(t, b.bring(try), testbed.FormatReply("v"))
	b.until("the half close", func() bool { return c.half })
	if got := text(t, far); got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
	far.Close()
	b.until("the close", func() bool { return c.closed })
}

// TestKeysWindowEndsWhileConnecting: a repeat of a keyed request whose connection comes up after servers have forgotten the key
// must not be written: it could take effect twice.
func TestKeysWindowEndsWhileConnecting(t *testing.T) {
	for name, late := range map[string]bool{"in time": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, long)
			c, _ := b.connect(onWire(doName, customer, "one", keyedList))
			b.until("an attempt", func() bool { return len(b.held.tries) == 1 })
			first := b.bring(b.held.tries[0])
			first.Close() // behind the last byte: it may have run
			b.until("a repeat", func() bool { return len(b.held.tries) == 2 })
			if late {
				b.clock.now.Add(int64(30 * time.Second)) // the window; the step that would end the attempt by its time comes after
			}
			near, far := pair(t)
			b.node().dialed(b.held.tries[1], 0, near, nil)
			c.Close()
			b.node().Drain()
			b.node().Cancel(b.held.tries[1])
			if got := text(t, far); strings.Contains(got, doName) == late {
				t.Errorf("the server got %q", got)
			}
		})
	}
}
