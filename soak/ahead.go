package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// aheadCount is the number of callers that send requests before the earlier ones of their
	// connection are answered.
	aheadCount = 6
	// minAhead and maxAhead bound the requests that they send at once.
	minAhead, maxAhead = 2, 4
)

// errClosedBefore is the error of a request whose connection closed behind an earlier
// response.
var errClosedBefore = errors.New("the connection closed behind an earlier response")

// sendAheadLoop sends reads in groups, each over a kept connection.
func (c *callers) sendAheadLoop(ctx context.Context, random *rand.Rand, number int) {
	clients, closeClients := c.testbed.newClients()
	defer closeClients()
	for count := 0; ctx.Err() == nil; count++ {
		to := random.IntN(len(clients))
		var requests []call
		for i := range minAhead + random.IntN(maxAhead-minAhead+1) {
			requests = append(requests, call{
				method: http.MethodGet, path: fmt.Sprintf("/read/%d", random.IntN(20)), attempt: fmt.Sprintf("p-%d-%d-%d", number, count, i), timeout: callerTimeout, patience: maxPatience,
			})
		}
		startedAt := time.Now()
		for i, result := range clients[to].sendAhead(requests) {
			c.check(c.testbed.hosts[to], requests[i], "ahead", startedAt, result)
		}
		time.Sleep(randomBetween(random, time.Millisecond, 40*time.Millisecond))
	}
}

// sendAhead writes requests without a body at once and reads the responses.
func (c *client) sendAhead(requests []call) []callResult {
	startedAt := time.Now()
	results := make([]callResult, len(requests))
	err := c.connect(maxPatience)
	if err == nil {
		var text strings.Builder
		for _, request := range requests {
			_ = request.write(&text)
		}
		_, err = io.WriteString(c.conn, text.String())
	}
	var behind time.Duration
	isBehindBroken := false
	for i, request := range requests {
		result := callResult{err: err}
		if err == nil {
			result, err = c.readInTurn(request, i == len(requests)-1)
		}
		result.elapsed, result.behind, result.isBehindBroken = time.Since(startedAt), behind, isBehindBroken
		result.err = errors.Join(result.err, err)
		results[i] = result
		behind = result.elapsed
		isBehindBroken = isBehindBroken || result.isBrokenOff()
		if err == nil && c.conn == nil {
			err = errClosedBefore
		}
	}
	if err != nil {
		c.close()
	}
	return results
}

// readInTurn reads the response to one of several requests.
func (c *client) readInTurn(request call, isLast bool) (callResult, error) {
	if err := c.conn.SetDeadline(time.Now().Add(maxPatience)); err != nil {
		return callResult{}, fmt.Errorf("set deadline: %w", err)
	}
	result, mustClose, err := c.read(request)
	// The bytes behind the response may be the next one.
	result.hasExtraBytes = result.hasExtraBytes && (isLast || mustClose)
	if mustClose {
		c.close()
	}
	return result, err
}
