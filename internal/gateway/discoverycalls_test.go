package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/testbed/leaks"
)

// countingTransport counts the calls that are made and not canceled, at the client: discovery hears of the end of a call only some
// time after it.
type countingTransport struct {
	http.RoundTripper
	made chan struct{} // one for each call; has room for all

	mu    sync.Mutex
	calls []context.Context // of calls in progress
	most  int               // calls at once
}

func countCalls(w *watcher) *countingTransport {
	c := &countingTransport{RoundTripper: w.client.Transport, made: make(chan struct{}, 4096)}
	w.client.Transport = c
	return c
}

func (c *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	c.mu.Lock()
	c.calls = slices.DeleteFunc(c.calls, func(ctx context.Context) bool { return ctx.Err() != nil })
	if req.Context().Err() == nil {
		c.calls = append(c.calls, req.Context())
	}
	c.most = max(c.most, len(c.calls))
	c.mu.Unlock()
	c.made <- struct{}{}
	return c.RoundTripper.RoundTrip(req)
}

// runQuickly starts a watcher that makes and gives up calls every few milliseconds, and returns the function that ends it.
func runQuickly(w *watcher, addr netip.AddrPort) (end func()) {
	w.timing.ProbeTimeout, w.timing.ProbeInterval, w.timing.PollInterval = time.Millisecond, 2*time.Millisecond, 4*time.Millisecond
	w.timing.GiveUpTime = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.run(ctx, addr, nil)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// TestSlowDiscoveryIsAnswered: calls that discovery is slow to answer are not given up for later ones, and their number is bounded.
func TestSlowDiscoveryIsAnswered(t *testing.T) {
	leaks.Check(t)
	release := make(chan struct{})
	web := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		select {
		case <-release:
			fmt.Fprint(rw, listJSON(1, true, "up"))
		case <-req.Context().Done():
		}
	}))
	defer web.Close()
	received := make(chan ServerList, 4096)
	w := newWatcher(func(_ decide.ListKind, list ServerList) { received <- list }, slog.New(slog.DiscardHandler))
	calls := countCalls(w)
	end := runQuickly(w, addrOf(web))
	for range 10 * w.timing.MaxCalls {
		<-calls.made
	}
	close(release)
	if list := <-received; list.Version != 1 {
		t.Errorf("got %+v", list)
	}
	end()
	web.CloseClientConnections()
	if calls.most != w.timing.MaxCalls {
		t.Errorf("%d calls at once, want %d", calls.most, w.timing.MaxCalls)
	}
}

// Guards against dials that go on after their call was canceled: they would add up while a host does not respond.
func TestCanceledCallEndsItsDial(t *testing.T) {
	leaks.Check(t)
	addr := fullListener(t)
	w := newWatcher(func(decide.ListKind, ServerList) {}, slog.New(slog.DiscardHandler))
	var dialing, most atomic.Int32
	w.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		most.Store(max(most.Load(), dialing.Add(1)))
		defer dialing.Add(-1)
		return dialForCall(ctx, network, addr)
	}
	calls := countCalls(w)
	end := runQuickly(w, addr)
	for range 10 * w.timing.MaxCalls {
		<-calls.made
	}
	end()
	if most := int(most.Load()); most > w.timing.MaxCalls+2 { // those of calls that are just being canceled
		t.Errorf("%d dials at once, want those of %d calls", most, w.timing.MaxCalls)
	}
}

// fullListener returns an address at which connections never come up, as the listener's queue is full.
func fullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp", addr.String(), 100*time.Millisecond)
		if err != nil {
			return addr // full
		}
		t.Cleanup(func() { conn.Close() })
	}
}
