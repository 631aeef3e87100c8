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
	ping        = "*1\r\n$4\r\nPING\r\n"
	bookingList = "c=book,t=p,d=30000,units=1,spread=2,first=0,k=77"
)

// waitForUnread waits until something lies waitForUnread in the kernel.
func waitForUnread(t *testing.T, c *client) {
	t.Helper()
	for timeout := time.Now().Add(testTimeout); c.writer.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
		if time.Now().After(timeout) {
			t.Fatal("nothing came")
		}
	}
}

// TestTimeoutWithUnreadBytes: a connection's time is up in the moment in which a command has come and was not read. The command
// is read and answered before the connection ends.
func TestTimeoutWithUnreadBytes(t *testing.T) {
	for name, tc := range map[string]struct{ read, unread, want string }{
		"a whole command":       {"", ping, "+PONG\r\n"},
		"the rest of one":       {"*1\r\n$4\r\nPI", "NG\r\n", "+PONG\r\n"},
		"one of several pieces": {"*1\r\n", "$4\r\nPI", "-ERR protocol error: the command did not end in time\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, longAim)
			h.updateTuning(shortTimeouts)
			gatewayEnd, peer := connPair(t)
			c := newClient(h.Core(), gatewayEnd)
			h.Core().AdmitConn(c)
			mustWrite(t, peer, tc.unread)
			waitForUnread(t, c)
			r := newReader(c)
			r.buf, r.timerStart = append(r.buf, tc.read...), time.Now().Add(-time.Hour)
			r.gotCommand = tc.read == ""
			go r.run()
			h.waitFor("the end", func() bool { return c.closed })
			if got := readAll(t, peer); got != tc.want {
				t.Errorf("the client got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestTimeoutIsExtendedOnce: a client whose bytes keep coming gets one more read for a command, and no more.
func TestTimeoutIsExtendedOnce(t *testing.T) {
	h := newHarness(t, longAim)
	gatewayEnd, peer := connPair(t)
	c := newClient(h.Core(), gatewayEnd)
	h.Core().AdmitConn(c)
	mustWrite(t, peer, "$4\r\nPI")
	waitForUnread(t, c)
	r := newReader(c)
	r.buf = append(r.buf, "*1\r\n"...)
	if !r.handleTimeout() {
		t.Error("what has come is not read")
	}
	if r.handleTimeout() {
		t.Error("the command has no end to its time")
	}
}

// TestClientClosesWithFullPipeline: a client that has sent more commands than may be owed answers, and closes, is seen to have
// gone though nothing more is handed on: what waits behind reaches nobody, and what is open is abandoned.
func TestClientClosesWithFullPipeline(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(func(t *tuning.Tuning) { t.Clients.Pipeline = 1 })
	requests := 0
	h.Observe(func(e decide.Event, _ []decide.Action) {
		if _, ok := e.(decide.Request); ok {
			requests++
		}
	})
	c, peer := h.connect(askCommand("one"))
	h.waitFor("the first", func() bool { return requests == 1 })
	mustWrite(t, peer, askCommand("two")+askCommand("three"))
	peer.Close()
	h.waitFor("the client's end", func() bool { return c.closed })
	h.completeDial(h.backend.attempts[0])
	if requests != 1 || h.Stats().RequestBytes != 0 {
		t.Errorf("%d requests of a client that has gone reached the core, %d bytes are held", requests, h.Stats().RequestBytes)
	}
}

// TestReadAheadIsBounded: what a client sends behind a full pipeline waits in its own kernel beyond a bound.
func TestReadAheadIsBounded(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(func(t *tuning.Tuning) { t.Clients.Pipeline = 1 })
	gatewayEnd, peer := connPair(t)
	c := newClient(h.Core(), gatewayEnd)
	h.Core().AdmitConn(c)
	r, done := newReader(c), make(chan struct{})
	go func() {
		defer close(done)
		r.run()
	}()
	mustWrite(t, peer, askCommand("one"))
	h.waitFor("the first", func() bool { return len(h.backend.attempts) == 1 })
	if err := peer.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil { // a later one would find more, a sooner one less
		t.Fatal(err)
	}
	if _, err := io.WriteString(peer, strings.Repeat(ping, 1<<20)); err == nil {
		t.Error("all was taken")
	}
	c.Close()
	<-done
	if len(r.buf) > 2*maxReadAhead {
		t.Errorf("the reader holds %d bytes", len(r.buf))
	}
}

// TestReaderResumesWhenPipelineHasRoom: commands behind a full pipeline go on, each as the answer before it is given, whether the reader
// reads ahead just then or waits with a full buffer.
func TestReaderResumesWhenPipelineHasRoom(t *testing.T) {
	for name, queued := range map[string]int{"reads ahead": 3, "waits": 2 * maxReadAhead / len(ping)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, longAim)
			h.updateTuning(func(t *tuning.Tuning) { t.Clients.Pipeline, t.Clients.FirstCommand = 1, time.Minute })
			c, peer := h.connect(askCommand("one"))
			h.waitFor("the first", func() bool { return len(h.backend.attempts) == 1 })
			mustWrite(t, peer, strings.Repeat(ping, queued))
			for timeout := time.Now().Add(testTimeout); name == "reads ahead" && !c.writer.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
				if time.Now().After(timeout) {
					t.Fatal("the reader does not read ahead")
				}
			}
			mustWrite(t, h.completeDial(h.backend.attempts[0]), testbed.FormatReply("v"))
			want := "$1\r\nv\r\n" + strings.Repeat("+PONG\r\n", queued)
			got := make(chan string, 1)
			go func() {
				replies := make([]byte, len(want))
				if _, err := io.ReadFull(peer, replies); err != nil {
					replies = []byte(err.Error())
				}
				got <- string(replies)
				h.Core().Post(c.Close)
			}()
			h.waitFor("all answers", func() bool { return c.closed })
			if replies := <-got; replies != want {
				t.Errorf("got %.60q ...", replies)
			}
		})
	}
}

// TestRequestArrivesDuringClose: a command that comes after a connection has stopped reading must not reset it: the client reads the
// answer that it is owed and a plain end, by which it knows that the other command was not read.
func TestRequestArrivesDuringClose(t *testing.T) {
	h := newHarness(t, longAim)
	attempt, c, peer := h.openRequest("one")
	c.Drain()
	h.waitFor("the reader's end", func() bool { return c.readDone })
	mustWrite(t, peer, askCommand("two"))
	waitForUnread(t, c)
	mustWrite(t, h.completeDial(attempt), testbed.FormatReply("v"))
	ended := make(chan string, 1)
	go func() {
		replies, err := io.ReadAll(peer)
		if err != nil {
			replies = append(replies, err.Error()...)
		}
		peer.Close()
		ended <- string(replies)
	}()
	h.waitFor("the close", func() bool { return c.closed })
	if got := <-ended; got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
	if len(h.backend.attempts) != 1 {
		t.Errorf("%d attempts: what came after the end was sent on", len(h.backend.attempts))
	}
}

// TestClientThatDoesNotClose: a client that leaves its side open after the gateway has ended its own holds the descriptor for so
// long and no longer.
func TestClientThatDoesNotClose(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(func(t *tuning.Tuning) { t.Clients.Fault = 30 * time.Millisecond })
	c, peer := h.connect("*0\r\n")
	h.waitFor("an answer", func() bool {
		return c.lastUsed > 0 && len(c.pending) == 0 && c.unanswered.Load() == 0 && c.maxUnanswered.Load() > 0
	})
	h.clock.now.Add(1) // the answer and the connection are not of the same moment
	c.lastUsed = h.clock.Now()
	c.Drain()
	h.waitFor("the half close", func() bool { return c.writeClosed })
	h.waitFor("the close", func() bool { return c.closed })
	if h.Stats().Clients != 0 {
		t.Error("the descriptor is still counted")
	}
	peer.Close()
}

// TestClientClosesAfterReply: once the client has closed its side the connection goes at once, not after its time.
func TestClientClosesAfterReply(t *testing.T) {
	h := newHarness(t, longAim)
	h.updateTuning(func(t *tuning.Tuning) { t.Clients.Fault = time.Minute })
	attempt, c, peer := h.openRequest("one")
	c.Drain()
	h.waitFor("the reader's end", func() bool { return c.readDone })
	h.clock.now.Add(1)
	mustWrite(t, h.completeDial(attempt), testbed.FormatReply("v"))
	h.waitFor("the half close", func() bool { return c.writeClosed })
	if got := readAll(t, peer); got != "$1\r\nv\r\n" {
		t.Errorf("the client got %q", got)
	}
	peer.Close()
	h.waitFor("the close", func() bool { return c.closed })
}

// TestDedupWindowEndsWhileConnecting: a repeat of a keyed request whose connection comes up after servers have forgotten the key
// must not be written: it could take effect twice.
func TestDedupWindowEndsWhileConnecting(t *testing.T) {
	for name, late := range map[string]bool{"in time": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, longAim)
			c, _ := h.connect(encodeCommand(doName, customer, "one", bookingList))
			h.waitFor("an attempt", func() bool { return len(h.backend.attempts) == 1 })
			firstServer := h.completeDial(h.backend.attempts[0])
			firstServer.Close() // behind the last byte: it may have run
			h.waitFor("a repeat", func() bool { return len(h.backend.attempts) == 2 })
			if late {
				h.clock.now.Add(int64(30 * time.Second)) // the window; the step that would end the attempt by its time comes after
			}
			gatewayEnd, server := connPair(t)
			h.pool().finishDial(h.backend.attempts[1], 0, gatewayEnd, nil)
			c.Close()
			h.pool().Drain()
			h.pool().Cancel(h.backend.attempts[1])
			if got := readAll(t, server); strings.Contains(got, doName) == late {
				t.Errorf("the server got %q", got)
			}
		})
	}
}
