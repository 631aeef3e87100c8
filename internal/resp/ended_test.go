package resp

import (
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/decide"
)

// gone is a connection of the core's on which every write fails, as its client has reset it.
func (b *bench) gone() *client {
	b.t.Helper()
	near, far := pair(b.t)
	if err := far.(*net.TCPConn).SetLinger(0); err != nil {
		b.t.Fatal(err)
	}
	far.Close() // what it sends is a reset
	c := newClient(b.Core(), near)
	for late := time.Now().Add(patience); c.out.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			b.t.Fatal("the reset did not come")
		}
	}
	if !b.Core().AdmitConn(c) {
		b.t.Fatal("no room")
	}
	return c
}

// A client that sends several commands in one piece and resets its connection ended the gateway: the first answer could not be
// written, the connection was closed, and the answer of the next command was told to its closed channel. What is left of the
// piece must not reach the core either: nobody waits for it.
func TestPieceOfAClientThatHasReset(t *testing.T) {
	pong := received{reply: redcon.AppendString(nil, "PONG")}
	ask := func(id, list string) received {
		cmd, err := parseRequest(askName, [][]byte{[]byte(askName), []byte(customer), []byte(id), []byte(list)}, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		return received{cmd: cmd}
	}
	bad := ask("bad", "c=nothing,t=p,d=30000,units=1")
	for name, piece := range map[string][]received{
		"answers":                {pong, pong},
		"rejected at once":       {bad, bad, bad},
		"rejected, then good":    {bad, ask("a", list), bad},
		"good, rejected, good":   {ask("a", list), pong, bad, ask("b", list)},
		"good behind many":       {pong, bad, pong, bad, ask("a", list), ask("b", list)},
		"the same id, then good": {bad, ask("a", list), ask("a", list), ask("b", list)},
	} {
		b := newBench(t, long)
		asked := 0
		b.Observe(func(e decide.Event, _ []decide.Action) {
			if _, ok := e.(decide.Request); ok {
				asked++
			}
		})
		c := b.gone()
		c.owed.Store(1 << 20) // a reader waits for each answer
		first := piece[0].cmd
		c.take(commands{got: piece})
		b.Step()
		if first != nil && first.Class == "look" { // it came before the connection was known to be gone, and waits for its node
			c.Close()
			b.Step()
		}
		if f := b.Stats(); !c.closed || f.Clients != 0 || f.RequestBytes != 0 || len(c.slots) != 0 {
			t.Errorf("%s: closed %v, %d slots, left %+v", name, c.closed, len(c.slots), f)
		}
		if first == nil || first.Class != "look" {
			if asked != 0 || len(b.held.tries) != 0 {
				t.Errorf("%s: %d requests and %d attempts for a client that is gone", name, asked, len(b.held.tries))
			}
		}
	}
}
