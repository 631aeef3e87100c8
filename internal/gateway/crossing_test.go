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

// The tests here force one order of two events that can cross in the core, whatever the protocol. docs/design/crossings.md lists
// them.

// TestUnwrittenRepeatIsDropped: a repeat of a keyed request that is not written whole when servers may forget its key is given up,
// as one that never ran; one that is written is waited for.
func TestUnwrittenRepeatIsDropped(t *testing.T) {
	for name, written := range map[string]bool{"written": true, "not written": false} {
		cfg := SmallConfig(t, long, []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", Zone: "a", State: "up", Weight: 1}})
		cfg.Settings.Decide.Classes[1].DedupWindow = time.Second
		w := &wire{}
		cfg.DefaultBackend = w
		l, err := newLoop(cfg, &hand{time.Hour}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		a, v := &asked{}, values("id")
		v.Class, v.Write, v.Key = "book", true, "77"
		l.door.Submit(a, v)
		l.drainTodo()
		w.tries[0].MarkConnected()
		w.tries[0].MarkFullySent()
		w.tries[0].Fail(ConnectionLost)
		l.drainTodo()
		if len(w.tries) != 2 {
			t.Fatalf("%d attempts", len(w.tries))
		}
		w.tries[1].MarkConnected()
		if written {
			w.tries[1].MarkFullySent()
		}
		l.later(time.Second)
		if over := w.tries[1].a.over; over == written || len(w.givenUp) > 0 == written {
			t.Errorf("%s: over %v, %d given up", name, over, len(w.givenUp))
		}
		if !written && (w.tries[1].a.outcome != decide.NoConnection || len(a.ends) != 1 || a.ends[0].Kind != Failed) {
			t.Errorf("%s: outcome %v, the client got %+v", name, w.tries[1].a.outcome, a.ends)
		}
	}
}

// TestAbsentServerStillAnswers: a server that a whole list leaves out is gone, also where it still answers: what it was sent before
// is answered, and nothing new goes to it.
func TestAbsentServerStillAnswers(t *testing.T) {
	l, w := still(t, 1)
	first, _ := open(l, "one")
	w.tries[0].MarkConnected()
	w.tries[0].MarkFullySent()
	l.fleet(decide.ListFull, ServerList{Version: 2, Full: true})
	l.drainTodo()
	w.tries[0].Succeed([]byte("v"), nil)
	l.drainTodo()
	first.want(t, Served, "")
	second, _ := open(l, "two")
	second.want(t, Refused, "")
	if len(w.tries) != 1 || w.retired == 0 {
		t.Errorf("%d attempts, retired %d times", len(w.tries), w.retired)
	}
}

// TestAttemptToAServerThatHasJustGone: the module wants an attempt at a server whose list has changed in the same turn: it is not
// made, and counts as one that never ran.
func TestAttemptToAServerThatHasJustGone(t *testing.T) {
	l, w := still(t, 1)
	l.pool.servers["s-0"].entry.State = decide.Draining // the core has heard, the module has not
	a, _ := open(l, "one")
	if a.want(t, Refused, ""); len(w.tries) != 0 {
		t.Errorf("%d attempts", len(w.tries))
	}
}

// TestGivenUpAttemptIsNotWanted: an attempt that was given up, as its connection was being made, is not written when that comes up, though
// its request is still open.
func TestGivenUpAttemptIsNotWanted(t *testing.T) {
	l, w := still(t, 1)
	a, handle := open(l, "id")
	first := w.tries[0]
	l.pool.giveUp(first.a, decide.NoConnection)
	if len(a.ends) > 0 || !handle.Open() {
		t.Fatalf("the request has ended: %+v", a.ends)
	}
	if first.Revalidate() {
		t.Error("it is wanted")
	}
	l.drainTodo()
}

// TestRequestThatTheModuleForgot: whatever became of a request in the module, its client has an answer at its time.
func TestRequestThatTheModuleForgot(t *testing.T) {
	l, _ := still(t, 1)
	a, _ := open(l, "id")
	l.feed(decide.ClientDisconnected{ID: "1"})
	l.drainTodo()
	if l.later(long - deadlineMargin + overdueAfter); len(a.ends) != 1 || a.ends[0].Kind != Failed {
		t.Errorf("the client got %+v", a.ends)
	}
}

// TestPanicAfterTheAnswer: a request that has its answer, and an attempt still out, gets no second one when the module panics.
func TestPanicAfterTheAnswer(t *testing.T) {
	l, _ := still(t, 1)
	a, handle := open(l, "id")
	l.answer(handle.r, Response{Kind: Served, Value: []byte("v")})
	l.restart(l.core)
	if a.want(t, Served, ""); len(l.requests) > 0 && l.requests["1"].out == 0 {
		t.Error("the request is kept")
	}
}

// TestOldWatchCantCrossAMove: what the former address of discovery has said as the gateway moves to another one counts before the
// new one's whole list, however long the loop takes to hear it, though it is of a higher version.
func TestOldWatchCantCrossAMove(t *testing.T) {
	leaks.Check(t)
	former := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "" {
			fmt.Fprint(rw, listText(41, true, "up"))
			return
		}
		fmt.Fprint(rw, listText(42, false, "draining"))
	}))
	defer former.Close()
	next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
			return
		}
		fmt.Fprint(rw, listText(2, true, "up"))
	}))
	defer next.Close()
	at := func(s *httptest.Server) netip.AddrPort {
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	told, moves, changed, goOn := make(chan uint64, 64), make(chan netip.AddrPort), make(chan struct{}), make(chan struct{})
	first := true
	hear := func(_ decide.ListKind, list ServerList) {
		if list.Version == 42 && first { // the loop is slow to hear of this one
			first = false
			close(changed)
			<-goOn
		}
		told <- list.Version
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follow(ctx, at(former), moves, hear, slog.New(slog.DiscardHandler))
	}()
	<-changed
	moves <- at(next)
	time.Sleep(50 * time.Millisecond) // in which the new one's list would come
	close(goOn)
	var versions []uint64
	for len(versions) == 0 || versions[len(versions)-1] != 2 {
		versions = append(versions, <-told)
	}
	cancel()
	<-ended
	if versions[0] != 41 || len(versions) < 3 || versions[1] != 42 || len(told) > 0 {
		t.Errorf("told were the versions %v, and %d behind them", versions, len(told))
	}
}

// slowHand is a clock that moves on each time it is read.
type slowHand struct {
	now  time.Duration
	step time.Duration
}

func (h *slowHand) Now() time.Duration {
	h.now += h.step
	return h.now
}

// TestLoopIsSlowBetweenDecidingAndSending: the loop is held up between the module's decision and the attempt, by more than the time
// after which a request that was left open is failed. The attempt ends by the time that the module meant, so the request ends by the module.
func TestLoopIsSlowBetweenDecidingAndSending(t *testing.T) {
	cfg, w, clock := SmallConfig(t, long, []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", State: "up", Weight: 1}}), &wire{}, &slowHand{now: time.Hour}
	cfg.DefaultBackend = w
	l, err := newLoop(cfg, clock, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	clock.step = 2 * overdueAfter
	a, handle := open(l, "id")
	clock.step = 0
	attempt := handle.r.attempts[0]
	if attempt.until >= handle.r.overdue.at {
		t.Errorf("the attempt ends %v behind the time at which its request is failed", attempt.until-handle.r.overdue.at)
	}
	attempt.placed, attempt.whole = true, true
	clock.now = handle.r.overdue.at
	l.ring()
	if len(a.ends) != 1 || a.ends[0].Kind != Refused {
		t.Errorf("the client got %+v, want a refusal: the class is safe to repeat", a.ends)
	}
}
