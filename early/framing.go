package early

import (
	"bytes"
	"net/textproto"
	"strconv"
	"strings"
)

// framing tells where the requests of a connection begin. Where net/http might see
// another beginning, it gives up: a request that net/http does not read must not run.
type framing struct {
	// bodyLeft is the number of bytes until the next request begins.
	bodyLeft int64
	// isOpaque is true once it is not known where a request ends. All bytes are then
	// passed on as they come.
	isOpaque bool
}

// isAtHead reports whether the next byte is the first of a request.
func (f *framing) isAtHead() bool { return !f.isOpaque && f.bodyLeft == 0 }

// next returns the number of pending bytes that may be passed on at once: those up to
// the end of a head, or of a body. It is 0 if the rest of the head must arrive first.
func (f *framing) next(pending []byte) int {
	if f.isOpaque || len(pending) >= maxPending {
		return len(pending)
	}
	if f.bodyLeft > 0 {
		return int(min(f.bodyLeft, int64(len(pending))))
	}
	return headLength(pending)
}

// advance records that bytes were passed on. A head that is passed on in part ends the
// framing.
func (f *framing) advance(passed []byte) {
	switch {
	case f.isOpaque || len(passed) == 0:
	case f.bodyLeft > 0:
		f.bodyLeft -= int64(len(passed))
	case headLength(passed) == len(passed):
		f.bodyLeft, f.isOpaque = bodyLength(passed)
	default:
		f.isOpaque = true
	}
}

// headLength returns the length of the head at the beginning of some bytes, or 0 if its
// end is missing. net/http accepts lines that end without a carriage return.
func headLength(content []byte) int {
	for offset := 0; ; {
		end := bytes.IndexByte(content[offset:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(content[offset:offset+end], []byte("\r"))
		offset += end + 1
		if len(line) == 0 {
			return offset
		}
	}
}

// bodyLength returns the length of a request's body by its head. It returns true if it
// is not certain where the request ends, or that another one follows.
func bodyLength(head []byte) (int64, bool) {
	requestLine, fields, _ := strings.Cut(string(head), "\n")
	if !strings.HasSuffix(strings.TrimSuffix(requestLine, "\r"), " HTTP/1.1") {
		return 0, true
	}
	length, hasLength := int64(0), false
	for line := range strings.SplitSeq(strings.TrimRight(fields, "\r\n"), "\n") {
		line = strings.TrimSuffix(line, "\r")
		name, value, isField := strings.Cut(line, ":")
		if !isField && line != "" || strings.ContainsAny(name, " \t\r") {
			return 0, true
		}
		switch textproto.CanonicalMIMEHeaderKey(name) {
		case "Transfer-Encoding", "Upgrade", "Expect":
			return 0, true
		case "Connection":
			if !strings.EqualFold(strings.TrimSpace(value), "keep-alive") {
				return 0, true
			}
		case "Content-Length":
			parsed, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 62)
			if err != nil || hasLength {
				return 0, true
			}
			length, hasLength = int64(parsed), true
		}
	}
	return length, false
}
