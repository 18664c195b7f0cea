package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tables of the platform's store.
const (
	operatorTable = "op"
	endpointTable = "servers"
)

// row is a row of the store. Rows have an empty part.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type page struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"nowMs"`
}

// store is a small stand-in for the platform's store: rows with conditions and a feed. It
// loses nothing, and its answers are linearizable.
type store struct {
	startedAt time.Time
	// answerTime is how long an answer takes.
	answerTime time.Duration

	mu      sync.Mutex
	rows    map[string]map[string]row
	writes  []row
	ver     uint64
	changed chan struct{}
	// isDown is true while the store answers every call with status 503, so that nothing is
	// done.
	isDown bool
}

func newStore(answerTime time.Duration) *store {
	return &store{startedAt: time.Now(), answerTime: answerTime, rows: make(map[string]map[string]row), changed: make(chan struct{})}
}

// setDown starts or ends an outage.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// put writes a row for the operator or an endpoint. It returns false while the store is down.
func (s *store) put(table, key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	s.ver++
	s.apply(row{Table: table, Key: key, Value: []byte(value), Ver: s.ver})
	return true
}

// remove removes a row for the operator.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Ver: s.ver, Removed: true})
}

// apply stores a row. s.mu is held.
func (s *store) apply(changed row) {
	if s.rows[changed.Table] == nil {
		s.rows[changed.Table] = make(map[string]row)
	}
	if changed.Removed {
		delete(s.rows[changed.Table], changed.Key)
	} else {
		s.rows[changed.Table][changed.Key] = changed
	}
	s.writes = append(s.writes, changed)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isDown
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(s.answerTime)
	writer.Header().Set("Store-Era", "0")
	if !s.isUp() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.Method + " " + request.URL.Path {
	case "GET /rows-get":
		s.list(writer, request)
	case "GET /rows-feed":
		s.feed(writer, request)
	case "POST /rows-tx":
		s.transact(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(writer http.ResponseWriter, status int, content page) {
	content.NowMs = time.Since(s.startedAt).Milliseconds()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// An error means that the caller has left.
	_ = json.NewEncoder(writer).Encode(content)
}

func (s *store) list(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mu.Lock()
	listed := page{Ver: s.ver}
	for _, each := range s.rows[query.Get("table")] {
		if each.Key >= query.Get("from") && (query.Get("to") == "" || each.Key < query.Get("to")) {
			listed.Rows = append(listed.Rows, each)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(listed.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(writer, http.StatusOK, listed)
}

func (s *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := page{Ver: s.ver}
		for _, each := range s.writes {
			if each.Table == query.Get("table") && each.Ver > after {
				found.Rows = append(found.Rows, each)
			}
		}
		changed, isDown := s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(found.Rows) > 0 {
			s.answer(writer, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(writer, http.StatusOK, found)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) transact(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		ExpectedRev []row `json:"expectedRev"`
		PutRows     []row `json:"putRows"`
		Remove      []row `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&transaction); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var differing []row
	for _, expected := range transaction.ExpectedRev {
		current := s.rows[expected.Table][expected.Key]
		if current.Ver != expected.Ver {
			current.Table, current.Key = expected.Table, expected.Key
			differing = append(differing, current)
		}
	}
	if len(differing) == 0 {
		s.ver++
		for _, each := range transaction.PutRows {
			each.Ver = s.ver
			s.apply(each)
		}
		for _, each := range transaction.Remove {
			each.Ver, each.Removed = s.ver, true
			s.apply(each)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	if len(differing) > 0 {
		s.answer(writer, http.StatusPreconditionFailed, page{Rows: differing, Ver: ver})
		return
	}
	s.answer(writer, http.StatusOK, page{Ver: ver})
}

// serve serves HTTP on a free port of an address until the process ends.
func serve(ip string, handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener, nil
}
