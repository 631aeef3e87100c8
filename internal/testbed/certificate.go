package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// CertificateFiles are the PEM files of a certificate and its key.
type CertificateFiles struct{ Certificate, Key string }

// WriteSelfSignedCertificate creates a certificate for 127.0.0.1, good for an hour, in files in a directory.
func WriteSelfSignedCertificate(dir string) (f CertificateFiles, err error) {
	f = CertificateFiles{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, fmt.Errorf("generating a key: %w", err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return f, fmt.Errorf("creating a certificate: %w", err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, fmt.Errorf("encoding a key: %w", err)
	}
	if err := writePEM(f.Certificate, "CERTIFICATE", certificate); err != nil {
		return f, err
	}
	return f, writePEM(f.Key, "EC PRIVATE KEY", encodedKey)
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
