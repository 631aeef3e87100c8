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

// nodeProtocol is the node's side of a protocol: it answers requests until something fails.
type nodeProtocol struct {
	backend gateway.Backend
	serve   func(c net.Conn) error
}

func nodeProtocols() map[string]nodeProtocol {
	return map[string]nodeProtocol{
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

// nodeActions are the events that may happen to a node with requests on their way to it.
var nodeActions = map[string]func(r *scenario, list gateway.ServerList){
	"more": func(r *scenario, _ gateway.ServerList) { r.client.Write(r.chunkAgain()) },
	"drain": func(r *scenario, list gateway.ServerList) {
		list.Servers[0].State = "draining"
		r.core.UpdateServers(decide.ListFull, list)
	},
	"move": func(r *scenario, list gateway.ServerList) {
		list.Servers[0].StartedMS++
		r.core.UpdateServers(decide.ListFull, list)
	},
	"client leaves": func(r *scenario, _ gateway.ServerList) { actions["reset"](r) },
	"term":          func(r *scenario, _ gateway.ServerList) { r.stop() },
	"time":          func(r *scenario, _ gateway.ServerList) { r.clock.now.Add(int64(2 * time.Second)) },
}

// chunkAgain returns the chunk with other ids.
func (r *scenario) chunkAgain() []byte {
	b, _ := protocols(r.t)["RESP2"].chunk()
	for id, other := range map[string]string{"a": "x", "b": "y", "c": "z"} {
		b = []byte(strings.ReplaceAll(string(b), "$1\r\n"+id+"\r\n", "$1\r\n"+other+"\r\n"))
	}
	return b
}

// TestNodesEndOnce runs, on both backends, every sequence of two actions (more requests, a drain, a move, a
// reset by the client, SIGTERM, passing time) after a chunk of several commands, and fails the nth read, write,
// close or accept of the node, for every n that occurs; the node then resets its connection or does not accept
// it. It checks the same as TestConnectionsEndOnce, and that no connection to the node is left.
func TestNodesEndOnce(t *testing.T) {
	for name, side := range nodeProtocols() {
		for first := range nodeActions {
			for second := range nodeActions {
				if *scriptLength < 2 && first != second {
					continue
				}
				t.Run(name+" "+first+", "+second, func(t *testing.T) {
					t.Parallel()
					failEach(t, faultconn.Accept, 8, func(t *testing.T, plan *faultconn.Injector) { runNodeScript(t, side, plan, first, second) })
				})
			}
		}
	}
}

func runNodeScript(t *testing.T, side nodeProtocol, plan *faultconn.Injector, script ...string) {
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
	r := newScenarioWithBackend(t, protocols(t)["RESP2"], &faultconn.Injector{}, false, side.backend, ln.Addr().String())
	list := gateway.ServerList{Version: 2, Full: true, Servers: []gateway.ServerEntry{{ID: "s-0", Addr: ln.Addr().String(), Zone: "a", State: "up", Weight: 1}}}
	b, _ := protocols(t)["RESP2"].chunk()
	r.client.Write(b)
	r.pump()
	for _, s := range script {
		nodeActions[s](r, list)
		r.pump()
	}
	list.Servers[0].State = "gone"
	r.core.UpdateServers(decide.ListFull, list)
	r.shutDown()
	for end := time.Now().Add(endTimeout); r.core.Stats().ServerConns > 0 || plan.OpenConns() > 0; r.pump() {
		r.clock.now.Add(int64(100 * time.Millisecond))
		if time.Now().After(end) {
			t.Fatalf("connections to the node: %d counted, %d open, want none", r.core.Stats().ServerConns, plan.OpenConns())
		}
	}
}
