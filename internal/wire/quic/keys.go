// Package quic exchanges messages with peers over QUIC connections: each call on a
// stream of its own, probes in datagrams.
package quic

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// applicationProtocol is the ALPN identifier of the protocol between peers.
const applicationProtocol = "mimosaspring/1"

// developmentCertificateLifetime is how long a certificate that was made in memory
// stays valid.
const developmentCertificateLifetime = 30 * 24 * time.Hour

// TLSConfig returns the configuration for mutual TLS with the certificate, key and
// CA certificates in files. If files names no certificate, TLSConfig generates one
// in memory and the configuration verifies no peer; this is for development.
func TLSConfig(files settings.TLS) (*tls.Config, error) {
	if files.CertFile == "" {
		return developmentConfig()
	}
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	caCertificates, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "load CA certificates for peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caCertificates) {
		return nil, errors.Errorf("%s contains no valid certificate", files.CAFile)
	}
	config := baseConfig(certificate)
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// baseConfig returns the part of the configuration that does not depend on how
// peers are verified.
func baseConfig(certificate tls.Certificate) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		NextProtos:   []string{applicationProtocol},
		MinVersion:   tls.VersionTLS13,
		// The default adds a post-quantum key exchange, with which the first message
		// of a handshake takes a second packet, and the handshake nearly twice the bytes.
		CurvePreferences: []tls.CurveID{tls.X25519},
	}
}

// developmentConfig returns a configuration with a self-signed certificate that
// verifies no peer.
func developmentConfig() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate development key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "mimosaspring development"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(developmentCertificateLifetime),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "generate development certificate")
	}
	config := baseConfig(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key})
	config.InsecureSkipVerify = true
	config.ClientAuth = tls.RequireAnyClientCert
	return config, nil
}
