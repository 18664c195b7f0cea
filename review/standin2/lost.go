package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// exportBytes is the size of an export.
	exportBytes = 1500 << 10
	// Of the endpoints of exports, one in garbleShare breaks off one in garbleEvery of its
	// answers, for garbleTime, garbleCount times with pauses.
	garbleShare = 2
	garbleEvery = 50
	garbleTime  = 5500 * time.Millisecond
	garblePause = 2500 * time.Millisecond
	garbleCount = 9
	// exportInterval is the time between two exports of all clients, and ahead the number of
	// reads that are sent behind each.
	exportInterval = 45 * time.Millisecond
	ahead          = 4
	// lostAllowed is the number of requests that may be lost.
	lostAllowed = 3
)

// answerReader reads answers from a connection.
type answerReader struct {
	reader *bufio.Reader
	err    error
}

func newAnswerReader(conn net.Conn) *answerReader {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	return &answerReader{reader: bufio.NewReader(conn)}
}

// next reads the next answer, which should be that to an attempt, and returns its status or an
// error.
func (a *answerReader) next(attempt string) string {
	if a.err != nil {
		return "the connection is closed"
	}
	response, err := http.ReadResponse(a.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		a.err = err
		return "no whole answer: " + err.Error()
	}
	if got := response.Header.Get("Attempt-Id"); got != attempt {
		return "the answer belongs to " + got
	}
	return strconv.Itoa(response.StatusCode)
}

// status reads an answer and returns its status or an error.
func (a *answerReader) status() string {
	response, err := http.ReadResponse(a.reader, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	_ = response.Body.Close()
	return strconv.Itoa(response.StatusCode)
}

// playLost sends reads ahead behind an export whose endpoint may break off its answer.
func playLost(d *deployment, hasTrouble bool) (bool, error) {
	d.addRoute("diary-view", "safe", 2500)
	d.addRoute("export-yard", "download", 2500)
	d.configure()
	for i := range 12 {
		if _, err := d.addEndpoint(fmt.Sprintf("i-view%d", i), "diary-view", "munich-a", 250*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 8 {
		export, err := d.addEndpoint(fmt.Sprintf("i-export%d", i), "export-yard", "munich-a", 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		export.exports = true
	}
	if err := d.begin(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	d.clients.Go(func() { d.sendGroups(stop) })
	for range garbleCount {
		d.garble(hasTrouble)
		time.Sleep(garbleTime)
		d.garble(false)
		time.Sleep(garblePause)
	}
	close(stop)
	d.clients.Wait()
	time.Sleep(time.Second)
	ran := make(map[string]string)
	for _, came := range d.record.sortedArrivals() {
		if came.status == http.StatusOK && strings.HasPrefix(came.endpoint, "i-view") {
			ran[came.attempt] = came.endpoint
		}
	}
	lost := 0
	for _, sent := range d.record.sortedRequests() {
		if endpoint := ran[sent.attempt]; endpoint != "" && strings.Contains(sent.outcome, "connection") {
			lost++
			d.record.note("%s got %s on a kept connection and passed it on to the sound endpoint %s; the connection was closed without an answer", sent.host, sent.attempt, endpoint)
		}
	}
	d.record.note("%d requests that were passed on to sound endpoints got no answer; allowed are %d", lost, lostAllowed)
	return lost <= lostAllowed, nil
}

// garble begins or ends the time in which endpoints break off answers.
func (d *deployment) garble(isOn bool) {
	number := 0
	for _, each := range d.endpoints {
		if !each.exports {
			continue
		}
		each.mu.Lock()
		each.breaks = isOn && number%garbleShare == 0
		each.mu.Unlock()
		number++
	}
}

// sendGroups sends groups of requests until stop is closed.
func (d *deployment) sendGroups(stop <-chan struct{}) {
	ticker := time.NewTicker(exportInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
			d.clients.Go(func() { d.group(number) })
		case <-stop:
			return
		}
	}
}

// group sends one request on a connection, which is then kept, and after its answer an export
// and some reads at once.
func (d *deployment) group(number int) {
	to := d.hosts[number%len(d.hosts)]
	conn, err := net.DialTimeout("tcp", to.front(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	answers := newAnswerReader(conn)
	attempt := func(i int) string { return fmt.Sprintf("group%d-%d", number, i) }
	send := func(from, until int) time.Time {
		var text strings.Builder
		for i := from; i < until; i++ {
			path := "/diary-view/"
			if i == 1 {
				path = "/export-yard/"
			}
			text.WriteString(headOf("GET", path+attempt(i), attempt(i), 2500*time.Millisecond, 0))
		}
		sentAt := time.Now()
		_, _ = conn.Write([]byte(text.String()))
		return sentAt
	}
	read := func(from, until int, sentAt time.Time) {
		for i := from; i < until; i++ {
			outcome := answers.next(attempt(i))
			d.record.addRequest(request{attempt: attempt(i), host: to.name, path: "on one connection", sentAt: sentAt, answeredAt: time.Now(), outcome: outcome})
		}
	}
	read(0, 1, send(0, 1))
	read(1, 2+ahead, send(1, 2+ahead))
}
