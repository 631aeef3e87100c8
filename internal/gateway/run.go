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

// The descriptors that a gateway may hold are parted between clients and servers; the rest is for the
// listener, discovery, peers and the runtime.
const (
	minSockets      = 64
	reservedSockets = 32
)

// descriptorShare are a share of those that may be parted.
func descriptorShare(all int, share float64) int { return int(float64(all-reservedSockets) * share) }

// Reload is what a running gateway takes anew.
type Reload struct {
	Discovery netip.AddrPort  // where it is from then on; its whole list is asked for, moved or not
	Tuning    *tuning.Tuning  // nil: as it was
	Routes    []*route.Route  // with Tuning: proven by Config.Prove
	Applied   chan<- struct{} // closed, if not nil, when the values count
}

// Run serves until the context ends; then it takes what still comes for a moment, answers all that it has
// taken, and returns. What comes over reloads counts from then on.
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
	bgCtx, cancel := context.WithCancel(context.Background()) // discovery goes on while the gateway drains
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
			l.inbox.post(func() { l.accepting-- }) // behind the connections that it took
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
	l.inbox.close()
	return l.closeFrontends()
}

// postPeerMessage and news hand on what other goroutines were told.
func (l *eventLoop) postPeerMessage(from int, text string) {
	l.inbox.post(func() { l.enqueue(decide.PeerMessage{From: from, Text: text}) })
}

func (l *eventLoop) postServers(kind decide.ListKind, list ServerList) {
	l.inbox.post(func() { l.updateServers(kind, list) })
}

// notifyReady tells that the gateway takes requests.
func (l *eventLoop) notifyReady() {
	if ready := l.cfg.OnReady; ready != nil {
		l.cfg.OnReady = nil
		ready(l.core)
	}
}

// closeFrontends has nothing new come.
func (l *eventLoop) closeFrontends() (err error) {
	for _, f := range l.cfg.Frontends {
		err = errors.Join(err, f.Close())
	}
	return err
}

// forwardReloads hands reloads on until the context ends.
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

// reload takes other values for what operators may set. Open connections go by them from their next command on.
func (l *eventLoop) reload(r Reload) {
	if r.Tuning != nil {
		l.tuning.Store(r.Tuning)
		l.pool.applyTuning()
		l.setRoutes(r.Routes)
	}
	if r.Applied != nil {
		close(r.Applied)
	}
}

// stop begins the end of the gateway.
func (l *eventLoop) stop() {
	now := l.clock.Now()
	l.log.Info("stopping", "open", len(l.requests))
	t := l.tuning.Load().Stop
	l.schedule(now+t.Accept, func() {
		for _, f := range l.cfg.Frontends {
			f.DrainBacklog(time.Now().Add(t.LastCall))
		}
		l.closing = true
		close(l.closingCh)
		for _, c := range l.clientConns() {
			c.Drain()
		}
	})
	l.schedule(now+max(t.Longest, l.maxWait()+t.Accept+t.LastCall), func() {
		for _, c := range l.clientConns() {
			c.Close()
		}
	})
}

// clientConns are the clients', in the order in which they came.
func (l *eventLoop) clientConns() []ClientConn {
	return slices.SortedFunc(maps.Keys(l.clients), func(a, b ClientConn) int { return cmp.Compare(l.clients[a], l.clients[b]) })
}

// maxWait is how long a client may wait for an answer.
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

// finished reports that the gateway is stopping and owes nothing: no client is left, and none waits to be accepted.
func (l *eventLoop) finished() bool { return l.closing && len(l.clients) == 0 && l.accepting == 0 }
