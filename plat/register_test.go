package plat_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthold/claim"
	"filberthold/fakes"
	"filberthold/model"
	"filberthold/plat"

	"gotest.tools/v3/assert"
)

// store is a platform stand-in behind a gate that a test can intercept.
type store struct {
	platform *fakes.Platform
	// intercept handles a request and reports whether it did; nil passes all.
	intercept func(w http.ResponseWriter, r *http.Request) bool
	client    *plat.Client
	committer *plat.Committer
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.intercept == nil || !s.intercept(w, r) {
		s.platform.ServeHTTP(w, r)
	}
}

func startStore(t testing.TB, intercept func(*store) func(http.ResponseWriter, *http.Request) bool) *store {
	s := &store{platform: fakes.NewPlatform()}
	if intercept != nil {
		s.intercept = intercept(s)
	}
	server := httptest.NewServer(s)
	s.client = plat.NewClient(strings.TrimPrefix(server.URL, "http://"))
	s.committer = plat.NewCommitter(s.client, plat.DefaultWindow)
	t.Cleanup(func() { s.client.Close(); server.Close() })
	return s
}

// startCommitter runs the committer until the test ends.
func (s *store) startCommitter(t testing.TB) {
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = s.committer.Loop(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
}

// Guards against a group that fails as a whole because of one row, and against
// two creates of one row that both succeed within a transaction.
func TestGroupLosesOnlyTheConflictingRows(t *testing.T) {
	s := startStore(t, nil)
	ctx := t.Context()
	_, err := s.client.Commit(ctx, plat.Write{Key: "taken"})
	assert.NilError(t, err)
	keys := []string{"a", "a", "b", "c", "taken", "d", "d"}
	results := make([]error, len(keys))
	var running sync.WaitGroup
	for i, key := range keys {
		running.Go(func() { results[i] = s.committer.Commit(ctx, plat.Write{Key: key, Value: fmt.Append(nil, i)}) })
	}
	// The committer starts when all writes wait, so that they share groups.
	for s.committer.Waiting() < len(keys) {
		runtime.Gosched()
	}
	s.startCommitter(t)
	running.Wait()
	assert.Assert(t, s.platform.Writes() <= 4, "%d transactions took effect", s.platform.Writes())
	committed, conflicts := map[string]int{}, map[string]int{}
	for i, err := range results {
		var conflict *plat.ConflictError
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

// Guards against a claim that is given up, or made twice, because the answer
// to its write was lost before or after the write took effect, and against a
// large response that is not replayed whole.
func TestLostAnswersAreSettledByReadingBack(t *testing.T) {
	for _, test := range []struct {
		name    string
		applied bool
	}{{"lost after the write took effect", true}, {"lost before the write took effect", false}} {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			lost := 0
			s := startStore(t, func(s *store) func(http.ResponseWriter, *http.Request) bool {
				return func(w http.ResponseWriter, r *http.Request) bool {
					mu.Lock()
					defer mu.Unlock()
					if r.URL.Path != "/transactions" || lost == 2 {
						return false
					}
					lost++
					if test.applied {
						s.platform.ServeHTTP(httptest.NewRecorder(), r)
					}
					http.Error(w, "lost", http.StatusBadGateway)
					return true
				}
			})
			s.startCommitter(t)
			register := plat.NewRegister(s.client, s.committer, "praha-b-1")
			deadline := time.Now().Add(time.Minute)
			held, action := register.Acquire(t.Context(), "orderdesk", "k/1", deadline, []byte("f"))
			assert.Equal(t, fmt.Sprintf("%T", action), "claim.Place")
			assert.Equal(t, held.Learn(t.Context(), claim.Placed{}), claim.Send{})
			body := []byte(strings.Repeat("x", 65<<10))
			action = held.Complete(t.Context(), &claim.Response{Status: 201, Body: body})
			assert.Equal(t, action.(claim.Answer).Outcome, model.Served)
			assert.Equal(t, held.Learn(t.Context(), claim.Answered{}), claim.Finish{})
			_, action = register.Acquire(t.Context(), "orderdesk", "k/1", deadline, []byte("f"))
			assert.DeepEqual(t, action.(claim.Answer).Response, &claim.Response{Status: 201, Body: body})
			_, action = register.Acquire(t.Context(), "orderdesk", "k/1", deadline, []byte("other"))
			assert.Assert(t, action.(claim.Answer).OtherRequest)
		})
	}
}
