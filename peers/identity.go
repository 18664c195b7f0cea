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

// identity is the proof that a host belongs to the deployment. All hosts
// derive the same key from the deployment's secret and accept only
// certificates of that key, in both directions.
//
// It does not tell the hosts of a deployment apart, so that one host can speak
// for another, and the key cannot be replaced while hosts run. The secret has
// to be random: whoever connects gets to see the public key and can try
// secrets offline.
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

// tlsConfig returns the settings for both directions. The key is compared in
// place of a chain of certificates, which a self-signed one does not have.
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
		return fmt.Errorf("peer shows %d certificates", len(state.PeerCertificates))
	}
	ours, isKey := i.certificate.PrivateKey.(ed25519.PrivateKey)
	theirs, isTheirs := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !isKey || !isTheirs || !theirs.Equal(ours.Public()) {
		return errors.New("peer does not belong to this deployment")
	}
	return nil
}

// resetKey lets a restarted host tell its peers at once that it does not know
// their old connections.
func (i identity) resetKey(host model.HostName) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(deriveKey(i.secret, "reset "+string(host)))
	return &key
}
