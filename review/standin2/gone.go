package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// leaveTime is how long a client waits before it leaves, goneTime how long after that a
	// request may still reach an endpoint, and few the requests that may come later all the
	// same.
	leaveTime = 400 * time.Millisecond
	goneTime  = 500 * time.Millisecond
	few       = 5
	// Of the clients, who come at an interval, three in ten leave.
	leavingClients = 40
	clientInterval = 130 * time.Millisecond
)

// closes holds when the clients of requests closed their connections.
type closes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (c *closes) add(attempt string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at[attempt] = at
}

// headOf returns the head of a request with a body of a length.
func headOf(method, path, attempt string, timeout time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, domain, attempt, timeout.Milliseconds())
	if length > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// leaver sends two requests that must not run twice on one connection, the second one before
// the first one is answered, and closes the connection before its deadline if it leaves.
func (d *deployment) leaver(number int, leaves bool, left *closes) {
	to := d.hosts[number%len(d.hosts)]
	conn, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		d.record.note("client %d does not reach %s: %v", number, to.name, err)
		return
	}
	var sent strings.Builder
	var attempts []string
	for i := range 2 {
		attempt := fmt.Sprintf("client%d-%d", number, i+1)
		body := fmt.Sprintf("complaint %d of client %d", i+1, number)
		sent.WriteString(headOf("POST", "/filing-desk/"+attempt, attempt, 6*time.Second, len(body)) + body)
		attempts = append(attempts, attempt)
	}
	sentAt := time.Now()
	_, _ = conn.Write([]byte(sent.String()))
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.readAnswers(conn, to, attempts, sentAt)
	}()
	if leaves {
		time.Sleep(leaveTime)
		for _, attempt := range attempts {
			left.add(attempt, time.Now())
		}
		d.record.note("client %d closes its connection to %s", number, to.name)
		_ = conn.Close()
	}
	<-done
	_ = conn.Close()
}

// playGone lets clients leave that have sent a second request ahead.
func playGone(d *deployment, hasTrouble bool) (bool, error) {
	d.addRoute("filing-desk", "unsafe", 3000)
	d.configure()
	for i := range 12 {
		if _, err := d.addEndpoint(fmt.Sprintf("i-desk%d", i), "filing-desk", "munich-a", 1500*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	left := &closes{at: make(map[string]time.Time)}
	for number := range leavingClients {
		leaves := hasTrouble && number%10 < 3
		d.clients.Go(func() { d.leaver(number, leaves, left) })
		time.Sleep(clientInterval)
	}
	d.clients.Wait()
	time.Sleep(4 * time.Second)
	late := 0
	for _, came := range d.record.sortedArrivals() {
		closedAt, hasLeft := left.at[came.attempt]
		if after := came.at.Sub(closedAt); hasLeft && after > goneTime {
			late++
			d.record.note("request %s reaches endpoint %s %.3f s after its client has closed the connection, status %d", came.attempt, came.endpoint, after.Seconds(), came.status)
		}
	}
	d.record.note("%d requests reached an endpoint more than %s after their clients had left; allowed are %d", late, goneTime, few)
	return late <= few, nil
}

// readAnswers reads the answers to requests that were sent on a connection, in their order.
func (d *deployment) readAnswers(conn net.Conn, to *host, attempts []string, sentAt time.Time) {
	answers := newAnswerReader(conn)
	for _, attempt := range attempts {
		outcome := answers.next(attempt)
		d.record.addRequest(request{attempt: attempt, host: to.name, path: "on one connection", sentAt: sentAt, answeredAt: time.Now(), outcome: outcome})
	}
}
