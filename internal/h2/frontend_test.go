package h2

import (
	"bytes"
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
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"sloepick/internal/gateway"
	"sloepick/internal/testbed"
)

// TestServedRequests checks that a request's values reach the node, and that the response has the value, the remaining quota and
// the cost.
func TestServedRequests(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	c := h.dial(nil)
	res := h.roundTrip(c, lookup("one"))
	if res.Status != 200 || string(res.Body) != testbed.ReplyValue("one") || res.Fields["content-length"] != strconv.Itoa(len(res.Body)) {
		t.Errorf("got %+v", res)
	}
	// The plan has a burst of 36 units and 0.01 units a second, and starts with half of the burst used (quota.InitialFill). With this
	// request 19 are used: 17 remain, and the bucket is empty after 19/0.01 s.
	for name, want := range map[string]string{"ratelimit": `"network";r=17;t=1900`, "ratelimit-policy": `"network";q=36;w=3600`, "sloepick-cost": "1"} {
		if res.Fields[name] != want {
			t.Errorf("%s: got %q, want %q", name, res.Fields[name], want)
		}
	}
	booking := lookup("two")
	booking.Path, booking.Key, booking.Body, booking.Units = "/v1/do/slot-book?x=y", `"k1"`, []byte("Tuesday 10:00"), "2"
	if res := h.roundTrip(c, booking); res.Status != 200 || res.Fields["sloepick-cost"] != "2" {
		t.Errorf("got %+v", res)
	}
	got := h.site.Recorder.Arrivals()
	if len(got) != 2 || got[1].Key != "k1" || got[1].Units != 2 || got[1].Customer != customer || got[1].Class != "slot-book" {
		t.Errorf("the nodes received %+v", got)
	}
}

// TestRejectedRequests checks that invalid requests reach no node, and that each response says that the request did not run.
func TestRejectedRequests(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	c := h.dial(nil)
	// The cases "with a list" would add parameters to the list that RESP2 nodes receive.
	for name, tc := range map[string]struct {
		change func(*testbed.H2Request)
		status int
		detail string
	}{
		"no customer":        {func(req *testbed.H2Request) { req.Customer = "" }, 400, "sloepick-customer is missing"},
		"no id":              {func(req *testbed.H2Request) { req.ID = "" }, 400, "sloepick-id is missing"},
		"no plan":            {func(req *testbed.H2Request) { req.Plan = "" }, 400, "sloepick-plan is missing"},
		"no patience":        {func(req *testbed.H2Request) { req.Patience = 0 }, 400, "sloepick-patience is missing"},
		"customer":           {func(req *testbed.H2Request) { req.Customer = "x" }, 400, "16 hex digits"},
		"plan with a list":   {func(req *testbed.H2Request) { req.Plan = "network,units=9" }, 400, "a comma"},
		"key with a list":    {func(req *testbed.H2Request) { req.Key = "a,k=b" }, 400, "a comma"},
		"class":              {func(req *testbed.H2Request) { req.Path = "/v1/ask/none" }, 400, "unknown class or plan"},
		"class with space":   {func(req *testbed.H2Request) { req.Path = "/v1/ask/slot lookup" }, 400, "a comma, a space"},
		"other command":      {func(req *testbed.H2Request) { req.Path = "/v1/ask/slot-book" }, 400, "the other of /v1/ask/ and /v1/do/"},
		"keyed, no key":      {func(req *testbed.H2Request) { req.Path = "/v1/do/slot-book" }, 400, "idempotency-key is missing"},
		"key with quotes":    {func(req *testbed.H2Request) { req.Key = `"a"b"` }, 400, "idempotency-key can't be used"},
		"patience, too long": {func(req *testbed.H2Request) { req.Patience = time.Minute }, 400, "sloepick-patience is out of range"},
		"units":              {func(req *testbed.H2Request) { req.Units = "1e3" }, 400, "sloepick-units can't be used"},
		"units, too many":    {func(req *testbed.H2Request) { req.Units = "999" }, 400, "units are out of range"},
		"set":                {func(req *testbed.H2Request) { req.Set = "x;1" }, 400, "sloepick-set can't be used"},
		"set, too many":      {func(req *testbed.H2Request) { req.Set = "9;0" }, 400, "the set is out of range"},
		"twice":              {func(req *testbed.H2Request) { req.ExtraFields = []string{"sloepick-id", "b"} }, 400, "sloepick-id comes twice"},
		"path":               {func(req *testbed.H2Request) { req.Path = "/v2/ask/slot-lookup" }, 404, "/v1/ask/CLASS"},
		"method":             {func(req *testbed.H2Request) { req.ExtraFields = []string{":method", "GET"} }, 0, ""}, // a second :method field is malformed: PROTOCOL_ERROR
		"body":               {func(req *testbed.H2Request) { req.Body = bytes.Repeat([]byte("x"), 64<<10+1) }, 413, "larger"},
		"fields": {func(req *testbed.H2Request) {
			req.ExtraFields = []string{"a", strings.Repeat("x", 7000), "b", strings.Repeat("x", 2000)}
		}, 431, "larger"},
	} {
		req := lookup("id")
		tc.change(&req)
		id := h.send(c, req)
		res := h.readResponse(c)
		switch {
		case tc.status == 0: // malformed: the stream is reset
			if !res.Reset || res.Code != http2.ErrCodeProtocol {
				t.Errorf("%s: got %+v", name, res)
			}
		case res.Stream != id || res.Status != tc.status || res.Fields["sloepick-ran"] != "never" || res.Fields["content-type"] != "application/problem+json" ||
			!strings.Contains(string(res.Body), tc.detail):
			t.Errorf("%s: got %+v with %s", name, res, res.Body)
		}
	}
	if got := h.site.Recorder.Arrivals(); len(got) > 0 {
		t.Errorf("the nodes received %+v", got)
	}
}

// TestQuotaExceeded checks that a request over the quota gets 429 with the time to retry, and sloepick-ran: never.
func TestQuotaExceeded(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	c := h.dial(nil)
	for i := range 18 { // half of the burst of 36 is available at the start (quota.InitialFill)
		if res := h.roundTrip(c, lookup(fmt.Sprint(i))); res.Status != 200 {
			t.Fatalf("request %d: got %+v", i, res)
		}
	}
	res := h.roundTrip(c, lookup("over"))
	if ms, err := strconv.Atoi(res.Fields["sloepick-after"]); res.Status != 429 || res.Fields["sloepick-ran"] != "never" || err != nil || ms < 1 || res.Fields["retry-after"] == "" {
		t.Errorf("got %+v", res)
	}
}

// TestResetAfterForwarding resets a stream after its request was forwarded to a node. Nothing more is sent on the stream, the
// quota is charged once, and the other streams of the connection continue.
func TestResetAfterForwarding(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	release := h.holdResponses()
	c := h.dial(nil)
	cancelled, kept := h.send(c, lookup("gone")), h.send(c, lookup("stays"))
	h.waitArrivals(2)
	if err := c.Framer.WriteRSTStream(cancelled, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	h.waitProcessed(c)
	release()
	res := h.readResponse(c)
	// Both requests are charged: 18+2 of 36 units are used, which take 20/0.01 s to leak.
	if res.Stream != kept || res.Status != 200 || res.Fields["ratelimit"] != `"network";r=16;t=2000` {
		t.Errorf("got %+v, want a response on stream %d", res, kept)
	}
	// One more unit: 21 of 36 are used.
	if res := h.roundTrip(c, lookup("after")); res.Status != 200 || res.Fields["ratelimit"] != `"network";r=15;t=2100` {
		t.Errorf("got %+v", res)
	}
}

// TestDuplicateIDAcrossProtocols sends a request by HTTP/2 with the id of an open RESP2 request. It is rejected, and the open one
// is still answered.
func TestDuplicateIDAcrossProtocols(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	release := h.holdResponses()
	respClient, err := testbed.Dial(h.respAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer respClient.Close()
	if err := respClient.Send("Q.ASK", customer, "same", "c=slot-lookup,t=network,d=20000"); err != nil {
		t.Fatal(err)
	}
	h.waitArrivals(1)
	c := h.dial(nil)
	if res := h.roundTrip(c, lookup("same")); res.Status != 409 {
		t.Errorf("got %+v", res)
	}
	release()
	if got, err := respClient.Read(); err != nil || got != "$"+testbed.ReplyValue("same") {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestIdempotencyKeyAcrossProtocols sends a booking by HTTP/2 and repeats it by RESP2 with the same key, before and after it was
// answered. It takes effect once, and each request is answered.
func TestIdempotencyKeyAcrossProtocols(t *testing.T) {
	p := testPlatform()
	h := newHarnessWithNodes(t, p, 1, nil) // one node, so that the repeat reaches the node of the first request
	release := h.holdResponses()
	c := h.dial(nil)
	req := lookup("first")
	req.Path, req.Key = "/v1/do/slot-book", `"same"`
	first := h.send(c, req)
	h.waitArrivals(1)
	respClient, err := testbed.Dial(h.respAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer respClient.Close()
	repeat := func(id string) {
		if err := respClient.Send("Q.DO", customer, id, "c=slot-book,t=network,d=20000,k=same"); err != nil {
			t.Fatal(err)
		}
	}
	repeat("second")
	h.waitArrivals(2)
	release()
	if res := h.readResponse(c); res.Stream != first || res.Status != 200 {
		t.Errorf("got %+v", res)
	}
	if got, err := respClient.Read(); err != nil || got != "$"+testbed.ReplyValue("second") {
		t.Errorf("got %q, %v", got, err)
	}
	repeat("third")
	if got, err := respClient.Read(); err != nil || got != "$"+testbed.ReplyValue("third") {
		t.Errorf("got %q, %v", got, err)
	}
	ran := 0
	for _, n := range h.site.Recorder.EffectCounts() {
		ran += n
	}
	if ran != 1 {
		t.Errorf("it took effect %d times", ran)
	}
}

// TestGracefulShutdown stops the gateway: it sends two GOAWAYs, answers the open request and the one that crossed the first
// GOAWAY, and closes the connection.
func TestGracefulShutdown(t *testing.T) {
	h := newHarness(t, testPlatform(), func(cfg *gateway.Config, _ *FrontendConfig) {
		cfg.Tuning.Shutdown.LateConnTimeout = 2 * time.Second // the test must send the crossing request within this time
	})
	release := h.holdResponses()
	c := h.dial(nil)
	open := h.send(c, lookup("open"))
	h.waitArrivals(1)
	h.stop()
	if res := h.readResponse(c); !res.GoAway || res.Code != http2.ErrCodeNo || res.LastStream != 1<<31-1 {
		t.Fatalf("got %+v", res)
	}
	crossed := h.send(c, lookup("crossed"))
	h.waitArrivals(2)
	if res := h.readResponse(c); !res.GoAway || res.LastStream != crossed {
		t.Fatalf("got %+v", res)
	}
	release()
	answered := map[uint32]int{}
	for range 2 {
		res := h.readResponse(c)
		answered[res.Stream] = res.Status
	}
	if answered[open] != 200 || answered[crossed] != 200 {
		t.Errorf("got %v", answered)
	}
	if _, err := c.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	c.Close()
	if err := <-h.done; err != nil {
		t.Error(err)
	}
	h.done <- nil // for the harness's shutdown
}

// TestClientGoAway checks that a client that sends GOAWAY still gets its open responses.
func TestClientGoAway(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	c := h.dial(nil)
	id := h.send(c, lookup("one"))
	if err := c.Framer.WriteGoAway(0, http2.ErrCodeNo, nil); err != nil {
		t.Fatal(err)
	}
	if res := h.readResponse(c); res.Stream != id || res.Status != 200 {
		t.Errorf("got %+v", res)
	}
}

// TestRapidReset runs a rapid reset attack (CVE-2023-44487) over sockets. The abusive client gets GOAWAY with
// ENHANCE_YOUR_CALM, and another client is served during and after the attack.
func TestRapidReset(t *testing.T) {
	h := newHarness(t, testPlatform(), nil)
	wellBehaved, abusive := h.dial(nil), h.dial(nil)
	goAway := make(chan *http2.GoAwayFrame, 1)
	go func() { // reads concurrently with the writer below
		for f := http2.NewFramer(nil, abusive.Conn); ; {
			x, err := f.ReadFrame()
			if frame, ok := x.(*http2.GoAwayFrame); ok || err != nil {
				goAway <- frame
				return
			}
		}
	}()
	for i := 0; ; i++ {
		req := lookup(fmt.Sprintf("abusive-%d", i))
		req.Customer = "0000000000000001" // not the well-behaved client's customer, whose quota these requests would use up
		id, err := abusive.Send(req)
		if err != nil || abusive.Framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // the gateway closed the connection
		}
		if i == 100 {
			if res := h.roundTrip(wellBehaved, lookup("good")); res.Status != 200 {
				t.Errorf("the well-behaved client got %+v", res)
			}
		}
		if i > 100000 {
			t.Fatal("the resets are not stopped")
		}
	}
	if res := <-goAway; res == nil || res.ErrCode != http2.ErrCodeEnhanceYourCalm {
		t.Errorf("the abusive client got %+v", res)
	}
	if res := h.roundTrip(wellBehaved, lookup("good-2")); res.Status != 200 {
		t.Errorf("the well-behaved client got %+v", res)
	}
}

var idle = flag.Int("idle", 1500, "number of idle connections in TestIdleConnections")

// TestIdleConnections opens far more idle connections than the gateway has descriptors. A client that sends requests is served,
// if need be after it connects again: the gateway closes idle connections to make room, the longest idle first. Their order is
// not checked here.
func TestIdleConnections(t *testing.T) {
	h := newHarness(t, testPlatform(), func(cfg *gateway.Config, _ *FrontendConfig) { cfg.Sockets = 256 })
	active := h.dial(nil)
	for i := range *idle {
		nc, err := net.Dial("tcp", h.frontend.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if i%100 != 0 {
			continue
		}
		req := lookup(fmt.Sprint("good-", i))
		req.Customer = fmt.Sprintf("%016x", i+1)
		if id, err := active.Send(req); err == nil {
			if res, err := active.Read(); err == nil && !res.GoAway && (res.Stream != id || res.Status != 200) {
				t.Fatalf("got %+v", res)
			} else if err == nil && !res.GoAway {
				continue
			}
		}
		active = h.dial(nil) // it got GOAWAY, or sending or reading failed: the gateway may have closed it as the longest idle one
	}
	if res := h.roundTrip(h.dial(nil), lookup("one")); res.Status != 200 {
		t.Errorf("got %+v", res)
	}
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
	signer := a.key
	if signer == nil {
		signer = private
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &private.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), private
}

// leaf issues a certificate with the given common name.
func (a *authority) leaf(name string, serial int64) (cert, key []byte) {
	cert, key, _ = a.sign(&x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	return cert, key
}

// TestTLS checks that TLS clients need a certificate of the configured authority and can send requests for their own customer
// only, and that the gateway's certificate can be replaced while it runs, but only by a matching pair of certificate and key.
func TestTLS(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	writeFile := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert, key := ca.leaf("gateway", 2)
	files := TLSFiles{Certificate: writeFile("cert.pem", cert), Key: writeFile("key.pem", key), ClientCAs: writeFile("clients.pem", ca.pem), BindCustomer: true}
	h := newHarness(t, testPlatform(), func(_ *gateway.Config, l *FrontendConfig) { l.TLS = &files })
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.pem)
	clientTLS := func(issuer *authority, name string) *tls.Config {
		cert, key := issuer.leaf(name, 3)
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		return &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", Certificates: []tls.Certificate{pair}}
	}
	ownCert := clientTLS(ca, customer)
	c := h.dial(ownCert)
	if got := h.roundTrip(c, lookup("one")); got.Status != 200 {
		t.Errorf("got %+v", got)
	}
	other := lookup("two")
	other.Customer = "0000000000000007"
	if got := h.roundTrip(c, other); got.Status != 403 {
		t.Errorf("another customer's certificate: got %+v", got)
	}
	if got := h.roundTrip(h.dial(clientTLS(ca, "")), lookup("three")); got.Status != 403 {
		t.Errorf("a certificate without a name: got %+v", got)
	}
	for name, tlsCfg := range map[string]*tls.Config{"none": {RootCAs: roots, ServerName: "127.0.0.1"}, "another authority's": clientTLS(newAuthority(t), customer)} {
		c, err := testbed.DialH2(h.frontend.Addr().String(), tlsCfg)
		if err != nil {
			continue // refused while the client wrote
		}
		if res, err := c.Read(); err == nil {
			t.Errorf("certificate %s: got %+v", name, res)
		}
		c.Close()
	}
	serial := func() int64 {
		c := h.dial(ownCert)
		if err := c.Conn.(*tls.Conn).Handshake(); err != nil {
			t.Fatal(err)
		}
		return c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	next, nextKey := ca.leaf("gateway", 9)
	writeFile("cert.pem", next) // without its key yet
	if _, err := h.frontend.Reload(); err == nil || serial() != 2 {
		t.Errorf("a certificate without its key was accepted: %v", err)
	}
	writeFile("key.pem", nextKey)
	apply, err := h.frontend.Reload()
	if err != nil {
		t.Fatal(err)
	}
	if apply(); serial() != 9 {
		t.Error("the new certificate is not presented")
	}
	if got := h.roundTrip(c, lookup("four")); got.Status != 200 {
		t.Errorf("a connection from before the reload: got %+v", got)
	}
}
