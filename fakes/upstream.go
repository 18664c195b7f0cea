package fakes

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"filberthold/model"
	"filberthold/upstrm"
)

// Upstream is a fake upstream endpoint.
type Upstream struct {
	endpoint model.Endpoint
	class    model.Class
	counters *Counters
	// slots has one element for each request in execution.
	slots       chan struct{}
	connections connections

	mu        sync.Mutex
	behaviour Behaviour
	random    *rand.Rand
	load      loadHistory
	leaving   bool
	// shedNext is the number of next requests that are shed before they start.
	// abortNext is the number of next requests whose connections are aborted
	// after they were executed.
	shedNext  int
	abortNext int
	// firstRequest is the start of the cold period; it is zero before the
	// first request.
	firstRequest time.Time
	slowFactor   float64
	slowUntil    time.Time
	lastArrival  time.Time
}

// NewUpstream returns a fake that responds after a service time.
func NewUpstream(endpoint model.Endpoint, class model.Class, counters *Counters, serviceTime time.Duration) *Upstream {
	upstream := &Upstream{
		endpoint: endpoint,
		class:    class,
		counters: counters,
		slots:    make(chan struct{}, endpoint.Slots()),
	}
	upstream.Configure(Behaviour{ServiceTime: serviceTime, ExportBytes: DefaultExportBytes})
	return upstream
}

// ServeHTTP implements the protocol of upstreams.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The delay simulates the network, so cancellation does not shorten it.
	oneWayDelay := u.delayFrom(model.ZoneName(r.Header.Get(upstrm.ZoneHeader)))
	time.Sleep(oneWayDelay)
	switch r.URL.Path {
	case "/healthz":
		// A draining endpoint reports ok as well, because health checks of real
		// endpoints can be misleading.
		time.Sleep(oneWayDelay)
		_, _ = io.WriteString(w, "ok\n")
		return
	case "/load":
		time.Sleep(oneWayDelay)
		writeJSON(w, http.StatusOK, upstrm.LoadReport{BusySlots: u.reportedLoad(), Slots: cap(u.slots)})
		return
	}
	u.recordArrival()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if reason := u.admit(r); reason != "" {
		time.Sleep(oneWayDelay)
		u.refuse(w, reason)
		return
	}
	u.execute(w, r, body, oneWayDelay)
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request, body []byte, oneWayDelay time.Duration) {
	u.recordLoad()
	defer func() {
		<-u.slots
		u.recordLoad()
	}()
	u.counters.countStarted(u.endpoint.Name(), r)
	if !u.work(r) {
		u.counters.countCancelled()
		return
	}
	if u.takeAbort() {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(oneWayDelay)
	u.respond(w, r, body)
}

// work waits for the service time and reports whether it has passed. Reads and
// exports end when they are cancelled; a submit that has started runs to its
// end.
func (u *Upstream) work(r *http.Request) bool {
	timer := time.NewTimer(u.nextServiceTime(time.Now()))
	defer timer.Stop()
	if u.class == model.Submit {
		<-timer.C
		return true
	}
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// admit acquires a slot and returns "", or returns the reason of a refusal.
func (u *Upstream) admit(r *http.Request) string {
	if u.isLeaving() {
		return "leaving"
	}
	if u.takeShed() {
		u.counters.countShed()
		return "overloaded"
	}
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(upstrm.DeadlineHeader))
	if err == nil && !time.Now().Before(deadline) {
		return "deadline has passed"
	}
	select {
	case u.slots <- struct{}{}:
		return ""
	default:
		u.counters.countRejected()
		return "no free slot"
	}
}

func (u *Upstream) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(upstrm.NotStartedHeader, "true")
	u.markLeaving(w.Header())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// markLeaving sets the leaving header of a response if the endpoint is
// draining, also for a request that was executed.
func (u *Upstream) markLeaving(header http.Header) {
	if u.isLeaving() {
		header.Set(upstrm.LeavingHeader, "true")
	}
}

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	u.markLeaving(w.Header())
	if u.class == model.Export {
		u.respondExport(w, r)
		return
	}
	response := ShortResponse(r.URL.Path, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response)
}
