package proxy

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"filberthold/conns"
	"filberthold/platform"
)

const (
	// maxSubmitIdle bounds the idle time of a connection that is used for a
	// request that is not idempotent. Such a request cannot be sent again if the
	// endpoint closes the idle connection at that moment.
	maxSubmitIdle = time.Second
	// noIdleLimit exceeds the limit of the pool, which then applies.
	noIdleLimit = time.Hour
)

// maxIdle returns how long the connection of the request to an address may have been idle.
func (e *exchange) maxIdle(address netip.AddrPort) time.Duration {
	switch {
	case slices.Contains(e.triedAddresses, address):
		// All attempts of the request have the same ID. On a connection that carried an
		// earlier one, a copy of its response could not be told apart.
		return conns.NoReuse
	case e.header.AttemptID == "":
		// On a used connection, a response without an ID may belong to an earlier
		// request.
		return conns.NoReuse
	case !e.route.Class.Idempotent():
		return maxSubmitIdle
	}
	return noIdleLimit
}

// matchesResponse reports whether a response with the given headers belongs to
// this request, and applies what the endpoint says of itself in one that does. Such a
// response proves that the attempt has arrived.
func (e *exchange) matchesResponse(status int, header http.Header, isFirst bool) bool {
	responseHeader := platform.ParseResponseHeader(status, header)
	if !e.isOwnResponse(responseHeader, isFirst) {
		return false
	}
	e.hear(responseHeader)
	e.recordArrival(responseHeader)
	return true
}

// isOwnResponse reports whether a response with the given headers belongs to this
// request. An endpoint repeats the request's attempt ID in each response. A refusal
// without an ID is accepted only as the first response on a connection: a faulty
// endpoint may repeat an earlier refusal while it runs this request.
func (e *exchange) isOwnResponse(header platform.ResponseHeader, isFirst bool) bool {
	if header.AttemptID == "" {
		return isFirst && (header.NotStarted || e.header.AttemptID == "")
	}
	return header.AttemptID == e.header.AttemptID
}
