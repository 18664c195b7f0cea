package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthold/audit"
	"filberthold/config"
	"filberthold/model"
	"filberthold/place"
	"filberthold/replay"
	"filberthold/store"

	"gotest.tools/v3/assert"
)

var errOutage = errors.New("store is down")

// memoryStore is an object store in memory. It can be down, delay requests, or
// store an object and report an error once.
type memoryStore struct {
	mu            sync.Mutex
	objects       map[string][]byte
	isDown        bool
	latency       time.Duration
	dropsResponse bool
}

func (s *memoryStore) setFaults(isDown, dropsResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown, s.dropsResponse = isDown, dropsResponse
}

func (s *memoryStore) PutObject(_ context.Context, name string, body []byte) error {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return errOutage
	}
	if _, exists := s.objects[name]; exists {
		return store.ErrExists
	}
	s.objects[name] = slices.Clone(body)
	if s.dropsResponse {
		s.dropsResponse = false
		return errOutage
	}
	return nil
}

func (s *memoryStore) Object(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name], nil
}

// verify checks the chain and returns its records.
func (s *memoryStore) verify(t *testing.T) ([]audit.Record, audit.Report) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	var segments []audit.SegmentObject
	var records []audit.Record
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		segments = append(segments, audit.SegmentObject{Name: name, Body: s.objects[name]})
		segment, err := audit.DecodeSegment(s.objects[name])
		assert.NilError(t, err)
		records = append(records, segment.Records...)
	}
	report, err := audit.Verify(segments, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
	return records, report
}

// runningArchive is an archive whose loop runs, with a read service and a submit
// service.
type runningArchive struct {
	*Archive
	store  *memoryStore
	log    bytes.Buffer
	result chan error
}

func startArchive(t *testing.T) *runningArchive {
	t.Helper()
	a := &runningArchive{store: &memoryStore{objects: make(map[string][]byte)}, result: make(chan error, 1)}
	var err error
	a.Archive, err = NewArchive(slog.New(slog.NewTextHandler(&a.log, nil)), a.store, "plzen-a-1", "run-1")
	assert.NilError(t, err)
	deployment, err := model.NewDeployment(model.DeploymentSpec{Services: []model.Service{
		model.NewService(model.ServiceSpec{Name: "diary-view", Class: model.Read}),
		model.NewService(model.ServiceSpec{Name: "filing-desk", Class: model.Submit}),
	}})
	assert.NilError(t, err)
	a.Record(place.Adopted{Deployment: deployment, Revision: 1}, nil, time.Now())
	go func() { a.result <- a.loop() }()
	return a
}

// recordRequest records a request with one successful attempt, in the order of
// calls that the dispatcher uses.
func (a *runningArchive) recordRequest(service model.ServiceName, id string) error {
	request := place.Request{ID: place.RequestID(id), Service: service, Customer: "resident"}
	if err := a.Reserve(request, time.Now()); err != nil {
		return err
	}
	send := place.Send{Request: request.ID, Attempt: 1, Endpoint: "e-01", Reason: strings.Repeat("x", 150)}
	a.Record(place.Arrived{Request: request}, []place.Decision{send}, time.Now())
	a.Record(place.Finished{Attempt: 1, Result: place.Succeeded},
		[]place.Decision{place.Deliver{Request: request.ID, Attempt: 1}}, time.Now())
	return nil
}

func (a *runningArchive) stop(t *testing.T) {
	t.Helper()
	a.Close()
	assert.NilError(t, <-a.result)
}

// Guards against lost records of submits in a store outage that fills the
// buffer, and against submits that are admitted without room for their records.
func TestOutageLosesNoSubmitRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startArchive(t)
		a.store.setFaults(true, false)
		admitted, refused := 0, 0
		for i := range 12000 {
			assert.NilError(t, a.recordRequest("diary-view", fmt.Sprintf("read-%d", i)))
			if err := a.recordRequest("filing-desk", fmt.Sprintf("submit-%d", i)); err != nil {
				assert.Assert(t, errors.Is(err, audit.ErrFull), "%v", err)
				refused++
			} else {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Check(t, a.buffer.UsedBytes() <= audit.MemoryLimit)
		assert.Check(t, refused > 0 && admitted > 0, "refused %d, admitted %d", refused, admitted)
		a.store.setFaults(false, false)
		time.Sleep(maxBackoff)
		synctest.Wait()
		assert.NilError(t, a.recordRequest("filing-desk", "after"))
		a.stop(t)

		records, report := a.store.verify(t)
		assert.Assert(t, report.Closed)
		delivered := 0
		for _, record := range records {
			if record.Class == "submit" && record.Kind == audit.Delivered {
				delivered++
			}
		}
		assert.Equal(t, delivered, admitted+1)
		assert.Assert(t, report.Dropped > 0)
		assert.Equal(t, report.Dropped, a.buffer.Dropped())
	})
}

// Guards against a crash that loses the records of more than one segment
// interval.
func TestCrashLosesAtMostOneInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startArchive(t)
		for i := range 100 {
			assert.NilError(t, a.recordRequest("filing-desk", fmt.Sprintf("submit-%d", i)))
			time.Sleep(130 * time.Millisecond)
			synctest.Wait()
			records, _ := a.store.verify(t)
			stored := uint64(len(records))
			// Requests up to i-7 are older than one interval.
			oldest := 4 * uint64(max(0, i-6))
			assert.Check(t, stored >= oldest, "after request %d: %d records stored, want %d", i, stored, oldest)
		}
		a.stop(t)
	})
}

// Guards against many small segments under steady load. The store does not
// handle that many writes from all hosts.
func TestSteadyLoadStoresOneSegmentPerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startArchive(t)
		a.store.latency = 5 * time.Millisecond
		const seconds = 10
		for i := range seconds * 50 {
			assert.Check(t, a.recordRequest("filing-desk", fmt.Sprintf("submit-%d", i)))
			time.Sleep(20 * time.Millisecond)
		}
		a.stop(t)
		_, report := a.store.verify(t)
		assert.Check(t, report.Head.Segment <= seconds+1, "%d segments in %d s", report.Head.Segment, seconds)
	})
}

// Guards against a segment that is stored twice or lost because the store's
// response was lost.
func TestLostStoreResponseStoresSegmentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startArchive(t)
		a.store.setFaults(false, true)
		assert.NilError(t, a.recordRequest("filing-desk", "first"))
		time.Sleep(segmentInterval + maxBackoff)
		assert.NilError(t, a.recordRequest("filing-desk", "second"))
		a.stop(t)
		records, report := a.store.verify(t)
		assert.Equal(t, len(records), 9)
		assert.Assert(t, report.Closed)
	})
}

// Guards against a store outage that delays a graceful shutdown for ever, and
// against lost records that are not logged.
func TestFlushDuringOutageEndsAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startArchive(t)
		a.store.setFaults(true, false)
		assert.NilError(t, a.recordRequest("filing-desk", "first"))
		begin := time.Now()
		a.stop(t)
		assert.Assert(t, time.Since(begin) <= flushTimeout+storeTimeout)
		assert.Assert(t, strings.Contains(a.log.String(), "audit records lost at shutdown") && strings.Contains(a.log.String(), "records=5"), a.log.String())
	})
}

// Guards against events and decisions of the dispatcher that are missing in the
// audit records or in the trace.
func TestDecisionsAreInArchiveAndTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startArchive(t)
		dispatcher := NewDispatcher(slog.New(slog.NewTextHandler(io.Discard, nil)), place.New("plzen-a-1"))
		dispatcher.archive = a.Archive
		trace := &bytes.Buffer{}
		recorder, err := replay.NewRecorder(trace, "plzen-a-1", config.Steered)
		assert.NilError(t, err)
		dispatcher.trace = recorder
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = dispatcher.loop(ctx) }()
		claimed := place.Request{ID: "r0", Service: "filing-desk", Customer: "resident"}
		assert.NilError(t, dispatcher.Reserve(claimed))
		reservedBytes := a.buffer.UsedBytes()
		assert.NilError(t, dispatcher.Reserve(claimed))
		assert.Equal(t, a.buffer.UsedBytes(), reservedBytes)
		answered := place.Answered{Request: claimed, Outcome: model.Pending, Reason: "another attempt holds the key"}
		assert.NilError(t, dispatcher.Report(ctx, answered))
		decisions, err := dispatcher.Open(ctx, place.Request{ID: "r1", Service: "filing-desk", Customer: "resident"})
		assert.NilError(t, err)
		assert.Equal(t, (<-decisions).RequestID(), place.RequestID("r1"))
		answered = place.Answered{Request: place.Request{ID: "r1", Service: "filing-desk"}, Outcome: model.NotSent}
		assert.NilError(t, dispatcher.Report(ctx, answered))
		answered = place.Answered{Request: place.Request{ID: "r2", Service: "diary-view"}, Outcome: model.NotSent}
		assert.NilError(t, dispatcher.Report(ctx, answered))
		synctest.Wait()
		cancel()
		synctest.Wait()
		a.stop(t)
		records, _ := a.store.verify(t)
		assert.Equal(t, len(records), 6)
		assert.Assert(t, records[5].Kind == audit.Refused && records[5].IsFinal(), "a read is refused before placement")
		assert.Equal(t, records[1].Outcome, string(model.Pending))
		assert.Equal(t, records[2].Kind, audit.Admitted)
		assert.Equal(t, records[3].Kind, audit.Refused)
		assert.Equal(t, records[4].Kind, audit.Answered)
		assert.Equal(t, a.buffer.UsedBytes(), 0)
		assert.NilError(t, recorder.Close())
		result, err := replay.Run(trace)
		assert.NilError(t, err)
		assert.DeepEqual(t, result.Outcomes, map[place.RequestID]model.Outcome{"r1": model.NotSent})
		assert.Equal(t, len(result.Differences), 0)
	})
}
