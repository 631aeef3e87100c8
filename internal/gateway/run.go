package gateway

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sloepick/decide"
	"sloepick/internal/route"
	"sloepick/internal/tuning"
)

// The descriptors of a gateway are divided between clients and servers. The reserve is for the listener,
// discovery, peers and the runtime.
const (
	minSockets      = 64
	reservedSockets = 32
)

// descriptorShare returns a share of the descriptors that are not reserved.
func descriptorShare(all int, share float64) int { return int(float64(all-reservedSockets) * share) }

// Reload holds values that can change while a gateway runs.
type Reload struct {
	Discovery netip.AddrPort  // the address of discovery; the whole list is requested again even if it is unchanged
	Tuning    *tuning.Tuning  // nil: unchanged
	Routes    []*route.Route  // only applied together with Tuning; checked by Config.ValidateRoutes
	Applied   chan<- struct{} // closed, if not nil, once the values are in effect
}

// Run serves until the context ends. It then accepts connections for a short time longer, answers all requests
// and returns. It applies the values received from reloads.
func Run(ctx context.Context, cfg Config, reloads <-chan Reload, log *slog.Logger) error {
	for _, f := range cfg.Frontends {
		if err := f.Listen(ctx); err != nil {
			return err
		}
		defer f.Close()
	}
	l, err := newLoop(cfg, newClock(), log)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	bgCtx, cancel := context.WithCancel(context.Background()) // discovery stays active while the gateway drains
	defer wg.Wait()
	defer cancel()
	switch {
	case cfg.Member != nil:
		l.peers = cfg.Member
		wg.Go(func() { cfg.Member.Serve(bgCtx, l.core) })
	case cfg.PeerListen.IsValid():
		peers, err := openPeerSocket(cfg.PeerListen, cfg.Peers)
		if err != nil {
			return err
		}
		l.peers = peers
		defer peers.conn.Close()
		wg.Go(func() { peers.receive(l.postPeerMessage, log) })
	}
	moves := make(chan netip.AddrPort)
	wg.Go(func() { forwardReloads(bgCtx, reloads, moves, l) })
	wg.Go(func() { watchDiscovery(bgCtx, cfg.Discovery, moves, l.postServers, log) })
	for _, f := range cfg.Frontends {
		l.accepting++
		wg.Go(func() {
			f.Serve(bgCtx, l.core)
			l.inbox.post(func() { l.accepting-- }) // after the connections that it accepted
		})
	}
	if cfg.Member == nil {
		l.inbox.post(l.notifyReady)
	}
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.inbox.post(l.stop)
		case <-bgCtx.Done():
		}
	})
	l.run()
	close(l.ended)
	l.inbox.close()
	return l.closeFrontends()
}

// postPeerMessage and postServers pass input from other goroutines to the event loop.
func (l *eventLoop) postPeerMessage(from int, text string) {
	l.inbox.post(func() { l.enqueue(decide.PeerMessage{From: from, Text: text}) })
}

func (l *eventLoop) postServers(kind decide.ListKind, list ServerList) {
	l.inbox.post(func() { l.updateServers(kind, list) })
}

// notifyReady calls OnReady, once.
func (l *eventLoop) notifyReady() {
	if ready := l.cfg.OnReady; ready != nil {
		l.cfg.OnReady = nil
		ready(l.core)
	}
}

// closeFrontends closes all frontends.
func (l *eventLoop) closeFrontends() (err error) {
	for _, f := range l.cfg.Frontends {
		err = errors.Join(err, f.Close())
	}
	return err
}

// forwardReloads passes reloads on until the context ends.
func forwardReloads(ctx context.Context, reloads <-chan Reload, moves chan<- netip.AddrPort, l *eventLoop) {
	for {
		select {
		case r := <-reloads:
			l.inbox.post(func() { l.reload(r) })
			select {
			case moves <- r.Discovery:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload applies new tuning values and routes. Open connections use them from their next request on.
func (l *eventLoop) reload(r Reload) {
	if r.Tuning != nil {
		l.tuning.Store(r.Tuning)
		l.memory.setLimit(l.memoryShareBytes())
		l.pool.applyTuning()
		l.setRoutes(r.Routes)
	}
	if r.Applied != nil {
		close(r.Applied)
	}
}

// stop starts the shutdown.
func (l *eventLoop) stop() {
	now := l.clock.Now()
	l.log.Info("stopping", "open", len(l.requests))
	t := l.tuning.Load().Shutdown
	l.schedule(now+t.AcceptPeriod, func() {
		for _, f := range l.cfg.Frontends {
			f.DrainBacklog(time.Now().Add(t.LateConnTimeout))
		}
		l.closing = true
		close(l.closingCh)
		for _, c := range l.clientConns() {
			c.Drain()
		}
	})
	l.schedule(now+max(t.DrainTimeout, l.maxWait()+t.AcceptPeriod+t.LateConnTimeout), func() {
		for _, c := range l.clientConns() {
			c.Close()
		}
	})
}

// clientConns returns the client connections, in order of acceptance.
func (l *eventLoop) clientConns() []ClientConn {
	return slices.SortedFunc(maps.Keys(l.clients), func(a, b ClientConn) int { return cmp.Compare(l.clients[a].number, l.clients[b].number) })
}

// maxWait is the maximum time that a client may wait for a response.
func (l *eventLoop) maxWait() (longest time.Duration) {
	for _, k := range l.cfg.Settings.Decide.Classes {
		wait := k.Deadline
		if wait <= 0 {
			wait = defaultMaxWait
		}
		longest = max(longest, wait)
	}
	return longest
}

// finished reports that the shutdown is complete: no client is connected, and none is waiting to be accepted.
func (l *eventLoop) finished() bool { return l.closing && len(l.clients) == 0 && l.accepting == 0 }
