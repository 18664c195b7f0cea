package fakes

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// exportPiece is sent at once; a paced export sleeps between pieces.
const exportPiece = 8 << 10

// answerExport sends an export with range requests, If-Range and a strong
// entity tag, at the configured rate.
func (u *Upstream) answerExport(w http.ResponseWriter, r *http.Request) {
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
	if paced.broken {
		panic(http.ErrAbortHandler)
	}
}

// pacedWriter sends the body of an export in pieces.
type pacedWriter struct {
	http.ResponseWriter
	request   *http.Request
	upstream  *Upstream
	behaviour Behaviour
	sent      int
	broken    bool
}

// Write sends a part of the body.
func (w *pacedWriter) Write(part []byte) (int, error) {
	written := 0
	for written < len(part) {
		if err := w.fault(); err != nil {
			return written, err
		}
		piece := part[written:min(len(part), written+w.pieceSize())]
		count, err := w.ResponseWriter.Write(piece)
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

// pieceSize returns the size of the next piece, which ends where a fault is due.
func (w *pacedWriter) pieceSize() int {
	size := exportPiece
	for _, limit := range []int{w.behaviour.AbortAfterBytes, w.behaviour.StallAfterBytes} {
		if limit > w.sent {
			size = min(size, limit-w.sent)
		}
	}
	return size
}

func (w *pacedWriter) fault() error {
	switch {
	case w.behaviour.AbortAfterBytes > 0 && w.sent >= w.behaviour.AbortAfterBytes:
		w.broken = true
		return errors.New("connection is cut")
	case w.behaviour.StallAfterBytes > 0 && w.sent >= w.behaviour.StallAfterBytes:
		<-w.request.Context().Done()
		w.broken = true
		return errors.New("receiver has gone")
	}
	return nil
}

func (w *pacedWriter) pause(sent int) error {
	if w.behaviour.ExportBytesPerSecond <= 0 {
		return nil
	}
	w.upstream.mu.Lock()
	factor := w.upstream.straggling(time.Now())
	w.upstream.mu.Unlock()
	seconds := factor * float64(sent) / float64(w.behaviour.ExportBytesPerSecond)
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return nil
	case <-w.request.Context().Done():
		w.broken = true
		return errors.New("receiver has gone")
	}
}
