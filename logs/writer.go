// Package logs writes log lines without ever blocking the code that logs.
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
	// capacity bounds the lines that wait to be written.
	capacity = 4096
	// maxBatchBytes bounds what is written at once. One write for many lines
	// costs less processor time than one for each.
	maxBatchBytes = 64 << 10
	// interval is how often lines are written. A line is at most this late.
	interval = 100 * time.Millisecond
)

// Writer passes lines to an output on a goroutine of its own. Lines that find
// no room are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
}

// NewWriter returns a writer; nothing is written before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte](capacity)}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
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
