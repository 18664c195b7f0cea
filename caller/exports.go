package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthold/drain"
	"filberthold/place"
	"filberthold/upstrm"
)

// export is the response to a request of class Export. Several attempts may
// provide its body, one after the other. Only the goroutine of the exchange changes
// it; a bodyCopy reads it and writes to w.
type export struct {
	// caller is the request of the caller.
	caller  *http.Request
	w       http.ResponseWriter
	control *http.ResponseController
	isHead  bool
	// isStarted is set just before the header is written. Then the response can
	// only be completed or aborted.
	isStarted bool
	// etag is the strong entity tag of the response. It is empty if the
	// response cannot be resumed.
	etag string
	// next is the position of the next byte within the upstream's content.
	next int64
	// end is the position after the last byte, or -1 if it is unknown.
	end int64
	// active is the copy in progress, or nil.
	active *bodyCopy
}

func newExport(w http.ResponseWriter, caller *http.Request) *export {
	return &export{caller: caller, w: w, control: http.NewResponseController(w), isHead: caller.Method == http.MethodHead, end: -1}
}

func (x *export) isCopying() bool { return x.active != nil }

// requestHeader returns the header of the next attempt, which resumes the
// response if it has started.
func (x *export) requestHeader(header http.Header) http.Header {
	if !x.isStarted {
		return header
	}
	resumed := header.Clone()
	last := ""
	if x.end >= 0 {
		last = strconv.FormatInt(x.end-1, 10)
	}
	resumed.Set("Range", fmt.Sprintf("bytes=%d-%s", x.next, last))
	resumed.Set("If-Range", x.etag)
	return resumed
}

// recordStart records the entity tag and the byte range of the first response.
func (x *export) recordStart(response *upstrm.Response) {
	x.isStarted = true
	etag := response.Header.Get("ETag")
	if x.isHead || !strings.HasPrefix(etag, `"`) {
		return
	}
	switch response.Status {
	case http.StatusOK:
		x.etag, x.end = etag, response.Length
	case http.StatusPartialContent:
		part, err := parseContentRange(response.Header.Get("Content-Range"))
		if err == nil && response.Length == part.end-part.first {
			x.etag, x.next, x.end = etag, part.first, part.end
		}
	}
}

// checkResumed checks that a response continues the same content at the next
// byte, and has the same end. If the end was unknown, checkResumed sets it to
// the total length of the content.
func (x *export) checkResumed(response *upstrm.Response) error {
	if response.Status != http.StatusPartialContent {
		return fmt.Errorf("resumed response has status %d", response.Status)
	}
	if etag := response.Header.Get("ETag"); etag != x.etag {
		return fmt.Errorf("resumed response has entity tag %q in place of %q", etag, x.etag)
	}
	part, err := parseContentRange(response.Header.Get("Content-Range"))
	if err != nil {
		return fmt.Errorf("resumed response: %w", err)
	}
	wantedEnd := x.end
	if wantedEnd < 0 {
		wantedEnd = part.total
	}
	if part.first != x.next || part.end != wantedEnd || response.Length != part.end-part.first {
		return fmt.Errorf("resumed response carries bytes %d to %d in place of %d to %d", part.first, part.end, x.next, wantedEnd)
	}
	x.end = wantedEnd
	return nil
}

// stopWriting makes a write in progress fail and waits for the end of the copy.
func (x *export) stopWriting() {
	if x == nil || x.active == nil {
		return
	}
	_ = x.control.SetWriteDeadline(time.Now())
	<-x.active.done
}

// abortStartedResponse aborts the caller's connection if a response has started.
// Otherwise the caller could take an incomplete response for a complete one.
func (e *exchange) abortStartedResponse() {
	if e.export != nil && e.export.isStarted {
		drain.Abort(e.export.caller)
	}
}

// startCopy starts to copy the body of a response to the caller, or aborts the
// caller's connection if the response does not continue the one before it.
// While another copy runs, it closes the response and reports the end of the
// attempt.
func (e *exchange) startCopy(update attemptUpdate) {
	export := e.export
	if export.isCopying() {
		_ = update.opened.Body.Close()
		update.err = errors.New("another attempt is being passed on")
		e.reportEnd(update)
		return
	}
	if export.isStarted {
		if err := export.checkResumed(update.opened); err != nil {
			_ = update.opened.Body.Close()
			update.err = err
			e.abort(update)
		}
	} else {
		export.recordStart(update.opened)
		e.copyHeader(export.w, update.opened.Header)
		export.w.WriteHeader(update.opened.Status)
	}
	e.server.report(place.Responded{Attempt: update.attempt, Leaving: update.leaving})
	export.active = &bodyCopy{exchange: e, update: update, next: export.next, done: make(chan struct{})}
	e.server.attempts.Add(1)
	go export.active.run()
}

// handleExportEnd handles the end of an attempt, after which placement may send the
// next one. It aborts the caller's connection if the write to the caller failed or
// no attempt can continue the response.
func (e *exchange) handleExportEnd(update attemptUpdate) {
	e.cancelAttempt(update.attempt)
	export := e.export
	var writeError *callerError
	if ended := export.active; ended != nil && ended.update.attempt == update.attempt {
		export.active = nil
		export.next = ended.next
		if errors.As(update.err, &writeError) || (update.err != nil && export.etag == "") {
			e.abort(update)
		}
	}
	e.reportEnd(update)
}

// abort aborts the caller's connection. It first reports the request to
// placement as abandoned, which prevents further attempts. It panics and does
// not return.
func (e *exchange) abort(update attemptUpdate) {
	e.server.base.Log().Warn("export aborted", "request", e.request.ID, "error", update.err)
	e.server.report(place.Abandoned{Request: e.request.ID})
	e.reportEnd(update)
	drain.Abort(e.export.caller)
}

// callerError reports that the write to the caller failed. It has no Unwrap
// method, because its cause would be handled as an error of the upstream.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "pass on export: " + e.cause.Error() }

// bodyCopy copies the body of one attempt's response to the caller.
type bodyCopy struct {
	exchange *exchange
	update   attemptUpdate
	// next is the position of the next byte. The exchange reads it only after
	// the end of the copy.
	next int64
	done chan struct{}
}

func (c *bodyCopy) run() {
	defer c.exchange.server.attempts.Done()
	first := c.next
	err := c.copy()
	_ = c.update.opened.Body.Close()
	close(c.done)
	c.exchange.sendUpdate(attemptUpdate{attempt: c.update.attempt, leaving: c.update.leaving, progressed: c.next-first >= place.MinExportProgress, err: err})
}

func (c *bodyCopy) copy() error {
	export := c.exchange.export
	buffer := make([]byte, chunkBytes)
	if err := c.write(nil); err != nil {
		return err
	}
	for {
		count, err := c.update.opened.Body.Read(buffer)
		if count > 0 {
			if err := c.write(buffer[:count]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && export.end >= 0 && c.next != export.end:
			return fmt.Errorf("export ends at byte %d of %d: %w", c.next, export.end, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("export breaks at byte %d: %w", c.next, err)
		}
	}
}

// write writes bytes to the caller and flushes them.
func (c *bodyCopy) write(data []byte) error {
	written, err := writeChunks(c.exchange.export.w, data, c.checkOpen)
	c.next += int64(written)
	if err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// checkOpen returns an error after the exchange has ended. It is called after each
// new write deadline, which may have replaced the one of export.stopWriting.
func (c *bodyCopy) checkOpen() error {
	select {
	case <-c.exchange.ended:
		return errors.New("request has ended")
	default:
		return nil
	}
}

// contentRange is the byte range of a part of the content. It includes first and
// excludes end.
type contentRange struct {
	first, end int64
	// total is the length of the content, or -1 if it is unknown.
	total int64
}

func parseContentRange(text string) (contentRange, error) {
	malformed := fmt.Errorf("malformed Content-Range %q", text)
	span, total, hasTotal := strings.Cut(strings.TrimPrefix(text, "bytes "), "/")
	first, last, hasLast := strings.Cut(span, "-")
	if !strings.HasPrefix(text, "bytes ") || !hasTotal || !hasLast {
		return contentRange{}, malformed
	}
	parsed := contentRange{total: -1}
	var errs [3]error
	parsed.first, errs[0] = strconv.ParseInt(first, 10, 64)
	parsed.end, errs[1] = strconv.ParseInt(last, 10, 64)
	if total != "*" {
		parsed.total, errs[2] = strconv.ParseInt(total, 10, 64)
	}
	parsed.end++
	if errors.Join(errs[:]...) != nil || parsed.first < 0 || parsed.first >= parsed.end {
		return contentRange{}, malformed
	}
	return parsed, nil
}
