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
	r := newHarness(t, testPlatform(), nil)
	c := r.dial(nil)
	a := r.roundTrip(c, lookup("one"))
	if a.Status != 200 || string(a.Body) != testbed.ReplyValue("one") || a.Fields["content-length"] != strconv.Itoa(len(a.Body)) {
		t.Errorf("got %+v", a)
	}
	for name, want := range map[string]string{"ratelimit": `"network";r=17;t=1900`, "ratelimit-policy": `"network";q=36;w=3600`, "sloepick-cost": "1"} {
		if a.Fields[name] != want {
			t.Errorf("%s: got %q, want %q", name, a.Fields[name], want)
		}
	}
	booking := lookup("two")
	booking.Path, booking.Key, booking.Body, booking.Units = "/v1/do/slot-book?x=y", `"k1"`, []byte("Tuesday 10:00"), "2"
	if a := r.roundTrip(c, booking); a.Status != 200 || a.Fields["sloepick-cost"] != "2" {
		t.Errorf("got %+v", a)
	}
	got := r.site.Recorder.Arrivals()
	if len(got) != 2 || got[1].Key != "k1" || got[1].Units != 2 || got[1].Customer != customer || got[1].Class != "slot-book" {
		t.Errorf("the nodes received %+v", got)
	}
}

// TestRejectedRequests checks that invalid requests reach no node, and that each response says that the request did not run.
func TestRejectedRequests(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	c := r.dial(nil)
	for name, tc := range map[string]struct {
		change func(*testbed.H2Request)
		status int
		detail string
	}{
		"no customer":        {func(q *testbed.H2Request) { q.Customer = "" }, 400, "sloepick-customer is missing"},
		"no id":              {func(q *testbed.H2Request) { q.ID = "" }, 400, "sloepick-id is missing"},
		"no plan":            {func(q *testbed.H2Request) { q.Plan = "" }, 400, "sloepick-plan is missing"},
		"no patience":        {func(q *testbed.H2Request) { q.Patience = 0 }, 400, "sloepick-patience is missing"},
		"customer":           {func(q *testbed.H2Request) { q.Customer = "x" }, 400, "16 hex digits"},
		"plan with a list":   {func(q *testbed.H2Request) { q.Plan = "network,units=9" }, 400, "a comma"},
		"key with a list":    {func(q *testbed.H2Request) { q.Key = "a,k=b" }, 400, "a comma"},
		"class":              {func(q *testbed.H2Request) { q.Path = "/v1/ask/none" }, 400, "unknown class or plan"},
		"class with space":   {func(q *testbed.H2Request) { q.Path = "/v1/ask/slot lookup" }, 400, "a comma, a space"},
		"other command":      {func(q *testbed.H2Request) { q.Path = "/v1/ask/slot-book" }, 400, "the other of /v1/ask/ and /v1/do/"},
		"keyed, no key":      {func(q *testbed.H2Request) { q.Path = "/v1/do/slot-book" }, 400, "idempotency-key is missing"},
		"key with quotes":    {func(q *testbed.H2Request) { q.Key = `"a"b"` }, 400, "idempotency-key can't be used"},
		"patience, too long": {func(q *testbed.H2Request) { q.Patience = time.Minute }, 400, "sloepick-patience is out of range"},
		"units":              {func(q *testbed.H2Request) { q.Units = "1e3" }, 400, "sloepick-units can't be used"},
		"units, too many":    {func(q *testbed.H2Request) { q.Units = "999" }, 400, "units are out of range"},
		"set":                {func(q *testbed.H2Request) { q.Set = "x;1" }, 400, "sloepick-set can't be used"},
		"set, too many":      {func(q *testbed.H2Request) { q.Set = "9;0" }, 400, "the set is out of range"},
		"twice":              {func(q *testbed.H2Request) { q.ExtraFields = []string{"sloepick-id", "b"} }, 400, "sloepick-id comes twice"},
		"path":               {func(q *testbed.H2Request) { q.Path = "/v2/ask/slot-lookup" }, 404, "/v1/ask/CLASS"},
		"method":             {func(q *testbed.H2Request) { q.ExtraFields = []string{":method", "GET"} }, 0, ""},
		"body":               {func(q *testbed.H2Request) { q.Body = bytes.Repeat([]byte("x"), 64<<10+1) }, 413, "larger"},
		"fields": {func(q *testbed.H2Request) {
			q.ExtraFields = []string{"a", strings.Repeat("x", 7000), "b", strings.Repeat("x", 2000)}
		}, 431, "larger"},
	} {
		q := lookup("id")
		tc.change(&q)
		id := r.send(c, q)
		a := r.readResponse(c)
		switch {
		case tc.status == 0: // malformed: the stream is reset
			if !a.Reset || a.Code != http2.ErrCodeProtocol {
				t.Errorf("%s: got %+v", name, a)
			}
		case a.Stream != id || a.Status != tc.status || a.Fields["sloepick-ran"] != "never" || a.Fields["content-type"] != "application/problem+json" ||
			!strings.Contains(string(a.Body), tc.detail):
			t.Errorf("%s: got %+v with %s", name, a, a.Body)
		}
	}
	if got := r.site.Recorder.Arrivals(); len(got) > 0 {
		t.Errorf("the nodes received %+v", got)
	}
}

// TestQuotaExceeded checks that a request over the quota gets 429 with the time to retry, and that it did not run.
func TestQuotaExceeded(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	c := r.dial(nil)
	for i := range 18 { // half of the burst is available at the start
		if a := r.roundTrip(c, lookup(fmt.Sprint(i))); a.Status != 200 {
			t.Fatalf("request %d: got %+v", i, a)
		}
	}
	a := r.roundTrip(c, lookup("over"))
	if ms, err := strconv.Atoi(a.Fields["sloepick-after"]); a.Status != 429 || a.Fields["sloepick-ran"] != "never" || err != nil || ms < 1 || a.Fields["retry-after"] == "" {
		t.Errorf("got %+v", a)
	}
}

// TestResetAfterForwarding resets a stream after its request was forwarded to a node. Nothing more is sent on the stream, the
// quota is charged once, and the other streams of the connection continue.
func TestResetAfterForwarding(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	release := r.holdResponses()
	c := r.dial(nil)
	cancelled, kept := r.send(c, lookup("gone")), r.send(c, lookup("stays"))
	r.waitArrivals(2)
	if err := c.Framer.WriteRSTStream(cancelled, http2.ErrCodeCancel); err != nil {
		t.Fatal(err)
	}
	r.waitProcessed(c)
	release()
	a := r.readResponse(c)
	if a.Stream != kept || a.Status != 200 || a.Fields["ratelimit"] != `"network";r=16;t=2000` {
		t.Errorf("got %+v, want a response on stream %d", a, kept)
	}
	if a := r.roundTrip(c, lookup("after")); a.Status != 200 || a.Fields["ratelimit"] != `"network";r=15;t=2100` {
		t.Errorf("got %+v", a)
	}
}

// TestDuplicateIDAcrossProtocols sends a request by HTTP/2 with the id of an open RESP2 request. It is rejected, and the open one
// is still answered.
func TestDuplicateIDAcrossProtocols(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	release := r.holdResponses()
	respClient, err := testbed.Dial(r.respAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer respClient.Close()
	if err := respClient.Send("Q.ASK", customer, "same", "c=slot-lookup,t=network,d=20000"); err != nil {
		t.Fatal(err)
	}
	r.waitArrivals(1)
	c := r.dial(nil)
	if a := r.roundTrip(c, lookup("same")); a.Status != 409 {
		t.Errorf("got %+v", a)
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
	r := newHarnessWithNodes(t, p, 1, nil) // one node, so that the repeat reaches the node of the first request
	release := r.holdResponses()
	c := r.dial(nil)
	q := lookup("first")
	q.Path, q.Key = "/v1/do/slot-book", `"same"`
	first := r.send(c, q)
	r.waitArrivals(1)
	respClient, err := testbed.Dial(r.respAddr)
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
	r.waitArrivals(2)
	release()
	if a := r.readResponse(c); a.Stream != first || a.Status != 200 {
		t.Errorf("got %+v", a)
	}
	if got, err := respClient.Read(); err != nil || got != "$"+testbed.ReplyValue("second") {
		t.Errorf("got %q, %v", got, err)
	}
	repeat("third")
	if got, err := respClient.Read(); err != nil || got != "$"+testbed.ReplyValue("third") {
		t.Errorf("got %q, %v", got, err)
	}
	ran := 0
	for _, n := range r.site.Recorder.EffectCounts() {
		ran += n
	}
	if ran != 1 {
		t.Errorf("it took effect %d times", ran)
	}
}

// TestGracefulShutdown stops the gateway: it sends two GOAWAYs, answers the open request and the one that crossed the first
// GOAWAY, and closes the connection.
func TestGracefulShutdown(t *testing.T) {
	r := newHarness(t, testPlatform(), func(cfg *gateway.Config, _ *FrontendConfig) {
		cfg.Tuning.Shutdown.LateConnTimeout = 2 * time.Second // the test must send the crossing request within this time
	})
	release := r.holdResponses()
	c := r.dial(nil)
	open := r.send(c, lookup("open"))
	r.waitArrivals(1)
	r.stop()
	if a := r.readResponse(c); !a.GoAway || a.Code != http2.ErrCodeNo || a.LastStream != 1<<31-1 {
		t.Fatalf("got %+v", a)
	}
	crossed := r.send(c, lookup("crossed"))
	r.waitArrivals(2)
	if a := r.readResponse(c); !a.GoAway || a.LastStream != crossed {
		t.Fatalf("got %+v", a)
	}
	release()
	answered := map[uint32]int{}
	for range 2 {
		a := r.readResponse(c)
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
	r.done <- nil // for the harness's shutdown
}

// TestClientGoAway checks that a client that sends GOAWAY still gets its open responses.
func TestClientGoAway(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	c := r.dial(nil)
	id := r.send(c, lookup("one"))
	if err := c.Framer.WriteGoAway(0, http2.ErrCodeNo, nil); err != nil {
		t.Fatal(err)
	}
	if a := r.readResponse(c); a.Stream != id || a.Status != 200 {
		t.Errorf("got %+v", a)
	}
}

// TestRapidReset runs a rapid reset attack (CVE-2023-44487) over sockets. The abusive client gets GOAWAY with
// ENHANCE_YOUR_CALM, and another client is served during and after the attack.
func TestRapidReset(t *testing.T) {
	r := newHarness(t, testPlatform(), nil)
	wellBehaved, abusive := r.dial(nil), r.dial(nil)
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
		q := lookup(fmt.Sprintf("abusive-%d", i))
		q.Customer = "0000000000000001"
		id, err := abusive.Send(q)
		if err != nil || abusive.Framer.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
			break // the gateway closed the connection
		}
		if i == 100 {
			if a := r.roundTrip(wellBehaved, lookup("good")); a.Status != 200 {
				t.Errorf("the well-behaved client got %+v", a)
			}
		}
		if i > 100000 {
			t.Fatal("the resets are not stopped")
		}
	}
	if a := <-goAway; a == nil || a.ErrCode != http2.ErrCodeEnhanceYourCalm {
		t.Errorf("the abusive client got %+v", a)
	}
	if a := r.roundTrip(wellBehaved, lookup("good-2")); a.Status != 200 {
		t.Errorf("the well-behaved client got %+v", a)
	}
}

var idle = flag.Int("idle", 1500, "number of idle connections in TestIdleConnections; 10000 in its long form")

// TestIdleConnections opens far more idle connections than the gateway has descriptors. The longest idle ones are closed, and a
// client that sends requests is served.
func TestIdleConnections(t *testing.T) {
	r := newHarness(t, testPlatform(), func(cfg *gateway.Config, _ *FrontendConfig) { cfg.Sockets = 256 })
	active := r.dial(nil)
	for i := range *idle {
		nc, err := net.Dial("tcp", r.frontend.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if i%100 != 0 {
			continue
		}
		q := lookup(fmt.Sprint("good-", i))
		q.Customer = fmt.Sprintf("%016x", i+1)
		if id, err := active.Send(q); err == nil {
			if a, err := active.Read(); err == nil && !a.GoAway && (a.Stream != id || a.Status != 200) {
				t.Fatalf("got %+v", a)
			} else if err == nil && !a.GoAway {
				continue
			}
		}
		active = r.dial(nil) // it was idle for longest and got GOAWAY
	}
	if a := r.roundTrip(r.dial(nil), lookup("one")); a.Status != 200 {
		t.Errorf("got %+v", a)
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
	a, dir := newAuthority(t), t.TempDir()
	writeFile := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert, key := a.leaf("gateway", 2)
	files := TLSFiles{Certificate: writeFile("cert.pem", cert), Key: writeFile("key.pem", key), ClientCAs: writeFile("clients.pem", a.pem), BindCustomer: true}
	r := newHarness(t, testPlatform(), func(_ *gateway.Config, l *FrontendConfig) { l.TLS = &files })
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(a.pem)
	clientTLS := func(a *authority, name string) *tls.Config {
		cert, key := a.leaf(name, 3)
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		return &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", Certificates: []tls.Certificate{pair}}
	}
	ownCert := clientTLS(a, customer)
	c := r.dial(ownCert)
	if got := r.roundTrip(c, lookup("one")); got.Status != 200 {
		t.Errorf("got %+v", got)
	}
	other := lookup("two")
	other.Customer = "0000000000000007"
	if got := r.roundTrip(c, other); got.Status != 403 {
		t.Errorf("another customer's certificate: got %+v", got)
	}
	if got := r.roundTrip(r.dial(clientTLS(a, "")), lookup("three")); got.Status != 403 {
		t.Errorf("a certificate without a name: got %+v", got)
	}
	for name, tlsCfg := range map[string]*tls.Config{"none": {RootCAs: roots, ServerName: "127.0.0.1"}, "another authority's": clientTLS(newAuthority(t), customer)} {
		c, err := testbed.DialH2(r.frontend.Addr().String(), tlsCfg)
		if err != nil {
			continue // refused while the client wrote
		}
		if a, err := c.Read(); err == nil {
			t.Errorf("certificate %s: got %+v", name, a)
		}
		c.Close()
	}
	serial := func() int64 {
		c := r.dial(ownCert)
		if err := c.Conn.(*tls.Conn).Handshake(); err != nil {
			t.Fatal(err)
		}
		return c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	next, nextKey := a.leaf("gateway", 9)
	writeFile("cert.pem", next) // without its key yet
	if _, err := r.frontend.Reload(); err == nil || serial() != 2 {
		t.Errorf("a certificate without its key was accepted: %v", err)
	}
	writeFile("key.pem", nextKey)
	apply, err := r.frontend.Reload()
	if err != nil {
		t.Fatal(err)
	}
	if apply(); serial() != 9 {
		t.Error("the new certificate is not presented")
	}
	if got := r.roundTrip(c, lookup("four")); got.Status != 200 {
		t.Errorf("a connection from before the reload: got %+v", got)
	}
}
