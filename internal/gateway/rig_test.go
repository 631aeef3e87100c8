package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"winghatch/internal/settings"
)

const (
	patience = 20 * time.Second // for what must come; no test waits for it to pass
	profile  = `{"Classes":[
 {"Name":"look","Effect":"safe","AimNs":%[1]d,"GiveUpNs":30000000000,"Importance":1},
 {"Name":"book","Effect":"keyed","Group":"cell","WindowNs":30000000000,"AimNs":%[1]d,"GiveUpNs":30000000000,"Importance":3}],
"Extra":{"PeerIntake":40,"UnitsTop":8},"Instances":2,"Rank":0,"Zone":"a",
"Limits":{"SendCap":5,"MayCancel":true,"ParallelTries":true,"Peers":true,"RetryAfter":true,"MaxRetryAfterNs":1000000000,
 "ConnectTimeoutNs":2000000000,"ConnIdleNs":60000000000,"OpenCap":1000},
"Safety":{"ColdNs":5000000000,"FallNs":1000000000,"FallMultiple":4,"ColdFrom":0.2},
"TiersOfService":[{"Name":"p","Refill":1000,"MostAtOnce":3000,"Pays":1}]}`
)

// backend is a server under a test's control: it hands over each command with its connection.
type backend struct {
	addr string
	got  chan exchange
}

type exchange struct {
	conn net.Conn
	args []string
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{addr: ln.Addr().String(), got: make(chan exchange, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				rd := redcon.NewReader(conn)
				for {
					cmd, err := rd.ReadCommand()
					if err != nil {
						b.got <- exchange{conn, nil} // the connection ended
						return
					}
					var args []string
					for _, a := range cmd.Args {
						args = append(args, string(a))
					}
					b.got <- exchange{conn, args}
				}
			}()
		}
	}()
	return b
}

func (b *backend) next(t *testing.T) exchange {
	t.Helper()
	select {
	case x := <-b.got:
		return x
	case <-time.After(patience):
		t.Fatal("nothing came to the server")
		panic("unreachable")
	}
}

func (x exchange) answer(t *testing.T, reply string) {
	t.Helper()
	if _, err := io.WriteString(x.conn, reply); err != nil {
		t.Error(err)
	}
}

// registry is discovery under a test's control.
type registry struct {
	mu      sync.Mutex
	list    serverList
	changed chan struct{}
	calls   chan string // the queries of the calls, the latest left out where nobody takes them
}

// newRegistry starts discovery with a list and tells its address.
func newRegistry(t *testing.T, list serverList) (*registry, netip.AddrPort) {
	t.Helper()
	r := &registry{list: list, changed: make(chan struct{}), calls: make(chan string, 64)}
	web := httptest.NewServer(r)
	t.Cleanup(func() {
		web.CloseClientConnections()
		web.Close()
	})
	return r, netip.MustParseAddrPort(strings.TrimPrefix(web.URL, "http://"))
}

func (r *registry) set(list serverList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	select {
	case r.calls <- req.URL.RawQuery:
	default:
	}
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	for {
		r.mu.Lock()
		list, changed := r.list, r.changed
		r.mu.Unlock()
		if err != nil || list.Version > after {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

func entries(state string, backends ...*backend) []serverEntry {
	var all []serverEntry
	for i, b := range backends {
		all = append(all, serverEntry{ID: fmt.Sprintf("s-%d", i), Addr: b.addr, Zone: "a", Cell: i, State: state, Weight: 1})
	}
	return all
}

func testConfig(t *testing.T, aim time.Duration, servers []serverEntry) Config {
	t.Helper()
	set, err := settings.Parse(json.RawMessage(fmt.Sprintf(profile, aim.Nanoseconds())))
	if err != nil {
		t.Fatal(err)
	}
	return Config{Name: "n0", Cores: 1, MemoryMB: 64, Sockets: 256, Settings: set, Seed: 1,
		Known: serverList{Version: 1, Full: true, Servers: servers}}
}

// rig is a gateway at work.
type rig struct {
	addr  string
	reg   *registry
	moves chan netip.AddrPort
	stop  context.CancelFunc
	done  chan error
}

func newRig(t *testing.T, aim time.Duration, backends ...*backend) *rig {
	t.Helper()
	cfg := testConfig(t, aim, entries("up", backends...))
	r := &rig{moves: make(chan netip.AddrPort), done: make(chan error, 1)}
	r.reg, cfg.Discovery = newRegistry(t, cfg.Known)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- serve(ctx, cfg, r.moves, ln, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(cancel)
	return r
}

// caller is a client's connection.
type caller struct {
	t    *testing.T
	conn net.Conn
	rd   *bufio.Reader
}

func (r *rig) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(words ...string) {
	c.t.Helper()
	b := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		b = redcon.AppendBulkString(b, w)
	}
	c.raw(string(b))
}

func (c *caller) raw(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, s); err != nil {
		c.t.Fatal(err)
	}
}

// read returns a whole answer: a line, or the value of a bulk string after a '$'.
func (c *caller) read() string {
	c.t.Helper()
	line, err := c.rd.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line[0] != '$' {
		return line
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		c.t.Fatal(err)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.rd, b); err != nil {
		return err.Error()
	}
	return "$" + string(b[:n])
}

func (c *caller) want(answer string) {
	c.t.Helper()
	if got := c.read(); got != answer {
		c.t.Fatalf("got answer %q, want %q", got, answer)
	}
}

const customer = "00000000b4d65521"

func (c *caller) look(id string) {
	c.send("Q.ASK", customer, id, "c=look,t=p,d=30000,units=1,spread=2,first=0")
}

func (c *caller) book(id string) {
	c.send("Q.DO", customer, id, "c=book,t=p,d=30000,k=77,units=1,spread=2,first=0", "BODY")
}

func served(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}

// join gives the loop a new connection, as the listener does.
func join(l *loop, c *client) {
	l.ahead <- struct{}{}
	joined{c}.apply(l)
}
