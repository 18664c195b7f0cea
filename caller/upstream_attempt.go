package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"filberthold/place"
	"filberthold/upstrm"
)

// maxResponseBytes bounds the response to a read or a submit, which is kept
// in memory until it is complete.
const maxResponseBytes = 8 << 20

// bufferedResponse is a complete response to a read or a submit.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attemptUpdate reports the progress of an attempt. A read or a submit has one
// update, at the end of the attempt. An export has two: the first has the
// opened response, and the second reports the end. An export attempt that fails
// before its response is opened has only the update that reports the end.
type attemptUpdate struct {
	attempt  place.AttemptID
	buffered *bufferedResponse
	opened   *upstrm.Response
	leaving  bool
	// progressed is true if the attempt wrote place.MinExportProgress bytes of an export
	// to the caller.
	progressed bool
	err        error
}

// upstreamAttempt sends one attempt to its endpoint and waits for its end.
type upstreamAttempt struct {
	exchange *exchange
	decision place.Send
	request  upstrm.Request
}

func (a *upstreamAttempt) run(ctx context.Context) {
	defer a.exchange.server.attempts.Done()
	update := attemptUpdate{attempt: a.decision.Attempt}
	response, err := a.exchange.server.upstreams.Do(ctx, a.request)
	switch {
	case err != nil:
		update.err = fmt.Errorf("send attempt %d: %w", a.decision.Number, err)
	case a.exchange.export != nil:
		update.opened, update.leaving = response, response.Leaving
	default:
		update.leaving = response.Leaving
		update.buffered, update.err = a.bufferResponse(response)
	}
	a.exchange.sendUpdate(update)
}

// sendUpdate sends an update to the exchange. If the exchange has ended, it
// reports the end of the attempt to placement.
func (e *exchange) sendUpdate(update attemptUpdate) {
	select {
	case e.updates <- update:
	case <-e.ended:
		if update.opened != nil {
			_ = update.opened.Body.Close()
			update.err = errors.New("reply came after the end of the request")
		}
		e.reportEnd(update)
	}
}

// bufferResponse reads a response into memory. It returns an error if the
// response is incomplete or too large.
func (a *upstreamAttempt) bufferResponse(response *upstrm.Response) (*bufferedResponse, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read reply of attempt %d: %w", a.decision.Number, err)
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("reply of attempt %d exceeds %d bytes", a.decision.Number, maxResponseBytes)
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body}, nil
}
