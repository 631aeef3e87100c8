package gateway

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wantCall waits for the next call that discovery gets and checks its query.
func (r *registry) wantCall(t *testing.T, query string) {
	t.Helper()
	if got := <-r.calls; !strings.HasPrefix(got, query) || (query == "" && got != "") {
		t.Fatalf("discovery was called with %q, want %q", got, query)
	}
}

// serveOne sends a request that is to be served by the server of that test.
func serveOne(t *testing.T, c *caller, id string, b *backend) {
	t.Helper()
	c.look(id)
	x := b.next(t)
	for x.args == nil { // the end of an earlier connection
		x = b.next(t)
	}
	x.answer(t, served(id))
	c.want("$" + id)
}

// A move calls off the watch at the old address at once, takes the whole list of the new one though its version
// is lower, and goes on from there. Another move right behind it counts as much.
func TestDiscoveryMoves(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	r := newRig(t, long, a)
	c := r.dial(t)
	serveOne(t, c, "id-1", a)
	r.reg.wantCall(t, "")
	r.reg.wantCall(t, "after=1&wait_ms=4000") // this one waits
	second, at2 := newRegistry(t, serverList{Version: 9, Full: true, Servers: entries("draining", a)})
	third, at3 := newRegistry(t, serverList{Version: 0, Full: true, Servers: entries("up", b)})
	r.moves <- Reload{Discovery: at2}
	r.moves <- Reload{Discovery: at3} // the second may have been asked or not
	third.wantCall(t, "")
	third.wantCall(t, "after=0&wait_ms=4000") // so the list was taken
	serveOne(t, c, "id-2", b)
	third.set(serverList{Version: 1, Servers: entries("draining", b)})
	third.wantCall(t, "after=1&wait_ms=4000")
	r.reg.set(serverList{Version: 2, Full: true, Servers: entries("up", b)}) // the old ones are not heard
	second.set(serverList{Version: 10, Full: true, Servers: entries("up", b)})
	c.look("id-3")
	if got := c.read(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q, want a refusal: the only server drains", got)
	}
}

// While discovery is down at the new address the last list stays, and once it is up it is asked for its whole
// list, though the move came long before.
func TestDiscoveryMovesWhileDown(t *testing.T) {
	a, b := newBackend(t), newBackend(t)
	r := newRig(t, long, a)
	c := r.dial(t)
	r.reg.wantCall(t, "")
	r.reg.wantCall(t, "after=1")
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
	r.moves <- Reload{Discovery: netip.MustParseAddrPort(ln.Addr().String())}
	first := <-silent
	serveOne(t, c, "id-1", a)
	first.Close()
	second := <-silent // it is asked again and again
	second.Close()
	up, at := newRegistry(t, serverList{Version: 1, Full: true, Servers: entries("up", b)})
	r.moves <- Reload{Discovery: at}
	up.wantCall(t, "")
	up.wantCall(t, "after=1")
	serveOne(t, c, "id-2", b)
}

// What counts at a reload is the file: the environment of a running process can't change, and GW_DISCOVERY
// would hold the gateway to its first address.
func TestReloadReadsTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.9:1"}
	write := func(text string) {
		text = strings.Replace(text, "SETTINGS", fmt.Sprintf(profile, 5), 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	getenv := func(name string) string { return env[name] }
	write(sample)
	if c, err := LoadConfig(getenv); err != nil || c.Discovery.String() != "127.0.0.9:1" {
		t.Errorf("at the start: %v, %v", c.Discovery, err)
	}
	if addr, err := LoadDiscovery(getenv); err != nil || addr.String() != "127.0.0.1:8500" {
		t.Errorf("at a reload: %v, %v", addr, err)
	}
	write(`{"name"`)
	if _, err := LoadDiscovery(getenv); err == nil {
		t.Error("a broken file passes")
	}
}
