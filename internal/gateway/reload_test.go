package gateway_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sloepick/internal/gateway"
)

// wantCall waits for the next call to discovery and checks its query.
func (r *fakeDiscovery) wantCall(t *testing.T, query string) {
	t.Helper()
	if got := <-r.calls; !strings.HasPrefix(got, query) || (query == "" && got != "") {
		t.Fatalf("discovery was called with %q, want %q", got, query)
	}
}

// serveOne sends a request that the given server answers.
func serveOne(t *testing.T, c *testClient, id string, b *fakeServer) {
	t.Helper()
	c.sendSafe(id)
	b.nextCommand(t).answer(t, served(id))
	c.want("$" + id)
}

// A move cancels the long poll at the old address at once, accepts the whole list of the new address although
// its version is lower, and continues from there. A second move directly after it works in the same way.
func TestDiscoveryMoves(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	r := newTestGateway(t, longDeadline, a)
	c := r.dial(t)
	serveOne(t, c, "id-1", a)
	r.discovery.wantCall(t, "")
	r.discovery.wantCall(t, "after=1&wait_ms=4000") // a long poll
	second, at2 := newFakeDiscovery(t, gateway.ServerList{Version: 9, Full: true, Servers: entries("draining", a)})
	third, at3 := newFakeDiscovery(t, gateway.ServerList{Version: 0, Full: true, Servers: entries("up", b)})
	r.reloads <- gateway.Reload{Discovery: at2}
	r.reloads <- gateway.Reload{Discovery: at3} // the second address may have been called or not
	third.wantCall(t, "")
	third.wantCall(t, "after=0&wait_ms=4000") // the list has been accepted
	serveOne(t, c, "id-2", b)
	third.set(gateway.ServerList{Version: 1, Servers: entries("draining", b)})
	third.wantCall(t, "after=1&wait_ms=4000")
	r.discovery.set(gateway.ServerList{Version: 2, Full: true, Servers: entries("up", b)}) // the old addresses are ignored
	second.set(gateway.ServerList{Version: 10, Full: true, Servers: entries("up", b)})
	c.sendSafe("id-3")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal: the only server drains", got)
	}
}

// While discovery at the new address is down, the last list stays in effect. Once it is up, the whole list is
// requested, even if the move was long before.
func TestDiscoveryMovesWhileDown(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	r := newTestGateway(t, longDeadline, a)
	c := r.dial(t)
	r.discovery.wantCall(t, "")
	r.discovery.wantCall(t, "after=1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	silent := make(chan net.Conn)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			silent <- conn
		}
	}()
	r.reloads <- gateway.Reload{Discovery: netip.MustParseAddrPort(ln.Addr().String())}
	first := <-silent
	serveOne(t, c, "id-1", a)
	first.Close()
	second := <-silent // calls are repeated
	second.Close()
	up, at := newFakeDiscovery(t, gateway.ServerList{Version: 1, Full: true, Servers: entries("up", b)})
	r.reloads <- gateway.Reload{Discovery: at}
	up.wantCall(t, "")
	up.wantCall(t, "after=1")
	serveOne(t, c, "id-2", b)
}

// TestStopTellsPeers: the last thing a stopping gateway does is to announce to its peers that it leaves.
// Without this, customers would be limited to their even share at the other gateways for the duration of a
// restart.
func TestStopTellsPeers(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if err := peer.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	cfg := gateway.SmallConfig(t, time.Second, nil)
	cfg.PeerListen = local
	cfg.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), peer.LocalAddr().(*net.UDPAddr).AddrPort()}
	r := startTestGateway(t, cfg)
	buf, leaveMessages := make([]byte, 256), 0
	next := func() string {
		n, err := peer.Read(buf)
		if err != nil {
			t.Fatalf("after %d leave messages: %v", leaveMessages, err)
		}
		return string(buf[:n])
	}
	if m := next(); m[0] != 'e' {
		t.Errorf("running gateway sent %q", m)
	}
	r.stop()
	for leaveMessages < 3 {
		if m := next(); m[0] == 'x' {
			leaveMessages++
		}
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}
