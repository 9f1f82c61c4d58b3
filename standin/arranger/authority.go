package arranger

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// certificateLifetime is how long the throw-away certificates are valid.
const certificateLifetime = 24 * time.Hour

// authority issues the certificates of balancers.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "making the authority's key")
	}
	template := newTemplate("trefoilspring demo authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "making the authority's certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{certificate: certificate, key: key}, errors.Wrap(err, "reading the authority's certificate")
}

func newTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
}

func (a *authority) write(path string) error {
	return writePEM(path, "CERTIFICATE", a.certificate.Raw, 0o644)
}

// issue writes a certificate that serves as client and server, and its key.
func (a *authority) issue(name string, address netip.Addr, certificatePath, keyPath string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "making the key of %s", name)
	}
	template := newTemplate(name, time.Now().UnixNano())
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{address.AsSlice()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return errors.Wrapf(err, "making the certificate of %s", name)
	}
	if err := writePEM(certificatePath, "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrapf(err, "encoding the key of %s", name)
	}
	return writePEM(keyPath, "PRIVATE KEY", encoded, 0o600)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(os.WriteFile(path, data, mode), "writing %s", path)
}
