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

// protocolName is the application protocol that both sides negotiate by TLS ALPN.
const protocolName = "trefoilspring/1"

// reloadInterval is the minimum time between two checks for replaced certificate files.
const reloadInterval = 5 * time.Second

// IdentityFiles holds the paths of the PEM files of an Identity: the certificate, its
// private key, and the certificate authority that signs all balancers' certificates.
type IdentityFiles struct {
	Certificate string `json:"certificate" validate:"required"`
	Key         string `json:"key" validate:"required"`
	Authority   string `json:"authority" validate:"required"`
}

// Identity holds the certificate of this balancer and the certificate authority that
// all balancers trust. It reloads the files after they are replaced.
type Identity struct {
	files IdentityFiles

	mu            sync.Mutex
	checkedAt     time.Time
	loadedModTime time.Time
	certificate   *tls.Certificate
	authority     *x509.CertPool
}

// LoadIdentity reads the files. It returns an error if a file can't be read or holds no
// valid PEM, or if the key does not belong to the certificate.
func LoadIdentity(files IdentityFiles) (*Identity, error) {
	i := &Identity{files: files}
	if err := i.load(); err != nil {
		return nil, err
	}
	return i, nil
}

// load reads the files. If one of them is invalid, it keeps the loaded ones.
func (i *Identity) load() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrapf(err, "loading the certificate %s with its private key", i.files.Certificate)
	}
	pem, err := os.ReadFile(i.files.Authority)
	if err != nil {
		return errors.Wrapf(err, "loading the certificate authority %s", i.files.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("loading the certificate authority %s: the file holds no PEM certificate", i.files.Authority)
	}
	i.certificate = &certificate
	i.authority = pool
	i.loadedModTime = i.newestModTime()
	return nil
}

// newestModTime returns the latest modification time of the files that exist.
func (i *Identity) newestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{i.files.Certificate, i.files.Key, i.files.Authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and the certificate authority. At most once each
// reloadInterval it checks whether the files were replaced, and reloads them. If the
// new files are invalid, it goes on returning the earlier certificates.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checkedAt) > reloadInterval {
		i.checkedAt = time.Now()
		if i.newestModTime().After(i.loadedModTime) {
			_ = i.load()
		}
	}
	return i.certificate, i.authority
}

// serverConfig returns the TLS configuration for accepted connections. It calls
// onRefusal with the error for each client certificate that fails verification.
func (i *Identity) serverConfig(onRefusal func(error)) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := i.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocolName},
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAnyClientCert,
				// This verifies the client certificate instead of ClientCAs, which offers
				// no callback to count a refusal.
				VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
					err := verifyClient(raw, authority)
					if err != nil {
						onRefusal(err)
					}
					return err
				},
			}, nil
		},
	}
}

// verifyClient checks that the certificate authority issued the first certificate for
// client authentication. It rejects an expired certificate too.
func verifyClient(raw [][]byte, authority *x509.CertPool) error {
	if len(raw) == 0 {
		return errors.New("the peer sent no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return errors.Wrap(err, "parsing the peer's certificate")
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:     authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	return errors.Wrap(err, "verifying the peer's certificate")
}

// clientConfig returns the TLS configuration to dial the balancer name, whose
// certificate must hold that name.
func (i *Identity) clientConfig(name string) *tls.Config {
	certificate, authority := i.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		ServerName:   name,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      authority,
	}
}

// resetKey derives the key of QUIC stateless resets from the private key, so that it
// stays the same over a restart. When a restarted balancer receives packets of a
// connection from before the restart, its stateless reset ends that connection at once.
// resetKey returns nil if no key can be derived.
func (i *Identity) resetKey() *quic.StatelessResetKey {
	i.mu.Lock()
	defer i.mu.Unlock()
	secret, err := x509.MarshalPKCS8PrivateKey(i.certificate.PrivateKey)
	if err != nil {
		return nil // Connections from before a restart then end at their idle timeout.
	}
	derived, err := hkdf.Key(sha256.New, secret, nil, "stateless reset", len(quic.StatelessResetKey{}))
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(derived)
	return &key
}
