package peers

import (
	"crypto/tls"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process without the secret that can connect to a host, or
// to which a host connects.
func TestConnectionWithoutTheSecretIsRejected(t *testing.T) {
	ours, err := newIdentity("secret")
	assert.NilError(t, err)
	sameSecret, err := newIdentity("secret")
	assert.NilError(t, err)
	otherSecret, err := newIdentity("other secret")
	assert.NilError(t, err)
	unchecked, anonymous := otherSecret.tlsConfig(), otherSecret.tlsConfig()
	unchecked.VerifyConnection = nil
	anonymous.VerifyConnection, anonymous.Certificates = nil, nil
	cases := []struct {
		name           string
		client, server *tls.Config
		isAccepted     bool
	}{
		{"same secret", ours.tlsConfig(), sameSecret.tlsConfig(), true},
		{"client with another secret", unchecked, ours.tlsConfig(), false},
		{"client without certificate", anonymous, ours.tlsConfig(), false},
		{"server with another secret", ours.tlsConfig(), unchecked, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			clientConn, serverConn := net.Pipe()
			serverDone := make(chan error, 1)
			go func() {
				serverDone <- tls.Server(serverConn, test.server).Handshake()
				_ = serverConn.Close()
			}()
			client := tls.Client(clientConn, test.client)
			err := client.Handshake()
			if err == nil {
				// In TLS 1.3 the client handshake succeeds even if the server
				// rejects its certificate; the first read then fails.
				_, _ = client.Read(make([]byte, 1))
			}
			_ = clientConn.Close()
			assert.Equal(t, err == nil && <-serverDone == nil, test.isAccepted)
		})
	}
}
