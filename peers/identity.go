package peers

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"time"

	"filberthold/model"

	"github.com/quic-go/quic-go"
)

// protocolName is the ALPN name of the peer protocol.
const protocolName = "filberthold-peer/1"

// identity authenticates a host as part of the deployment. All hosts derive the
// same key from the deployment's secret. Clients and servers accept only
// certificates of that key.
//
// It does not distinguish the hosts of a deployment: a host can impersonate
// another one. The key cannot be replaced while hosts run. The secret has to be
// random, because a process that connects receives the public key and can then
// guess the secret offline.
type identity struct {
	secret      string
	certificate tls.Certificate
}

func newIdentity(secret string) (identity, error) {
	key := ed25519.NewKeyFromSeed(deriveKey(secret, "certificate"))
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return identity{}, fmt.Errorf("make certificate: %w", err)
	}
	return identity{secret: secret, certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

func deriveKey(secret, purpose string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("filberthold peers: " + purpose))
	return mac.Sum(nil)
}

// tlsConfig returns the settings for clients and servers. It compares the
// public key instead of verifying a certificate chain, because the certificates
// are self-signed.
func (i identity) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{i.certificate},
		NextProtos:             []string{protocolName},
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection:       i.verify,
	}
}

func (i identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return fmt.Errorf("peer presented %d certificates", len(state.PeerCertificates))
	}
	ours, isPrivateKey := i.certificate.PrivateKey.(ed25519.PrivateKey)
	theirs, isPublicKey := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !isPrivateKey || !isPublicKey || !theirs.Equal(ours.Public()) {
		return errors.New("peer does not belong to this deployment")
	}
	return nil
}

// resetKey returns the key for stateless resets. It is the same after a
// restart, so that peers close connections to the previous incarnation at once.
func (i identity) resetKey(host model.HostName) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(deriveKey(i.secret, "reset "+string(host)))
	return &key
}
