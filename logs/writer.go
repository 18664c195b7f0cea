// Package logs writes log lines without blocking the code that logs.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"filberthold/ring"
)

const (
	// capacity limits the number of lines that wait to be written.
	capacity = 4096
	// maxBatchBytes is the size at which a batch of lines is written. One write for
	// many lines costs less processor time than one for each.
	maxBatchBytes = 64 << 10
	// flushInterval is the time between two flushes, and thus the longest delay of a
	// line unless the output blocks.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines, and Run writes them to an output on its own goroutine. Lines
// are dropped and counted while the buffer is full. Write and Dropped are safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
}

// NewWriter returns a writer. Nothing is written to out before Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte](capacity)}
}

// Write implements io.Writer. It does not block and does not return errors.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes the buffered lines until ctx ends, and then those that are left. After
// each flush but the last it logs how many lines were dropped since the previous
// report. It returns the first error of the output; later lines fill the buffer and
// are then dropped.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return w.flush()
		}
		if err := w.flush(); err != nil {
			return err
		}
		if dropped := w.Dropped(); dropped > reported {
			slog.New(slog.NewJSONHandler(w, nil)).Warn("log lines dropped", "count", dropped-reported, "total", dropped)
			reported = dropped
		}
	}
}

// flush writes the buffered lines in batches.
func (w *Writer) flush() error {
	var batch []byte
	for w.lines.Len() > 0 {
		batch = append(batch, <-w.lines.Items()...)
		if len(batch) < maxBatchBytes && w.lines.Len() > 0 {
			continue
		}
		if _, err := w.out.Write(batch); err != nil {
			return fmt.Errorf("write log lines: %w", err)
		}
		batch = batch[:0]
	}
	return nil
}
