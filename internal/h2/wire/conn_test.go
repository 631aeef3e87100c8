package wire

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"sloepick/internal/testbed/seeds"
)

// checkInvariants checks what must hold for a connection at all times.
func checkInvariants(t testing.TB, c *Conn) {
	t.Helper()
	unsent, queued := 0, map[uint32]bool{}
	for _, id := range c.sendQueue {
		queued[id] = true
	}
	for _, s := range c.streams {
		unsent += len(s.unsent)
		if (len(s.unsent) > 0) != queued[s.id] {
			t.Fatalf("stream %d with %d unsent bytes is queued: %v", s.id, len(s.unsent), queued[s.id])
		}
	}
	switch limits := c.limits; {
	case len(c.sendQueue) != len(queued), unsent != c.unsentBytes, c.isClient && unsent > limits.MaxUnsentBytes:
		t.Fatalf("%d unsent bytes, counted as %d; %d queue entries for %d streams", unsent, c.unsentBytes, len(c.sendQueue), len(queued))
	case len(c.streams) > limits.MaxStreams:
		t.Fatalf("%d streams", len(c.streams))
	case len(c.partial) > maxFrameBytes+frameHeaderBytes:
		t.Fatalf("%d bytes of an incomplete frame are kept", len(c.partial))
	case !c.failed && (c.recvWindow < 0 || c.recvWindow > max(initialWindow, int64(limits.ConnWindow)) || c.windowCredit != 0):
		t.Fatalf("the receive window is %d, with %d bytes not returned", c.recvWindow, c.windowCredit)
	}
}

// TestFeedCutAnywhere checks that the events do not depend on how the received bytes are split into calls of Feed.
func TestFeedCutAnywhere(t *testing.T) {
	p := newScriptRunner(t, testLimits())
	for _, w := range []string{"preface", "settings 3=7", "headers 1 post k=v", "data 1 30", "padded 1 20 9 end", "headers 3 open get", "continuation 3 a=b",
		"ping", "data 3 0 end", "headers 5 end get K=v", "window 0 9", "rst 3 CANCEL", "goaway 0 NO_ERROR", "priority 7 7"} {
		p.send(strings.Fields(w))
	}
	stream := bytes.Clone(p.bytes.Bytes())
	run := func(cut func() int) string {
		c, log := NewServer(testLimits(), time.Hour), ""
		for b := stream; len(b) > 0; {
			n := min(cut(), len(b))
			for _, e := range c.Feed(time.Hour, b[:n]) {
				log += describe(e) + "\n"
			}
			checkInvariants(t, c)
			b = b[n:]
		}
		return log
	}
	want := run(func() int { return len(stream) })
	if n := strings.Count(want, "\n"); n < 6 {
		t.Fatalf("only %d events:\n%s", n, want)
	}
	for n := 1; n < len(stream); n++ {
		first := true
		got := run(func() int {
			if first {
				first = false
				return n
			}
			return len(stream)
		})
		if got != want {
			t.Fatalf("cut at %d:\n%swant\n%s", n, got, want)
		}
	}
	if got := run(func() int { return 1 }); got != want {
		t.Fatalf("byte by byte:\n%swant\n%s", got, want)
	}
}

// TestRandomClients runs random clients, some of them misbehaving, against a server that responds, resets and times out in any
// order. The invariants hold, and each delivered request is answered or aborted exactly once, with nothing sent afterwards.
func TestRandomClients(t *testing.T) {
	seeds.Run(t, []uint64{1, 2, 3}, func(t *testing.T, seed uint64) {
		r, delivered := seeds.Rand(seed), 0
		for range seeds.Rounds(150) {
			delivered += runRandomClient(t, r)
		}
		if delivered < 100 {
			t.Errorf("only %d requests were delivered", delivered)
		}
	})
}

func runRandomClient(t *testing.T, r *rand.Rand) (delivered int) {
	p := newScriptRunner(t, testLimits())
	p.handshake()
	misbehaving, open, next := r.IntN(8) == 0, map[uint32]bool{}, uint32(1)
	id := func() uint32 { return 1 + 2*uint32(r.IntN(max(1, int(next)/2))) }
	for range 200 {
		switch k := r.IntN(14); k {
		case 0, 1, 2:
			p.send([]string{"headers", fmt.Sprint(next), "get", "k=v", "end"})
			next += 2
		case 3:
			p.send([]string{"headers", fmt.Sprint(next), "post"})
			p.send([]string{"data", fmt.Sprint(next), fmt.Sprint(r.IntN(130))})
			next += 2
		case 4:
			p.send([]string{"rst", fmt.Sprint(id()), "CANCEL"})
		case 5:
			p.send([]string{"window", fmt.Sprint(id()), fmt.Sprint(1 + r.IntN(1000))})
		case 6:
			p.send([]string{"window", "0", fmt.Sprint(1 + r.IntN(70000))})
		case 7:
			p.send([]string{"settings", fmt.Sprintf("4=%d", r.IntN(70000))})
		case 8:
			if misbehaving {
				p.send([]string{"frame", fmt.Sprint(r.IntN(11)), fmt.Sprint(r.IntN(256)), fmt.Sprint(r.IntN(9)), strings.Repeat("00", r.IntN(12))})
			}
		case 9:
			p.c.ResetStream(id(), http2.ErrCodeCancel)
		case 10:
			p.c.ResetStalled(time.Duration(r.IntN(4)) * time.Second)
		default:
			id := id()
			if responded := p.c.Respond(id, 200, []hpack.HeaderField{{Name: "k", Value: "v"}}, make([]byte, r.IntN(70000))); responded && !open[id] {
				t.Fatalf("a response was sent on stream %d, which has no open request", id)
			} else if responded {
				delete(open, id)
			}
		}
		p.now += time.Duration(r.IntN(2000)) * time.Millisecond
		events := p.c.Feed(p.now, p.bytes.Bytes())
		p.bytes.Reset()
		for _, e := range events {
			switch e.Kind {
			case RequestReceived:
				delivered++
				open[e.Stream] = true
			case RequestTooLarge:
				p.c.Respond(e.Stream, e.Status, nil, nil)
			case StreamAborted:
				delete(open, e.Stream)
			}
		}
		p.output(nil) // fails unless the output can be parsed
		checkInvariants(t, p.c)
		if p.c.Failed() {
			break
		}
	}
	return delivered
}

// BenchmarkRequest measures a small request and its response of 64 bytes.
func BenchmarkRequest(b *testing.B) {
	c := NewServer(DefaultLimits(), 0)
	var in, encoded bytes.Buffer
	framer, encoder := http2.NewFramer(&in, nil), hpack.NewEncoder(&encoded)
	in.WriteString(http2.ClientPreface)
	framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	framer.WriteWindowUpdate(0, 1<<30)
	answer, fields := make([]byte, 64), []hpack.HeaderField{{Name: "content-type", Value: "application/octet-stream"}}
	id := uint32(1)
	b.ReportAllocs()
	for b.Loop() {
		encoded.Reset()
		for _, f := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/v1/ask/slot-lookup"},
			{Name: "sloepick-customer", Value: "00000000b4d65521"}, {Name: "sloepick-plan", Value: "plus"}} {
			encoder.WriteField(f)
		}
		framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndStream: true, EndHeaders: true, BlockFragment: encoded.Bytes()})
		if id%1024 == 1 {
			framer.WriteWindowUpdate(0, 64*512)
		}
		if got := c.Feed(0, in.Bytes()); len(got) != 1 || !c.Respond(id, 200, fields, answer) {
			b.Fatal(got)
		}
		in.Reset()
		c.TakeOutput()
		id += 2
	}
}

// FuzzConn feeds arbitrary bytes to a server in two calls, and responds to the requests.
func FuzzConn(f *testing.F) {
	for _, name := range []string{"requests", "streams", "floods"} {
		text, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
		if err != nil {
			f.Fatal(err)
		}
		for _, part := range strings.Split("\n"+string(text), "\n== ")[1:] {
			p := newScriptRunner(nil, testLimits())
			if !strings.Contains(part, "(raw)\n") {
				p.handshake()
				p.send([]string{"preface"})
				p.send([]string{"settings"})
			}
			for _, line := range strings.Split(part, "\n") {
				if strings.HasPrefix(line, "> ") {
					p.send(strings.Fields(line[2:]))
				}
			}
			f.Add(p.bytes.Bytes(), uint16(len(part)))
		}
	}
	f.Fuzz(func(t *testing.T, b []byte, cut uint16) {
		c, now := NewServer(testLimits(), time.Hour), time.Hour
		at := int(cut) % (len(b) + 1)
		for _, p := range [][]byte{b[:at], b[at:]} {
			for _, e := range c.Feed(now, p) {
				if e.Kind == RequestReceived || e.Kind == RequestTooLarge {
					c.Respond(e.Stream, 200, nil, make([]byte, int(cut)))
				}
			}
			if !c.Failed() {
				checkInvariants(t, c)
			}
			now += time.Second
		}
		c.ResetStalled(0)
		c.TakeOutput()
	})
}

// FuzzClient feeds arbitrary bytes to a client with open requests.
func FuzzClient(f *testing.F) {
	text, err := os.ReadFile(filepath.Join("testdata", "client.txt"))
	if err != nil {
		f.Fatal(err)
	}
	for _, part := range strings.Split("\n"+string(text), "\n== ")[1:] {
		p := newScriptRunner(nil, testLimits())
		p.send([]string{"settings"})
		for _, line := range strings.Split(part, "\n") {
			if strings.HasPrefix(line, "> ") {
				p.send(strings.Fields(line[2:]))
			}
		}
		f.Add(p.bytes.Bytes(), uint16(len(part)))
	}
	f.Fuzz(func(t *testing.T, b []byte, cut uint16) {
		c, now, owed := NewClient(testLimits(), time.Hour), time.Hour, map[uint32]bool{}
		at := int(cut) % (len(b) + 1)
		for _, p := range [][]byte{b[:at], b[at:]} {
			if id, ok := c.SendRequest([]hpack.HeaderField{{Name: ":method", Value: "POST"}}, make([]byte, int(cut)%200)); ok {
				owed[id] = true
			}
			for _, e := range c.Feed(now, p) {
				if e.Kind == ResponseReceived || e.Kind == RequestRefused || e.Kind == StreamAborted {
					if !owed[e.Stream] {
						t.Fatalf("stream %d ended twice or was never opened", e.Stream)
					}
					delete(owed, e.Stream)
				}
			}
			if !c.Failed() {
				checkInvariants(t, c)
				if len(owed) != c.OpenStreams() {
					t.Fatalf("%d requests are owed an event, %d streams are open", len(owed), c.OpenStreams())
				}
			} else if len(owed) > 0 {
				t.Fatalf("the connection failed without an event for %d requests", len(owed))
			}
		}
	})
}
