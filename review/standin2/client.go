package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// clientTime is how long a client waits for an answer.
	clientTime = 2500 * time.Millisecond
	// things is the number of objects that requests concern.
	things = 24
)

// traffic sends requests to a path, a number a second in all, to random hosts until ctx ends.
func (d *deployment) traffic(ctx context.Context, path string, perSecond float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	// Each request has a new connection: net/http would send some requests again by itself.
	client := &http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-ticker.C:
			d.clients.Go(func() { d.send(client, path) })
		case <-ctx.Done():
			return
		}
	}
}

// send sends one request to a random host.
func (d *deployment) send(client *http.Client, path string) {
	d.sendTo(client, path, d.hosts[rand.IntN(len(d.hosts))])
}

// sendTo sends one request to a host and reports whether it was served.
func (d *deployment) sendTo(client *http.Client, path string, to *host) bool {
	d.sentMu.Lock()
	d.sent++
	attempt := fmt.Sprintf("r%06d", d.sent)
	d.sentMu.Unlock()
	done := request{attempt: attempt, host: to.name, path: path, sentAt: time.Now()}
	done.outcome, done.limit = exchange(client, "http://"+to.front()+path+attempt, attempt)
	done.answeredAt = time.Now()
	d.record.addRequest(done)
	return done.outcome == "200"
}

// exchange sends a request and returns the status of the answer, or an error, and the limit that
// the answer names.
func exchange(client *http.Client, url, attempt string) (outcome, limit string) {
	sent, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err.Error(), ""
	}
	sent.Host = domain
	sent.Header.Set("Attempt-Id", attempt)
	sent.Header.Set("Affinity-Key", strconv.Itoa(rand.IntN(things)))
	sent.Header.Set("Deadline-Ms", strconv.FormatInt(clientTime.Milliseconds(), 10))
	response, err := client.Do(sent)
	if err != nil {
		return err.Error(), ""
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return err.Error(), ""
	}
	return strconv.Itoa(response.StatusCode), response.Header.Get(limitField)
}
