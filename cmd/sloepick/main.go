// Command sloepick is an API gateway: it keeps customers' quotas together with its peers, chooses servers and
// passes requests on to them over RESP2. Package decide makes its decisions; package gateway is its sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"winghatch/internal/gateway"
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
	if err := gateway.Run(ctx, cfg, log); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}
