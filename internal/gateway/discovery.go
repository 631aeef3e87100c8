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
	"time"

	"winghatch/decide"
)

const (
	watchWait  = 5 * time.Second // a call waits so long for news ...
	watchOver  = time.Second     // ... and is given up so long after: discovery that is down says nothing
	watchRetry = 50 * time.Millisecond
	listMost   = 8 << 20 // bytes of a list
)

// serverList is discovery's form of a list of servers.
type serverList struct {
	Version uint64        `json:"version"`
	Full    bool          `json:"full"`
	Servers []serverEntry `json:"servers"`
}

type serverEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

func (e *serverEntry) state() (decide.State, error) {
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
func (l *serverList) check() error {
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

// fleetNews hands a list to the loop.
type fleetNews struct {
	kind decide.FleetKind
	list serverList
}

func (n fleetNews) apply(l *loop) { l.fleet(n.kind, n.list) }

// watcher follows discovery.
type watcher struct {
	client *http.Client
	base   string
	wait   time.Duration // of a watch
	over   time.Duration
	post   func(event)
	log    *slog.Logger
}

func newWatcher(addr netip.AddrPort, post func(event), log *slog.Logger) *watcher {
	return &watcher{base: "http://" + addr.String() + "/v1/servers", wait: watchWait, over: watchOver, post: post, log: log, client: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: watchOver}).DialContext,
			MaxIdleConns: 1, DisableCompression: true}}}
}

// run asks for the whole list and then watches for changes until the context ends. The next call goes out as
// soon as the last one is answered, so that the watch goes on. A call that fails is made again: without that,
// a gateway would go on sending to servers that were drained while discovery was down.
func (w *watcher) run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	version, known, failing := uint64(0), false, false
	for ctx.Err() == nil {
		url, wait := w.base, time.Duration(0)
		if known {
			wait = w.wait
			url = fmt.Sprintf("%s?after=%d&wait_ms=%d", w.base, version, wait.Milliseconds())
		}
		list, err := w.fetch(ctx, url, wait+w.over)
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
			w.post(fleetNews{kind, list})
		}
		if !known && !list.Full {
			sleep(ctx, watchRetry) // changes to a list that this gateway does not hold
			continue
		}
		version, known = list.Version, true
	}
}

func (w *watcher) fetch(ctx context.Context, url string, within time.Duration) (serverList, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var list serverList
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
func (e *serverEntry) server() decide.Server {
	state, err := e.state()
	if err != nil {
		state = decide.Gone // unreachable for a checked list
	}
	return decide.Server{ID: e.ID, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind, State: state,
		Started: time.Duration(e.StartedMS) * time.Millisecond, Weight: e.Weight}
}
