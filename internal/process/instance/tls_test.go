package instance_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mimosaspring/mimosaspring/internal/standin/trial"
	"github.com/mimosaspring/mimosaspring/internal/state/api"
	"github.com/mimosaspring/mimosaspring/internal/state/settings"
)

// authority is a certificate authority for the instances of a test. It writes its
// files to folder.
type authority struct {
	t           *testing.T
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// newAuthority creates an authority with a self-signed certificate and writes the
// certificate to fleet.pem.
func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	authority := &authority{t: t, folder: t.TempDir(), key: key, certificate: certificate}
	authority.writePEM("fleet.pem", "CERTIFICATE", der)
	return authority
}

// writePEM writes der as a PEM file and returns the file's path.
func (authority *authority) writePEM(name, kind string, der []byte) string {
	path := filepath.Join(authority.folder, name)
	assert.NilError(authority.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue creates a certificate for 127.0.0.1 that is signed by the authority, and
// returns the TLS settings that use it.
func (authority *authority) issue(name string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(authority.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	assert.NilError(authority.t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(authority.t, err)
	return settings.TLS{
		CertFile: authority.writePEM(name+".pem", "CERTIFICATE", der),
		KeyFile:  authority.writePEM(name+".key", "PRIVATE KEY", encoded),
		CAFile:   filepath.Join(authority.folder, "fleet.pem"),
	}
}

// TestMutualTLS starts instances with certificates of the same authority, and one
// instance with a certificate of another authority. It checks that neither side
// accepts the other as a member.
func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newAuthority(t, "fleet"), newAuthority(t, "stranger")
	runningTrial := startTrial(t, trial.Options{
		InstanceCount: 3,
		ChangeSettings: func(settings *settings.Settings) {
			settings.TLS = trusted.issue(settings.Name)
			if settings.Name == "stranger" {
				settings.TLS = untrusted.issue(settings.Name)
			}
		},
	})
	assert.Equal(t, countState(runningTrial.Instances[0], api.MemberAlive), 3)
	untrustedInstance, err := runningTrial.StartUnlisted("stranger")
	assert.NilError(t, err)
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(untrustedInstance.View().Members), 1, "the untrusted instance knows other members")
	for _, runningInstance := range runningTrial.Instances[:3] {
		_, isKnown := runningInstance.View().Members["stranger"]
		assert.Assert(t, !isKnown, "the untrusted instance is known as a member")
	}
}
