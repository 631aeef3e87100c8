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
		Doc: "A listener for clients that speak HTTP/2, beside RESP2's, which the platform's file names. Without one there is none.",
		Keys: []operator.Key{
			{Name: "address", Kind: operator.Text, Applied: operator.AtRestart, Doc: "Where it listens, as \"host:port\"."},
			{Name: "streams", Kind: operator.Count, Default: "100", Min: "1", Max: "1000", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
				Doc: "Requests open at once on a connection; more are refused by REFUSED_STREAM."},
		},
		Blocks: []*operator.Block{{
			Name: "tls", Doc: "The listener's identity. Without the block it is plain TCP, for clients with prior knowledge. The files are read again at each reload.",
			Keys: []operator.Key{
				{Name: "certificate", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A file of PEM: the certificate and those between it and its authority. Paths are relative to the file that names them."},
				{Name: "key", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A file of PEM: its key."},
				{Name: "clients", Kind: operator.Text, Optional: true, Applied: operator.AtRestart, Doc: "A file of PEM: authorities. Clients must show a certificate of theirs. Left out: none is asked for."},
				{Name: "bind", Kind: operator.Word, AllowedWords: []string{"none", "customer"}, Default: "none", Applied: operator.AtRestart,
					Doc: "customer: a client may ask only for the customer that is the common name of its certificate."},
				{Name: "handshake", Kind: operator.Duration, Default: "2s", Min: "100ms", Max: "1m", Strictness: operator.HigherIsLooser, Applied: operator.AtRestart,
					Doc: "Time for a TLS handshake."},
			},
		}},
	}
}

func checkListener(s *operator.Section) (out []operator.Problem) {
	if msg := badAddress(s.Text("address")); msg != "" {
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
		out = append(out, operator.Problem{Key: "tls.bind", Msg: "to bind clients to customers their certificates must be asked for: name clients"})
	}
	return out
}

// badAddress tells what is wrong with a host and a port; "": nothing.
func badAddress(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	n, e := strconv.ParseUint(port, 10, 16)
	switch {
	case err != nil || e != nil || net.ParseIP(host) == nil && host != "localhost":
		return fmt.Sprintf("%q is not an IP address and a port, as in \"127.0.0.1:8443\"", addr)
	case n == 0:
		return "the port must be told"
	}
	return ""
}

// Listeners reads the listeners of a checked configuration.
func Listeners(c *operator.Config) (all []h2.FrontendConfig) {
	for _, s := range c.Sections("listener") {
		l := h2.FrontendConfig{Name: s.Label, Address: s.Text("address"), MaxStreams: s.Count("streams")}
		if t := s.Section("tls"); t.Present() {
			l.HandshakeTimeout = t.Duration("handshake")
			l.TLS = &h2.TLSFiles{Certificate: beside(t, "certificate"), Key: beside(t, "key"), BindCustomer: t.Text("bind") == "customer"}
			if t.IsSet("clients") {
				l.TLS.ClientCAs = beside(t, "clients")
			}
		}
		all = append(all, l)
	}
	return all
}

// beside is a path as the file means it that names it.
func beside(s *operator.Section, key string) string {
	path := s.Text(key)
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.Pos(key).Src.Name), path)
}
