package fakes

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// exportChunkBytes is the size of the chunks in which an export is sent, in
// bytes. An export with a limited rate sleeps after each chunk.
const exportChunkBytes = 8 << 10

// respondExport sends an export at the configured rate. It supports range
// requests and If-Range, and sets a strong entity tag.
func (u *Upstream) respondExport(w http.ResponseWriter, r *http.Request) {
	behaviour := u.Behaviour()
	tag := behaviour.ExportTag
	if tag == "" {
		tag = strconv.Quote(r.URL.Path)
	}
	w.Header().Set("ETag", tag)
	w.Header().Set("Content-Type", "application/octet-stream")
	if behaviour.IgnoreRange {
		r.Header.Del("Range")
	}
	content := ExportContent(r.URL.Path, behaviour.ExportBytes)
	paced := &pacedWriter{ResponseWriter: w, request: r, upstream: u, behaviour: behaviour}
	http.ServeContent(paced, r, "", time.Time{}, bytes.NewReader(content))
	if paced.aborted {
		panic(http.ErrAbortHandler)
	}
}

// pacedWriter sends the body of an export in chunks and injects its faults.
type pacedWriter struct {
	http.ResponseWriter
	request   *http.Request
	upstream  *Upstream
	behaviour Behaviour
	sent      int
	aborted   bool
}

// Write sends a part of the body.
func (w *pacedWriter) Write(part []byte) (int, error) {
	written := 0
	for written < len(part) {
		if err := w.injectFault(); err != nil {
			return written, err
		}
		chunk := part[written:min(len(part), written+w.chunkSize())]
		count, err := w.ResponseWriter.Write(chunk)
		written += count
		w.sent += count
		if err != nil {
			return written, err
		}
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		if err := w.pause(count); err != nil {
			return written, err
		}
	}
	return written, nil
}

// chunkSize returns the size of the next chunk, which ends where a fault
// occurs.
func (w *pacedWriter) chunkSize() int {
	size := exportChunkBytes
	for _, limit := range []int{w.behaviour.AbortAfterBytes, w.behaviour.StallAfterBytes} {
		if limit > w.sent {
			size = min(size, limit-w.sent)
		}
	}
	return size
}

func (w *pacedWriter) injectFault() error {
	switch {
	case w.behaviour.AbortAfterBytes > 0 && w.sent >= w.behaviour.AbortAfterBytes:
		w.aborted = true
		return errors.New("connection is aborted")
	case w.behaviour.StallAfterBytes > 0 && w.sent >= w.behaviour.StallAfterBytes:
		<-w.request.Context().Done()
		w.aborted = true
		return errors.New("receiver has disconnected")
	}
	return nil
}

func (w *pacedWriter) pause(sent int) error {
	if w.behaviour.ExportBytesPerSecond <= 0 {
		return nil
	}
	w.upstream.mu.Lock()
	factor := w.upstream.slowFactorAt(time.Now())
	w.upstream.mu.Unlock()
	seconds := factor * float64(sent) / float64(w.behaviour.ExportBytesPerSecond)
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return nil
	case <-w.request.Context().Done():
		w.aborted = true
		return errors.New("receiver has disconnected")
	}
}
