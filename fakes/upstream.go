package fakes

import (
	"io"
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
	ledger   *Ledger
	// slots has one element for each request in execution.
	slots       chan struct{}
	serviceTime time.Duration
	exportBytes int
	mu          sync.Mutex
	leaving     bool
}

// NewUpstream returns a stand-in that answers after a service time.
func NewUpstream(endpoint model.Endpoint, class model.Class, ledger *Ledger, serviceTime time.Duration) *Upstream {
	return &Upstream{
		endpoint:    endpoint,
		class:       class,
		ledger:      ledger,
		slots:       make(chan struct{}, endpoint.Slots()),
		serviceTime: serviceTime,
		exportBytes: DefaultExportBytes,
	}
}

// Leave makes the endpoint refuse new work.
func (u *Upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// ServeHTTP answers the upstream protocol.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
		return
	case "/load":
		writeJSON(w, http.StatusOK, upstrm.Load{BusySlots: len(u.slots), Slots: cap(u.slots)})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if u.refuses(w, r) {
		return
	}
	defer func() { <-u.slots }()
	u.ledger.started(r.Header.Get("Idempotency-Key"))
	select {
	case <-time.After(u.serviceTime):
	case <-r.Context().Done():
		if u.class != model.Submit {
			return
		}
	}
	u.answer(w, r, body)
}

// refuses reports whether the request must not start, and answers it then.
func (u *Upstream) refuses(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	leaving := u.leaving
	u.mu.Unlock()
	if leaving {
		w.Header().Set(upstrm.LeavingHeader, "true")
		refuse(w, "leaving")
		return true
	}
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get(upstrm.DeadlineHeader))
	if err == nil && time.Now().After(deadline) {
		refuse(w, "deadline has passed")
		return true
	}
	select {
	case u.slots <- struct{}{}:
		return false
	default:
		u.ledger.overcommitted()
		refuse(w, "no free slot")
		return true
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(upstrm.NotStartedHeader, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	if u.class != model.Export {
		_, _ = w.Write(ShortAnswer(r.URL.Path, body))
		return
	}
	content := ExportContent(r.URL.Path, u.exportBytes)
	w.Header().Set("ETag", strconv.Quote(r.URL.Path))
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}
