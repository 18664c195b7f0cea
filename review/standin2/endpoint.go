package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached an endpoint.
type arrival struct {
	endpoint, attempt, path string
	at                      time.Time
	status                  int
}

// endpoint is a sound stand-in for an endpoint of a service: it has slots and a queue, tells
// its load, writes its entry to the store, and is cold for a time.
type endpoint struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	slots, queue               int
	record                     *record

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
	coldUntil        time.Time
	sequence         int
	// exports is true if answers are long. While it breaks, some of them break off; exported
	// counts those that were sent in such times.
	exports, breaks bool
	exported        int
	due             chan struct{}
	// answerBytes is the size of an answer, or 0 for a short one.
	answerBytes int
	// limit is the limit that answers name, or empty.
	limit string
	// isLeaving is true once the endpoint leaves. It serves on and says so in all answers.
	isLeaving bool
}

func startEndpoint(ip, id, service, zone string, work time.Duration, kept *record) (*endpoint, error) {
	e := &endpoint{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), work: work, slots: 3, queue: 9, record: kept,
		free: make(chan struct{}, 3), due: make(chan struct{}, 1),
	}
	for range e.slots {
		e.free <- struct{}{}
	}
	listener, err := serve(ip, e)
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	e.address = listener.Addr().String()
	return e, nil
}

// becomeCold makes the endpoint cold for a time.
func (e *endpoint) becomeCold(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(duration)
}

func (e *endpoint) coldMs() int64 { return max(0, time.Until(e.coldUntil).Milliseconds()) }

// leave removes the endpoint's entry. It is not written again.
func (e *endpoint) leave(s *store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isLeaving = true
	s.remove(endpointTable, e.id)
}

// writeEntry writes the endpoint's entry to the store and reports whether that worked.
func (e *endpoint) writeEntry(s *store) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLeaving {
		return true
	}
	e.sequence++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":%d,"sequence":%d,"born":%d}`,
		e.service, e.address, e.zone, e.slots, e.coldMs(), e.sequence, e.born)
	return s.put(endpointTable, e.id, value)
}

// beat writes the entry at once, then each interval, and sooner again after a failed write.
func (e *endpoint) beat(s *store, interval time.Duration) {
	for {
		pause := interval
		if !e.writeEntry(s) {
			pause = interval / 8
		}
		select {
		case <-e.due:
		case <-time.After(pause):
		}
	}
}

// entryDue lets the endpoint write its entry at once.
func (e *endpoint) entryDue() {
	select {
	case e.due <- struct{}{}:
	default:
	}
}

// answerExport sends a long body, or the first part of it and then resets the connection.
func (e *endpoint) answerExport(writer http.ResponseWriter) {
	e.mu.Lock()
	isBroken := false
	if e.breaks {
		e.exported++
		isBroken = e.exported%garbleEvery == garbleEvery/2
	}
	e.mu.Unlock()
	writer.Header().Set("Content-Length", strconv.Itoa(exportBytes))
	length := exportBytes
	if isBroken {
		length -= 64 << 10
	}
	_, _ = writer.Write(make([]byte, length))
	if isBroken {
		// What was written leaves before the end of the connection.
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(50 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == healthPath {
		e.answerHealth(writer)
		return
	}
	came := arrival{endpoint: e.id, attempt: request.Header.Get("Attempt-Id"), path: request.URL.Path, at: time.Now()}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	came.status = e.run(request)
	e.record.addArrival(came)
	header := writer.Header()
	header.Set("Attempt-Id", came.attempt)
	e.setLimit(header)
	switch came.status {
	case http.StatusOK:
		header.Set("Server-Seal", "s."+e.id)
		e.setLoad(header)
		if e.exports {
			e.answerExport(writer)
			return
		}
		if e.answerBytes > 0 {
			_, _ = writer.Write(make([]byte, e.answerBytes))
			return
		}
		_, _ = fmt.Fprintf(writer, "%s %s %d\n", e.id, came.attempt, len(body))
	case http.StatusServiceUnavailable:
		header.Set("Not-Executed", "1")
		e.setLoad(header)
		writer.WriteHeader(came.status)
	case http.StatusMisdirectedRequest:
		writer.WriteHeader(came.status)
	}
}

// run runs a request and returns its status: 200, 503 if there is no room, or 421.
func (e *endpoint) run(request *http.Request) int {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return http.StatusMisdirectedRequest
	}
	e.mu.Lock()
	if e.running+e.waiting >= e.slots+e.queue {
		e.mu.Unlock()
		return http.StatusServiceUnavailable
	}
	e.waiting++
	e.mu.Unlock()
	<-e.free
	e.mu.Lock()
	e.waiting--
	e.running++
	work := e.work
	if time.Now().Before(e.coldUntil) {
		work *= 2
	}
	e.mu.Unlock()
	time.Sleep(work)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	e.free <- struct{}{}
	return http.StatusOK
}

// limitField is the field of an answer by which an endpoint in need names its limit.
const limitField = "Server-Limit"

func (e *endpoint) setLimit(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit != "" {
		header.Set(limitField, e.limit)
	}
	if e.isLeaving {
		header.Set("Server-Leaving", "1")
	}
}

func (e *endpoint) setLoad(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", e.running, e.waiting, e.slots))
}

func (e *endpoint) answerHealth(writer http.ResponseWriter) {
	e.mu.Lock()
	coldMs := e.coldMs()
	e.mu.Unlock()
	writer.Header().Set("Instance-Id", e.id)
	writer.Header().Set("Cold-Ms", fmt.Sprint(coldMs))
	e.setLoad(writer.Header())
	writer.WriteHeader(http.StatusOK)
}
