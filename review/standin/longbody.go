package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// uploads is the number of requests that are sent.
	uploads = 12
	// uploadBytes is the length of each request body. The limit of the configuration is
	// 64 MiB.
	uploadBytes = 2 << 20
	// answerBytes is the length of each answer.
	answerBytes = 3 << 20
	// chunkBytes is the length of each chunk that a client sends, and of each piece of an
	// answer.
	chunkBytes = 16 << 10
	// chunkPause and piecePause are the pauses between them. A body takes about 0.4 s, and
	// an answer 0.6 s.
	chunkPause = 3 * time.Millisecond
	piecePause = 3 * time.Millisecond
)

// bodyOf returns the body of an upload. No two of its blocks of 16 bytes are the same.
func bodyOf(attempt string) []byte {
	var body bytes.Buffer
	for body.Len() < uploadBytes {
		_, _ = fmt.Fprintf(&body, "%s:%010d\n", attempt, body.Len())
	}
	return body.Bytes()[:uploadBytes]
}

// uploadEndpoint runs requests with a long body and answers with a long answer.
type uploadEndpoint struct {
	id       string
	listener net.Listener
	record   *record
	// answersEarly is true if it begins to answer before it has read the whole body.
	answersEarly bool

	mu sync.Mutex
	// received holds what came of each body, by attempt.
	received map[string][]byte
}

func startUploadEndpoint(id string, r *record, answersEarly bool) (*uploadEndpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	e := &uploadEndpoint{id: id, listener: listener, record: r, answersEarly: answersEarly, received: make(map[string][]byte)}
	go e.run()
	return e, nil
}

func (e *uploadEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *uploadEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !e.handle(conn, request) {
			return
		}
	}
}

// handle runs a request, and reports whether the connection can carry another one.
func (e *uploadEndpoint) handle(conn net.Conn, request *http.Request) bool {
	attempt := request.Header.Get("Attempt-Id")
	if request.Header.Get("Expect-Instance") != e.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	e.record.add("endpoint %s runs %s, its body comes in chunks: %t", e.id, attempt, request.ContentLength < 0)
	answered := make(chan error, 1)
	if e.answersEarly {
		go func() { answered <- writeAnswer(conn, attempt) }()
	}
	body, err := io.ReadAll(request.Body)
	e.mu.Lock()
	e.received[attempt] = body
	e.mu.Unlock()
	if err != nil {
		e.record.add("endpoint %s: the body of %s broke off after %d bytes: %v", e.id, attempt, len(body), err)
		return false
	}
	e.record.add("endpoint %s has read the body of %s to its last chunk: %d bytes", e.id, attempt, len(body))
	if !e.answersEarly {
		answered <- writeAnswer(conn, attempt)
	}
	return <-answered == nil
}

func writeAnswer(conn net.Conn, attempt string) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: 3e1b.07\r\nContent-Length: %d\r\n\r\n", attempt, answerBytes)
	if _, err := io.WriteString(conn, head); err != nil {
		return fmt.Errorf("write head: %w", err)
	}
	piece := bytes.Repeat([]byte("a"), chunkBytes)
	for range answerBytes / chunkBytes {
		if _, err := conn.Write(piece); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		time.Sleep(piecePause)
	}
	return nil
}

// upload sends a request with a long body in chunks, reads the answer meanwhile, and
// returns the answer's status and length.
func upload(address, attempt string) (status, length int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	go sendUpload(conn, attempt)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, fmt.Errorf("read answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, len(body), fmt.Errorf("read answer: %w", err)
	}
	return response.StatusCode, len(body), nil
}

func sendUpload(conn net.Conn, attempt string) {
	writer := bufio.NewWriter(conn)
	_, _ = fmt.Fprintf(writer, "POST /orders/new HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nTransfer-Encoding: chunked\r\n\r\n", domain, attempt)
	body := bodyOf(attempt)
	for len(body) > 0 {
		count := min(chunkBytes, len(body))
		_, _ = fmt.Fprintf(writer, "%x\r\n%s\r\n", count, body[:count])
		if writer.Flush() != nil {
			return
		}
		body = body[count:]
		time.Sleep(chunkPause)
	}
	_, _ = io.WriteString(writer, "0\r\n\r\n")
	_ = writer.Flush()
}

// runLongBody sends long bodies to an endpoint that begins to answer before it has read
// them, and counts those of which it got other bytes.
func runLongBody(d *deployment, r *record, isTroubled bool) (int, error) {
	endpoint, err := startUploadEndpoint("i-7f3a91c2", r, isTroubled)
	if err != nil {
		return 0, err
	}
	defer func() { _ = endpoint.listener.Close() }()
	d.configure(routeText("orders", "unsafe", 10000, 2000))
	_ = d.register(endpoint.id, entry{
		Service: "desk", Address: endpoint.listener.Addr().String(), Zone: "north-a", Version: "v1", Slots: 3, State: "ready", Born: time.Now().UnixMilli(),
	})
	if err := d.addHosts("north-a", "south-a"); err != nil {
		return 0, err
	}
	if err := d.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	for i := range uploads {
		attempt := fmt.Sprintf("9c41d07be2a3%04x", i)
		h := d.hosts[i%len(d.hosts)]
		r.add("client sends %s to %s: %d bytes", attempt, h.name, uploadBytes)
		status, length, err := upload(h.ip+":8548", attempt)
		r.add("client got %s: status %d, %d bytes, error %v", attempt, status, length, err)
	}
	time.Sleep(time.Second)
	return endpoint.countChanged(), nil
}

// countChanged returns the number of requests of whose body the endpoint got other bytes
// than the client sent. A body that only broke off does not count.
func (e *uploadEndpoint) countChanged() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := 0
	for attempt, body := range e.received {
		sent := bodyOf(attempt)
		if bytes.HasPrefix(sent, body) {
			continue
		}
		changed++
		at := 0
		for at < min(len(body), len(sent)) && body[at] == sent[at] {
			at++
		}
		e.record.add("endpoint got other bytes than the client of %s sent: %d bytes of %d, other ones from byte %d on", attempt, len(body), len(sent), at)
	}
	return changed
}
