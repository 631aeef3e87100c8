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
	pollWait            = 4 * time.Second        // a watch waits so long for news ...
	pollGrace           = 500 * time.Millisecond // ... and is given up so long after: discovery that is down says nothing
	shortCallTimeout    = 250 * time.Millisecond // a call that need not wait is given up after this; another one is out for longer meanwhile
	retryDelay          = 50 * time.Millisecond
	maxOlderAnswers     = 3       // answers in a row of a version older than the one held, after which discovery has begun to count anew
	maxListSize         = 8 << 20 // bytes of a list
	sameFailureInterval = 30 * time.Second
	failureInterval     = time.Second
)

// watcher follows discovery.
type watcher struct {
	client       *http.Client
	url          string
	wait         time.Duration // of a watch
	grace        time.Duration // past its wait a call is given up
	shortTimeout time.Duration // a call that does not wait is given up
	longTimeout  time.Duration // the patient one is given up; 0: there is none
	onUpdate     func(decide.ListKind, ServerList)
	log          *failureLog
	version      uint64 // of the list that is held
	hasList      bool   // there is one
	olderAnswers int    // answers of older versions in a row
	failing      bool
	longCall     *call // is out beside short ones while discovery fails; nil: none
}

func newWatcher(addr netip.AddrPort, onUpdate func(decide.ListKind, ServerList), log *slog.Logger) *watcher {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: pollGrace}).DialContext,
		MaxIdleConns: 1, DisableCompression: true}
	return &watcher{client: &http.Client{Transport: transport}, url: "http://" + addr.String() + "/v1/servers",
		wait: pollWait, grace: pollGrace, shortTimeout: shortCallTimeout, longTimeout: pollWait + pollGrace, onUpdate: onUpdate, log: &failureLog{log: log}}
}

// watchDiscovery watches discovery at an address, and from each move on at the new one. A move calls off what waits at
// the old address and begins with the whole list of the new one, only after the old watcher has ended: versions
// of the two tell nothing of each other, so their changes must never be mixed. Until the new one answers, the
// list last told stays.
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

// run asks for the whole list and then watches for changes until the context ends. The next call goes out as
// soon as the last one is answered, so that the watch goes on. A watch can't tell discovery that is down from
// a fleet that does not change, so after a failure short calls, which are answered at once, find out when
// discovery is back. Without them a gateway would learn of a drain only seconds after that, and go on sending.
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
			sleep(ctx, retryDelay) // discovery that does not wait must not be asked without end
		}
	}
}

// fetchNext makes the call that is due.
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

// call is one that runs beside others.
type call struct {
	ended  chan struct{} // closed once list and err stand
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

// end calls it off and waits until nothing of it runs.
func (c *call) end() {
	c.cancel()
	<-c.ended
}

// fetchShort makes a call that need not wait. While discovery fails a patient one of the same question is out beside the fetchShort ones:
// fetchShort calls tell at once that a silent discovery is back, and the patient one takes the answer of a slow discovery, which
// would never answer in a fetchShort one's time.
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

// checkVersion reports why a list that can be read is not taken. Discovery that falls behind itself could tell that a server that drains is
// up; one that has begun to count anew says the same again and again.
func (w *watcher) checkVersion(list *ServerList) error {
	switch {
	case !list.Full && !w.hasList:
		return errors.New("changes to a list that this gateway does not hold")
	case !w.hasList || list.Version >= w.version:
		w.olderAnswers = 0
		return nil
	case !list.Full:
		if w.olderAnswers++; w.olderAnswers >= maxOlderAnswers {
			w.hasList, w.olderAnswers = false, 0 // it is asked for the whole list, which counts as the first
		}
		return fmt.Errorf("changes of version %d, older than version %d of the list that is held", list.Version, w.version)
	}
	if w.olderAnswers++; w.olderAnswers < maxOlderAnswers {
		return fmt.Errorf("a whole list of version %d, older than version %d that is held", list.Version, w.version)
	}
	w.olderAnswers = 0
	return nil
}

// deliver hands on a list.
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
		return list, fmt.Errorf("making a call: %w", err)
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

// failureLog tells failures that come again and again without filling the log: another one after nextFailure, the same one after
// sameFailure.
type failureLog struct {
	log        *slog.Logger
	last       string
	at         time.Time
	suppressed int // that were not told since
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

// sleep waits, or less if the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
