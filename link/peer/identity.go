package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// Identity is the key and certificate of this process. It lives as long as the process does: nothing
// is kept, and the next start publishes the fingerprint of a new one.
type Identity struct {
	name        string
	certificate tls.Certificate
	fingerprint string
}

// NewIdentity makes a key and a self-signed certificate for the entry name.
func NewIdentity(name string) (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "making a key")
	}
	template := certificateTemplate(name)
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "making a certificate")
	}
	return &Identity{
		name:        name,
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		fingerprint: fingerprintOf(der),
	}, nil
}

// Validity is not checked by peers, whose clocks differ: a fingerprint counts as long as it is known.
func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(1<<33, 0),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

// Name returns the entry's name.
func (i *Identity) Name() string { return i.name }

// Fingerprint returns the SHA-256 of the certificate, in hex.
func (i *Identity) Fingerprint() string { return i.fingerprint }

func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// peerName returns the name of the peer at the other end, by its certificate.
func peerName(state *tls.ConnectionState, trust Trust) (string, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return "", ErrUntrusted
	}
	name, ok := trust.Trusted(fingerprintOf(state.PeerCertificates[0].Raw))
	if !ok {
		return "", ErrUntrusted
	}
	return name, nil
}

// tlsConfig serves both sides. The library's check of a chain is replaced by the check of the
// fingerprint, which runs in each handshake; without tickets each connection has a full one.
func tlsConfig(id *Identity, trust Trust) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{id.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // the fingerprint is checked instead
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := peerName(&state, trust)
			return err
		},
	}
}

// TLSConfig returns the configuration of one side of a connection for an own protocol over QUIC.
func TLSConfig(id *Identity, trust Trust, protocol string) *tls.Config {
	config := tlsConfig(id, trust)
	config.NextProtos = []string{protocol}
	return config
}
