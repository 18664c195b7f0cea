package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// stopClients is the number of clients, and stopRequests the number of requests that
	// each of them sends at once on its connection.
	stopClients  = 6
	stopRequests = 4
	// stopWork is how long an endpoint works on a request.
	stopWork = 800 * time.Millisecond
)

// sendAtOnce sends safe requests on one connection without waiting for the answers
// between them, and returns the attempts that got a whole answer.
func sendAtOnce(address string, attempts []string, r *record) []string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.add("client could not connect: %v", err)
		return nil
	}
	defer func() { _ = conn.Close() }()
	for i, attempt := range attempts {
		_, err := fmt.Fprintf(conn, "GET /specs/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", i, domain, attempt)
		if err != nil {
			r.add("client could not send %s: %v", attempt, err)
			return nil
		}
	}
	var answered []string
	reader := bufio.NewReader(conn)
	for range attempts {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			r.add("client reads no further answer after %d: %v", len(answered), err)
			return answered
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			r.add("client got no whole answer: %v", err)
			return answered
		}
		attempt := response.Header.Get("Attempt-Id")
		r.add("client got the answer to %s: status %d, the connection closes: %t", attempt, response.StatusCode, response.Close)
		answered = append(answered, attempt)
	}
	return answered
}

// runStop lets clients send several requests at once on a connection, stops the host by
// SIGTERM meanwhile, and counts the requests that an endpoint ran and whose client got no
// answer.
func runStop(d *deployment, r *record, isTroubled bool) (int, error) {
	var endpoints []*plainEndpoint
	for i := range 12 {
		e, err := startPlainEndpoint(fmt.Sprintf("i-7f3a91%02d", i), r, stopWork)
		if err != nil {
			return 0, err
		}
		defer func() { _ = e.listener.Close() }()
		endpoints = append(endpoints, e)
		_ = d.register(e.id, e.entry())
	}
	d.configure(routeText("specs", "safe", 4000, 2000))
	if err := d.addHosts("north-a", "north-a"); err != nil {
		return 0, err
	}
	if err := d.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	h := d.hosts[0]
	var mu sync.Mutex
	var answered, sent []string
	var clients sync.WaitGroup
	for i := range stopClients {
		var attempts []string
		for j := range stopRequests {
			attempts = append(attempts, fmt.Sprintf("c%d-%d", i, j))
		}
		sent = append(sent, attempts...)
		r.add("client %d sends %v to %s at once", i, attempts, h.name)
		clients.Go(func() {
			got := sendAtOnce(h.ip+":8548", attempts, r)
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, got...)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if isTroubled {
		r.add("%s gets SIGTERM", h.name)
		if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
			return 0, fmt.Errorf("end host: %w", err)
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	lost := 0
	for _, attempt := range sent {
		if slices.Contains(answered, attempt) || !wasRun(endpoints, attempt) {
			continue
		}
		lost++
		r.add("%s was passed on to an endpoint, and its connection ended without an answer", attempt)
	}
	return lost, nil
}

func wasRun(endpoints []*plainEndpoint, attempt string) bool {
	return slices.ContainsFunc(endpoints, func(e *plainEndpoint) bool {
		return slices.ContainsFunc(e.ran(), func(ran arrival) bool { return ran.attempt == attempt })
	})
}
