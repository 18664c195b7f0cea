package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/claim"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// testStore is a fake platform, its client and a committer that does not run.
type testStore struct {
	platform  *fakes.Platform
	client    *store.Client
	committer *store.Committer
}

// startStore starts a fake platform. If wrap is not nil, it puts a handler
// before the platform.
func startStore(t testing.TB, wrap func(platform http.Handler) http.HandlerFunc) *testStore {
	s := &testStore{platform: fakes.NewPlatform()}
	handler := http.Handler(s.platform)
	if wrap != nil {
		handler = wrap(s.platform)
	}
	server := httptest.NewServer(handler)
	s.client = store.NewClient(server.Listener.Addr().String())
	s.committer = store.NewCommitter(s.client, store.DefaultBatchWindow)
	t.Cleanup(func() { s.client.Close(); server.Close() })
	return s
}

// startCommitter runs the committer until the test ends.
func (s *testStore) startCommitter(t testing.TB) {
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = s.committer.Loop(ctx) })
	t.Cleanup(func() { stop(); group.Wait() })
}

// Guards against a batch that fails as a whole because of one row, and against
// two creates of one row that both succeed within a transaction.
func TestOnlyConflictingWritesOfABatchFail(t *testing.T) {
	s := startStore(t, nil)
	ctx := t.Context()
	_, err := s.client.Commit(ctx, store.Write{Key: "taken"})
	assert.NilError(t, err)
	keys := []string{"a", "a", "b", "c", "taken", "d", "d"}
	results := make([]error, len(keys))
	var group sync.WaitGroup
	for i, key := range keys {
		group.Go(func() { results[i] = s.committer.Commit(ctx, store.Write{Key: key, Value: fmt.Append(nil, i)}) })
	}
	// The committer starts when all writes are queued, so that they share
	// batches.
	for s.committer.Queued() < len(keys) {
		runtime.Gosched()
	}
	s.startCommitter(t)
	group.Wait()
	assert.Assert(t, s.platform.Writes() <= 4, "%d transactions took effect", s.platform.Writes())
	committed, conflicts := map[string]int{}, map[string]int{}
	for i, err := range results {
		var conflict *store.ConflictError
		switch {
		case err == nil:
			committed[keys[i]]++
		case errors.As(err, &conflict):
			assert.Equal(t, conflict.Rows()[0].Key, keys[i])
			conflicts[keys[i]]++
		default:
			t.Errorf("commit of %q: %v", keys[i], err)
		}
	}
	assert.DeepEqual(t, committed, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
	assert.DeepEqual(t, conflicts, map[string]int{"a": 1, "d": 1, "taken": 1})
}

// Guards against a claim that is abandoned or made twice because the response
// to its write was lost, before or after the write took effect. Also guards
// against a large response that is not returned completely to a repeat.
func TestLostResponsesAreResolvedByReadingBack(t *testing.T) {
	for name, isApplied := range map[string]bool{"lost after it took effect": true, "lost before it took effect": false} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			s := startStore(t, func(platform http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					isLost := r.URL.Path == "/transactions" && calls.Add(1) <= 2
					if isLost && isApplied {
						platform.ServeHTTP(httptest.NewRecorder(), r)
					}
					if isLost {
						http.Error(w, "lost", http.StatusBadGateway)
						return
					}
					platform.ServeHTTP(w, r)
				}
			})
			s.startCommitter(t)
			register := store.NewRegister(s.client, s.committer, "praha-b-1")
			deadline := time.Now().Add(time.Minute)
			acquired, action := register.Acquire(t.Context(), "orderdesk", "k/1", deadline, []byte("f"))
			assert.Equal(t, fmt.Sprintf("%T", action), "claim.Place")
			assert.Equal(t, acquired.Advance(t.Context(), claim.SendRequested{}), claim.Send{})
			body := []byte(strings.Repeat("x", 65<<10))
			action = acquired.Complete(t.Context(), &claim.Response{Status: 201, Body: body})
			assert.Equal(t, action.(claim.Answer).Outcome, model.Served)
			assert.Equal(t, acquired.Advance(t.Context(), claim.Answered{}), claim.Finish{})
			_, action = register.Acquire(t.Context(), "orderdesk", "k/1", deadline, []byte("f"))
			assert.DeepEqual(t, action.(claim.Answer).Response, &claim.Response{Status: 201, Body: body})
			_, action = register.Acquire(t.Context(), "orderdesk", "k/1", deadline, []byte("other"))
			assert.Assert(t, action.(claim.Answer).KeyReused)
		})
	}
}
