package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filberthold/audit"
	"filberthold/model"
	"filberthold/place"
	"filberthold/replay"
	"filberthold/store"
)

const (
	// segmentInterval is the longest time that records wait for a segment in a
	// deployment of fewer than largeDeploymentHosts. It bounds the loss of records
	// when a host crashes.
	segmentInterval = time.Second
	// largeDeploymentSegmentInterval replaces segmentInterval in a large
	// deployment. With it, 680 hosts make 68 of the several hundred writes a second
	// that the store handles.
	largeDeploymentSegmentInterval = 10 * time.Second
	// largeDeploymentHosts is the number of hosts from which a deployment is large.
	largeDeploymentHosts = 100
	// segmentBytes is the size of buffered records at which a segment is made
	// before the interval ends.
	segmentBytes = 256 << 10
	// maxSegmentBytes bounds the records in a segment. After an outage a host
	// stores a full buffer in 8 writes. With segmentBytes it would need 64 of the
	// several hundred writes a second that all hosts share.
	maxSegmentBytes = 2 << 20
	// storeTimeout bounds one attempt to store a segment.
	storeTimeout = 5 * time.Second
	// firstBackoff is the wait after the first failed attempt.
	firstBackoff = 100 * time.Millisecond
	// maxBackoff bounds the wait between attempts, so that records do not stay in
	// memory long after an outage.
	maxBackoff = 5 * time.Second
	// flushTimeout bounds how long a graceful shutdown waits for the store.
	flushTimeout = 10 * time.Second
)

// errOverwritten is returned if the store has an object with a segment's name
// and other contents.
var errOverwritten = errors.New("an object with the segment's name has other contents")

// ObjectStore stores segments as objects. An object is created once and never
// changed.
type ObjectStore interface {
	PutObject(ctx context.Context, name string, body []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
}

// Archive buffers the audit records of an entry host and stores them in
// segments.
type Archive struct {
	log   *slog.Logger
	store ObjectStore
	chain *audit.Chain
	// segmentReady gets an item when the buffer holds thresholdBytes.
	segmentReady chan struct{}
	// closed is closed after the last record and ends the loop.
	closed chan struct{}
	// isDiscarding is true if Close drops the records that are not yet stored.
	isDiscarding atomic.Bool
	// sealed is the finished segment that is not yet stored, and sealedRecords the
	// number of its records. isFinalSealed is true after the final segment was
	// sealed. Only the loop uses these fields.
	sealed        audit.SegmentObject
	sealedRecords int
	isFinalSealed bool

	mu sync.Mutex
	// buffer bounds the memory for records that are not yet stored.
	buffer     *audit.Buffer
	deployment *model.Deployment
	requests   map[place.RequestID]openRequest
	attempts   map[place.AttemptID]openAttempt
	interval   time.Duration
	// thresholdBytes is the size of buffered records at which a segment is made
	// before the interval ends, or 0 if segments are made only at intervals.
	thresholdBytes int
}

// openRequest is a request that placement has not ended, with the class of its
// service.
type openRequest struct {
	request place.Request
	class   string
}

// openAttempt is an attempt in flight, with the properties that its records
// contain.
type openAttempt struct {
	openRequest
	endpoint model.EndpointName
	number   int
}

// NewArchive returns the archive of one incarnation of a host.
func NewArchive(log *slog.Logger, objects ObjectStore, host model.HostName, incarnation string) (*Archive, error) {
	chain, err := audit.NewChain(host, incarnation)
	if err != nil {
		return nil, fmt.Errorf("make chain: %w", err)
	}
	buffer, err := audit.NewBuffer(audit.MemoryLimit)
	if err != nil {
		return nil, fmt.Errorf("make buffer: %w", err)
	}
	return &Archive{
		log: log, store: objects, chain: chain, buffer: buffer,
		segmentReady: make(chan struct{}, 1), closed: make(chan struct{}),
		requests: make(map[place.RequestID]openRequest),
		attempts: make(map[place.AttemptID]openAttempt),
		interval: segmentInterval, thresholdBytes: segmentBytes,
	}, nil
}

// Close makes the loop store the remaining records and end. No record may
// follow.
func (a *Archive) Close() { close(a.closed) }

// UnsentBytes returns the memory of the records that are not yet stored,
// including reservations for submits.
func (a *Archive) UnsentBytes() int {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.buffer.UsedBytes()
}

// Discard makes Close drop the records that are not yet stored, as a crash
// would.
func (a *Archive) Discard() { a.isDiscarding.Store(true) }

// loop stores segments until Close is called.
func (a *Archive) loop() error {
	for {
		timer := time.NewTimer(a.currentInterval())
		select {
		case <-timer.C:
		case <-a.segmentReady:
		case <-a.closed:
		}
		timer.Stop()
		a.storeBuffered()
		if a.isClosed() {
			if !a.isDiscarding.Load() {
				a.flush()
			}
			return nil
		}
	}
}

func (a *Archive) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

func (a *Archive) currentInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interval
}

// storeBuffered stores the buffered records. Records that are added meanwhile
// are stored as well if they fill a segment. Fewer records wait for the next
// interval, because the store handles a limited number of writes.
func (a *Archive) storeBuffered() {
	for backoff := newBackoff(); !a.isClosed(); {
		if !a.sealNext(false) {
			return
		}
		err := a.storeSealed(context.Background())
		if err == nil {
			if !a.hasBacklog() {
				return
			}
			backoff = newBackoff()
			continue
		}
		wait := backoff.next()
		a.log.Warn("audit segment not stored", "segment", a.sealed.Name, "error", err, "retryIn", wait)
		select {
		case <-time.After(wait):
		case <-a.closed:
		}
	}
}

func (a *Archive) hasBacklog() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	minBytes := a.thresholdBytes
	if minBytes == 0 {
		minBytes = maxSegmentBytes
	}
	return a.buffer.UnstoredBytes() >= minBytes
}

// flush stores the remaining records within flushTimeout. Without the limit, a
// store outage would delay a graceful shutdown for ever.
func (a *Archive) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for backoff := newBackoff(); ctx.Err() == nil; {
		if !a.sealNext(true) {
			return
		}
		if err := a.storeSealed(ctx); err == nil {
			backoff = newBackoff()
			continue
		}
		select {
		case <-time.After(backoff.next()):
		case <-ctx.Done():
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Error("audit records lost at shutdown", "firstSegment", a.sealed.Name,
		"records", a.sealedRecords+a.buffer.ItemCount())
}

// sealNext makes the next segment unless a sealed one is not yet stored. It
// returns false if there is nothing to store.
func (a *Archive) sealNext(final bool) bool {
	if a.sealed.Name != "" {
		return true
	}
	if a.isFinalSealed {
		return false
	}
	batch, exists, err := a.takeBatch(final)
	if err == nil && !exists {
		return false
	}
	// AppendBatch compresses the records without the lock, because a held lock
	// would block placement.
	if err == nil {
		a.sealed, err = a.chain.AppendBatch(batch, final && batch.IsLast)
	}
	if err != nil {
		a.log.Error("audit segment not made, its records are lost", "error", err)
		return false
	}
	a.sealedRecords = batch.Len()
	a.isFinalSealed = final && batch.IsLast
	return true
}

// takeBatch removes the records of the next segment from the buffer. Only the
// final segment may be empty.
func (a *Archive) takeBatch(final bool) (batch audit.Batch, exists bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.segmentReady:
	default:
	}
	if a.buffer.ItemCount() == 0 && !final {
		return audit.Batch{}, false, nil
	}
	batch, err = a.buffer.TakeBatch(maxSegmentBytes)
	if err != nil {
		return audit.Batch{}, false, fmt.Errorf("take records: %w", err)
	}
	return batch, true, nil
}

// storeSealed makes one attempt to store the sealed segment. If the name
// exists, the response to an earlier attempt was lost, and the contents must be
// the same.
func (a *Archive) storeSealed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.store.PutObject(ctx, a.sealed.Name, a.sealed.Body)
	if errors.Is(err, store.ErrExists) {
		err = a.compareStored(ctx)
	}
	if err != nil {
		return fmt.Errorf("store segment: %w", err)
	}
	a.sealed, a.sealedRecords = audit.SegmentObject{}, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.FreeStored()
	return nil
}

func (a *Archive) compareStored(ctx context.Context) error {
	body, err := a.store.Object(ctx, a.sealed.Name)
	if err != nil {
		return fmt.Errorf("read back: %w", err)
	}
	if !bytes.Equal(body, a.sealed.Body) {
		return errOverwritten
	}
	return nil
}

// backoff returns growing waits with jitter, because hosts that retry at the
// same time would overload the store after an outage.
type backoff struct{ wait time.Duration }

func newBackoff() backoff { return backoff{wait: firstBackoff} }

func (b *backoff) next() time.Duration {
	wait := b.wait
	b.wait = min(2*b.wait, maxBackoff)
	return wait/2 + rand.N(wait/2)
}

// SetTrace makes the host record all events and decisions of placement. It must
// be called before Serve.
func (h *Host) SetTrace(recorder *replay.Recorder) { h.dispatcher.trace = recorder }

// openArchive makes the archive of this incarnation, registers its metrics and
// sets it in the dispatcher.
func (h *Host) openArchive() (*Archive, error) {
	host := model.HostName(h.base.Settings().Host)
	archive, err := NewArchive(h.base.Log(), h.platform, host, h.incarnation)
	if err != nil {
		return nil, err
	}
	if err := archive.register(h.operators.Registry()); err != nil {
		return nil, err
	}
	h.dispatcher.archive = archive
	return archive, nil
}
