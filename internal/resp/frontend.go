package resp

import (
	"context"
	"net"
	"net/netip"

	"sloepick/internal/gateway"
)

// Frontend serves RESP2 clients on one listen address. It implements gateway.Frontend.
type Frontend struct{ gateway.Listener }

// NewFrontend returns a Frontend for addr that is not listening yet.
func NewFrontend(addr netip.AddrPort) *Frontend {
	return &Frontend{gateway.NewListener("listening for clients", addr.String())}
}

// Serve implements gateway.Frontend.
func (f *Frontend) Serve(ctx context.Context, core *gateway.Core) {
	f.AcceptLoop(ctx, core, func(nc net.Conn) { acceptClient(core, nc) })
}

// acceptClient registers a new connection with the core and starts its reader. It runs in the loop. It returns nil if
// the core has no room for the connection.
func acceptClient(core *gateway.Core, nc net.Conn) *client {
	c := newClient(core, nc)
	if !core.AdmitConn(c) {
		nc.Close() // nothing was read, so the client can safely resend its request to another gateway
		return nil
	}
	go newReader(c).run()
	return c
}
