package h2

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/resp"
	"sloepick/internal/stand"
	"sloepick/internal/stand/seeds"
	"sloepick/internal/tuning"
)

const (
	patience = 20 * time.Second // for what must come; no test waits for it to pass
	customer = "00000000b4d65521"
)

// rig is a gateway in this process, with RESP2's listener and one of HTTP/2, and a site of nodes.
type rig struct {
	t     testing.TB
	site  *stand.Site
	resp  string
	front *Front
	cfg   gateway.Config
	l     Listener
	stop  context.CancelFunc
	done  chan error
}

// platform is the clinic's, with quotas that don't refill while a test runs, and patient clients.
func platform() *stand.Platform {
	p := stand.Clinic()
	for i := range p.Plans {
		p.Plans[i].Rate, p.Plans[i].Ceiling = 0.01, stand.Ceiling{}
	}
	for i := range p.Classes {
		p.Classes[i].Patience, p.Classes[i].Work = patience, time.Millisecond
	}
	p.Rules.Ceilings = nil
	return p
}

func newRig(t *testing.T, p *stand.Platform, change func(*gateway.Config, *Listener)) *rig {
	t.Helper()
	return newRigOf(t, p, 2, change)
}

func newRigOf(t testing.TB, p *stand.Platform, nodes int, change func(*gateway.Config, *Listener)) *rig {
	t.Helper()
	r := &rig{t: t, done: make(chan error, 1)}
	var err error
	if r.site, err = stand.NewSite(p, nodes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.site.Close)
	places, err := stand.Places(1)
	if err != nil {
		t.Fatal(err)
	}
	text, err := p.Config(0, places, r.site.Discovery.Addr().String(), 1, r.site.List())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "platform.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := gateway.LoadConfig(func(name string) string { return map[string]string{"GW_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	cfg.Tuning = tuning.Default()
	cfg.Tuning.Stop.Accept, cfg.Tuning.Stop.LastCall, cfg.Tuning.Clients.Fault = 50*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	l := Listener{Name: "test", Address: "127.0.0.1:0", Streams: 100, Shake: 5 * time.Second}
	if change != nil {
		change(&cfg, &l)
	}
	r.cfg, r.l, r.resp = cfg, l, places[0].Listen
	r.start()
	t.Cleanup(r.end)
	return r
}

// start starts the gateway and waits until it answers.
func (r *rig) start() {
	r.t.Helper()
	var err error
	if r.front, err = NewFront(r.l); err != nil {
		r.t.Fatal(err)
	}
	r.cfg.Fronts, r.cfg.Back = []gateway.Front{resp.NewFront(r.cfg.Listen), r.front}, resp.Back{}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- gateway.Run(ctx, r.cfg, nil, slog.New(slog.DiscardHandler)) }()
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		c, err := stand.Dial(r.resp)
		if err == nil {
			c.Close()
			return
		}
		if time.Now().After(end) {
			r.t.Fatal(err)
		}
	}
}

// end stops it as SIGTERM would, and waits.
func (r *rig) end() {
	r.stop()
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(patience):
		r.t.Error("the gateway does not end")
	}
}

func (r *rig) dial(by *tls.Config, settings ...http2.Setting) *stand.H2Client {
	r.t.Helper()
	c, err := stand.DialH2(r.front.Addr().String(), by, settings...)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	if err := c.Conn.SetDeadline(time.Now().Add(patience)); err != nil {
		r.t.Fatal(err)
	}
	return c
}

func look(id string) stand.H2Request {
	return stand.H2Request{Path: "/v1/ask/slot-lookup", Customer: customer, Plan: "network", ID: id, Patience: patience, Units: "1"}
}

func (r *rig) ask(c *stand.H2Client, q stand.H2Request) uint32 {
	r.t.Helper()
	id, err := c.Ask(q)
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

func (r *rig) read(c *stand.H2Client) *stand.H2Answer {
	r.t.Helper()
	a, err := c.Read()
	if err != nil {
		r.t.Fatal(err)
	}
	return a
}

func (r *rig) call(c *stand.H2Client, q stand.H2Request) *stand.H2Answer {
	r.t.Helper()
	id := r.ask(c, q)
	a := r.read(c)
	if a.Stream != id {
		r.t.Fatalf("asked on %d, got %+v", id, a)
	}
	return a
}

// A request's values come to the node as by RESP2, and its answer carries the value, the bucket's room and the cost.
func TestServed(t *testing.T) {
	r := newRig(t, platform(), nil)
	c := r.dial(nil)
	a := r.call(c, look("one"))
	if a.Status != 200 || string(a.Body) != stand.Value("one") || a.Fields["content-length"] != strconv.Itoa(len(a.Body)) {
		t.Errorf("got %+v", a)
	}
	for name, want := range map[string]string{"ratelimit": `"network";r=17;t=1900`, "ratelimit-policy": `"network";q=36;w=3600`, "sloepick-cost": "1"} {
		if a.Fields[name] != want {
			t.Errorf("%s: got %q, want %q", name, a.Fields[name], want)
		}
	}
	book := look("two")
	book.Path, book.Key, book.Body, book.Units = "/v1/do/slot-book?x=y", `"k1"`, []byte("Tuesday 10:00"), "2"
	if a := r.call(c, book); a.Status != 200 || a.Fields["sloepick-cost"] != "2" {
		t.Errorf("got %+v", a)
	}
	got := r.site.Tally.Arrivals()
	if len(got) != 2 || got[1].Key != "k1" || got[1].Units != 2 || got[1].Customer != customer || got[1].Class != "slot-book" {
		t.Errorf("the nodes saw %+v", got)
	}
}

// What can't be taken is answered before the module or a node hears of it, and each answer says that it never ran.
func TestRejected(t *testing.T) {
	r := newRig(t, platform(), nil)
	c := r.dial(nil)
	for name, x := range map[string]struct {
		change func(*stand.H2Request)
		status int
		detail string
	}{
		"no customer":        {func(q *stand.H2Request) { q.Customer = "" }, 400, "sloepick-customer is missing"},
		"no id":              {func(q *stand.H2Request) { q.ID = "" }, 400, "sloepick-id is missing"},
		"no plan":            {func(q *stand.H2Request) { q.Plan = "" }, 400, "sloepick-plan is missing"},
		"no patience":        {func(q *stand.H2Request) { q.Patience = 0 }, 400, "sloepick-patience is missing"},
		"customer":           {func(q *stand.H2Request) { q.Customer = "x" }, 400, "16 hex digits"},
		"plan with a list":   {func(q *stand.H2Request) { q.Plan = "network,units=9" }, 400, "a comma"},
		"key with a list":    {func(q *stand.H2Request) { q.Key = "a,k=b" }, 400, "a comma"},
		"class":              {func(q *stand.H2Request) { q.Path = "/v1/ask/none" }, 400, "unknown class or plan"},
		"class with space":   {func(q *stand.H2Request) { q.Path = "/v1/ask/slot lookup" }, 400, "a comma, a space"},
		"other command":      {func(q *stand.H2Request) { q.Path = "/v1/ask/slot-book" }, 400, "the other of /v1/ask/ and /v1/do/"},
		"keyed, no key":      {func(q *stand.H2Request) { q.Path = "/v1/do/slot-book" }, 400, "idempotency-key is missing"},
		"key with quotes":    {func(q *stand.H2Request) { q.Key = `"a"b"` }, 400, "idempotency-key can't be used"},
		"patience, too long": {func(q *stand.H2Request) { q.Patience = time.Minute }, 400, "sloepick-patience is out of range"},
		"units":              {func(q *stand.H2Request) { q.Units = "1e3" }, 400, "sloepick-units can't be used"},
		"units, too many":    {func(q *stand.H2Request) { q.Units = "999" }, 400, "units are out of range"},
		"set":                {func(q *stand.H2Request) { q.Set = "x;1" }, 400, "sloepick-set can't be used"},
		"set, too many":      {func(q *stand.H2Request) { q.Set = "9;0" }, 400, "the set is out of range"},
		"twice":              {func(q *stand.H2Request) { q.More = []string{"sloepick-id", "b"} }, 400, "sloepick-id comes twice"},
		"path":               {func(q *stand.H2Request) { q.Path = "/v2/ask/slot-lookup" }, 404, "/v1/ask/CLASS"},
		"method":             {func(q *stand.H2Request) { q.More = []string{":method", "GET"} }, 0, ""},
		"body":               {func(q *stand.H2Request) { q.Body = bytes.Repeat([]byte("x"), 64<<10+1) }, 413, "larger"},
		"fields": {func(q *stand.H2Request) {
			q.More = []string{"a", strings.Repeat("x", 7000), "b", strings.Repeat("x", 2000)}
		}, 431, "larger"},
	} {
		q := look("id")
		x.change(&q)
		id := r.ask(c, q)
		a := r.read(c)
		switch {
		case x.status == 0: // malformed, so the stream's end
			if !a.Reset || a.Code != http2.ErrCodeProtocol {
				t.Errorf("%s: got %+v", name, a)
			}
		case a.Stream != id || a.Status != x.status || a.Fields["sloepick-ran"] != "never" || a.Fields["content-type"] != "application/problem+json" ||
			!strings.Contains(string(a.Body), x.detail):
			t.Errorf("%s: got %+v with %s", name, a, a.Body)
		}
	}
	if got := r.site.Tally.Arrivals(); len(got) > 0 {
		t.Errorf("the nodes saw %+v", got)
	}
}

// Over the quota the answer is 429, at once, with when to come back and that it never ran.
func TestOverTheQuota(t *testing.T) {
	r := newRig(t, platform(), nil)
	c := r.dial(nil)
	for i := range 18 { // half of the burst is there at a start
		if a := r.call(c, look(fmt.Sprint(i))); a.Status != 200 {
			t.Fatalf("request %d: got %+v", i, a)
		}
	}
	a := r.call(c, look("over"))
	if ms, err := strconv.Atoi(a.Fields["sloepick-after"]); a.Status != 429 || a.Fields["sloepick-ran"] != "never" || err != nil || ms < 1 || a.Fields["retry-after"] == "" {
		t.Errorf("got %+v", a)
	}
}

// hold keeps nodes from answering until the test lets go.
func (r *rig) hold() (let func()) {
	gate := make(chan struct{})
	for _, n := range r.site.Nodes {
		n.Stall(func(stand.Arrival) time.Duration {
			select {
			case <-gate:
			case <-time.After(patience):
			}
			return 0
		})
	}
	return func() { close(gate) }
}

// arrived waits until so many requests have come to the nodes.
func (r *rig) arrived(n int) {
	r.t.Helper()
	for end := time.Now().Add(patience); len(r.site.Tally.Arrivals()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("only %d requests came to the nodes", len(r.site.Tally.Arrivals()))
		}
	}
}

// taken waits until the gateway has taken what was sent on a connection on which no answer is due.
func (r *rig) taken(c *stand.H2Client) {
	r.t.Helper()
	if err := c.Framer.WritePing(false, [8]byte{1}); err != nil {
		r.t.Fatal(err)
	}
	for {
		f, err := c.Framer.ReadFrame()
		if err != nil {
			r.t.Fatal(err)
		}
		if ping, ok := f.(*http2.PingFrame); ok && ping.IsAck() {
			return
		}
	}
}

// A stream that is reset after its request was forwarded: nothing more comes on it, the quota is charged once, and the other
// streams of the connection go on.
func TestResetAfterForwarding(t *testing.T) {
	r := newRig(t, platform(), nil)
	let := r.hold()
	c := r.dial(nil)
	gone, stays := r.ask(c, look("gone")), r.ask(c, look("stays"))
	r.arrived(2)
	if err := c.Framer.WriteRSTStream(gone, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	r.taken(c)
	let()
	a := r.read(c)
	if a.Stream != stays || a.Status != 200 || a.Fields["ratelimit"] != `"network";r=16;t=2000` {
		t.Errorf("got %+v, want an answer on %d", a, stays)
	}
	if a := r.call(c, look("after")); a.Status != 200 || a.Fields["ratelimit"] != `"network";r=15;t=2100` {
		t.Errorf("got %+v", a)
	}
}

// An id that is open by one protocol is turned away by the other, and each gets its own answer.
func TestOneIDByBothProtocols(t *testing.T) {
	r := newRig(t, platform(), nil)
	let := r.hold()
	old, err := stand.Dial(r.resp)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	if err := old.Send("Q.ASK", customer, "same", "c=slot-lookup,t=network,d=20000"); err != nil {
		t.Fatal(err)
	}
	r.arrived(1)
	c := r.dial(nil)
	if a := r.call(c, look("same")); a.Status != 409 {
		t.Errorf("got %+v", a)
	}
	let()
	if got, err := old.Read(); err != nil || got != "$"+stand.Value("same") {
		t.Errorf("got %q, %v", got, err)
	}
}

// A booking by HTTP/2 and its repeat by RESP2 with the same key, both before and after it was answered: it runs once in the
// group, and each is answered.
func TestOneKeyByBothProtocols(t *testing.T) {
	p := platform()
	r := newRigOf(t, p, 1, nil) // one group, so that the repeat meets the first
	let := r.hold()
	c := r.dial(nil)
	q := look("first")
	q.Path, q.Key = "/v1/do/slot-book", `"same"`
	first := r.ask(c, q)
	r.arrived(1)
	old, err := stand.Dial(r.resp)
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	repeat := func(id string) {
		if err := old.Send("Q.DO", customer, id, "c=slot-book,t=network,d=20000,k=same"); err != nil {
			t.Fatal(err)
		}
	}
	repeat("second")
	r.arrived(2)
	let()
	if a := r.read(c); a.Stream != first || a.Status != 200 {
		t.Errorf("got %+v", a)
	}
	if got, err := old.Read(); err != nil || got != "$"+stand.Value("second") {
		t.Errorf("got %q, %v", got, err)
	}
	repeat("third")
	if got, err := old.Read(); err != nil || got != "$"+stand.Value("third") {
		t.Errorf("got %q, %v", got, err)
	}
	ran := 0
	for _, n := range r.site.Tally.Effects() {
		ran += n
	}
	if ran != 1 {
		t.Errorf("it took effect %d times", ran)
	}
}

// The gateway's end: two GOAWAYs, what was open and what crossed the first is answered, and then the connection ends.
func TestEndInTwoSteps(t *testing.T) {
	r := newRig(t, platform(), func(cfg *gateway.Config, _ *Listener) {
		cfg.Tuning.Stop.LastCall = 2 * time.Second // in which the test must send the request that crosses
	})
	let := r.hold()
	c := r.dial(nil)
	open := r.ask(c, look("open"))
	r.arrived(1)
	r.stop()
	if a := r.read(c); !a.Away || a.Code != http2.ErrCodeNo || a.Last != 1<<31-1 {
		t.Fatalf("got %+v", a)
	}
	crossed := r.ask(c, look("crossed"))
	r.arrived(2)
	if a := r.read(c); !a.Away || a.Last != crossed {
		t.Fatalf("got %+v", a)
	}
	let()
	answered := map[uint32]int{}
	for range 2 {
		a := r.read(c)
		answered[a.Stream] = a.Status
	}
	if answered[open] != 200 || answered[crossed] != 200 {
		t.Errorf("got %v", answered)
	}
	if _, err := c.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	c.Close()
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done <- nil // for the rig's own end
}

// A client that sends GOAWAY still gets what it is owed.
func TestClientGoesAway(t *testing.T) {
	r := newRig(t, platform(), nil)
	c := r.dial(nil)
	id := r.ask(c, look("one"))
	if err := c.Framer.WriteGoAway(0, http2.ErrCodeNo, nil); err != nil {
		t.Fatal(err)
	}
	if a := r.read(c); a.Stream != id || a.Status != 200 {
		t.Errorf("got %+v", a)
	}
}

// Rapid reset on sockets (CVE-2023-44487): the offender is sent away with the right code, others are served all the while.
func TestRapidReset(t *testing.T) {
	r := newRig(t, platform(), nil)
	good, rude := r.dial(nil), r.dial(nil)
	ended := make(chan *http2.GoAwayFrame, 1)
	go func() { // reads beside the writer, which it must not answer for
		for f := http2.NewFramer(nil, rude.Conn); ; {
			x, err := f.ReadFrame()
			if away, ok := x.(*http2.GoAwayFrame); ok || err != nil {
				ended <- away
				return
			}
		}
	}()
	for i := 0; ; i++ {
		q := look(fmt.Sprintf("rude-%d", i))
		q.Customer = "0000000000000001"
		id, err := rude.Ask(q)
		if err != nil || rude.Framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // it was sent away
		}
		if i == 100 {
			if a := r.call(good, look("good")); a.Status != 200 {
				t.Errorf("the good client got %+v", a)
			}
		}
		if i > 100000 {
			t.Fatal("resets go on without end")
		}
	}
	if a := <-ended; a == nil || a.ErrCode != http2.ErrCodeEnhanceYourCalm {
		t.Errorf("the rude client got %+v", a)
	}
	if a := r.call(good, look("good-2")); a.Status != 200 {
		t.Errorf("the good client got %+v", a)
	}
}

var idle = flag.Int("idle", 1500, "silent connections of the test of their bound; 10000 in its long form")

// Far more silent connections than there are descriptors: the quiet ones make room, and a client that asks is served.
func TestIdleConnections(t *testing.T) {
	r := newRig(t, platform(), func(cfg *gateway.Config, _ *Listener) { cfg.Sockets = 256 })
	good := r.dial(nil)
	for i := range *idle {
		nc, err := net.Dial("tcp", r.front.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if i%100 != 0 {
			continue
		}
		q := look(fmt.Sprint("good-", i))
		q.Customer = fmt.Sprintf("%016x", i+1)
		if id, err := good.Ask(q); err == nil {
			if a, err := good.Read(); err == nil && !a.Away && (a.Stream != id || a.Status != 200) {
				t.Fatalf("got %+v", a)
			} else if err == nil && !a.Away {
				continue
			}
		}
		good = r.dial(nil) // it had been quiet for longest, and was told
	}
	if a := r.call(r.dial(nil), look("one")); a.Status != 200 {
		t.Errorf("got %+v", a)
	}
}

// Each flood on sockets: its client is sent away with the right code, and the usual one is served before and after.
func TestFloods(t *testing.T) {
	const many = 5000
	block := func(f *http2.Framer, id uint32, ends bool) {
		q := look(fmt.Sprint("flood-", id))
		q.Customer = "0000000000000009"
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, EndStream: ends, EndHeaders: true, BlockFragment: stand.NewH2Encoder().Block(q)})
	}
	for name, x := range map[string]struct {
		flood func(f *http2.Framer, i int)
		begin func(f *http2.Framer)
		code  http2.ErrCode
	}{
		"PING (CVE-2019-9512)":       {flood: func(f *http2.Framer, _ int) { f.WritePing(false, [8]byte{}) }},
		"SETTINGS (CVE-2019-9515)":   {flood: func(f *http2.Framer, _ int) { f.WriteSettings() }},
		"PRIORITY (CVE-2019-9513)":   {flood: func(f *http2.Framer, i int) { f.WritePriority(1, http2.PriorityParam{StreamDep: uint32(3 + 2*(i%50))}) }},
		"empty DATA (CVE-2019-9518)": {begin: func(f *http2.Framer) { block(f, 1, false) }, flood: func(f *http2.Framer, _ int) { f.WriteData(1, false, nil) }},
		"CONTINUATION (CVE-2024-27316)": {begin: func(f *http2.Framer) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x82}})
		}, flood: func(f *http2.Framer, _ int) { f.WriteContinuation(1, false, []byte{0x40, 1, 'a', 1, 'b'}) }},
		"rapid reset (CVE-2023-44487)": {flood: func(f *http2.Framer, i int) {
			block(f, uint32(1+2*i), true)
			f.WriteRSTStream(uint32(1+2*i), http2.ErrCodeCancel)
		}},
		"made-you-reset (CVE-2025-8671)": {flood: func(f *http2.Framer, i int) {
			block(f, uint32(1+2*i), true)
			f.WriteRawFrame(http2.FrameWindowUpdate, 0, uint32(1+2*i), make([]byte, 4))
		}},
		"malformed requests (CVE-2019-9514)": {flood: func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(1 + 2*i), EndStream: true, EndHeaders: true, BlockFragment: []byte{0x82}})
		}},
		"WINDOW_UPDATE by one (CVE-2019-9517)": {flood: func(f *http2.Framer, _ int) { f.WriteWindowUpdate(0, 1) }},
		"HPACK: a table size beyond the bound": {flood: func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(1 + 2*i), EndStream: true, EndHeaders: true, BlockFragment: []byte{0x3f, 0xe2, 0x1f, 0x82}})
		}, code: http2.ErrCodeCompression},
		"HPACK growth: a large field, referred": {flood: func(f *http2.Framer, i int) {
			f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(1 + 2*i), EndStream: true, EndHeaders: true, BlockFragment: growth(i)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, platform(), nil)
			good, rude := r.dial(nil), r.dial(nil)
			if a := r.call(good, look("before")); a.Status != 200 {
				t.Fatalf("got %+v", a)
			}
			ended := make(chan *http2.GoAwayFrame, 1)
			go func() { // reads beside the writer, and answers nothing
				for f := http2.NewFramer(nil, rude.Conn); ; {
					x, err := f.ReadFrame()
					if away, ok := x.(*http2.GoAwayFrame); ok || err != nil {
						ended <- away
						return
					}
				}
			}()
			f := http2.NewFramer(rude.Conn, nil)
			f.AllowIllegalWrites = true
			if x.begin != nil {
				x.begin(f)
			}
			for i := range many {
				x.flood(f, i) // errors show that it was sent away
			}
			if x.code == 0 {
				x.code = http2.ErrCodeEnhanceYourCalm
			}
			select {
			case a := <-ended:
				if a == nil || a.ErrCode != x.code {
					t.Errorf("the rude client got %v", a)
				}
			case <-time.After(patience):
				t.Error("the flood goes on")
			}
			if a := r.call(good, look("after")); a.Status != 200 {
				t.Errorf("the usual client got %+v", a)
			}
		})
	}
}

// growth is a block whose first piece puts a large field into the table, and that then names it over and over.
func growth(i int) []byte {
	var b []byte
	if i == 0 {
		b = append(b, 0x40, 1, 'a', 0x7f, 0xa1, 0x1e) // a value of 4,000 bytes: 127 + 0x21 + 0x1e x 128
		b = append(b, bytes.Repeat([]byte("x"), 127+0x21+0x1e*128)...)
	}
	return append(b, bytes.Repeat([]byte{0xbe}, 1000)...) // the table's newest
}

// A client that opens no window is given up after the stated time, on its stream alone.
func TestNoWindow(t *testing.T) {
	r := newRig(t, platform(), func(cfg *gateway.Config, _ *Listener) {
		cfg.Tuning.Clients.Write = 100 * time.Millisecond
	})
	c := r.dial(nil, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	stuck := r.ask(c, look("stuck"))
	if a := r.read(c); a.Stream != stuck || !a.Reset || a.Code != http2.ErrCodeCancel {
		t.Fatalf("got %+v", a)
	}
	if err := c.Framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1000}); err != nil {
		t.Fatal(err)
	}
	if a := r.call(c, look("next")); a.Status != 200 {
		t.Errorf("got %+v", a)
	}
}

// caller sends requests by either protocol, one at a time.
type caller struct {
	r   *rig
	h2  *stand.H2Client
	old *stand.Client
}

func (c *caller) dial() {
	c.h2 = c.r.dial(nil)
	var err error
	if c.old, err = stand.Dial(c.r.resp); err != nil {
		c.r.t.Fatal(err)
	}
	c.r.t.Cleanup(c.old.Close)
}

// words are a request as RESP2 has it.
func words(q stand.H2Request) []string {
	name, class, list := "Q.ASK", strings.TrimPrefix(q.Path, "/v1/ask/"), ""
	if q.Key != "" {
		name, class, list = "Q.DO", strings.TrimPrefix(q.Path, "/v1/do/"), ",k="+q.Key
	}
	return []string{name, q.Customer, q.ID, fmt.Sprintf("c=%s,t=%s,d=%d,units=%s%s", class, q.Plan, q.Patience.Milliseconds(), q.Units, list)}
}

// call asks and tells the status of the answer, as HTTP has it.
func (c *caller) call(q stand.H2Request, byH2 bool) int {
	c.r.t.Helper()
	if byH2 {
		status := c.r.call(c.h2, q).Status
		if status == 503 { // RESP2 has one word for both
			status = 429
		}
		return status
	}
	if err := c.old.Send(words(q)...); err != nil {
		c.r.t.Fatal(err)
	}
	got, err := c.old.Read()
	switch {
	case err == nil && strings.HasPrefix(got, "$"):
		return 200
	case err == nil && strings.HasPrefix(got, "-BUSY"):
		return 429
	}
	c.r.t.Fatalf("got %q, %v", got, err)
	return 0
}

// leave asks on a connection of its own and goes away once the request has come to a node, or was answered.
func (c *caller) leave(q stand.H2Request, byH2 bool) {
	c.r.t.Helper()
	answered := make(chan struct{})
	if byH2 {
		h2 := c.r.dial(nil)
		id := c.r.ask(h2, q)
		go func() {
			h2.Read()
			close(answered)
		}()
		c.wait(q.ID, answered)
		h2.Conn.SetReadDeadline(time.Unix(1, 0)) // its reader ends, and the writer is alone
		<-answered
		if err := h2.Framer.WriteRSTStream(id, http2.ErrCodeCancel); err != nil {
			c.r.t.Error(err)
		}
		return
	}
	old, err := stand.Dial(c.r.resp)
	if err != nil {
		c.r.t.Fatal(err)
	}
	if err := old.Send(words(q)...); err != nil {
		c.r.t.Fatal(err)
	}
	go func() {
		old.Read()
		close(answered)
	}()
	c.wait(q.ID, answered)
	old.Close()
}

// wait waits until a request has come to a node, or was answered.
func (c *caller) wait(id string, answered <-chan struct{}) {
	c.r.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if slices.ContainsFunc(c.r.site.Tally.Arrivals(), func(a stand.Arrival) bool { return a.ID == id }) {
			return
		}
		select {
		case <-answered:
			return
		case <-time.After(time.Millisecond):
		}
	}
	c.r.t.Fatalf("%s did not come to a node", id)
}

// playMix sends the same drawn requests by one protocol, the other, or each by either. Some clients go away while theirs is at
// a node; a node drains, and the gateway is restarted. It tells the units that were let in for each customer, and how each
// request ended.
func playMix(t *testing.T, seed uint64, h2Nodes int, byH2 func(i int) bool) (units map[string]float64, ends []string) {
	p := platform()
	p.H2Nodes = h2Nodes
	r := newRig(t, p, func(cfg *gateway.Config, _ *Listener) {
		cfg.Backs = map[string]gateway.Back{stand.H2Kind: NewBack(BackConfig{Streams: 100, Connections: 2, Ping: patience, Idle: patience})}
	})
	for _, n := range r.site.Nodes {
		n.Stall(func(a stand.Arrival) time.Duration {
			if strings.HasPrefix(a.ID, "gone") {
				return 50 * time.Millisecond
			}
			return 0
		})
	}
	rnd, c := seeds.Rand(seed), &caller{r: r}
	c.dial()
	asked, keyed := map[string]float64{}, map[string]bool{}
	const requests = 300
	for i := range requests {
		switch i {
		case requests / 2:
			if err := r.site.Drain(0); err != nil {
				t.Fatal(err)
			}
		case requests * 2 / 3:
			c.h2.Close()
			c.old.Close()
			r.end()
			r.start()
			c.dial()
		}
		n := 1 + rnd.IntN(2)
		q := stand.H2Request{Path: "/v1/ask/slot-lookup", Customer: fmt.Sprintf("%016x", 1+rnd.IntN(12)), Plan: p.Plans[rnd.IntN(len(p.Plans))].Name,
			ID: fmt.Sprintf("r-%d", i), Patience: patience, Units: strconv.Itoa(n)}
		if rnd.IntN(2) == 0 {
			q.Path, q.Key = "/v1/do/slot-book", fmt.Sprintf("k%d", i)
		}
		leaves := rnd.IntN(20) == 0
		if leaves {
			q.ID = fmt.Sprintf("gone-%d", i)
		}
		keyed[q.ID] = q.Key != ""
		asked[q.ID] = float64(n)
		if leaves {
			c.leave(q, byH2(i))
			continue
		}
		ends = append(ends, fmt.Sprintf("%s %d", q.ID, c.call(q, byH2(i))))
	}
	units, seen := map[string]float64{}, map[string]bool{}
	for _, a := range r.site.Tally.Arrivals() {
		if a.Units != asked[a.ID] {
			t.Errorf("%s came with %v units, not %v", a.ID, a.Units, asked[a.ID])
		}
		if !seen[a.ID] {
			units[a.Customer] += a.Units
		}
		seen[a.ID] = true
	}
	for id, n := range r.site.Tally.Effects() {
		if n != 1 && keyed[id] { // on a machine that is late a look-up may be tried twice
			t.Errorf("%s took effect %d times", id, n)
		}
	}
	return units, ends
}

// The same load by RESP2, by HTTP/2 and by both in turn: the same units let in for each customer, the same ending of each
// request, and one answer each.
func TestMixedProtocolsOneQuota(t *testing.T) {
	seeds.Play(t, []uint64{1, 2}, func(t *testing.T, seed uint64) {
		units, ends := playMix(t, seed, 0, func(int) bool { return false })
		for name, mix := range map[string]func(int) bool{"HTTP/2": func(int) bool { return true }, "both": func(i int) bool { return i%2 == 0 }} {
			u, e := playMix(t, seed, 0, mix)
			if fmt.Sprint(u) != fmt.Sprint(units) {
				t.Errorf("%s: %v units, by RESP2 %v", name, u, units)
			}
			if !slices.Equal(e, ends) {
				t.Errorf("%s: requests end in another way than by RESP2", name)
			}
		}
		served := 0
		for _, e := range ends {
			if strings.HasSuffix(e, " 200") {
				served++
			}
		}
		if served < 50 || served > 250 {
			t.Errorf("%d of %d were served: too little for a test", served, len(ends))
		}
	})
}

// authority signs certificates for the tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.pem, _, a.key = a.sign(a.cert)
	return a
}

func (a *authority) sign(c *x509.Certificate) (cert, key []byte, private *ecdsa.PrivateKey) {
	a.t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	by := a.key
	if by == nil {
		by = private
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &private.PublicKey, by)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), private
}

// leaf is a certificate for a name.
func (a *authority) leaf(name string, serial int64) (cert, key []byte) {
	cert, key, _ = a.sign(&x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	return cert, key
}

// TLS by ALPN, clients with certificates of the right authority only, each for its own customer; and a certificate that is
// replaced while the gateway runs, all or nothing.
func TestTLS(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	put := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert, key := a.leaf("gateway", 2)
	files := Files{Certificate: put("cert.pem", cert), Key: put("key.pem", key), Clients: put("clients.pem", a.pem), Bind: true}
	r := newRig(t, platform(), func(_ *gateway.Config, l *Listener) { l.Files = &files })
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(a.pem)
	shows := func(a *authority, name string) *tls.Config {
		cert, key := a.leaf(name, 3)
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		return &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", Certificates: []tls.Certificate{pair}}
	}
	mine := shows(a, customer)
	c := r.dial(mine)
	if got := r.call(c, look("one")); got.Status != 200 {
		t.Errorf("got %+v", got)
	}
	other := look("two")
	other.Customer = "0000000000000007"
	if got := r.call(c, other); got.Status != 403 {
		t.Errorf("another customer's certificate: got %+v", got)
	}
	if got := r.call(r.dial(shows(a, "")), look("three")); got.Status != 403 {
		t.Errorf("a certificate without a name: got %+v", got)
	}
	for name, by := range map[string]*tls.Config{"none": {RootCAs: roots, ServerName: "127.0.0.1"}, "another authority's": shows(newAuthority(t), customer)} {
		c, err := stand.DialH2(r.front.Addr().String(), by)
		if err != nil {
			continue // turned away while it wrote
		}
		if a, err := c.Read(); err == nil {
			t.Errorf("certificate %s: got %+v", name, a)
		}
		c.Close()
	}
	serial := func() int64 {
		c := r.dial(mine)
		if err := c.Conn.(*tls.Conn).Handshake(); err != nil {
			t.Fatal(err)
		}
		return c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	next, nextKey := a.leaf("gateway", 9)
	put("cert.pem", next) // without its key yet
	if _, err := r.front.Reload(); err == nil || serial() != 2 {
		t.Errorf("a certificate without its key is taken: %v", err)
	}
	put("key.pem", nextKey)
	take, err := r.front.Reload()
	if err != nil {
		t.Fatal(err)
	}
	if take(); serial() != 9 {
		t.Error("the new certificate is not shown")
	}
	if got := r.call(c, look("four")); got.Status != 200 {
		t.Errorf("the connection from before: got %+v", got)
	}
}
