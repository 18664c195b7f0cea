package revise_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"filberthold/fakes"
	"filberthold/revise"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

func newStore(t testing.TB) (*fakes.Platform, *store.Client) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform)
	client := store.NewClient(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(func() { client.Close(); server.Close() })
	return platform, client
}

// Guards against two accepted successors of one revision, and against a
// conflict error that does not list the differences.
func TestOnlyOneOfConcurrentChangesIsAccepted(t *testing.T) {
	_, client := newStore(t)
	base, err := revise.Accept(t.Context(), client, 0, []byte("name = 'first'\n"))
	assert.NilError(t, err)
	const operators = 8
	ids, errs := make([]revise.RevisionID, operators), make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			body := fmt.Appendf(nil, "name = 'first'\n[[availabilityZones]]\nname = 'z'\nregion = 'r'\n"+
				"[[hosts]]\nname = 'h'\navailabilityZone = 'z'\ncallerAddress = '127.0.0.1:1'\npeerAddress = '127.0.0.1:2'\n"+
				"operatorAddress = '127.0.0.1:3'\nsite = 'site-%d'\n", i)
			ids[i], errs[i] = revise.Accept(t.Context(), client, base.Number(), body)
		})
	}
	group.Wait()
	acceptedCount := 0
	for i, err := range errs {
		var conflict *revise.ConflictError
		if err == nil {
			acceptedCount++
			continue
		}
		assert.Assert(t, errors.As(err, &conflict), "operator %d: %v", i, err)
		assert.Equal(t, len(conflict.Differences()), 1)
		assert.Equal(t, conflict.Differences()[0].Key(), "hosts[h].site")
		assert.Equal(t, conflict.Differences()[0].Ours(), fmt.Sprintf("site-%d", i))
	}
	assert.Equal(t, acceptedCount, 1, "%v", ids)
}

// Guards against an accepted body that no host can adopt.
func TestInvalidBodyIsRefused(t *testing.T) {
	platform, client := newStore(t)
	for _, body := range []string{"name = ", "unknownKey = 1\n", "[[hosts]]\nname = 'h'\navailabilityZone = 'absent'\n"} {
		_, err := revise.Accept(t.Context(), client, 0, []byte(body))
		assert.ErrorContains(t, err, "new configuration", body)
	}
	assert.Equal(t, platform.Writes(), 0)
}

// Guards against a lost response that is reported as a refusal or that makes a
// change take effect twice, even if another operator changes the head before it
// is read back.
func TestLostResponsesAreSettledByReadingBack(t *testing.T) {
	platform, client := newStore(t)
	for lost := range 3 {
		body := fmt.Appendf(nil, "name = 'lost-%d'\n", lost)
		writes := platform.Writes()
		platform.DropResponses(lost)
		id, err := revise.Accept(t.Context(), client, uint64(lost), body)
		assert.NilError(t, err)
		assert.Equal(t, id, revise.RevisionIDOf(uint64(lost)+1, body))
		assert.Equal(t, platform.Writes(), writes+2)
	}
	ours, theirs := []byte("name = 'mine'\n"), []byte("name = 'theirs'\n")
	overtakenStore := overtakenClient{Client: client, overtake: func() {
		_, err := revise.Accept(t.Context(), client, 4, theirs)
		assert.NilError(t, err)
	}}
	id, err := revise.Accept(t.Context(), overtakenStore, 3, ours)
	assert.NilError(t, err)
	assert.Equal(t, id, revise.RevisionIDOf(4, ours))
}

// overtakenClient loses the response to each commit and lets another operator
// change the head before Commit returns.
type overtakenClient struct {
	*store.Client
	overtake func()
}

func (o overtakenClient) Commit(ctx context.Context, writes ...store.Write) ([]uint64, error) {
	if _, err := o.Client.Commit(ctx, writes...); err != nil {
		return nil, err
	}
	o.overtake()
	return nil, errors.New("response lost")
}

// Guards against a body without an acceptance that blocks the next number for
// all operators. It is left by an operator's process that crashes after it has
// stored the body and before it changes the head.
func TestAbandonedBodyDoesNotBlockTheNextNumber(t *testing.T) {
	_, client := newStore(t)
	assert.NilError(t, client.PutObject(t.Context(), revise.ObjectName(1), []byte("name = 'abandoned'\n")))
	body := []byte("name = 'next'\n")
	id, err := revise.Accept(t.Context(), client, 0, body)
	assert.NilError(t, err)
	assert.Equal(t, id, revise.RevisionIDOf(2, body))
	stored, err := client.Object(t.Context(), revise.ObjectName(2))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(stored, body))
}
