package fakes

import (
	"io"
	"net/http"
)

// RawUpstream is a fake upstream that responds to every request with its bytes,
// which need not be valid HTTP, and then closes the connection.
type RawUpstream string

// ServeHTTP implements http.Handler.
func (raw RawUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(connection, string(raw))
	_ = connection.Close()
}
