// Command sloepick is an API gateway: it keeps customers' quotas together with its peers, chooses servers and
// passes requests on to them over RESP2. Package decide makes its decisions; package gateway is its sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"sloepick/internal/gateway"
)

const (
	heapPart  = 0.6 // of the memory limit: the rest is for stacks, the runtime and what the kernel counts
	gcPercent = 400 // the live heap is small, so memory is cheaper than collections
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sloepick:", err)
		os.Exit(1)
	}
}

func run() error {
	hup := make(chan os.Signal, 1) // from the first moment on: the default is to die of it
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := gateway.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	log.Info("starting", "listen", cfg.Listen, "servers", len(cfg.Known.Servers))
	moves := make(chan netip.AddrPort)
	go reload(hup, moves, log)
	if err := gateway.Run(ctx, cfg, moves, log); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}

// reload reads the configuration again at each signal and passes on where discovery is now. A file that can't
// be used changes nothing: a slip in it must not stop a gateway that serves.
func reload(hup <-chan os.Signal, moves chan<- netip.AddrPort, log *slog.Logger) {
	for range hup {
		addr, err := gateway.LoadDiscovery(os.Getenv)
		if err != nil {
			log.Error("reload failed, the former configuration stays", "err", err)
			continue
		}
		log.Info("reloaded", "discovery", addr)
		moves <- addr
	}
}
