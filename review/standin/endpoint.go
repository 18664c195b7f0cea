package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that an endpoint began to run.
type arrival struct {
	attempt string
	at      time.Time
}

// plainEndpoint runs requests for a time and answers them with its id.
type plainEndpoint struct {
	id       string
	listener net.Listener
	record   *record
	work     time.Duration

	mu sync.Mutex
	// leftAt is when the store accepted that the endpoint leaves, or zero.
	leftAt   time.Time
	arrivals []arrival
}

func startPlainEndpoint(id string, r *record, work time.Duration) (*plainEndpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	e := &plainEndpoint{id: id, listener: listener, record: r, work: work}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// entry returns the entry of the endpoint.
func (e *plainEndpoint) entry() entry {
	return entry{
		Service: "desk", Address: e.listener.Addr().String(), Zone: "north-a", Version: "v1", Slots: 3, State: "ready", Born: time.Now().UnixMilli(),
	}
}

// leave records that the endpoint leaves. It says so in all its answers from now on.
func (e *plainEndpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leftAt = time.Now()
}

// ran returns the requests that the endpoint ran.
func (e *plainEndpoint) ran() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

func (e *plainEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(conn, request) {
			return
		}
	}
}

func (e *plainEndpoint) answer(conn net.Conn, request *http.Request) bool {
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expect-Instance") != e.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{attempt, time.Now()})
	leaving := ""
	if !e.leftAt.IsZero() {
		leaving = "Server-Leaving: 1\r\n"
	}
	e.mu.Unlock()
	e.record.add("endpoint %s runs %s", e.id, attempt)
	time.Sleep(e.work)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: 3e1b.07\r\n%sContent-Length: %d\r\n\r\n%s", attempt, leaving, len(e.id), e.id)
	return err == nil
}
