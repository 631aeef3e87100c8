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
	"sloepick/internal/stand/leaks"
)

// The tests here force one order of two events that can cross in the core, whatever the protocol. docs/design/crossings.md lists
// them.

// TestUnwrittenRepeatIsDropped: a repeat of a keyed request that is not written whole when servers may forget its key is given up,
// as one that never ran; one that is written is waited for.
func TestUnwrittenRepeatIsDropped(t *testing.T) {
	for name, written := range map[string]bool{"written": true, "not written": false} {
		cfg := SmallConfig(t, long, []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", Zone: "a", State: "up", Weight: 1}})
		cfg.Settings.Decide.Classes[1].Window = time.Second
		w := &wire{}
		cfg.Back = w
		l, err := newLoop(cfg, &hand{time.Hour}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		a, v := &asked{}, values("id")
		v.Class, v.Write, v.Key = "book", true, "77"
		l.door.Ask(a, v)
		l.drainTodo()
		w.tries[0].Placed()
		w.tries[0].Whole()
		w.tries[0].Ended(Broke)
		l.drainTodo()
		if len(w.tries) != 2 {
			t.Fatalf("%d attempts", len(w.tries))
		}
		w.tries[1].Placed()
		if written {
			w.tries[1].Whole()
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
	w.tries[0].Placed()
	w.tries[0].Whole()
	l.fleet(decide.FleetFull, ServerList{Version: 2, Full: true})
	l.drainTodo()
	w.tries[0].Served([]byte("v"), nil)
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

// TestOldWatchCantCrossAMove: what the former address of discovery says as the gateway moves to another one counts before the new
// one's whole list or not at all, though it is of a higher version.
func TestOldWatchCantCrossAMove(t *testing.T) {
	leaks.Check(t)
	watched, moved := make(chan struct{}), make(chan struct{})
	former := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "" {
			fmt.Fprint(rw, listText(41, true, "up"))
			return
		}
		close(watched)
		<-moved
		fmt.Fprint(rw, listText(42, false, "draining"))
	}))
	defer former.Close()
	next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
			return
		}
		close(moved) // the former one's answer and this one's are under way together
		fmt.Fprint(rw, listText(2, true, "up"))
	}))
	defer next.Close()
	at := func(s *httptest.Server) netip.AddrPort { return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")) }
	told, moves := make(chan ServerList, 16), make(chan netip.AddrPort)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follow(ctx, at(former), moves, func(_ decide.FleetKind, list ServerList) { told <- list }, slog.New(slog.DiscardHandler))
	}()
	<-watched
	moves <- at(next)
	versions := ""
	for last := uint64(0); last != 2; {
		list := <-told
		last = list.Version
		versions += fmt.Sprint(" ", last)
	}
	time.Sleep(20 * time.Millisecond) // in which the former one's would come
	cancel()
	<-ended
	if len(told) > 0 {
		t.Errorf("told were%s, and then version %d", versions, (<-told).Version)
	}
}
