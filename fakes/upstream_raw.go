package fakes

import (
	"io"
	"net/http"
)

// RawUpstream is an upstream that answers every request with bytes that need not be
// valid HTTP, and then closes the connection.
type RawUpstream string

// ServeHTTP implements http.Handler.
func (text RawUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(connection, string(text))
	_ = connection.Close()
}
