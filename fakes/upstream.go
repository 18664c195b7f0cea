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

// Upstream is a stand-in for one upstream endpoint.
type Upstream struct {
	endpoint model.Endpoint
	class    model.Class
	ledger   *Counters
	// slots has one element for each request in execution.
	slots       chan struct{}
	connections connections

	mu        sync.Mutex
	behaviour Behaviour
	random    *rand.Rand
	load      loadHistory
	leaving   bool
	// shedNext and cutNext count down the requests that are shed before they
	// start, and those whose connection is cut after they were executed.
	shedNext int
	cutNext  int
	// firstRequest is the start of the cold period; it is zero before the
	// first request.
	firstRequest   time.Time
	straggleFactor float64
	straggleUntil  time.Time
	lastArrival    time.Time
}

// NewUpstream returns a stand-in that answers after a service time.
func NewUpstream(endpoint model.Endpoint, class model.Class, ledger *Counters, serviceTime time.Duration) *Upstream {
	upstream := &Upstream{
		endpoint: endpoint,
		class:    class,
		ledger:   ledger,
		slots:    make(chan struct{}, endpoint.Slots()),
	}
	upstream.Configure(Behaviour{ServiceTime: serviceTime, ExportBytes: DefaultExportBytes})
	return upstream
}

// ServeHTTP answers the upstream protocol.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The delay stands for the network, so cancellation does not shorten it.
	oneWay := u.delayFrom(model.ZoneName(r.Header.Get(upstrm.ZoneHeader)))
	time.Sleep(oneWay)
	switch r.URL.Path {
	case "/healthz":
		// A draining endpoint says ok as well: health reports mislead.
		time.Sleep(oneWay)
		_, _ = io.WriteString(w, "ok\n")
		return
	case "/load":
		time.Sleep(oneWay)
		writeJSON(w, http.StatusOK, upstrm.LoadReport{BusySlots: u.reportedLoad(), Slots: cap(u.slots)})
		return
	}
	u.noteArrival()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if reason := u.refusal(r); reason != "" {
		time.Sleep(oneWay)
		u.refuse(w, reason)
		return
	}
	u.execute(w, r, body, oneWay)
}

func (u *Upstream) execute(w http.ResponseWriter, r *http.Request, body []byte, oneWay time.Duration) {
	u.noteLoad()
	defer func() {
		<-u.slots
		u.noteLoad()
	}()
	u.ledger.started(u.endpoint.Name(), r)
	if !u.work(r) {
		u.ledger.cancelled()
		return
	}
	if u.takeCut() {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(oneWay)
	u.answer(w, r, body)
}

// work takes the service time and reports whether it ran to its end. Reads
// and exports accept cancellation; a submit that has started runs to its end.
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

// refusal takes a slot, or returns why the request must not start.
func (u *Upstream) refusal(r *http.Request) string {
	if u.isLeaving() {
		return "leaving"
	}
	if u.takeShed() {
		u.ledger.shed()
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
		u.ledger.overcommitted()
		return "no free slot"
	}
}

func (u *Upstream) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(upstrm.NotStartedHeader, "true")
	u.markLeaving(w.Header())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// markLeaving lets requests that still run on a draining endpoint tell so.
func (u *Upstream) markLeaving(header http.Header) {
	if u.isLeaving() {
		header.Set(upstrm.LeavingHeader, "true")
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	u.markLeaving(w.Header())
	if u.class == model.Export {
		u.answerExport(w, r)
		return
	}
	answer := ShortResponse(r.URL.Path, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}
