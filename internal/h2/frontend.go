// Package h2 is the gateway's HTTP/2 frontend and backend. Clients connect over plain TCP with prior knowledge or over TLS
// with ALPN; nodes are reached over plain TCP with prior knowledge. Both are served by the same core as RESP2. Package wire
// implements the protocol as a state machine; this package connects it to sockets and to the core. Each connection has one
// goroutine that reads; everything else runs in the core's loop.
package h2

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"sloepick/internal/gateway"
	"sloepick/internal/h2/wire"
)

// FrontendConfig configures one listener of the operators' file.
type FrontendConfig struct {
	Name             string
	Address          string // host:port
	MaxStreams       int    // concurrent requests per connection
	HandshakeTimeout time.Duration
	TLS              *TLSFiles // nil: plain TCP with prior knowledge
}

// Frontend serves HTTP/2 clients on one listener.
type Frontend struct {
	gateway.Listener
	cfg FrontendConfig
	tls *identity // nil: plain TCP
}

// NewFrontend returns a frontend that does not listen yet. It reads the TLS files.
func NewFrontend(cfg FrontendConfig) (f *Frontend, err error) {
	f = &Frontend{Listener: gateway.NewListener("listener "+cfg.Name, cfg.Address), cfg: cfg}
	if cfg.TLS != nil {
		if f.tls, err = newIdentity(*cfg.TLS); err != nil {
			return nil, fmt.Errorf("listener %s: %w", cfg.Name, err)
		}
	}
	return f, nil
}

// Reload reads the TLS files again. New connections use them once apply is called. If the files are not valid, Reload
// returns an error and nothing changes.
func (f *Frontend) Reload() (apply func(), err error) {
	if f.tls == nil {
		return func() {}, nil
	}
	next, err := f.tls.files.load()
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", f.cfg.Name, err)
	}
	return func() { f.tls.current.Store(next) }, nil
}

// Serve implements gateway.Frontend.
func (f *Frontend) Serve(ctx context.Context, core *gateway.Core) {
	f.AcceptLoop(ctx, core, func(nc net.Conn) { f.accept(core, nc) })
}

// accept sets up a new connection. It runs in the core's loop.
func (f *Frontend) accept(core *gateway.Core, nc net.Conn) {
	now := core.Now()
	c := &clientConn{frontend: f, core: core, nc: nc, raw: nc, lastUsed: now, acceptedAt: now, requests: map[uint32]*openRequest{},
		resumeRead: gateway.NewMailbox[struct{}]()}
	c.unsent = core.NewUnsentResponses(c)
	c.load = core.NewInputLoad()
	c.input = core.NewInputMemory(func() { go core.Post(c.giveUpInput) })
	extraBytes := 0
	if f.tls != nil {
		extraBytes = tlsConnBytes
	}
	if !core.AdmitLargeConn(c, extraBytes) {
		nc.Close() // no request was read from it
		return
	}
	c.writer = gateway.NewClientWriter(nc)
	c.rawWriter = c.writer
	if f.tls != nil {
		stall := func() time.Duration { return core.Tuning().Clients.WriteTimeout }
		c.nc = tls.Server(gateway.NewPatientConn(c.rawWriter, stall), f.tls.config())
		c.writer = gateway.NewWriter(c.nc)
	}
	limits := wire.DefaultLimits()
	limits.MaxStreams = f.cfg.MaxStreams
	c.proto = wire.NewServer(limits, now)
	c.checkTimeouts()
	if f.tls == nil {
		c.scheduleFlush()
	}
	go c.readLoop()
}
