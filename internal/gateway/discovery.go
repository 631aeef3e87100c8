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
	watchWait   = 4 * time.Second        // a watch waits so long for news ...
	watchOver   = 500 * time.Millisecond // ... and is given up so long after: discovery that is down says nothing
	checkMost   = 250 * time.Millisecond // a call that need not wait is given up after this; another one is out for longer meanwhile
	watchRetry  = 50 * time.Millisecond
	olderMost   = 3       // answers in a row of a version older than the one held, after which discovery has begun to count anew
	listMost    = 8 << 20 // bytes of a list
	sameFailure = 30 * time.Second
	nextFailure = time.Second
)

// watcher follows discovery.
type watcher struct {
	client  *http.Client
	base    string
	wait    time.Duration // of a watch
	over    time.Duration // past its wait a call is given up
	check   time.Duration // a call that does not wait is given up
	slow    time.Duration // the patient one is given up; 0: there is none
	news    func(decide.ListKind, ServerList)
	log     *failureLog
	version uint64 // of the list that is held
	known   bool   // there is one
	older   int    // answers of older versions in a row
	failing bool
	patient *call // is out beside short ones while discovery fails; nil: none
}

func newWatcher(addr netip.AddrPort, news func(decide.ListKind, ServerList), log *slog.Logger) *watcher {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: watchOver}).DialContext,
		MaxIdleConns: 1, DisableCompression: true}
	return &watcher{client: &http.Client{Transport: transport}, base: "http://" + addr.String() + "/v1/servers",
		wait: watchWait, over: watchOver, check: checkMost, slow: watchWait + watchOver, news: news, log: &failureLog{log: log}}
}

// follow watches discovery at an address, and from each move on at the new one. A move calls off what waits at
// the old address and begins with the whole list of the new one, only after the old watcher has ended: versions
// of the two tell nothing of each other, so their changes must never be mixed. Until the new one answers, the
// list last told stays.
func follow(ctx context.Context, addr netip.AddrPort, moves <-chan netip.AddrPort, news func(decide.ListKind, ServerList), log *slog.Logger) {
	for ctx.Err() == nil {
		at, cancel := context.WithCancel(ctx)
		w, ended := newWatcher(addr, news, log), make(chan struct{})
		go func() {
			defer close(ended)
			w.run(at)
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
	defer w.endPatient()
	for ctx.Err() == nil {
		called := time.Now()
		list, err := w.next(ctx)
		if err == nil {
			err = w.judge(&list)
		}
		if err != nil {
			if ctx.Err() == nil {
				w.log.warn("discovery is failing", err)
			}
			w.failing = true
			sleep(ctx, watchRetry)
			continue
		}
		w.endPatient()
		w.failing = false
		w.take(list)
		if !list.Full && len(list.Servers) == 0 && time.Since(called) < watchRetry {
			sleep(ctx, watchRetry) // discovery that does not wait must not be asked without end
		}
	}
}

// next makes the call that is due.
func (w *watcher) next(ctx context.Context) (ServerList, error) {
	switch {
	case !w.known:
		return w.short(ctx, w.base)
	case w.failing:
		return w.short(ctx, w.changesURL(0))
	}
	return w.fetch(ctx, w.changesURL(w.wait), w.wait+w.over)
}

func (w *watcher) changesURL(wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", w.base, w.version, wait.Milliseconds())
}

// call is one that runs beside others.
type call struct {
	ended  chan struct{} // closed once list and err stand
	cancel context.CancelFunc
	list   ServerList
	err    error
}

func (w *watcher) begin(ctx context.Context, url string, within time.Duration) *call {
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

// short makes a call that need not wait. While discovery fails a patient one of the same question is out beside the short ones:
// short calls tell at once that a silent discovery is back, and the patient one takes the answer of a slow discovery, which
// would never answer in a short one's time.
func (w *watcher) short(ctx context.Context, url string) (ServerList, error) {
	if w.failing && w.patient == nil && w.slow > 0 {
		w.patient = w.begin(ctx, url, w.slow)
	}
	quick := w.begin(ctx, url, w.check)
	defer quick.end()
	if w.patient == nil {
		<-quick.ended
		return quick.list, quick.err
	}
	select {
	case <-quick.ended:
		return quick.list, quick.err
	case <-w.patient.ended:
		list, err := w.patient.list, w.patient.err
		w.endPatient()
		return list, err
	}
}

func (w *watcher) endPatient() {
	if w.patient != nil {
		w.patient.end()
		w.patient = nil
	}
}

// judge reports why a list that can be read is not taken. Discovery that falls behind itself could tell that a server that drains is
// up; one that has begun to count anew says the same again and again.
func (w *watcher) judge(list *ServerList) error {
	switch {
	case !list.Full && !w.known:
		return errors.New("changes to a list that this gateway does not hold")
	case !w.known || list.Version >= w.version:
		w.older = 0
		return nil
	case !list.Full:
		if w.older++; w.older >= olderMost {
			w.known, w.older = false, 0 // it is asked for the whole list, which counts as the first
		}
		return fmt.Errorf("changes of version %d, older than version %d of the list that is held", list.Version, w.version)
	}
	if w.older++; w.older < olderMost {
		return fmt.Errorf("a whole list of version %d, older than version %d that is held", list.Version, w.version)
	}
	w.older = 0
	return nil
}

// take hands on a list.
func (w *watcher) take(list ServerList) {
	kind := decide.ListDelta
	if list.Full {
		kind = decide.ListFull
	}
	w.version, w.known = list.Version, true
	if list.Full || len(list.Servers) > 0 {
		w.news(kind, list)
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, listMost+1))
	if err != nil {
		return list, fmt.Errorf("reading the list after %d bytes: %w", len(raw), err)
	}
	if len(raw) > listMost {
		return list, fmt.Errorf("the list is over %d bytes", listMost)
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return list, fmt.Errorf("reading the list of %d bytes: %w", len(raw), err)
	}
	return list, list.check()
}

// failureLog tells failures that come again and again without filling the log: another one after nextFailure, the same one after
// sameFailure.
type failureLog struct {
	log  *slog.Logger
	last string
	at   time.Time
	more int // that were not told since
}

func (f *failureLog) warn(what string, err error) {
	since, text := time.Since(f.at), err.Error()
	if !f.at.IsZero() && (since < nextFailure || since < sameFailure && text == f.last) {
		f.more++
		return
	}
	f.log.Warn(what, "err", text, "untold", f.more)
	f.last, f.at, f.more = text, time.Now(), 0
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
