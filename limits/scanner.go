package limits

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Head bounds the heads of requests. It applies to the trailers of bodies too.
type Head struct {
	// MaxBytes and MaxFields bound the bytes and the lines of a head.
	MaxBytes  int
	MaxFields int
}

// part is what the next byte of a connection belongs to.
type part int

const (
	// partStart means that the next byte is the first one of a request.
	partStart part = iota
	partHead
	// partBody is a body of known length or the data of a chunk.
	partBody
	// partChunkEnd is the line end behind the data of a chunk.
	partChunkEnd
	partChunkSize
	partTrailer
	// partRest means that net/http does not read another request: this one is malformed.
	partRest
)

// The errors of scan. The connection ends with them.
var (
	errHeadTooLarge = errors.New("the head of the request is too large")
	errHeadOdd      = errors.New("the length of the request's body is folded")
)

const (
	// maxLine bounds what is kept of a line that is read in parts. It is longer than a field
	// that states the length of a body.
	maxLine = 128
	// lineEnd is how much of it is the end of the line: the version, if it is the first one.
	lineEnd = 16
)

// scanner follows the requests of a connection and bounds their heads before net/http
// parses them.
type scanner struct {
	limit Head
	part  part
	// bytes and lines count those of the current head or trailer.
	bytes, lines int
	// line holds the beginning of a line that was read in part, and its latest bytes.
	line []byte
	// heads counts the heads that have arrived.
	heads int64
	// left is the number of bytes that are left of a body or chunk.
	left int64
	// The next ones describe the current head. A chunked body ignores a length, and version
	// 1.0 ignores chunks.
	isHTTP10                 bool
	isChunked, isOddEncoding bool
	hasLength, isOddLength   bool
	length                   int64
	// isFraming is true if the last line was a field that states the length of the body.
	isFraming bool
}

// scan follows the bytes that were read.
func (s *scanner) scan(content []byte) error {
	for len(content) > 0 {
		switch s.part {
		case partRest:
			return nil
		case partBody:
			count := min(int64(len(content)), s.left)
			s.left -= count
			content = content[count:]
			if s.left == 0 {
				s.endBody()
			}
		default:
			rest, err := s.scanLine(content)
			if err != nil {
				return err
			}
			content = rest
		}
	}
	return nil
}

// endBody is called behind a body, or the data of a chunk.
func (s *scanner) endBody() {
	s.part = partStart
	if s.isChunked {
		s.part = partChunkEnd
	}
}

// scanLine follows the bytes up to the next line end and returns those behind it.
func (s *scanner) scanLine(content []byte) ([]byte, error) {
	end := bytes.IndexByte(content, '\n')
	taken := end + 1
	if end < 0 {
		taken = len(content)
	}
	s.bytes += taken
	if s.part == partStart && content[0] != '\r' && content[0] != '\n' {
		s.beginHead(taken)
	}
	if s.bytes > s.limit.MaxBytes {
		return nil, errHeadTooLarge
	}
	if end < 0 {
		s.keep(content)
		return nil, nil
	}
	line := content[:end]
	if len(s.line) > 0 {
		s.keep(line)
		line = s.line
	}
	err := s.endLine(bytes.TrimSuffix(line, []byte("\r")))
	s.line = s.line[:0]
	return content[taken:], err
}

// keep adds a part of a line to what is kept of it.
func (s *scanner) keep(content []byte) {
	if len(s.line)+len(content) <= maxLine {
		s.line = append(s.line, content...)
		return
	}
	end := append(bytes.Clone(s.line[max(0, len(s.line)-lineEnd):]), content[max(0, len(content)-lineEnd):]...)
	start := append(s.line, content[:min(len(content), maxLine)]...)
	s.line = append(start[:maxLine-lineEnd], end[len(end)-lineEnd:]...)
}

// beginHead begins a head of which some bytes were read.
func (s *scanner) beginHead(taken int) {
	s.part, s.bytes, s.lines, s.length = partHead, taken, 0, 0
	s.isHTTP10, s.isChunked, s.isOddEncoding, s.hasLength, s.isOddLength, s.isFraming = false, false, false, false, false, false
}

// endLine follows a line without its end.
func (s *scanner) endLine(line []byte) error {
	switch s.part {
	case partChunkEnd:
		s.part, s.bytes = partChunkSize, 0
	case partChunkSize:
		s.endChunkSize(line)
	case partTrailer:
		s.lines++
		if len(line) == 0 {
			s.part = partStart
		}
	case partHead:
		s.lines++
		if len(line) == 0 {
			s.endHead()
			return nil
		}
		if err := s.field(line); err != nil {
			return err
		}
	case partStart, partBody, partRest:
		// net/http skips empty lines before a request. The others have no lines.
		return nil
	}
	if s.lines > s.limit.MaxFields {
		return errHeadTooLarge
	}
	return nil
}

func (s *scanner) endChunkSize(line []byte) {
	text, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 62)
	s.bytes, s.lines = 0, 0
	switch {
	case err != nil:
		s.part = partRest
	case size == 0:
		s.part = partTrailer
	default:
		s.part, s.left = partBody, int64(size)
	}
}

// field follows a line of a head.
func (s *scanner) field(line []byte) error {
	if s.lines == 1 {
		s.isHTTP10 = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		if s.isFraming {
			return errHeadOdd
		}
		return nil
	}
	s.isFraming = false
	switch line[0] {
	case 'c', 'C', 't', 'T':
	default:
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.isFraming = true
		length, err := strconv.ParseUint(string(value), 10, 62)
		s.isOddLength = s.isOddLength || err != nil || s.hasLength && s.length != int64(length)
		s.hasLength, s.length = true, int64(length)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.isFraming = true
		s.isOddEncoding = s.isOddEncoding || s.isChunked || !bytes.EqualFold(value, []byte("chunked"))
		s.isChunked = true
	}
	return nil
}

// endHead is called behind a head.
func (s *scanner) endHead() {
	s.bytes, s.lines = 0, 0
	s.heads++
	s.isChunked = s.isChunked && !s.isHTTP10
	switch {
	case s.isChunked && s.isOddEncoding, !s.isChunked && s.isOddLength:
		s.part = partRest
	case s.isChunked:
		s.part = partChunkSize
	case s.length > 0:
		s.part, s.left = partBody, s.length
	default:
		s.part = partStart
	}
}
