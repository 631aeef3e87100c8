package gateway_test

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/decide"
	"sloepick/internal/gateway"
	"sloepick/internal/h2"
	"sloepick/internal/h2/wire"
	"sloepick/internal/resp"
	"sloepick/internal/testbed/faultconn"
)

// nodeSide is a node's protocol: it answers what it reads until something fails.
type nodeSide struct {
	back  gateway.Backend
	serve func(c net.Conn) error
}

func nodeSides() map[string]nodeSide {
	return map[string]nodeSide{
		"RESP2": {resp.Backend{}, func(c net.Conn) error {
			var buf []byte
			b := make([]byte, 4<<10)
			for {
				n, err := c.Read(b)
				if err != nil {
					return err
				}
				buf = append(buf, b[:n]...)
				for {
					whole, _, _, left, err := redcon.ReadNextCommand(buf, nil)
					if err != nil || !whole {
						break
					}
					buf = left
					if _, err := c.Write(redcon.AppendBulkString(nil, "v")); err != nil {
						return err
					}
				}
			}
		}},
		"HTTP/2": {h2.NewBackend(h2.BackendConfig{MaxStreams: 100, MaxConns: 2, PingInterval: time.Second, IdleTimeout: time.Minute}), func(c net.Conn) error {
			w := wire.NewServer(wire.DefaultLimits(), 0)
			b := make([]byte, 4<<10)
			for {
				if out := w.TakeOutput(); len(out) > 0 {
					if _, err := c.Write(out); err != nil {
						return err
					}
				}
				n, err := c.Read(b)
				if err != nil {
					return err
				}
				for _, e := range w.Feed(0, b[:n]) {
					if e.Kind == wire.RequestReceived {
						w.Respond(e.Stream, 200, nil, []byte("v"))
					}
				}
			}
		}},
	}
}

// nodeActs are what may happen to a node with requests on their way to it.
var nodeActs = map[string]func(r *run, list gateway.ServerList){
	"more": func(r *run, _ gateway.ServerList) { r.far.Write(r.again()) },
	"drain": func(r *run, list gateway.ServerList) {
		list.Servers[0].State = "draining"
		r.core.UpdateServers(decide.ListFull, list)
	},
	"move": func(r *run, list gateway.ServerList) {
		list.Servers[0].StartedMS++
		r.core.UpdateServers(decide.ListFull, list)
	},
	"client leaves": func(r *run, _ gateway.ServerList) { acts["reset"](r) },
	"term":          func(r *run, _ gateway.ServerList) { r.stop() },
	"time":          func(r *run, _ gateway.ServerList) { r.clock.now.Add(int64(2 * time.Second)) },
}

// again is the piece once more, with other ids.
func (r *run) again() []byte {
	b, _ := protocols(r.t)["RESP2"].piece()
	for id, other := range map[string]string{"a": "x", "b": "y", "c": "z"} {
		b = []byte(strings.ReplaceAll(string(b), "$1\r\n"+id+"\r\n", "$1\r\n"+other+"\r\n"))
	}
	return b
}

// TestNodesEndOnce plays on both backs every order of two acts (more requests, a drain, a move, the client's reset, SIGTERM, time) after a piece with
// many commands, and has the node reset its connection, or never take it, at its nth read, write, close or accept, for all n that come about. It holds
// what TestConnectionsEndOnce does, and that no connection to the node is left.
func TestNodesEndOnce(t *testing.T) {
	for name, side := range nodeSides() {
		for first := range nodeActs {
			for second := range nodeActs {
				if *scriptsOf < 2 && first != second {
					continue
				}
				t.Run(name+" "+first+", "+second, func(t *testing.T) {
					t.Parallel()
					failEach(t, faultconn.Accept, 8, func(t *testing.T, plan *faultconn.Injector) { playNode(t, side, plan, first, second) })
				})
			}
		}
	}
}

func playNode(t *testing.T, side nodeSide, plan *faultconn.Injector, script ...string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := faultconn.Listener{Listener: ln, Injector: plan}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := node.Accept()
			if errors.Is(err, syscall.EMFILE) {
				continue
			}
			if err != nil {
				return
			}
			go func() {
				if side.serve(c) != nil {
					c.(*faultconn.Conn).SetLinger(0)
				}
				c.Close()
			}()
		}
	}()
	r := newRunOf(t, protocols(t)["RESP2"], &faultconn.Injector{}, false, side.back, ln.Addr().String())
	list := gateway.ServerList{Version: 2, Full: true, Servers: []gateway.ServerEntry{{ID: "s-0", Addr: ln.Addr().String(), Zone: "a", State: "up", Weight: 1}}}
	b, _ := protocols(t)["RESP2"].piece()
	r.far.Write(b)
	r.pump()
	for _, s := range script {
		nodeActs[s](r, list)
		r.pump()
	}
	list.Servers[0].State = "gone"
	r.core.UpdateServers(decide.ListFull, list)
	r.conclude()
	for end := time.Now().Add(endWithin); r.core.Stats().ServerConns > 0 || plan.OpenConns() > 0; r.pump() {
		r.clock.now.Add(int64(100 * time.Millisecond))
		if time.Now().After(end) {
			t.Fatalf("%d connections to the node are counted, %d open", r.core.Stats().ServerConns, plan.OpenConns())
		}
	}
}
