package gateway

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloepick/decide"
	"sloepick/internal/testbed"
)

// Only messages of at most 256 bytes from known gateways are accepted.
func TestPeerSocket(t *testing.T) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	stranger, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	known, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	defer known.Close()
	addr := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	p, err := openPeerSocket(local, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr(known)})
	if err != nil {
		t.Fatal(err)
	}
	type datagram struct {
		from int
		text string
	}
	got := make(chan datagram, 4)
	go p.receive(func(from int, text string) { got <- datagram{from, text} }, slog.New(slog.DiscardHandler))
	defer p.conn.Close()
	for _, m := range []struct {
		from *net.UDPConn
		text string
	}{{stranger, "hi"}, {known, strings.Repeat("x", maxDatagramSize+1)}, {known, strings.Repeat("y", maxDatagramSize)}} {
		if _, err := m.from.WriteToUDPAddrPort([]byte(m.text), addr(p.conn)); err != nil {
			t.Fatal(err)
		}
	}
	if d := <-got; d.from != 1 || d.text != strings.Repeat("y", maxDatagramSize) {
		t.Errorf("got %d bytes from %d", len(d.text), d.from)
	}
	if err := p.Send(1, "hello"); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 16)
	if n, from, err := known.ReadFromUDPAddrPort(buf); err != nil || string(buf[:n]) != "hello" || from != addr(p.conn) {
		t.Errorf("the peer got %q from %v, %v", buf[:n], from, err)
	}
	for _, to := range []int{-1, 2} {
		if p.Send(to, "x") == nil {
			t.Errorf("message to unknown gateway %d sent", to)
		}
	}
	if p.Send(1, strings.Repeat("x", maxDatagramSize+1)) == nil {
		t.Error("oversized message sent")
	}
}

// Invalid messages from peers must not cause the decision module to panic.
func TestInvalidPeerMessages(t *testing.T) {
	l, _ := newTestLoop(t, 1)
	before := l.decider
	for _, s := range []string{"", "e", "e0000", "x0000", "x", "x0000" + strings.Repeat("0", 13), "ezzzz!", "e0000ABC", "e0000" + strings.Repeat("_", 13), strings.Repeat("\xff", 256)} {
		l.enqueue(decide.PeerMessage{From: 1, Text: s})
		l.processPending()
	}
	if l.decider != before {
		t.Error("the decision module panicked")
	}
}

const sampleConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.0.1:7946","127.0.0.2:7946"],"known":{"version":41,"full":true,"servers":[
{"id":"s-5","addr":"127.0.0.1:5","zone":"a","kind":"m2","cell":3,"state":"up","weight":1.0,"started_ms":0}]},"settings":SETTINGS}`

func TestLoadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	load := func(text string) (Config, error) {
		text = strings.Replace(text, "SETTINGS", string(testbed.MinimalSettings(5)), 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env := map[string]string{"GW_CONFIG": path, "GW_LISTEN": "127.0.0.9:1"}
		return LoadConfig(func(name string) string { return env[name] })
	}
	c, err := load(sampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen.String() != "127.0.0.9:1" || c.Discovery.Port() != 8500 || len(c.Peers) != 2 ||
		uint64(c.Seed) != 0x8c1f30d27a5be964 || c.KnownServers.Servers[0].ID != "s-5" || len(c.Settings.Decide.Classes) != 2 {
		t.Errorf("got %+v", c)
	}
	for edit, want := range map[string]string{
		`{"name"|{name`:                                    "invalid character",
		`"8c1f30d27a5be964"|"x"`:                           "seed",
		`"discovery":"127.0.0.1:8500"|"x":1`:               "discovery",
		`"sockets":1024|"sockets":10`:                      "sockets",
		`"memory_mb":192|"memory_mb":"x"`:                  "memory_mb",
		`"state":"up"|"state":"odd"`:                       "odd",
		`"addr":"127.0.0.1:5"|"addr":"nowhere"`:            "s-5",
		`"127.0.0.2:7946"]|"127.0.0.2:7946","x"]`:          "peers[2]",
		`,"127.0.0.2:7946"]|]`:                             "peers",
		`"peer_listen":"127.0.0.1:7946"|"peer_listen":"x"`: "peer_listen",
		`"settings":SETTINGS|"x":1`:                        "settings",
		`SETTINGS|{"Classes":3}`:                           "Classes",
		`SETTINGS|{}`:                                      "Classes is empty",
	} {
		from, to, _ := strings.Cut(edit, "|")
		if _, err := load(strings.Replace(sampleConfig, from, to, 1)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", to, err, want)
		}
	}
	for _, env := range []string{"", filepath.Join(t.TempDir(), "none")} {
		if _, err := LoadConfig(func(string) string { return env }); err == nil {
			t.Errorf("GW_CONFIG %q accepted", env)
		}
	}
}

// A reload uses the file and ignores GW_DISCOVERY: the environment of a running process cannot change, so it
// would tie the gateway to its first address.
func TestReloadReadsConfigFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"GW_CONFIG": path, "GW_DISCOVERY": "127.0.0.9:1"}
	write := func(text string) {
		text = strings.Replace(text, "SETTINGS", string(testbed.MinimalSettings(5)), 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	getenv := func(name string) string { return env[name] }
	write(sampleConfig)
	if c, err := LoadConfig(getenv); err != nil || c.Discovery.String() != "127.0.0.9:1" {
		t.Errorf("at startup: %v, %v", c.Discovery, err)
	}
	if addr, err := LoadDiscoveryAddr(getenv); err != nil || addr.String() != "127.0.0.1:8500" {
		t.Errorf("at a reload: %v, %v", addr, err)
	}
	write(`{"name"`)
	if _, err := LoadDiscoveryAddr(getenv); err == nil {
		t.Error("invalid file accepted")
	}
}
