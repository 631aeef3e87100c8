package resp

import (
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloepick/decide"
)

// connectReset returns a client connection on which every write fails because the client has reset it.
func (h *harness) connectReset() *client {
	h.t.Helper()
	gatewayEnd, peer := connPair(h.t)
	if err := peer.(*net.TCPConn).SetLinger(0); err != nil {
		h.t.Fatal(err)
	}
	peer.Close() // sends a reset
	c := newClient(h.Core(), gatewayEnd)
	for timeout := time.Now().Add(testTimeout); c.writer.ReceiveQueueEmpty(); time.Sleep(time.Millisecond) {
		if time.Now().After(timeout) {
			h.t.Fatal("the reset did not arrive")
		}
	}
	if !h.Core().AdmitConn(c) {
		h.t.Fatal("the core did not admit the connection")
	}
	return c
}

// A client that sent several commands in one batch and reset its connection crashed the gateway: the first reply
// could not be written, the connection was closed, and replying to the next command sent a value on the connection's
// closed channel, which panics. The rest of the batch must not reach the core either, as nobody waits for it.
func TestBatchOfResetClient(t *testing.T) {
	pong := parsedCommand{reply: redcon.AppendString(nil, "PONG")}
	ask := func(id, list string) parsedCommand {
		cmd, err := parseRequest(askName, [][]byte{[]byte(askName), []byte(customer), []byte(id), []byte(list)}, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		return parsedCommand{request: cmd}
	}
	bad := ask("bad", "c=nothing,t=p,d=30000,units=1")
	for name, batch := range map[string][]parsedCommand{
		"replies":                {pong, pong},
		"rejected at once":       {bad, bad, bad},
		"rejected, then good":    {bad, ask("a", lookupList), bad},
		"good, rejected, good":   {ask("a", lookupList), pong, bad, ask("b", lookupList)},
		"good after several":     {pong, bad, pong, bad, ask("a", lookupList), ask("b", lookupList)},
		"the same id, then good": {bad, ask("a", lookupList), ask("a", lookupList), ask("b", lookupList)},
	} {
		h := newHarness(t, longAim)
		requests := 0
		h.Observe(func(e decide.Event, _ []decide.Action) {
			if _, ok := e.(decide.Request); ok {
				requests++
			}
		})
		c := h.connectReset()
		c.intake.unanswered.Store(1 << 20) // above the pipeline limit, so that each reply resumes the reader
		first := batch[0].request
		c.handleBatch(commandBatch{commands: batch})
		h.Step()
		if first != nil && first.Class == "look" { // submitted before the reset was detected; its attempt waits for a connection
			c.Close()
			h.Step()
		}
		if stats := h.Stats(); !c.closed || stats.Clients != 0 || stats.RequestBytes != 0 || len(c.pending) != 0 {
			t.Errorf("%s: closed %v, %d pending replies, stats %+v", name, c.closed, len(c.pending), stats)
		}
		if first == nil || first.Class != "look" {
			if requests != 0 || len(h.backend.attempts) != 0 {
				t.Errorf("%s: %d requests and %d attempts of a client that has reset its connection", name, requests, len(h.backend.attempts))
			}
		}
	}
}
