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
	watchWait  = 4 * time.Second        // a watch waits so long for news ...
	watchOver  = 500 * time.Millisecond // ... and is given up so long after: discovery that is down says nothing
	checkMost  = 250 * time.Millisecond // a call that need not wait is given up after this
	watchRetry = 50 * time.Millisecond
	listMost   = 8 << 20 // bytes of a list
)

// ServerList is discovery's form of a list of servers.
type ServerList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []ServerEntry `json:"servers"`
}

// ServerEntry is a server as discovery tells it.
type ServerEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

func (e *ServerEntry) state() (decide.State, error) {
	switch e.State {
	case "up":
		return decide.Serving, nil
	case "draining":
		return decide.Draining, nil
	case "removed":
		return decide.Gone, nil
	}
	return decide.Gone, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
}

// check reports the first entry that can't be used. A list is taken whole or not at all.
func (l *ServerList) check() error {
	for i := range l.Servers {
		e := &l.Servers[i]
		state, err := e.state()
		if err != nil {
			return err
		}
		if e.ID == "" {
			return fmt.Errorf("servers[%d] has no id", i)
		}
		if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != decide.Gone {
			return fmt.Errorf("server %q: %w", e.ID, err)
		}
	}
	return nil
}

// watcher follows discovery.
type watcher struct {
	client *http.Client
	base   string
	wait   time.Duration // of a watch
	over   time.Duration // past its wait a call is given up
	check  time.Duration // a call that does not wait is given up
	news   func(decide.FleetKind, ServerList)
	log    *slog.Logger
}

func newWatcher(addr netip.AddrPort, news func(decide.FleetKind, ServerList), log *slog.Logger) *watcher {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: watchOver}).DialContext,
		MaxIdleConns: 1, DisableCompression: true}
	return &watcher{client: &http.Client{Transport: transport}, base: "http://" + addr.String() + "/v1/servers",
		wait: watchWait, over: watchOver, check: checkMost, news: news, log: log}
}

// follow watches discovery at an address, and from each move on at the new one. A move calls off what waits at
// the old address and begins with the whole list of the new one, only after the old watcher has ended: versions
// of the two tell nothing of each other, so their changes must never be mixed. Until the new one answers, the
// list last told stays.
func follow(ctx context.Context, addr netip.AddrPort, moves <-chan netip.AddrPort, news func(decide.FleetKind, ServerList), log *slog.Logger) {
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
	version, known, failing := uint64(0), false, false
	for ctx.Err() == nil {
		url, within := w.base, w.check
		if known {
			wait := time.Duration(0)
			if !failing {
				wait, within = w.wait, w.wait+w.over
			}
			url = fmt.Sprintf("%s?after=%d&wait_ms=%d", w.base, version, wait.Milliseconds())
		}
		called := time.Now()
		list, err := w.fetch(ctx, url, within)
		if err == nil && !known && !list.Full {
			err = errors.New("changes to a list that this gateway does not hold")
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				w.log.Warn("discovery is failing", "err", err)
			}
			failing = true
			sleep(ctx, watchRetry)
			continue
		}
		failing = false
		kind := decide.FleetDelta
		if list.Full {
			kind = decide.FleetFull
		}
		if list.Full || len(list.Servers) > 0 {
			w.news(kind, list)
		} else if time.Since(called) < watchRetry {
			sleep(ctx, watchRetry) // discovery that does not wait must not be asked without end
		}
		version, known = list.Version, true
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, listMost))
	if err != nil {
		return list, fmt.Errorf("reading the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return list, fmt.Errorf("reading the list: %w", err)
	}
	return list, list.check()
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

// server is the entry in the module's words. The loop's clock counts from the Unix epoch, as start times do.
func (e *ServerEntry) server() decide.Server {
	state, err := e.state()
	if err != nil {
		state = decide.Gone // unreachable for a checked list
	}
	return decide.Server{ID: e.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: state,
		Started: time.Duration(e.StartedMS) * time.Millisecond, Weight: e.Weight}
}
