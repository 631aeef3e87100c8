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
	"sloepick/internal/discovery"
	"sloepick/internal/testbed/leaks"
)

// A long poll without an answer times out and is repeated, starting from the last received version. Without the
// timeout, the gateway would wait forever if discovery went down during a call. With long polls instead of
// short calls after a failure, it would learn that discovery is back only when the long poll ends.
func TestWatcherRecoversFromSilence(t *testing.T) {
	leaks.Check(t)
	calls := make(chan string, 16)
	var n atomic.Int32
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls <- req.URL.RawQuery
		switch n.Add(1) {
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
	type update struct {
		kind decide.ListKind
		list ServerList
	}
	updates := make(chan update, 16)
	w := newWatcher(func(kind decide.ListKind, list ServerList) {
		select {
		case updates <- update{kind, list}:
		default: // the handler's default case keeps sending updates
		}
	}, slog.New(slog.DiscardHandler))
	w.timing.Wait, w.timing.Grace, w.timing.ProbeTimeout = 10*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	go w.run(ctx, addrOf(web), nil)
	for _, want := range []string{"", "after=41&wait_ms=10", "after=41&wait_ms=0", "after=41&wait_ms=0", "after=41&wait_ms=0",
		"after=41&wait_ms=0", "after=42&wait_ms=10"} {
		if got := <-calls; got != want {
			t.Errorf("call %q, want %q", got, want)
		}
	}
	first, second := <-updates, <-updates
	if s := first.list.Servers[0].toServer(); first.kind != decide.ListFull || s.State != decide.Serving || s.Started != 7*time.Millisecond || s.Cell != 3 {
		t.Errorf("first update: %+v", first)
	}
	if s := second.list.Servers[0].toServer(); second.kind != decide.ListDelta || s.State != decide.Draining {
		t.Errorf("second update: %+v", second)
	}
}

func addrOf(web *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
}

// watcherHarness runs a watcher against a handler of the test and records the lists it delivers and its log.
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
	l.watcher = newWatcher(func(_ decide.ListKind, list ServerList) {
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
	l.timing.Wait, l.timing.Grace, l.timing.ProbeTimeout, l.timing.ProbeInterval = 10*time.Millisecond, 10*time.Second, 10*time.Second, 10*time.Second
	go func() {
		defer close(ended)
		l.run(ctx, addrOf(web), nil)
	}()
	return l
}

// Write records log output.
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

// next returns the next list delivered.
func (l *watcherHarness) next(t *testing.T) ServerList {
	t.Helper()
	select {
	case list := <-l.received:
		return list
	case <-time.After(20 * time.Second):
		t.Fatal("no list received")
		panic("unreachable")
	}
}

func listJSON(version int, full bool, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s","addr":"127.0.0.1:1","state":%q}]}`, version, full, state)
}

// TestBadListKeepsLastGoodList: an invalid or older list is logged as an error that gives the position of the
// fault, and the next valid list is used.
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
				t.Errorf("first update: %+v", got)
			}
			if got := l.next(t); got.Version != 3 {
				t.Errorf("second update: %+v", got)
			}
			if !strings.Contains(l.logged(), tc.logged) {
				t.Errorf("logged %q, want %q", l.logged(), tc.logged)
			}
		})
	}
}

// TestIndentedListIsParsed: lists may be indented JSON.
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
		t.Errorf("got list %+v", got)
	}
}

// TestDiscoveryVersionReset: a discovery that has restarted its version count sends only older whole lists or
// older changes. After several in a row they are accepted.
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
			if got := l.next(t); got.Version != 2 || !got.Full || int(n.Load()) <= discovery.DefaultTiming().MaxOlderAnswers {
				t.Errorf("got list %+v after %d calls", got, n.Load())
			}
		})
	}
}

// TestRepeatedServerInChanges: a list of changes may contain a server twice.
func TestRepeatedServerInChanges(t *testing.T) {
	leaks.Check(t)
	l := ServerList{Servers: []ServerEntry{{ID: "s", Addr: "127.0.0.1:1", State: "draining"}, {ID: "s", State: "removed"}}}
	if err := l.validate(); err != nil {
		t.Error(err)
	}
	if l.Full = true; l.validate() == nil {
		t.Error("whole list with a repeated server accepted")
	}
}

// TestFailureLog: repeated failures are counted instead of logged.
func TestFailureLog(t *testing.T) {
	leaks.Check(t)
	var out strings.Builder
	f := failureLog{log: slog.New(slog.NewTextHandler(&out, nil))}
	for range 1000 {
		f.warn("failing", errors.New("same"))
		f.warn("failing", errors.New("other"))
	}
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("%d lines logged", n)
	}
	f.at = f.at.Add(-failureInterval)
	f.warn("failing", errors.New("same"))
	if n := strings.Count(out.String(), "\n"); n != 1 {
		t.Errorf("the same failure is logged again after %v", failureInterval)
	}
	f.warn("failing", errors.New("other"))
	if !strings.Contains(out.String(), "err=other untold=2000") {
		t.Errorf("another failure is not logged: %s", out.String())
	}
	f.at = f.at.Add(-sameFailureInterval)
	f.warn("failing", errors.New("other"))
	if n := strings.Count(out.String(), "\n"); n != 3 {
		t.Errorf("the same failure is not logged after %v", sameFailureInterval)
	}
}
