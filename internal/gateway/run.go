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
)

// The descriptors that a gateway may hold are parted between clients and servers; the rest is for the
// listener, discovery, peers and the runtime.
const (
	leastSockets   = 64
	reserveSockets = 32
)

func upstreamSockets(all int) int { return (all - reserveSockets) / 2 }
func clientSockets(all int) int   { return (all - reserveSockets) / 2 }

const (
	acceptOn = 500 * time.Millisecond // after the stop: the front goes on sending new connections for a while
	lastCall = 200 * time.Millisecond // for a connection that came in as the listener closed
	stopMost = 10 * time.Second       // after that, what is still owed is failed
)

// Run serves until the context ends; then it takes what still comes for a moment, answers all that it has
// taken, and returns. Each address that comes over moves is where discovery is from then on.
func Run(ctx context.Context, cfg Config, moves <-chan netip.AddrPort, log *slog.Logger) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", cfg.Listen.String())
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	defer ln.Close()
	return serve(ctx, cfg, moves, ln, log)
}

func serve(ctx context.Context, cfg Config, moves <-chan netip.AddrPort, ln net.Listener, log *slog.Logger) error {
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
	wg.Go(func() { follow(inner, cfg.Discovery, moves, l.in.post, log) })
	wg.Go(func() { acceptClients(inner, ln, l.ahead, l.in.post, log) })
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

// stop begins the end of the gateway.
type stop struct{ ln net.Listener }

func (s stop) apply(l *loop) {
	now := l.clock.now()
	l.log.Info("stopping", "open", len(l.requests))
	l.at(now+acceptOn, func() {
		s.ln.Close()
		l.closing = true
		for c := range l.clients {
			l.wean(c)
		}
	})
	l.at(now+stopMost, func() {
		for c := range l.clients {
			l.closeClient(c)
		}
	})
}

// finished reports that the gateway is stopping and owes nothing.
func (l *loop) finished() bool { return l.closing && len(l.clients) == 0 }
