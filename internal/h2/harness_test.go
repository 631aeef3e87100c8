package h2

import (
	"context"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/resp"
	"sloepick/internal/testbed"
	"sloepick/internal/tuning"
)

const (
	testTimeout = 20 * time.Second // for events that must happen; no passing test waits this long
	customer    = "00000000b4d65521"
)

// harness runs a gateway in this process, with a RESP2 and an HTTP/2 listener, and a site of nodes.
type harness struct {
	t           testing.TB
	site        *testbed.Site
	respAddr    string
	frontend    *Frontend
	cfg         gateway.Config
	frontendCfg FrontendConfig
	stop        context.CancelFunc
	done        chan error
}

// testPlatform returns the small platform with quotas that practically don't refill during a test, without ceilings, and with
// long client timeouts.
func testPlatform() *testbed.Platform {
	p := testbed.SmallPlatform()
	for i := range p.Plans {
		p.Plans[i].Rate, p.Plans[i].Ceiling = 0.01, testbed.Ceiling{}
	}
	for i := range p.Classes {
		p.Classes[i].Patience, p.Classes[i].Work = testTimeout, time.Millisecond
	}
	p.Rules.Ceilings = nil
	return p
}

func newHarness(t *testing.T, p *testbed.Platform, change func(*gateway.Config, *FrontendConfig)) *harness {
	t.Helper()
	return newHarnessWithNodes(t, p, 2, change)
}

func newHarnessWithNodes(t testing.TB, p *testbed.Platform, nodes int, change func(*gateway.Config, *FrontendConfig)) *harness {
	t.Helper()
	r := &harness{t: t, done: make(chan error, 1)}
	var err error
	if r.site, err = testbed.NewSite(p, nodes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.site.Close)
	endpoints, err := testbed.AllocateEndpoints(1)
	if err != nil {
		t.Fatal(err)
	}
	text, err := p.GatewayConfig(0, endpoints, r.site.Discovery.Addr().String(), 1, r.site.ServerList())
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
	cfg.Tuning.Shutdown.AcceptPeriod, cfg.Tuning.Shutdown.LateConnTimeout, cfg.Tuning.Clients.ProtocolErrorTimeout = 50*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	frontendCfg := FrontendConfig{Name: "test", Address: "127.0.0.1:0", MaxStreams: 100, HandshakeTimeout: 5 * time.Second}
	if change != nil {
		change(&cfg, &frontendCfg)
	}
	r.cfg, r.frontendCfg, r.respAddr = cfg, frontendCfg, endpoints[0].Listen
	r.start()
	t.Cleanup(r.shutdown)
	return r
}

// start starts the gateway and waits until it accepts connections.
func (r *harness) start() {
	r.t.Helper()
	var err error
	if r.frontend, err = NewFrontend(r.frontendCfg); err != nil {
		r.t.Fatal(err)
	}
	r.cfg.Frontends, r.cfg.DefaultBackend = []gateway.Frontend{resp.NewFrontend(r.cfg.Listen), r.frontend}, resp.Backend{}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- gateway.Run(ctx, r.cfg, nil, slog.New(slog.DiscardHandler)) }()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		c, err := testbed.Dial(r.respAddr)
		if err == nil {
			c.Close()
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatal(err)
		}
	}
}

// shutdown stops the gateway as SIGTERM would and waits until it has ended.
func (r *harness) shutdown() {
	r.stop()
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Error(err)
		}
	case <-time.After(testTimeout):
		r.t.Error("the gateway does not stop")
	}
}

func (r *harness) dial(tlsCfg *tls.Config, settings ...http2.Setting) *testbed.H2Client {
	r.t.Helper()
	c, err := testbed.DialH2(r.frontend.Addr().String(), tlsCfg, settings...)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	if err := c.Conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		r.t.Fatal(err)
	}
	return c
}

func lookup(id string) testbed.H2Request {
	return testbed.H2Request{Path: "/v1/ask/slot-lookup", Customer: customer, Plan: "network", ID: id, Patience: testTimeout, Units: "1"}
}

func (r *harness) send(c *testbed.H2Client, req testbed.H2Request) uint32 {
	r.t.Helper()
	id, err := c.Send(req)
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

func (r *harness) readResponse(c *testbed.H2Client) *testbed.H2Response {
	r.t.Helper()
	a, err := c.Read()
	if err != nil {
		r.t.Fatal(err)
	}
	return a
}

func (r *harness) roundTrip(c *testbed.H2Client, req testbed.H2Request) *testbed.H2Response {
	r.t.Helper()
	id := r.send(c, req)
	a := r.readResponse(c)
	if a.Stream != id {
		r.t.Fatalf("request sent on stream %d, got %+v", id, a)
	}
	return a
}

// holdResponses keeps the nodes from responding until release is called.
func (r *harness) holdResponses() (release func()) {
	released := make(chan struct{})
	for _, n := range r.site.Nodes {
		n.SetExtraDelay(func(testbed.Arrival) time.Duration {
			select {
			case <-released:
			case <-time.After(testTimeout):
			}
			return 0
		})
	}
	return func() { close(released) }
}

// waitArrivals waits until n requests have arrived at the nodes.
func (r *harness) waitArrivals(n int) {
	r.t.Helper()
	for deadline := time.Now().Add(testTimeout); len(r.site.Recorder.Arrivals()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("only %d requests arrived at the nodes", len(r.site.Recorder.Arrivals()))
		}
	}
}

// waitProcessed waits, by a PING, until the gateway has processed everything sent on a connection. No response may be due on it.
func (r *harness) waitProcessed(c *testbed.H2Client) {
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

// authority signs certificates for the tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}
