package gateway_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sloepick/internal/gateway"
)

// wantCall waits for the next call that discovery gets and checks its query.
func (r *fakeDiscovery) wantCall(t *testing.T, query string) {
	t.Helper()
	if got := <-r.calls; !strings.HasPrefix(got, query) || (query == "" && got != "") {
		t.Fatalf("discovery was called with %q, want %q", got, query)
	}
}

// serveOne sends a request that is to be served by the server of that test.
func serveOne(t *testing.T, c *testClient, id string, b *fakeServer) {
	t.Helper()
	c.sendSafe(id)
	b.nextCommand(t).answer(t, served(id))
	c.want("$" + id)
}

// A move calls off the watch at the old address at once, takes the whole list of the new one though its version
// is lower, and goes on from there. Another move right behind it counts as much.
func TestDiscoveryMoves(t *testing.T) {
	a, b := newFakeServer(t), newFakeServer(t)
	r := newTestGateway(t, longDeadline, a)
	c := r.dial(t)
	serveOne(t, c, "id-1", a)
	r.discovery.wantCall(t, "")
	r.discovery.wantCall(t, "after=1&wait_ms=4000") // this one waits
	second, at2 := newFakeDiscovery(t, gateway.ServerList{Version: 9, Full: true, Servers: entries("draining", a)})
	third, at3 := newFakeDiscovery(t, gateway.ServerList{Version: 0, Full: true, Servers: entries("up", b)})
	r.reloads <- gateway.Reload{Discovery: at2}
	r.reloads <- gateway.Reload{Discovery: at3} // the second may have been asked or not
	third.wantCall(t, "")
	third.wantCall(t, "after=0&wait_ms=4000") // so the list was taken
	serveOne(t, c, "id-2", b)
	third.set(gateway.ServerList{Version: 1, Servers: entries("draining", b)})
	third.wantCall(t, "after=1&wait_ms=4000")
	r.discovery.set(gateway.ServerList{Version: 2, Full: true, Servers: entries("up", b)}) // the old ones are not heard
	second.set(gateway.ServerList{Version: 10, Full: true, Servers: entries("up", b)})
	c.sendSafe("id-3")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal: the only server drains", got)
	}
}

// While discovery is down at the new address the last list stays, and once it is up it is asked for its whole
// list, though the move came long before.
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
	second := <-silent // it is asked again and again
	second.Close()
	up, at := newFakeDiscovery(t, gateway.ServerList{Version: 1, Full: true, Servers: entries("up", b)})
	r.reloads <- gateway.Reload{Discovery: at}
	up.wantCall(t, "")
	up.wantCall(t, "after=1")
	serveOne(t, c, "id-2", b)
}

// TestStopTellsPeers guards against customers who have but their even parts at the others for as long as a restart
// takes: the last thing that a stopping gateway does is to tell its peers.
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
	buf, leaves := make([]byte, 256), 0
	next := func() string {
		n, err := peer.Read(buf)
		if err != nil {
			t.Fatalf("after %d words that it leaves: %v", leaves, err)
		}
		return string(buf[:n])
	}
	if m := next(); m[0] != 'e' {
		t.Errorf("a gateway at work told %q", m)
	}
	r.stop()
	for leaves < 3 {
		if m := next(); m[0] == 'x' {
			leaves++
		}
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
}
