package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"filberthold/place"
	"filberthold/upstrm"
)

// export is the response to an export, which several attempts may carry one
// after the other. It belongs to the goroutine of its exchange.
type export struct {
	w       http.ResponseWriter
	control *http.ResponseController
	isHead  bool
	// isStarted is true once the header has been passed on. From then on the
	// response can only be completed or aborted.
	isStarted bool
	// tag is the strong entity tag of the response. It is empty if the
	// response cannot be resumed.
	tag string
	// next is the position of the next byte within the upstream's content.
	next int64
	// end is the position after the last byte, or -1 if it is not known.
	end int64
	// copying is the attempt whose body is being passed on, or nil.
	copying *copying
}

func newExport(w http.ResponseWriter, method string) *export {
	return &export{w: w, control: http.NewResponseController(w), isHead: method == http.MethodHead, end: -1}
}

func (x *export) isCopying() bool { return x.copying != nil }

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
	resumed.Set("If-Range", x.tag)
	return resumed
}

// begin notes which part of which content the first response carries.
func (x *export) begin(reply *upstrm.Response) {
	x.isStarted = true
	tag := reply.Header.Get("ETag")
	if x.isHead || !strings.HasPrefix(tag, `"`) {
		return
	}
	switch reply.Status {
	case http.StatusOK:
		x.tag, x.end = tag, reply.Length
	case http.StatusPartialContent:
		part, err := parseContentRange(reply.Header.Get("Content-Range"))
		if err == nil && reply.Length == part.end-part.first {
			x.tag, x.next, x.end = tag, part.first, part.end
		}
	}
}

// resume checks that a response carries on at the next byte of the same
// content, and to the same end.
func (x *export) resume(reply *upstrm.Response) error {
	if reply.Status != http.StatusPartialContent {
		return fmt.Errorf("resumed response has status %d", reply.Status)
	}
	if tag := reply.Header.Get("ETag"); tag != x.tag {
		return fmt.Errorf("resumed response has entity tag %q in place of %q", tag, x.tag)
	}
	part, err := parseContentRange(reply.Header.Get("Content-Range"))
	if err != nil {
		return fmt.Errorf("resumed response: %w", err)
	}
	wanted := x.end
	if wanted < 0 {
		wanted = part.total
	}
	if part.first != x.next || part.end != wanted || reply.Length != part.end-part.first {
		return fmt.Errorf("resumed response carries bytes %d to %d in place of %d to %d", part.first, part.end, x.next, wanted)
	}
	x.end = wanted
	return nil
}

// wait waits until nothing is written to the caller any more.
func (x *export) wait() {
	if x == nil || x.copying == nil {
		return
	}
	_ = x.control.SetWriteDeadline(time.Now())
	<-x.copying.done
}

// abortStarted breaks the caller's connection if a response has started, so
// that the caller cannot take a part for the whole.
func (e *exchange) abortStarted() {
	if e.export != nil && e.export.isStarted {
		panic(http.ErrAbortHandler)
	}
}

// takeExport starts to pass on the body of a response.
func (e *exchange) takeExport(reply reply) {
	export := e.export
	if export.isCopying() {
		_ = reply.opened.Body.Close()
		reply.err = errors.New("another attempt is being passed on")
		e.reportEnd(reply)
		return
	}
	if export.isStarted {
		if err := export.resume(reply.opened); err != nil {
			_ = reply.opened.Body.Close()
			reply.err = err
			e.giveUp(reply)
		}
	} else {
		export.begin(reply.opened)
		e.passHeader(export.w, reply.opened.Header)
		export.w.WriteHeader(reply.opened.Status)
	}
	e.server.report(place.Responded{Attempt: reply.attempt})
	export.copying = &copying{exchange: e, reply: reply, next: export.next, done: make(chan struct{})}
	e.server.attempts.Add(1)
	go export.copying.run()
}

// takeExportEnd handles the end of an attempt, after which placement may send
// the next one.
func (e *exchange) takeExportEnd(reply reply) {
	e.forget(reply.attempt)
	export := e.export
	var refused *callerError
	if copying := export.copying; copying != nil && copying.reply.attempt == reply.attempt {
		export.copying = nil
		export.next = copying.next
		if errors.As(reply.err, &refused) || (reply.err != nil && export.tag == "") {
			e.giveUp(reply)
		}
	}
	e.reportEnd(reply)
}

// giveUp breaks the caller's connection. Placement learns first that the
// request is over, so that it sends no further attempt.
func (e *exchange) giveUp(reply reply) {
	e.server.base.Log().Warn("export aborted", "request", e.request.ID, "error", reply.err)
	e.server.report(place.Abandoned{Request: e.request.ID})
	e.reportEnd(reply)
	panic(http.ErrAbortHandler)
}

// callerError reports that the caller takes no more bytes. It does not unwrap
// to its cause, which must not be taken for an error of the upstream.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "pass on export: " + e.cause.Error() }

// copying passes the body of one attempt on to the caller.
type copying struct {
	exchange *exchange
	reply    reply
	// next is the position of the next byte. The exchange reads it after the
	// end of the copy only.
	next int64
	done chan struct{}
}

func (c *copying) run() {
	defer c.exchange.server.attempts.Done()
	first := c.next
	err := c.copy()
	_ = c.reply.opened.Body.Close()
	close(c.done)
	c.exchange.hand(reply{attempt: c.reply.attempt, leaving: c.reply.leaving, progressed: c.next > first, err: err})
}

func (c *copying) copy() error {
	export := c.exchange.export
	buffer := make([]byte, pieceBytes)
	if err := c.pass(nil); err != nil {
		return err
	}
	for {
		count, err := c.reply.opened.Body.Read(buffer)
		if count > 0 {
			if err := c.pass(buffer[:count]); err != nil {
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

// pass writes bytes to the caller as they arrive.
func (c *copying) pass(data []byte) error {
	written, err := writePieces(c.exchange.export.w, data, c.proceed)
	c.next += int64(written)
	if err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// proceed fails once the exchange has ended. It is called after a deadline was
// set, so that it cannot undo the one that export.wait sets after the end.
func (c *copying) proceed() error {
	select {
	case <-c.exchange.ended:
		return errors.New("request has ended")
	default:
		return nil
	}
}

// contentRange is a part of some content, from first up to but without end.
type contentRange struct {
	first, end int64
	// total is the length of the content, or -1 if it is not known.
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
