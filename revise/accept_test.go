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

// Guards against two accepted successors of one revision, and against a loser
// that is not told what differs.
func TestRacingOperators(t *testing.T) {
	_, client := newStore(t)
	base, err := revise.Accept(t.Context(), client, 0, []byte("name = 'first'\n"))
	assert.NilError(t, err)
	const operators = 8
	heads, errs := make([]revise.RevisionID, operators), make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			body := fmt.Appendf(nil, "name = 'first'\n[[availabilityZones]]\nname = 'z'\nregion = 'r'\n"+
				"[[hosts]]\nname = 'h'\navailabilityZone = 'z'\ncallerAddress = '127.0.0.1:1'\npeerAddress = '127.0.0.1:2'\n"+
				"operatorAddress = '127.0.0.1:3'\nsite = 'site-%d'\n", i)
			heads[i], errs[i] = revise.Accept(t.Context(), client, base.Number(), body)
		})
	}
	group.Wait()
	winners := 0
	for i, err := range errs {
		var conflict *revise.ConflictError
		if err == nil {
			winners++
			continue
		}
		assert.Assert(t, errors.As(err, &conflict), "operator %d: %v", i, err)
		assert.Equal(t, len(conflict.Differences()), 1)
		assert.Equal(t, conflict.Differences()[0].Key(), "hosts[h].site")
		assert.Equal(t, conflict.Differences()[0].Ours(), fmt.Sprintf("site-%d", i))
	}
	assert.Equal(t, winners, 1, "%v", heads)
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

// Guards against a lost answer that is reported as a refusal, or that makes a
// change take effect twice; also when the next operator is faster than the
// read-back.
func TestLostAnswersAreSettled(t *testing.T) {
	platform, client := newStore(t)
	for lost := range 3 {
		body := fmt.Appendf(nil, "name = 'lost-%d'\n", lost)
		writes := platform.Writes()
		platform.DropResponses(lost)
		head, err := revise.Accept(t.Context(), client, uint64(lost), body)
		assert.NilError(t, err)
		assert.Equal(t, head, revise.RevisionIDOf(uint64(lost)+1, body))
		assert.Equal(t, platform.Writes(), writes+2)
	}
	mine, theirs := []byte("name = 'mine'\n"), []byte("name = 'theirs'\n")
	slow := overtaken{Client: client, overtake: func() {
		_, err := revise.Accept(t.Context(), client, 4, theirs)
		assert.NilError(t, err)
	}}
	head, err := revise.Accept(t.Context(), slow, 3, mine)
	assert.NilError(t, err)
	assert.Equal(t, head, revise.RevisionIDOf(4, mine))
}

// overtaken loses the answer of each commit and lets another operator change
// the head before it returns.
type overtaken struct {
	*store.Client
	overtake func()
}

func (o overtaken) Commit(ctx context.Context, writes ...store.Write) ([]uint64, error) {
	if _, err := o.Client.Commit(ctx, writes...); err != nil {
		return nil, err
	}
	o.overtake()
	return nil, errors.New("answer lost")
}

// Guards against an operator who dies between storing the body and changing
// the head, and so blocks the next number for everyone.
func TestAbandonedBodyDoesNotBlock(t *testing.T) {
	_, client := newStore(t)
	assert.NilError(t, client.PutObject(t.Context(), revise.ObjectName(1), []byte("name = 'abandoned'\n")))
	body := []byte("name = 'next'\n")
	head, err := revise.Accept(t.Context(), client, 0, body)
	assert.NilError(t, err)
	assert.Equal(t, head, revise.RevisionIDOf(2, body))
	stored, err := client.Object(t.Context(), revise.ObjectName(2))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(stored, body))
}
