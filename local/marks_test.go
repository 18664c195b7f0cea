package local_test

import (
	"bytes"
	"os"
	"testing"

	"filberthold/config"
	"filberthold/local"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// peerMarkLog is a log writer that gets an item for each log line about a leaving
// mark from a peer.
type peerMarkLog chan struct{}

func (w peerMarkLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("endpoint is leaving")) && bytes.Contains(line, []byte("source=peer")) {
		w <- struct{}{}
	}
	return len(line), nil
}

// Guards against hosts that still send requests to a leaving endpoint because they
// cannot read the host list that shows it as leaving.
func TestLeavingMarksReachHostsWithoutHostList(t *testing.T) {
	text, err := os.ReadFile("../deployments/guild/deployment.toml")
	assert.NilError(t, err)
	document, err := config.ParseDocument("guild", text)
	assert.NilError(t, err)
	marked := make(peerMarkLog, 16)
	cluster, err := local.Start(local.Options{Document: document, Hosts: 4, Log: marked})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, cluster.Close()) })
	assert.NilError(t, cluster.WaitReady(t.Context()))
	hosts := cluster.Deployment().Hosts()
	for _, host := range hosts[1:] {
		cluster.Platform().SetDownFor(string(host.Name()), true)
	}
	endpoint := cluster.Deployment().Endpoints()[0].Name()
	cluster.Platform().SetMember(store.Member{
		Name: string(endpoint), Kind: store.KindEndpoint, Incarnation: "1", State: store.Leaving,
	})
	for range hosts[1:] {
		<-marked
	}
}
