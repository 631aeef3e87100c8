package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/leaks"
)

// Each test here forces one order of two concurrent events in the core, independent of the protocol.
// docs/design/crossings.md lists them.

// TestUnwrittenRetryIsCancelled: a retry of a keyed request that is not fully sent when servers may forget its
// key is cancelled, as not executed. One that is fully sent is waited for.
func TestUnwrittenRetryIsCancelled(t *testing.T) {
	for name, written := range map[string]bool{"written": true, "not written": false} {
		cfg := SmallConfig(t, longDeadline, []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", Zone: "a", State: "up", Weight: 1}})
		cfg.Settings.Decide.Classes[1].DedupWindow = time.Second
		w := &fakeBackend{}
		cfg.DefaultBackend = w
		l, err := newLoop(cfg, &manualClock{time.Hour}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		a, v := &responseRecorder{}, testRequest("id")
		v.Class, v.Write, v.Key = "book", true, "77"
		l.core.Submit(a, v)
		l.processPending()
		w.attempts[0].MarkConnected()
		w.attempts[0].MarkFullySent()
		w.attempts[0].Fail(ConnectionLost)
		l.processPending()
		if len(w.attempts) != 2 {
			t.Fatalf("%d attempts", len(w.attempts))
		}
		w.attempts[1].MarkConnected()
		if written {
			w.attempts[1].MarkFullySent()
		}
		l.advance(time.Second)
		if over := w.attempts[1].state.ended; over == written || len(w.cancelled) > 0 == written {
			t.Errorf("%s: ended %v, %d cancelled", name, over, len(w.cancelled))
		}
		if !written && (w.attempts[1].state.outcome != decide.NoConnection || len(a.responses) != 1 || a.responses[0].Kind != Failed) {
			t.Errorf("%s: outcome %v, the client got %+v", name, w.attempts[1].state.outcome, a.responses)
		}
	}
}

// TestAbsentServerStillAnswers: a server missing from a whole list counts as gone even if it still answers.
// Requests already sent to it are answered; no new ones are sent.
func TestAbsentServerStillAnswers(t *testing.T) {
	l, w := newTestLoop(t, 1)
	first, _ := submitRequest(l, "one")
	w.attempts[0].MarkConnected()
	w.attempts[0].MarkFullySent()
	l.updateServers(decide.ListFull, ServerList{Version: 2, Full: true})
	l.processPending()
	w.attempts[0].Succeed([]byte("v"), nil)
	l.processPending()
	first.want(t, Served, "")
	second, _ := submitRequest(l, "two")
	second.want(t, Refused, "")
	if len(w.attempts) != 1 || w.drained == 0 {
		t.Errorf("%d attempts, drained %d times", len(w.attempts), w.drained)
	}
}

// TestAttemptToServerJustDrained: the decision module requests an attempt at a server that started draining in
// the same turn. The attempt is not sent and counts as not executed.
func TestAttemptToServerJustDrained(t *testing.T) {
	l, w := newTestLoop(t, 1)
	l.pool.servers["s-0"].entry.State = decide.Draining // known to the core, but not to the decision module yet
	a, _ := submitRequest(l, "one")
	if a.want(t, Refused, ""); len(w.attempts) != 0 {
		t.Errorf("%d attempts", len(w.attempts))
	}
}

// TestCancelledAttemptIsNotSent: an attempt that is cancelled while its connection is being established is
// not sent once the connection is up, even if its request is still open.
func TestCancelledAttemptIsNotSent(t *testing.T) {
	l, w := newTestLoop(t, 1)
	a, handle := submitRequest(l, "id")
	first := w.attempts[0]
	l.pool.abort(first.state, decide.NoConnection)
	if len(a.responses) > 0 || !handle.Open() {
		t.Fatalf("the request has ended: %+v", a.responses)
	}
	if first.Revalidate() {
		t.Error("a cancelled attempt is still valid")
	}
	l.processPending()
}

// TestRequestLostByDeciderIsAnswered: a request that the decision module has lost is answered at its deadline.
func TestRequestLostByDeciderIsAnswered(t *testing.T) {
	l, _ := newTestLoop(t, 1)
	a, _ := submitRequest(l, "id")
	l.enqueue(decide.ClientDisconnected{ID: "1"})
	l.processPending()
	if l.advance(longDeadline - deadlineMargin + overdueGrace); len(a.responses) != 1 || a.responses[0].Kind != Failed {
		t.Errorf("the client got %+v", a.responses)
	}
}

// TestPanicAfterTheAnswer: an answered request with an attempt in progress gets no second response when the
// decision module panics.
func TestPanicAfterTheAnswer(t *testing.T) {
	l, _ := newTestLoop(t, 1)
	a, handle := submitRequest(l, "id")
	l.respond(handle.r, Response{Kind: Served, Value: []byte("v")})
	l.restart(l.decider)
	if a.want(t, Served, ""); len(l.requests) > 0 && l.requests["1"].activeAttempts == 0 {
		t.Error("finished request left in the table")
	}
}

// TestOldWatcherDeliversBeforeMove: an update from the old address of discovery that is in delivery during a
// move is applied before the new address's whole list, however slow the event loop is and although its version
// is higher.
func TestOldWatcherDeliversBeforeMove(t *testing.T) {
	leaks.Check(t)
	former := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "" {
			fmt.Fprint(rw, listJSON(41, true, "up"))
			return
		}
		fmt.Fprint(rw, listJSON(42, false, "draining"))
	}))
	defer former.Close()
	next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
			return
		}
		fmt.Fprint(rw, listJSON(2, true, "up"))
	}))
	defer next.Close()
	at := func(s *httptest.Server) netip.AddrPort {
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	received, moves, changed, release := make(chan uint64, 64), make(chan netip.AddrPort), make(chan struct{}), make(chan struct{})
	first := true
	onUpdate := func(_ decide.ListKind, list ServerList) {
		if list.Version == 42 && first { // the event loop is slow to accept this one
			first = false
			close(changed)
			<-release
		}
		received <- list.Version
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchDiscovery(ctx, at(former), moves, onUpdate, slog.New(slog.DiscardHandler))
	}()
	<-changed
	moves <- at(next)
	time.Sleep(50 * time.Millisecond) // enough for the new address's list to arrive, if it were requested already
	close(release)
	var versions []uint64
	for len(versions) == 0 || versions[len(versions)-1] != 2 {
		versions = append(versions, <-received)
	}
	cancel()
	<-ended
	if versions[0] != 41 || len(versions) < 3 || versions[1] != 42 || len(received) > 0 {
		t.Errorf("received versions %v, and %d more", versions, len(received))
	}
}

// steppingClock is a clock that advances each time it is read.
type steppingClock struct {
	now  time.Duration
	step time.Duration
}

func (h *steppingClock) Now() time.Duration {
	h.now += h.step
	return h.now
}

// TestLoopDelayBetweenDecisionAndSend: the event loop is delayed between the module's decision and the start of
// the attempt, by more than overdueGrace. The attempt still times out as the module intended, so that the
// module ends the request before failOverdue does.
func TestLoopDelayBetweenDecisionAndSend(t *testing.T) {
	cfg, w, clock := SmallConfig(t, longDeadline, []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", State: "up", Weight: 1}}), &fakeBackend{}, &steppingClock{now: time.Hour}
	cfg.DefaultBackend = w
	l, err := newLoop(cfg, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	clock.step = 2 * overdueGrace
	a, handle := submitRequest(l, "id")
	clock.step = 0
	attempt := handle.r.attempts[0]
	if attempt.deadline >= handle.r.overdueTimer.at {
		t.Errorf("the attempt times out %v after its request is failed", attempt.deadline-handle.r.overdueTimer.at)
	}
	attempt.connected, attempt.fullySent = true, true
	clock.now = handle.r.overdueTimer.at
	l.fireTimers()
	if len(a.responses) != 1 || a.responses[0].Kind != Refused {
		t.Errorf("got responses %+v, want a refusal, because the class is safe", a.responses)
	}
}
