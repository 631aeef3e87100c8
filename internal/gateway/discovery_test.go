package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/leaks"
)

// A watch that is silent is given up and made again, and the next call goes on from the version last told.
// Without the bound a gateway would wait for ever on discovery that went down with the call in hand; with a
// watch instead of short calls it would learn that discovery is back only when that watch is over.
func TestWatcherRecoversFromSilence(t *testing.T) {
	leaks.Check(t)
	calls := make(chan string, 16)
	n := 0
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls <- req.URL.RawQuery
		n++ // calls come one after the other
		switch n {
		case 1:
			fmt.Fprint(w, `{"version":41,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"up","cell":3,"started_ms":7}]}`)
		case 2, 5:
			<-req.Context().Done()
		case 3:
			w.WriteHeader(http.StatusInternalServerError)
		case 4:
			fmt.Fprint(w, `{"version":43,"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"odd"}]}`)
		default:
			fmt.Fprint(w, `{"version":42,"full":false,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"draining"}]}`)
		}
	}))
	defer web.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type told struct {
		kind decide.ListKind
		list ServerList
	}
	news := make(chan told, 16)
	w := newWatcher(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), func(kind decide.ListKind, list ServerList) {
		select {
		case news <- told{kind, list}:
		default: // the last case goes on answering
		}
	}, slog.New(slog.DiscardHandler))
	w.wait, w.grace, w.shortTimeout, w.longTimeout = 10*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 0
	go w.run(ctx)
	for _, want := range []string{"", "after=41&wait_ms=10", "after=41&wait_ms=0", "after=41&wait_ms=0", "after=41&wait_ms=0",
		"after=41&wait_ms=0", "after=42&wait_ms=10"} {
		if got := <-calls; got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
	first, second := <-news, <-news
	if s := first.list.Servers[0].toServer(); first.kind != decide.ListFull || s.State != decide.Serving || s.Started != 7*time.Millisecond || s.Cell != 3 {
		t.Errorf("first told %+v", first)
	}
	if s := second.list.Servers[0].toServer(); second.kind != decide.ListDelta || s.State != decide.Draining {
		t.Errorf("then told %+v", second)
	}
}

// watcherHarness is a watcher of a discovery that a test answers for, and what it is told.
type watcherHarness struct {
	*watcher
	received chan ServerList
	mu       sync.Mutex
	text     strings.Builder
}

func startWatcher(t *testing.T, answer http.HandlerFunc) *watcherHarness {
	t.Helper()
	web := httptest.NewServer(answer)
	l := &watcherHarness{received: make(chan ServerList, 64)}
	l.watcher = newWatcher(netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://")), func(_ decide.ListKind, list ServerList) {
		l.received <- list
	}, slog.New(slog.NewTextHandler(l, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
		web.CloseClientConnections()
		web.Close()
	})
	l.wait, l.grace, l.shortTimeout, l.longTimeout = 10*time.Millisecond, 10*time.Second, 10*time.Second, 10*time.Second
	go func() {
		defer close(ended)
		l.run(ctx)
	}()
	return l
}

// Write takes what is logged.
func (l *watcherHarness) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *watcherHarness) logged() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// next is the list that is told next.
func (l *watcherHarness) next(t *testing.T) ServerList {
	t.Helper()
	select {
	case list := <-l.received:
		return list
	case <-time.After(20 * time.Second):
		t.Fatal("no list is told")
		panic("unreachable")
	}
}

func listJSON(version int, full bool, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s","addr":"127.0.0.1:1","state":%q}]}`, version, full, state)
}

// TestSlowDiscoveryIsAnswered: discovery that takes longer than a short call may, for each call, is heard all the same, by the call
// that is out beside the short ones; and once it answers in time there is one call at a time again.
func TestSlowDiscoveryIsAnswered(t *testing.T) {
	leaks.Check(t)
	var out, most atomic.Int32
	release := make(chan struct{})
	w := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		most.Store(max(most.Load(), out.Add(1)))
		defer out.Add(-1)
		select {
		case <-release:
			fmt.Fprint(rw, listJSON(1, true, "up"))
		case <-req.Context().Done(): // given up
		}
	}))
	defer w.Close()
	told := make(chan ServerList, 64)
	watcher := newWatcher(netip.MustParseAddrPort(strings.TrimPrefix(w.URL, "http://")), func(_ decide.ListKind, list ServerList) { told <- list },
		slog.New(slog.DiscardHandler))
	watcher.shortTimeout, watcher.longTimeout = time.Millisecond, time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, err := watcher.fetchNext(ctx)
	if err == nil || first.Full {
		t.Fatalf("a call that takes too long gave %+v", first)
	}
	watcher.failing = true
	for range 5 {
		if _, err := watcher.fetchNext(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("a short call ended as %v", err)
		}
	}
	patient := watcher.longCall
	if patient == nil {
		t.Fatal("no call is patient")
	}
	close(release)
	<-patient.ended
	for range 100 { // a short call may end by its time in the same moment
		list, err := watcher.fetchNext(ctx)
		if err == nil && list.Full {
			break
		}
	}
	if watcher.longCall == patient {
		t.Error("the patient call's answer was not taken")
	}
	watcher.endLongCall()
	if most.Load() > 3 { // two, and one that is just given up
		t.Errorf("%d calls at once", most.Load())
	}
}

// TestBadListKeepsLastGoodList: whatever discovery says that is no list, or not a newer one, is an error in the log that tells where,
// and the next good list counts.
func TestBadListKeepsLastGoodList(t *testing.T) {
	leaks.Check(t)
	for name, tc := range map[string]struct{ body, logged string }{
		"garbled":             {"{", "reading the list of 1 bytes"},
		"cut off":             {listJSON(2, true, "up")[:40], "reading the list of 40 bytes"},
		"too long":            {strings.Repeat(" ", maxListSize+1), "over 8388608 bytes"},
		"unknown state":       {listJSON(2, true, "odd"), `servers[0]: server \"s\": unknown state \"odd\"`},
		"bad address":         {strings.Replace(listJSON(2, true, "up"), "127.0.0.1:1", "nowhere", 1), `servers[0]: server \"s\"`},
		"no id":               {strings.Replace(listJSON(2, true, "up"), `"id":"s"`, `"id":""`, 1), "servers[0] has no id"},
		"one id twice":        {strings.Replace(listJSON(2, true, "up"), "[{", `[{"id":"s","addr":"127.0.0.1:2","state":"up"},{`, 1), `servers[0] and servers[1] have the same id \"s\"`},
		"older changes":       {listJSON(0, false, "draining"), "changes of version 0, older than version 1"},
		"an older whole list": {listJSON(0, true, "draining"), "a whole list of version 0, older than version 1"},
	} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			l := startWatcher(t, func(rw http.ResponseWriter, req *http.Request) {
				switch n.Add(1) {
				case 1:
					fmt.Fprint(rw, listJSON(1, true, "up"))
				case 2:
					fmt.Fprint(rw, tc.body)
				default:
					fmt.Fprint(rw, listJSON(3, false, "draining"))
				}
			})
			if got := l.next(t); got.Version != 1 {
				t.Errorf("first told %+v", got)
			}
			if got := l.next(t); got.Version != 3 {
				t.Errorf("then told %+v", got)
			}
			if !strings.Contains(l.logged(), tc.logged) {
				t.Errorf("logged %q, want %q", l.logged(), tc.logged)
			}
		})
	}
}

// TestIndentedListIsParsed: lists may come indented.
func TestIndentedListIsParsed(t *testing.T) {
	leaks.Check(t)
	l := startWatcher(t, func(rw http.ResponseWriter, req *http.Request) {
		e := json.NewEncoder(rw)
		e.SetIndent("\t", "  ")
		if err := e.Encode(json.RawMessage(listJSON(7, true, "up"))); err != nil {
			t.Error(err)
		}
	})
	if got := l.next(t); got.Version != 7 || len(got.Servers) != 1 {
		t.Errorf("told %+v", got)
	}
}

// TestDiscoveryVersionReset: discovery that has lost its count says older whole lists only, or older changes. After some in a row it
// is believed.
func TestDiscoveryVersionReset(t *testing.T) {
	leaks.Check(t)
	for name, full := range map[string]bool{"whole lists": true, "changes": false} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			l := startWatcher(t, func(rw http.ResponseWriter, req *http.Request) {
				if n.Add(1) == 1 {
					fmt.Fprint(rw, listJSON(41, true, "up"))
					return
				}
				fmt.Fprint(rw, listJSON(2, full || req.URL.RawQuery == "", "draining"))
			})
			l.next(t)
			if got := l.next(t); got.Version != 2 || !got.Full || n.Load() <= maxOlderAnswers {
				t.Errorf("told %+v after %d calls", got, n.Load())
			}
		})
	}
}

// TestRepeatedServerInChanges: among changes a server may stand twice.
func TestRepeatedServerInChanges(t *testing.T) {
	leaks.Check(t)
	l := ServerList{Servers: []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", State: "draining"}, {ID: "s", State: "removed"}}}
	if err := l.validate(); err != nil {
		t.Error(err)
	}
	if l.Full = true; l.validate() == nil {
		t.Error("a whole list with one server twice passes")
	}
}

// TestFailureLog: failures that come again and again are counted, not told.
func TestFailureLog(t *testing.T) {
	leaks.Check(t)
	var out strings.Builder
	f := failureLog{log: slog.New(slog.NewTextHandler(&out, nil))}
	for range 1000 {
		f.warn("failing", errors.New("same"))
		f.warn("failing", errors.New("other"))
	}
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d lines", n)
	}
	f.at = f.at.Add(-failureInterval)
	f.warn("failing", errors.New("same"))
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("the same failure is told again after %v", failureInterval)
	}
	f.warn("failing", errors.New("other"))
	if !strings.Contains(out.String(), "err=other untold=2000") {
		t.Errorf("another failure is not told: %s", out.String())
	}
	f.at = f.at.Add(-sameFailureInterval)
	f.warn("failing", errors.New("other"))
	if n := strings.Count(out.String(), "\n"); n != 3 {
		t.Errorf("the same failure is not told after %v", sameFailureInterval)
	}
}
