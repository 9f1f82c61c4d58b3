package peer

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// protocolName is offered in the TLS handshake.
const protocolName = "trefoilspring/1"

// reloadInterval is how often the files of an Identity are looked at again.
const reloadInterval = 5 * time.Second

// Files names the PEM files of an Identity.
type Files struct {
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	Authority   string `json:"authority" validate:"required"`
}

// Identity holds the certificate of this balancer and the authority that all
// balancers trust. The files are read again when they are replaced.
type Identity struct {
	files Files

	mu        sync.Mutex
	checked   time.Time
	stamp     time.Time
	own       *tls.Certificate
	authority *x509.CertPool
}

// LoadIdentity reads the files; each must hold valid PEM.
func LoadIdentity(files Files) (*Identity, error) {
	i := &Identity{files: files}
	if err := i.load(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Identity) load() error {
	own, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrapf(err, "loading the certificate %s", i.files.Certificate)
	}
	pem, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return errors.Wrapf(err, "loading the authority %s", i.files.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("loading the authority %s: no certificate in it", i.files.Authority)
	}
	i.own = &own
	i.authority = pool
	i.stamp = i.changed()
	return nil
}

// changed returns when the newest of the files was replaced.
func (i *Identity) changed() time.Time {
	var newest time.Time
	for _, path := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and authority, read again if they changed.
// While the files don't load, the earlier ones stay.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checked) > reloadInterval {
		i.checked = time.Now()
		if i.changed().After(i.stamp) {
			_ = i.load()
		}
	}
	return i.own, i.authority
}

func (i *Identity) server(refused func(error)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			own, authority := i.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocolName},
				Certificates: []tls.Certificate{*own},
				ClientAuth:   tls.RequireAnyClientCert,
				// Verified here rather than by ClientCAs, so that a refusal is counted.
				VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
					err := verifyClient(raw, authority)
					if err != nil {
						refused(err)
					}
					return err
				},
			}, nil
		},
	}
}

func verifyClient(raw [][]byte, authority *x509.CertPool) error {
	if len(raw) == 0 {
		return errors.New("the peer showed no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "reading the peer's certificate")
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:     authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return errors.Wrap(err, "verifying the peer's certificate")
}

func (i *Identity) client(name string) *tls.Config {
	own, authority := i.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		ServerName:   name,
		Certificates: []tls.Certificate{*own},
		RootCAs:      authority,
	}
}

// resetKey returns a key that is the same after a start with the same private key:
// connections of an earlier start end at once when this one gets their packets.
func (i *Identity) resetKey() *quic.StatelessResetKey {
	i.mu.Lock()
	defer i.mu.Unlock()
	secret, err := x509.MarshalPKCS8PrivateKey(i.own.PrivateKey)
	if err != nil {
		return nil // Earlier connections then end when they idle out.
	}
	derived, err := hkdf.Key(sha256.New, secret, nil, "stateless reset", len(quic.StatelessResetKey{}))
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(derived)
	return &key
}
