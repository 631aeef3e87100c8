package h2

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"golang.org/x/net/http2"
)

// tlsConnBytes is what TLS holds for an idle connection at most: the buffer that the longest record was read into, which it keeps,
// ciphers and state.
const tlsConnBytes = 40 << 10

// TLSFiles names the PEM files of a listener's certificate and key, and how its clients are authenticated.
type TLSFiles struct {
	Certificate, Key string
	ClientCAs        string // certificate authorities of the certificates that clients must present; "": none is requested
	BindCustomer     bool   // the common name of a client's certificate is the only customer that it may send requests for
}

// identity is a listener's TLS configuration as the files had it when they were last read successfully.
type identity struct {
	files   TLSFiles
	current atomic.Pointer[tls.Config]
}

func newIdentity(f TLSFiles) (*identity, error) {
	c, err := f.load()
	if err != nil {
		return nil, err
	}
	i := &identity{files: f}
	i.current.Store(c)
	return i, nil
}

// config returns the configuration for a new connection. Open connections keep theirs.
func (i *identity) config() *tls.Config { return i.current.Load() }

// load reads the files into a TLS configuration.
func (f *TLSFiles) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, NextProtos: []string{http2.NextProtoTLS}, MinVersion: tls.VersionTLS12,
		CipherSuites: []uint16{ // for TLS 1.2: suites that RFC 9113, 9.2.2 does not prohibit
			tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256, tls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256,
			tls.TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384, tls.TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384,
			tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305_SHA256, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305_SHA256}}
	if f.ClientCAs != "" {
		pem, err := os.ReadFile(f.ClientCAs)
		if err != nil {
			return nil, fmt.Errorf("client certificate authorities: %w", err)
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !c.ClientCAs.AppendCertsFromPEM(pem) {
			return nil, errors.New("client certificate authorities: no certificate in " + f.ClientCAs)
		}
	}
	return c, nil
}

// customerFromCert returns the customer that a client's certificate names.
func customerFromCert(c *x509.Certificate) string { return c.Subject.CommonName }
