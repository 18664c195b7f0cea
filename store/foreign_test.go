package store_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthold/claim"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

// Guards against a row that counts as written because of a response to another call, such
// as a second copy on a kept connection: two hosts would hold one key, or report notRun for
// a key whose row is claimed.
func TestResponseToAnotherCallIsNoCommit(t *testing.T) {
	for name, foreign := range map[string]string{
		"row":                   `{"key":"claims/desk/k","version":1,"value":""}`,
		"rows":                  `{"rows":[]}`,
		"larger transaction":    `{"versions":[1,1]}`,
		"lower version":         `{"versions":[0]}`,
		"empty object":          `{}`,
		"transaction of no row": `{"versions":[]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var commits atomic.Int64
			s := startStore(t, func(platform http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodPost && commits.Add(1) == 1 {
						_, _ = w.Write([]byte(foreign))
						return
					}
					platform.ServeHTTP(w, r)
				}
			})
			s.startCommitter(t)
			first := store.NewRegister(s.client, s.committer, "h1")
			second := store.NewRegister(s.client, s.committer, "h2")
			deadline := time.Now().Add(time.Second)
			_, firstAction := first.Acquire(t.Context(), "desk", "k", deadline, []byte("print"))
			_, isHeld := firstAction.(claim.Place)
			assert.Assert(t, isHeld, "%v", firstAction)
			_, secondAction := second.Acquire(t.Context(), "desk", "k", deadline, []byte("print"))
			_, isHeldTwice := secondAction.(claim.Place)
			assert.Assert(t, !isHeldTwice, "two hosts hold the key: %s", strings.TrimSpace(foreign))
		})
	}
}

// Guards against a caller that gets the response stored for another key, because a response
// to another call was read as the row of its key.
func TestResponseToAnotherCallIsNoRow(t *testing.T) {
	for name, foreign := range map[string]string{"row": `{"key":"claims/desk/other","version":2,"value":""}`, "transaction": `{"versions":[1]}`} {
		t.Run(name, func(t *testing.T) {
			s := startStore(t, func(http.Handler) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(foreign)) }
			})
			row, err := s.client.Get(t.Context(), "claims/desk/k")
			assert.ErrorContains(t, err, "response has row", "%v", row)
		})
	}
}
