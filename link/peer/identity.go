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

// Identity is the key and certificate of this process. It is never stored; each start of the process creates a
// new one and publishes its fingerprint.
type Identity struct {
	name        string
	certificate tls.Certificate
	fingerprint string
}

// NewIdentity generates a key and a self-signed certificate for the entry with the given name.
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

// certificateTemplate sets a validity period that never matters: peers don't check it, because their clocks
// differ. A certificate is accepted as long as its fingerprint is known.
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

// Fingerprint returns the SHA-256 of the certificate in hex.
func (i *Identity) Fingerprint() string { return i.fingerprint }

func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// peerName returns the name of the remote entry, looked up by the fingerprint of its certificate.
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

// tlsConfig returns the configuration for both clients and servers. Chain verification is replaced by a
// fingerprint check, which runs in every handshake; without session tickets every connection does a full
// handshake.
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

// TLSConfig returns the configuration of either side of a connection that runs another protocol over QUIC.
func TLSConfig(id *Identity, trust Trust, protocol string) *tls.Config {
	config := tlsConfig(id, trust)
	config.NextProtos = []string{protocol}
	return config
}
