// Package issuer makes throw-away certificates for balancers, by an authority
// that lives only as long as the process.
//
// # Usage
//
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

// Lifetime is how long a certificate is valid unless its subject says otherwise.
const Lifetime = 24 * time.Hour

// Subject is who a certificate is for.
type Subject struct {
	Name    string
	Address netip.Addr
	// Expires is when the certificate ends; zero stands for Lifetime from now.
	Expires time.Time
}

// Authority issues the certificates of balancers.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an authority with a key of its own.
func New() (*Authority, error) {
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
	return &Authority{certificate: certificate, key: key}, errors.Wrap(err, "reading the authority's certificate")
}

func newTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-Lifetime),
		NotAfter:     time.Now().Add(Lifetime),
	}
}

// Write writes the certificate of the authority.
func (a *Authority) Write(path string) error {
	return writePEM(path, "CERTIFICATE", a.certificate.Raw, 0o644)
}

// Issue writes a certificate that serves as client and server, and its key.
func (a *Authority) Issue(who Subject, certificatePath, keyPath string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "making the key of %s", who.Name)
	}
	template := newTemplate(who.Name, time.Now().UnixNano())
	if !who.Expires.IsZero() {
		template.NotAfter = who.Expires
	}
	template.DNSNames = []string{who.Name}
	template.IPAddresses = []net.IP{who.Address.AsSlice()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return errors.Wrapf(err, "making the certificate of %s", who.Name)
	}
	if err := writePEM(certificatePath, "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrapf(err, "encoding the key of %s", who.Name)
	}
	return writePEM(keyPath, "PRIVATE KEY", encoded, 0o600)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrapf(os.WriteFile(path, data, mode), "writing %s", path)
}
