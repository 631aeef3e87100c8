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
	leastSockets   = 64
	reserveSockets = 32
)

// sockets are a share of those that may be parted.
func sockets(all int, share float64) int { return int(float64(all-reserveSockets) * share) }

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
	inner, cancel := context.WithCancel(context.Background()) // discovery goes on while the gateway drains
	defer wg.Wait()
	defer cancel()
	switch {
	case cfg.Member != nil:
		l.peers = cfg.Member
		wg.Go(func() { cfg.Member.Serve(inner, l.door) })
	case cfg.PeerListen.IsValid():
		peers, err := openPeers(cfg.PeerListen, cfg.Peers)
		if err != nil {
			return err
		}
		l.peers = peers
		defer peers.conn.Close()
		wg.Go(func() { peers.read(l.peerMessage, log) })
	}
	moves := make(chan netip.AddrPort)
	wg.Go(func() { takeReloads(inner, reloads, moves, l) })
	wg.Go(func() { follow(inner, cfg.Discovery, moves, l.news, log) })
	for _, f := range cfg.Frontends {
		l.fronts++
		wg.Go(func() {
			f.Serve(inner, l.door)
			l.in.post(func() { l.fronts-- }) // behind the connections that it took
		})
	}
	if cfg.Member == nil {
		l.in.post(l.readyOnce)
	}
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.in.post(l.stop)
		case <-inner.Done():
		}
	})
	l.run()
	l.in.close()
	return l.closeFronts()
}

// peerMessage and news hand on what other goroutines were told.
func (l *loop) peerMessage(from int, text string) {
	l.in.post(func() { l.feed(decide.PeerMessage{From: from, Text: text}) })
}

func (l *loop) news(kind decide.ListKind, list ServerList) {
	l.in.post(func() { l.fleet(kind, list) })
}

// readyOnce tells that the gateway takes requests.
func (l *loop) readyOnce() {
	if ready := l.cfg.OnReady; ready != nil {
		l.cfg.OnReady = nil
		ready(l.door)
	}
}

// closeFronts has nothing new come.
func (l *loop) closeFronts() (err error) {
	for _, f := range l.cfg.Frontends {
		err = errors.Join(err, f.Close())
	}
	return err
}

// takeReloads hands reloads on until the context ends.
func takeReloads(ctx context.Context, reloads <-chan Reload, moves chan<- netip.AddrPort, l *loop) {
	for {
		select {
		case r := <-reloads:
			l.in.post(func() { l.retune(r) })
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

// retune takes other values for what operators may set. Open connections go by them from their next command on.
func (l *loop) retune(r Reload) {
	if r.Tuning != nil {
		l.tune.Store(r.Tuning)
		l.pool.retune()
		l.reroute(r.Routes)
	}
	if r.Applied != nil {
		close(r.Applied)
	}
}

// stop begins the end of the gateway.
func (l *loop) stop() {
	now := l.clock.Now()
	l.log.Info("stopping", "open", len(l.requests))
	t := l.tune.Load().Stop
	l.at(now+t.Accept, func() {
		for _, f := range l.cfg.Frontends {
			f.Finish(time.Now().Add(t.LastCall))
		}
		l.closing = true
		close(l.closed)
		for _, c := range l.connections() {
			c.Drain()
		}
	})
	l.at(now+max(t.Longest, l.longestWait()+t.Accept+t.LastCall), func() {
		for _, c := range l.connections() {
			c.Close()
		}
	})
}

// connections are the clients', in the order in which they came.
func (l *loop) connections() []ClientConn {
	return slices.SortedFunc(maps.Keys(l.clients), func(a, b ClientConn) int { return cmp.Compare(l.clients[a], l.clients[b]) })
}

// longestWait is how long a client may wait for an answer.
func (l *loop) longestWait() (longest time.Duration) {
	for _, k := range l.cfg.Settings.Decide.Classes {
		wait := k.Deadline
		if wait <= 0 {
			wait = waitMost
		}
		longest = max(longest, wait)
	}
	return longest
}

// finished reports that the gateway is stopping and owes nothing: no client is left, and none waits to be accepted.
func (l *loop) finished() bool { return l.closing && len(l.clients) == 0 && l.fronts == 0 }
