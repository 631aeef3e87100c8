package h2

import (
	"errors"
	"io"
	"testing"
	"time"

	"sloepick/internal/gateway"
)

// TestIdleCloseCrossesARequestByHTTP2: a client's next request crosses the end of its connection, which had been idle for too long. It
// reads which requests were taken and a plain end; the other one reaches no node and can be sent again.
func TestIdleCloseCrossesARequestByHTTP2(t *testing.T) {
	r := newRig(t, platform(), func(cfg *gateway.Config, _ *Listener) {
		cfg.Tuning.Clients.Idle, cfg.Tuning.Clients.Fault = 50*time.Millisecond, patience
	})
	c := r.dial(nil)
	first := r.ask(c, look("one"))
	if a := r.read(c); a.Stream != first || a.Status != 200 {
		t.Fatalf("got %+v", a)
	}
	away := r.read(c)
	if !away.Away || away.Last != first {
		t.Fatalf("got %+v", away)
	}
	r.ask(c, look("two")) // the gateway has closed its side, the client has not seen it
	if a, err := c.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("got %+v, %v, want a plain end", a, err)
	}
	c.Close()
	if n := len(r.site.Tally.Arrivals()); n != 1 {
		t.Errorf("%d requests came to the nodes", n)
	}
}
