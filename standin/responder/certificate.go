package responder

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// certificateLifetime is the validity period of the self-signed certificate,
// which exists in memory only.
const certificateLifetime = 24 * time.Hour

// newCertificate returns a self-signed certificate with the target's name as common
// name and its availability zone as organizational unit.
func newCertificate(name, zone string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generating the key of the certificate")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{zone}},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
		DNSNames:     []string{name},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "creating the certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
