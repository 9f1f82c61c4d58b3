// Package issuer makes temporary certificates for balancers in tests and demos. The
// private key of its certificate authority is kept in memory only.
//
// # Usage
//
//	address := netip.MustParseAddr("127.0.0.1")
//	a, err := issuer.New()
//	err = a.Write("authority.pem")
//	err = a.Issue(issuer.Subject{Name: "lb-1", Address: address}, "lb-1.pem", "lb-1.key")
package issuer

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

// Lifetime is how long a certificate is valid, unless Subject.Expires is set.
const Lifetime = 24 * time.Hour

// Subject describes the balancer that a certificate is issued to.
type Subject struct {
	// Name is the common name and the DNS name in the certificate.
	Name string
	// Address is the IP address in the certificate.
	Address netip.Addr
	// Expires is when the certificate expires; zero stands for Lifetime from now.
	Expires time.Time
}

// Authority is a certificate authority that issues the certificates of balancers.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an Authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generating the key of the certificate authority")
	}
	template := newTemplate("trefoilspring demo authority", 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "creating the certificate of the certificate authority")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, errors.Wrap(err, "parsing the certificate of the certificate authority")
}

// newTemplate returns a certificate to be signed. It is valid from Lifetime ago to
// Lifetime from now.
func newTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-Lifetime),
		NotAfter:     time.Now().Add(Lifetime),
	}
}

// Write writes the certificate of the authority to a PEM file at path.
func (a *Authority) Write(path string) error {
	return writePEM(path, "CERTIFICATE", a.certificate.Raw, 0o644)
}

// Issue generates a key and a certificate for a subject, and writes them to PEM
// files. The certificate is valid for TLS clients and TLS servers; only the owner of
// the key file can read it.
func (a *Authority) Issue(subject Subject, certificatePath, keyPath string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "generating the key of %s", subject.Name)
	}
	template := newTemplate(subject.Name, time.Now().UnixNano())
	if !subject.Expires.IsZero() {
		template.NotAfter = subject.Expires
	}
	template.DNSNames = []string{subject.Name}
	template.IPAddresses = []net.IP{subject.Address.AsSlice()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return errors.Wrapf(err, "creating the certificate of %s", subject.Name)
	}
	if err := writePEM(certificatePath, "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrapf(err, "encoding the key of %s", subject.Name)
	}
	return writePEM(keyPath, "PRIVATE KEY", encoded, 0o600)
}

// writePEM writes one PEM block of the given type to path.
func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(os.WriteFile(path, data, mode), "writing %s", path)
}
