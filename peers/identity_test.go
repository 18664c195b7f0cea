package peers

import (
	"crypto/tls"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that does not know the secret and still speaks to a
// host, in either direction.
func TestOnlyHostsOfTheDeploymentAreLetIn(t *testing.T) {
	ours, err := newIdentity("secret")
	assert.NilError(t, err)
	again, err := newIdentity("secret")
	assert.NilError(t, err)
	others, err := newIdentity("other secret")
	assert.NilError(t, err)
	unchecked, anonymous := others.tlsConfig(), others.tlsConfig()
	unchecked.VerifyConnection = nil
	anonymous.VerifyConnection, anonymous.Certificates = nil, nil
	cases := []struct {
		name           string
		client, server *tls.Config
		isLetIn        bool
	}{
		{"same secret", ours.tlsConfig(), again.tlsConfig(), true},
		{"client of other secret", unchecked, ours.tlsConfig(), false},
		{"client without certificate", anonymous, ours.tlsConfig(), false},
		{"server of other secret", ours.tlsConfig(), unchecked, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			near, far := net.Pipe()
			serverDone := make(chan error, 1)
			go func() {
				serverDone <- tls.Server(far, test.server).Handshake()
				_ = far.Close()
			}()
			client := tls.Client(near, test.client)
			err := client.Handshake()
			if err == nil {
				// In TLS 1.3 the client learns of a refusal from its first read.
				_, _ = client.Read(make([]byte, 1))
			}
			_ = near.Close()
			assert.Equal(t, err == nil && <-serverDone == nil, test.isLetIn)
		})
	}
}
