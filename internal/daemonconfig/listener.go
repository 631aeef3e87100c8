package daemonconfig

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"

	"sloepick/internal/h2"
	"sloepick/internal/operator"
)

// listenerBlock declares the block listener.
func listenerBlock() *operator.Block {
	return &operator.Block{
		Name: "listener", Labeled: true, Check: checkListener,
		Doc: "A listener for clients that speak HTTP/2, in addition to the RESP2 listener of the platform's file. Without the block there is none.",
		Keys: []operator.Key{
			{Name: "address", Kind: operator.Text, Applied: operator.AtRestart, Doc: "The address it listens on, as \"host:port\"."},
			{Name: "streams", Kind: operator.Count, Default: "100", Min: "1", Max: "1000", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "Concurrent requests on a connection; more are refused with REFUSED_STREAM."},
		},
		Blocks: []*operator.Block{{
			Name: "tls", Doc: "TLS with the listener's certificate. Without the block it is plain TCP, for clients with prior knowledge. The files are read again at each reload.",
			Keys: []operator.Key{
				{Name: "certificate", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A PEM file with the certificate and its intermediate certificates. Paths are relative to the file that contains the setting."},
				{Name: "key", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A PEM file with its private key."},
				{Name: "clients", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A PEM file with certificate authorities. Clients must present a certificate issued by one of them. Left out: no client certificate is requested."},
				{Name: "bind", Kind: operator.Word, AllowedWords: []string{"none", "customer"}, Default: "none", Applied: operator.AtRestart,
					Doc: "customer: a client may send requests only for the customer that is the common name of its certificate."},
				{Name: "handshake", Kind: operator.Duration, Default: "2s", Min: "100ms", Max: "1m", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
					Doc: "Time for a TLS handshake."},
			},
		}},
	}
}

func checkListener(s *operator.Section) (out []operator.Problem) {
	if msg := checkAddress(s.Text("address")); msg != "" {
		out = append(out, operator.Problem{Key: "address", Msg: msg})
	}
	t := s.Section("tls")
	if !t.Present() {
		return out
	}
	for _, key := range []string{"certificate", "key"} {
		if !t.IsSet(key) {
			out = append(out, operator.Problem{Key: "tls." + key, Msg: "tls needs a certificate and a key"})
		}
	}
	if t.Text("bind") == "customer" && !t.IsSet("clients") {
		out = append(out, operator.Problem{Key: "tls.bind", Msg: "binding clients to customers needs their certificates: set clients"})
	}
	return out
}

// checkAddress returns what is wrong with a host and port, or "".
func checkAddress(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	n, e := strconv.ParseUint(port, 10, 16)
	switch {
	case err != nil || e != nil || net.ParseIP(host) == nil && host != "localhost":
		return fmt.Sprintf("%q is not an IP address and a port, as in \"127.0.0.1:8443\"", addr)
	case n == 0:
		return "the port must not be 0"
	}
	return ""
}

// Listeners returns the configurations of the HTTP/2 listeners.
func Listeners(c *operator.Config) (all []h2.FrontendConfig) {
	for _, s := range c.Sections("listener") {
		l := h2.FrontendConfig{Name: s.Label, Address: s.Text("address"), MaxStreams: s.Count("streams")}
		if t := s.Section("tls"); t.Present() {
			l.HandshakeTimeout = t.Duration("handshake")
			l.TLS = &h2.TLSFiles{Certificate: resolvePath(t, "certificate"), Key: resolvePath(t, "key"), BindCustomer: t.Text("bind") == "customer"}
			if t.IsSet("clients") {
				l.TLS.ClientCAs = resolvePath(t, "clients")
			}
		}
		all = append(all, l)
	}
	return all
}

// resolvePath returns the path in a key, relative to the folder of the file that sets it.
func resolvePath(s *operator.Section, key string) string {
	path := s.Text(key)
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.Pos(key).Src.Name), path)
}
