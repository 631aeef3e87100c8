package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sloepick/decide"
	"sloepick/internal/discovery"
)

const (
	maxListSize      = 8 << 20         // bytes
	maxListsReceived = 2 * maxListSize // bytes of all lists that are being received
)

// watcher fetches the list of servers and its changes from discovery. What to call when, and which answers to use, is decided by a
// discovery.Scheduler; the watcher makes the calls, each in a goroutine of its own.
type watcher struct {
	client    *http.Client
	timing    discovery.Timing
	onUpdate  func(decide.ListKind, ServerList)
	log       *failureLog
	lateLog   *failureLog
	scheduler *discovery.Scheduler
	start     time.Time           // of the scheduler's clock
	calls     map[int]runningCall // by the call's ID
	results   chan callResult
	received  atomic.Int64 // bytes of the lists that are being received
	decoding  sync.Mutex   // held while a list is decoded, as that takes several times its size
}

// runningCall is a call in progress.
type runningCall struct {
	discovery.Call
	sent   time.Time
	cancel context.CancelFunc
}

// callResult is how a call ended.
type callResult struct {
	id   int
	list ServerList
	err  error
}

// callContextKey is the key under which a call's context is found in the context of its dial.
type callContextKey struct{}

func newWatcher(onUpdate func(decide.ListKind, ServerList), log *slog.Logger) *watcher {
	return &watcher{client: &http.Client{Transport: &http.Transport{DialContext: dialForCall, MaxIdleConns: 1, DisableCompression: true}},
		timing: discovery.DefaultTiming(), onUpdate: onUpdate, log: &failureLog{log: log}, lateLog: &failureLog{log: log},
		calls: map[int]runningCall{}, results: make(chan callResult)}
}

// dialForCall dials until the call ends that the connection is for. The transport would go on after that: the dials to a host that
// does not respond would then add up.
func dialForCall(ctx context.Context, network, addr string) (net.Conn, error) {
	if callCtx, ok := ctx.Value(callContextKey{}).(context.Context); ok {
		ctx = callCtx
	}
	return new(net.Dialer).DialContext(ctx, network, addr)
}

// watchDiscovery watches discovery at an address, and then at each address received from moves. Every reload sends one, even if it
// is unchanged. Until the new address answers, the last list stays in effect.
func watchDiscovery(ctx context.Context, addr netip.AddrPort, moves <-chan netip.AddrPort, onUpdate func(decide.ListKind, ServerList), log *slog.Logger) {
	newWatcher(onUpdate, log).run(ctx, addr, moves)
}

// run makes calls until the context ends, and waits for the end of all.
func (w *watcher) run(ctx context.Context, addr netip.AddrPort, moves <-chan netip.AddrPort) {
	var goroutines sync.WaitGroup
	defer w.client.CloseIdleConnections()
	defer goroutines.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	latestMove := make(chan netip.AddrPort, 1)
	goroutines.Go(func() { passLatest(ctx, moves, latestMove) })
	w.start = time.Now()
	w.scheduler = discovery.New(0, addr, w.timing)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		commands := w.scheduler.Advance(time.Since(w.start))
		w.carryOut(ctx, commands, &goroutines)
		timer.Reset(commands.Wake - time.Since(w.start))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case addr := <-latestMove:
			w.client.CloseIdleConnections()
			w.scheduler.Move(time.Since(w.start), addr)
		case result := <-w.results:
			if ctx.Err() == nil {
				w.handleResult(result)
			}
		}
	}
}

// carryOut ends and starts calls.
func (w *watcher) carryOut(ctx context.Context, commands discovery.Commands, goroutines *sync.WaitGroup) {
	for _, id := range commands.Cancel {
		w.endCall(id)
	}
	for _, call := range commands.Start {
		callCtx, cancel := context.WithCancel(ctx)
		w.calls[call.ID] = runningCall{Call: call, sent: time.Now(), cancel: cancel}
		goroutines.Go(func() { w.makeCall(callCtx, call) })
	}
	if commands.Late > 0 {
		w.log.warn("discovery is failing", fmt.Errorf("no answer in time, %v at most", w.timing.Grace))
	}
}

// passLatest receives moves at once, also while a list is being delivered, and passes on the latest one, until the context ends.
func passLatest(ctx context.Context, moves <-chan netip.AddrPort, latest chan netip.AddrPort) {
	for {
		select {
		case addr := <-moves:
			select {
			case <-latest:
			default:
			}
			latest <- addr
		case <-ctx.Done():
			return
		}
	}
}

// makeCall makes a call and passes its result on, unless it is canceled.
func (w *watcher) makeCall(ctx context.Context, call discovery.Call) {
	list, err := w.fetch(ctx, callURL(call))
	select {
	case w.results <- callResult{call.ID, list, err}:
	case <-ctx.Done():
	}
}

func callURL(call discovery.Call) string {
	url := "http://" + call.Addr.String() + "/v1/servers"
	if call.Whole {
		return url
	}
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", url, call.After, call.Wait.Milliseconds())
}

// endCall cancels a call, or releases what is left of one that has ended.
func (w *watcher) endCall(id int) {
	if call, ok := w.calls[id]; ok {
		call.cancel()
		delete(w.calls, id)
	}
}

// handleResult passes a list on if it is news.
func (w *watcher) handleResult(result callResult) {
	call, ok := w.calls[result.id]
	if !ok {
		return // canceled
	}
	w.endCall(result.id)
	if result.err != nil {
		w.scheduler.Failed(time.Since(w.start), result.id)
		w.log.warn("discovery is failing", result.err)
		return
	}
	list := result.list
	use, err := w.scheduler.Answered(time.Since(w.start), result.id,
		discovery.Answer{Version: list.Version, Full: list.Full, Servers: len(list.Servers)})
	if err != nil {
		w.log.warn("discovery is failing", err)
	}
	if delay := time.Since(call.sent) - call.Wait; delay > w.timing.Grace && w.scheduler.AnswersLate(time.Since(w.start)) {
		w.lateLog.warn("discovery answers late", fmt.Errorf("an answer took %v", delay.Round(time.Second/2)))
	}
	if use {
		w.deliver(list)
	}
}

// deliver passes a list on.
func (w *watcher) deliver(list ServerList) {
	kind := decide.ListDelta
	if list.Full {
		kind = decide.ListFull
	}
	if list.Full || len(list.Servers) > 0 {
		w.onUpdate(kind, list)
	}
}

// fetch makes a call that ends with its context.
func (w *watcher) fetch(ctx context.Context, url string) (ServerList, error) {
	var list ServerList
	req, err := http.NewRequestWithContext(context.WithValue(ctx, callContextKey{}, ctx), http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("creating the request: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return list, fmt.Errorf("calling discovery: %w", err)
	}
	defer resp.Body.Close()
	body := &countedReader{from: resp.Body, all: &w.received}
	defer body.release()
	raw, err := io.ReadAll(body)
	if err != nil {
		return list, fmt.Errorf("reading the list after %d bytes: %w", len(raw), err)
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	w.decoding.Lock()
	defer w.decoding.Unlock()
	if err := json.Unmarshal(raw, &list); err != nil {
		return list, fmt.Errorf("reading the list of %d bytes: %w", len(raw), err)
	}
	return list, list.validate()
}

var (
	errListTooLong  = fmt.Errorf("the list is over %d bytes", maxListSize)
	errListsTooLong = fmt.Errorf("the lists that are being received are over %d bytes", maxListsReceived)
)

// countedReader bounds the bytes of a list, and of all lists that are being received.
type countedReader struct {
	from io.Reader
	read int64
	all  *atomic.Int64
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.read += int64(n)
	all := r.all.Add(int64(n))
	switch {
	case r.read > maxListSize:
		return n, errListTooLong
	case all > maxListsReceived:
		return n, errListsTooLong
	}
	return n, err
}

// release takes the list out of the count.
func (r *countedReader) release() { r.all.Add(-r.read) }

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
