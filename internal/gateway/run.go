package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

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
	Taken     chan<- struct{} // closed, if not nil, when the values count
}

// Run serves until the context ends; then it takes what still comes for a moment, answers all that it has
// taken, and returns. What comes over reloads counts from then on.
func Run(ctx context.Context, cfg Config, reloads <-chan Reload, log *slog.Logger) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	defer ln.Close()
	for _, f := range cfg.Fronts {
		if err := f.Listen(ctx); err != nil {
			return err
		}
		defer f.Close()
	}
	return serve(ctx, cfg, reloads, ln, log)
}

func serve(ctx context.Context, cfg Config, reloads <-chan Reload, ln net.Listener, log *slog.Logger) error {
	l, err := newLoop(cfg, log)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	inner, cancel := context.WithCancel(context.Background()) // discovery goes on while the gateway drains
	defer wg.Wait()
	defer cancel()
	if cfg.PeerListen.IsValid() {
		if l.peers, err = openPeers(cfg.PeerListen, cfg.Peers); err != nil {
			return err
		}
		defer l.peers.conn.Close()
		wg.Go(func() { l.peers.read(l.in.post, log) })
	}
	moves := make(chan netip.AddrPort)
	wg.Go(func() { takeReloads(inner, reloads, moves, l.in.post) })
	wg.Go(func() { follow(inner, cfg.Discovery, moves, l.in.post, log) })
	wg.Go(func() { acceptClients(inner, ln, l) })
	for _, f := range cfg.Fronts {
		wg.Go(func() { f.Serve(inner, &Door{l}) })
	}
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.in.post(stop{ln})
		case <-inner.Done():
		}
	})
	l.run()
	l.in.close()
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// takeReloads hands reloads on until the context ends.
func takeReloads(ctx context.Context, reloads <-chan Reload, moves chan<- netip.AddrPort, post func(event)) {
	for {
		select {
		case r := <-reloads:
			post(retuned{r.Tuning, r.Routes, r.Taken})
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

// retuned brings other values for what operators may set. Open connections go by them from their next command on.
type retuned struct {
	t      *tuning.Tuning // nil: as it was
	routes []*route.Route
	taken  chan<- struct{}
}

func (r retuned) apply(l *loop) {
	if r.t != nil {
		l.tune.Store(r.t)
		l.pool.retune()
		l.reroute(r.routes)
	}
	if r.taken != nil {
		close(r.taken)
	}
}

// stop begins the end of the gateway.
type stop struct{ ln net.Listener }

func (s stop) apply(l *loop) {
	now := l.clock.now()
	l.log.Info("stopping", "open", len(l.requests))
	t := l.tune.Load().Stop
	l.at(now+t.Accept, func() {
		s.ln.Close()
		l.closing = true
		close(l.closed)
		for c := range l.clients {
			c.Wean()
		}
	})
	l.at(now+max(t.Longest, l.longestWait()+t.Accept+t.LastCall), func() {
		for c := range l.clients {
			c.Close()
		}
	})
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

// finished reports that the gateway is stopping and owes nothing.
func (l *loop) finished() bool { return l.closing && len(l.clients) == 0 }
