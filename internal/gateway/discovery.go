package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sloepick/decide"
)

const (
	pollWait            = 4 * time.Second        // how long a long poll waits for changes
	pollGrace           = 500 * time.Millisecond // a long poll times out this much later, as discovery that is down may not answer at all; also the dial timeout
	shortCallTimeout    = 250 * time.Millisecond // timeout of a call that doesn't wait for changes
	retryDelay          = 50 * time.Millisecond
	maxOlderAnswers     = 3       // in a row, after which discovery is taken to have restarted its version count
	maxListSize         = 8 << 20 // bytes
	sameFailureInterval = 30 * time.Second
	failureInterval     = time.Second
)

// watcher fetches the list of servers and its changes from discovery.
type watcher struct {
	client       *http.Client
	url          string
	wait         time.Duration // of a long poll
	grace        time.Duration // timeout of a long poll beyond its wait
	shortTimeout time.Duration // timeout of a call without waiting
	longTimeout  time.Duration // timeout of longCall; 0: no long call is made
	onUpdate     func(decide.ListKind, ServerList)
	log          *failureLog
	version      uint64 // of the current list
	hasList      bool   // false: the next call requests the whole list, which is accepted whatever its version
	olderAnswers int    // consecutive answers with an older version
	failing      bool
	longCall     *call // in progress beside the short calls while discovery fails; nil: none
}

func newWatcher(addr netip.AddrPort, onUpdate func(decide.ListKind, ServerList), log *slog.Logger) *watcher {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: pollGrace}).DialContext,
		MaxIdleConns: 1, DisableCompression: true}
	return &watcher{client: &http.Client{Transport: transport}, url: "http://" + addr.String() + "/v1/servers",
		wait: pollWait, grace: pollGrace, shortTimeout: shortCallTimeout, longTimeout: pollWait + pollGrace, onUpdate: onUpdate, log: &failureLog{log: log}}
}

// watchDiscovery watches discovery at an address, and then at each address received from moves. Every reload
// sends one, even if it is unchanged. watchDiscovery then cancels the pending calls at the old address, waits
// until the old watcher has ended, and requests the whole list from the new address: the version numbers of two
// instances are unrelated, so their changes must never be mixed. Until the new address answers, the last list
// stays in effect.
func watchDiscovery(ctx context.Context, addr netip.AddrPort, moves <-chan netip.AddrPort, onUpdate func(decide.ListKind, ServerList), log *slog.Logger) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		w, ended := newWatcher(addr, onUpdate, log), make(chan struct{})
		go func() {
			defer close(ended)
			w.run(watchCtx)
		}()
		select {
		case addr = <-moves:
		case <-ctx.Done():
		}
		cancel()
		<-ended
	}
}

// run requests the whole list and then long-polls for changes until the context ends, each call directly after
// the last one. A long poll cannot tell discovery that is down from a list of servers without changes. Therefore,
// after a failure, short calls, which are answered at once, detect when discovery is back. Without them, the
// gateway would learn of a draining server only seconds later and keep sending to it.
func (w *watcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	defer w.endLongCall()
	for ctx.Err() == nil {
		called := time.Now()
		list, err := w.fetchNext(ctx)
		if err == nil {
			err = w.checkVersion(&list)
		}
		if err != nil {
			if ctx.Err() == nil {
				w.log.warn("discovery is failing", err)
			}
			w.failing = true
			sleep(ctx, retryDelay)
			continue
		}
		w.endLongCall()
		w.failing = false
		w.deliver(list)
		if !list.Full && len(list.Servers) == 0 && time.Since(called) < retryDelay {
			sleep(ctx, retryDelay) // limits the rate of calls if discovery answers long polls at once
		}
	}
}

// fetchNext makes the next call.
func (w *watcher) fetchNext(ctx context.Context) (ServerList, error) {
	switch {
	case !w.hasList:
		return w.fetchShort(ctx, w.url)
	case w.failing:
		return w.fetchShort(ctx, w.changesURL(0))
	}
	return w.fetch(ctx, w.changesURL(w.wait), w.wait+w.grace)
}

func (w *watcher) changesURL(wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", w.url, w.version, wait.Milliseconds())
}

// call is an HTTP call that runs in a goroutine of its own.
type call struct {
	ended  chan struct{} // closed once list and err are set
	cancel context.CancelFunc
	list   ServerList
	err    error
}

func (w *watcher) startCall(ctx context.Context, url string, within time.Duration) *call {
	c := &call{ended: make(chan struct{})}
	ctx, c.cancel = context.WithCancel(ctx)
	go func() {
		defer close(c.ended)
		c.list, c.err = w.fetch(ctx, url, within)
	}()
	return c
}

// end cancels the call and waits until its goroutine has ended.
func (c *call) end() {
	c.cancel()
	<-c.ended
}

// fetchShort makes a call that does not wait for changes. While discovery fails, a long call with the same
// query runs in parallel. Short calls notice at once that a silent discovery is back; the long call receives
// the answer of a slow discovery, which would never answer within the timeout of a short call.
func (w *watcher) fetchShort(ctx context.Context, url string) (ServerList, error) {
	if w.failing && w.longCall == nil && w.longTimeout > 0 {
		w.longCall = w.startCall(ctx, url, w.longTimeout)
	}
	short := w.startCall(ctx, url, w.shortTimeout)
	defer short.end()
	if w.longCall == nil {
		<-short.ended
		return short.list, short.err
	}
	select {
	case <-short.ended:
		return short.list, short.err
	case <-w.longCall.ended:
		list, err := w.longCall.list, w.longCall.err
		w.endLongCall()
		return list, err
	}
}

func (w *watcher) endLongCall() {
	if w.longCall != nil {
		w.longCall.end()
		w.longCall = nil
	}
}

// checkVersion returns an error if a valid list must not be used. An instance of discovery that lags behind
// could report a draining server as up, so older versions are rejected. An instance that has restarted its
// version count sends older versions repeatedly, and is accepted after maxOlderAnswers.
func (w *watcher) checkVersion(list *ServerList) error {
	switch {
	case !list.Full && !w.hasList:
		return errors.New("received changes before the first whole list")
	case !w.hasList || list.Version >= w.version:
		w.olderAnswers = 0
		return nil
	case !list.Full:
		if w.olderAnswers++; w.olderAnswers >= maxOlderAnswers {
			w.hasList, w.olderAnswers = false, 0 // request the whole list, which is then accepted as if it were the first
		}
		return fmt.Errorf("changes of version %d, older than version %d of the current list", list.Version, w.version)
	}
	if w.olderAnswers++; w.olderAnswers < maxOlderAnswers {
		return fmt.Errorf("a whole list of version %d, older than version %d of the current list", list.Version, w.version)
	}
	w.olderAnswers = 0
	return nil
}

// deliver passes a list on.
func (w *watcher) deliver(list ServerList) {
	kind := decide.ListDelta
	if list.Full {
		kind = decide.ListFull
	}
	w.version, w.hasList = list.Version, true
	if list.Full || len(list.Servers) > 0 {
		w.onUpdate(kind, list)
	}
}

func (w *watcher) fetch(ctx context.Context, url string, within time.Duration) (ServerList, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var list ServerList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("creating the request: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return list, fmt.Errorf("calling discovery: %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize+1))
	if err != nil {
		return list, fmt.Errorf("reading the list after %d bytes: %w", len(raw), err)
	}
	if len(raw) > maxListSize {
		return list, fmt.Errorf("the list is over %d bytes", maxListSize)
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return list, fmt.Errorf("reading the list of %d bytes: %w", len(raw), err)
	}
	return list, list.validate()
}

// failureLog limits the rate of warnings: a different failure is logged again after failureInterval, the same
// failure after sameFailureInterval.
type failureLog struct {
	log        *slog.Logger
	last       string
	at         time.Time
	suppressed int // number of failures since the last one logged
}

func (f *failureLog) warn(what string, err error) {
	since, text := time.Since(f.at), err.Error()
	if !f.at.IsZero() && (since < failureInterval || since < sameFailureInterval && text == f.last) {
		f.suppressed++
		return
	}
	f.log.Warn(what, "err", text, "untold", f.suppressed)
	f.last, f.at, f.suppressed = text, time.Now(), 0
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
