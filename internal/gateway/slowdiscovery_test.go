package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/leaks"
)

// slowDiscovery answers each call with what it knew when the call came, or when its wait ended, but only after a delay.
type slowDiscovery struct {
	web *httptest.Server

	mu      sync.Mutex
	version int
	changed chan struct{}
	delay   time.Duration
	calls   int
}

func newSlowDiscovery(t *testing.T, delay time.Duration) *slowDiscovery {
	d := &slowDiscovery{version: 1, changed: make(chan struct{}), delay: delay}
	d.web = httptest.NewServer(d)
	t.Cleanup(func() {
		d.web.CloseClientConnections()
		d.web.Close()
	})
	return d
}

// change publishes the next version and returns it.
func (d *slowDiscovery) change() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

func (d *slowDiscovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func (d *slowDiscovery) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	after, notChanges := strconv.Atoi(req.URL.Query().Get("after"))
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("wait_ms")) // missing: a call that does not wait
	d.mu.Lock()
	d.calls++
	version, changed := d.version, d.changed
	d.mu.Unlock()
	if notChanges == nil && version <= after {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	d.mu.Lock()
	version, delay := d.version, d.delay
	d.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-req.Context().Done():
		return
	}
	if notChanges == nil && version <= after {
		json.NewEncoder(rw).Encode(ServerList{Version: uint64(version)})
		return
	}
	fmt.Fprint(rw, listJSON(version, notChanges != nil, "draining"))
}

// hearing records when versions of the list were heard.
type hearing struct {
	mu       sync.Mutex
	versions []int
	at       []time.Time
	news     chan struct{} // closed and replaced with each version
}

// watch starts to watch a discovery and returns what it hears, and where to send moves.
func watch(t *testing.T, addr netip.AddrPort) (*hearing, chan netip.AddrPort) {
	h, moves := &hearing{news: make(chan struct{})}, make(chan netip.AddrPort)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchDiscovery(ctx, addr, moves, func(_ decide.ListKind, list ServerList) { h.add(int(list.Version)) }, slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return h, moves
}

func (h *hearing) add(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions, h.at = append(h.versions, version), append(h.at, time.Now())
	close(h.news)
	h.news = make(chan struct{})
}

// first returns when a version or a later one was first heard, and what is closed when there is more.
func (h *hearing) first(version int) (at time.Time, more chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.IndexFunc(h.versions, func(v int) bool { return v >= version }); i >= 0 {
		return h.at[i], nil
	}
	return time.Time{}, h.news
}

// wantBy checks that a version, or a later one, is heard by a time.
func (h *hearing) wantBy(t *testing.T, version int, by time.Time) {
	t.Helper()
	patience := time.After(time.Until(by) + 10*time.Second)
	for {
		at, more := h.first(version)
		if more == nil {
			if late := at.Sub(by); late > 0 {
				t.Errorf("version %d was heard %v after it counts as told", version, late)
			}
			return
		}
		select {
		case <-more:
		case <-patience:
			t.Fatalf("version %d was not heard within 10 s after it counts as told", version)
		}
	}
}

// toldWithin is the platform's bound on the time from a change at discovery to when it counts as told.
const toldWithin = 6 * time.Second

// Guards against changes that are not heard from a discovery that answers every call 5 s late, whether the process has just
// started, discovery has just become slow, or it has moved: calls were given up after 4.5 s and after 0.25 s.
func TestChangesAtSlowDiscoveryAreHeard(t *testing.T) {
	leaks.Check(t)
	const slow = 5 * time.Second
	for name, play := range map[string]func(t *testing.T){
		"from the start of the process": func(t *testing.T) {
			d := newSlowDiscovery(t, slow)
			heard, _ := watch(t, addrOf(d.web))
			heard.wantBy(t, 1, time.Now().Add(toldWithin))
			for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} { // several on their way at once
				time.Sleep(pause)
				version, by := d.change(), time.Now().Add(toldWithin)
				defer heard.wantBy(t, version, by)
			}
		},
		"after it was quick": func(t *testing.T) {
			d := newSlowDiscovery(t, 0)
			heard, _ := watch(t, addrOf(d.web))
			heard.wantBy(t, 1, time.Now().Add(time.Second))
			d.setDelay(slow)
			heard.wantBy(t, d.change(), time.Now().Add(toldWithin))
			heard.wantBy(t, d.change(), time.Now().Add(toldWithin))
			d.setDelay(0)
			heard.wantBy(t, d.change(), time.Now().Add(toldWithin))
		},
		"at a new address": func(t *testing.T) {
			const slow = 3500 * time.Millisecond // the platform counts what a new address tells as told after 4 s
			former, next := newSlowDiscovery(t, slow), newSlowDiscovery(t, slow)
			heard, moves := watch(t, addrOf(former.web))
			for range 3 {
				next.change()
			}
			time.Sleep(time.Second)
			moves <- addrOf(next.web)
			heard.wantBy(t, 4, time.Now().Add(4*time.Second))
			heard.wantBy(t, next.change(), time.Now().Add(toldWithin))
		},
		"while reloads come faster than answers": func(t *testing.T) {
			d := newSlowDiscovery(t, 3*time.Second)
			heard, moves := watch(t, addrOf(d.web))
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					select {
					case <-time.After(time.Second):
					case <-done:
						return
					}
					select {
					case moves <- addrOf(d.web):
					case <-done:
						return
					}
				}
			}()
			heard.wantBy(t, 1, time.Now().Add(toldWithin))
			heard.wantBy(t, d.change(), time.Now().Add(toldWithin))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t)
		})
	}
}
