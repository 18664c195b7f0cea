package conns

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// HeadError reports a response whose head is not valid. What follows such a head may be
// anything: the response fails, and says nothing about its request.
type HeadError struct {
	problem string
	// line is the line that is not valid, or its beginning.
	line string
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("invalid response head: %s: %q", e.problem, e.line)
}

// maxQuotedLine bounds the part of a line that an error contains, in bytes.
const maxQuotedLine = 80

func headError(problem, line string) error {
	return &HeadError{problem: problem, line: line[:min(len(line), maxQuotedLine)]}
}

const (
	// chunkedLength is the length of a body that is sent in chunks.
	chunkedLength int64 = -1
	// unframedLength is the length of a body that ends with its connection.
	unframedLength int64 = -2
)

// responseHead is a valid head of a response.
type responseHead struct {
	status int
	header http.Header
	// bodyLength is the number of bytes that follow, chunkedLength or unframedLength.
	bodyLength int64
	// willClose is true if the connection cannot be used after the response.
	willClose bool
}

// isFinal reports whether the response is not an interim one.
func (h *responseHead) isFinal() bool { return h.status >= http.StatusOK }

// readHeadText reads a head, with the empty line at its end.
func readHeadText(reader *bufio.Reader) (string, error) {
	if _, err := reader.Peek(1); err != nil {
		return "", fmt.Errorf("read response head: %w", noEOF(err))
	}
	buffered, _ := reader.Peek(reader.Buffered())
	if length := headLength(buffered); length > 0 {
		text := string(buffered[:length])
		_, err := reader.Discard(length)
		return text, err
	}
	var text []byte
	for isLineStart := true; ; {
		part, err := reader.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			isLineStart = false
		case err != nil:
			return "", fmt.Errorf("read response head: %w", noEOF(err))
		case isLineStart && headLength(part) > 0:
			return string(text), nil
		default:
			isLineStart = true
		}
	}
}

// noEOF returns the error of a connection that ends too early.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// headLength returns the length of the head at the beginning of some bytes, or 0 if its
// end is missing.
func headLength(content []byte) int {
	for offset := 0; ; {
		end := bytes.IndexByte(content[offset:], '\n')
		if end < 0 {
			return 0
		}
		isEmpty := end == 0 || (end == 1 && content[offset] == '\r')
		offset += end + 1
		if isEmpty {
			return offset
		}
	}
}

// parseHead checks the head of a response to a request with a method. It is as strict as
// RFC 9112 allows. It accepts lines that end without a carriage return (2.2), folded values,
// whose folds become spaces (5.2), and several equal lengths (6.3), but no folded length or
// coding.
func parseHead(text, method string) (*responseHead, error) {
	statusLine, rest := cutLine(text)
	version, status, err := parseStatusLine(statusLine)
	if err != nil {
		return nil, err
	}
	header, err := parseFields(rest)
	if err != nil {
		return nil, err
	}
	head := &responseHead{status: status, header: header}
	if head.bodyLength, err = bodyLength(version, status, method, header); err != nil {
		return nil, err
	}
	head.willClose = head.bodyLength == unframedLength || closesConnection(version, header["Connection"])
	return head, nil
}

// cutLine returns the first line, without its end, and the lines after it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

func parseStatusLine(line string) (version string, status int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if err := checkVersion(version, line); err != nil {
		return "", 0, err
	}
	if len(code) != 3 || !isNumber(code) {
		return "", 0, headError("status is not three digits", line)
	}
	// Three digits are a number.
	status, _ = strconv.Atoi(code)
	if err := checkStatus(status, line); err != nil {
		return "", 0, err
	}
	if !isFieldValue(reason) {
		return "", 0, headError("control byte", line)
	}
	return version, status, nil
}

// checkVersion rejects versions that do not define the framing of the rest.
func checkVersion(version, line string) error {
	if version != version11 && version != version10 {
		return headError("version is neither HTTP/1.0 nor HTTP/1.1", line)
	}
	return nil
}

// checkStatus rejects statuses outside the five classes, and a switch of protocols, which no
// request asks for: what follows it is no HTTP.
func checkStatus(status int, line string) error {
	if status < 100 || status > 599 {
		return headError("status is out of range", line)
	}
	if status == http.StatusSwitchingProtocols {
		return headError("protocol was switched", line)
	}
	return nil
}

// checkField rejects names that are not tokens, such as one before a blank, and values with
// control bytes.
func checkField(name, value, line string) error {
	if !isToken(name) {
		return headError("field name is not a token", line)
	}
	if !isFieldValue(value) {
		return headError("control byte", line)
	}
	return nil
}

// parseFields parses the lines of fields, up to the empty line at their end.
func parseFields(lines string) (http.Header, error) {
	count := strings.Count(lines, "\n")
	header := make(http.Header, count)
	// The values of all names that occur once are in one slice.
	values := make([]string, count)
	latest := ""
	for {
		var line string
		if line, lines = cutLine(lines); line == "" {
			return header, nil
		}
		if isBlank(line[0]) {
			if latest == "" || latest == "Content-Length" || latest == "Transfer-Encoding" {
				return nil, headError("line is folded", line)
			}
			if !isFieldValue(line) {
				return nil, headError("control byte", line)
			}
			folded := header[latest]
			folded[len(folded)-1] = trimBlanks(folded[len(folded)-1] + " " + trimBlanks(line))
			continue
		}
		name, value, isField := strings.Cut(line, ":")
		if !isField {
			return nil, headError("line is no field", line)
		}
		if err := checkField(name, value, line); err != nil {
			return nil, err
		}
		latest = textproto.CanonicalMIMEHeaderKey(name)
		if known, exists := header[latest]; exists {
			header[latest] = append(known, trimBlanks(value))
			continue
		}
		values[0] = trimBlanks(value)
		header[latest], values = values[:1:1], values[1:]
	}
}

// bodyLength returns the length of the body that a head announces.
func bodyLength(version string, status int, method string, header http.Header) (int64, error) {
	codings, lengths := header["Transfer-Encoding"], header["Content-Length"]
	hasNoBody := status < http.StatusOK || status == http.StatusNoContent
	length := unframedLength
	if len(lengths) > 0 {
		var err error
		if length, err = parseLengths(lengths); err != nil {
			return 0, err
		}
	}
	if len(codings) > 0 {
		switch coding := strings.Join(codings, ", "); {
		case len(lengths) > 0:
			return 0, headError("both a length and a transfer coding", coding)
		case version == version10 || hasNoBody:
			return 0, headError("transfer coding is not allowed", coding)
		case !strings.EqualFold(coding, "chunked"):
			return 0, headError("unknown transfer coding", coding)
		}
		length = chunkedLength
	}
	switch {
	case hasNoBody && length > 0:
		return 0, headError("length is not allowed", strings.Join(lengths, ", "))
	case hasNoBody, status == http.StatusNotModified, method == http.MethodHead:
		return 0, nil
	}
	return length, nil
}

// parseLengths returns the length that fields state. They may repeat the same number.
func parseLengths(fields []string) (int64, error) {
	text := strings.Join(fields, ",")
	first, _, _ := strings.Cut(text, ",")
	first = trimBlanks(first)
	for other := range strings.SplitSeq(text, ",") {
		if trimBlanks(other) != first {
			return 0, headError("several lengths", text)
		}
	}
	length, err := strconv.ParseInt(first, 10, 64)
	if err != nil || !isNumber(first) {
		return 0, headError("length is no number", text)
	}
	return length, nil
}

func closesConnection(version string, options []string) bool {
	if version == version10 {
		return hasOption(options, "close") || !hasOption(options, "keep-alive")
	}
	return hasOption(options, "close")
}

func hasOption(fields []string, wanted string) bool {
	for _, field := range fields {
		for option := range strings.SplitSeq(field, ",") {
			if strings.EqualFold(trimBlanks(option), wanted) {
				return true
			}
		}
	}
	return false
}

// CheckHead applies the same checks to a response that net/http has parsed, which accepts
// statuses outside the five classes and field names that are not tokens. A response that no
// connection carried has no version.
func CheckHead(response *http.Response) error {
	if response.Proto != "" {
		if err := checkVersion(response.Proto, response.Proto); err != nil {
			return err
		}
	}
	if err := checkStatus(response.StatusCode, response.Status); err != nil {
		return err
	}
	for name, values := range response.Header {
		for _, value := range values {
			if err := checkField(name, value, name); err != nil {
				return err
			}
		}
	}
	return nil
}

func isBlank(char byte) bool { return char == ' ' || char == '\t' }

func trimBlanks(text string) string { return strings.Trim(text, " \t") }

func isNumber(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}

// isFieldValue reports whether a text has no control byte but tabs (RFC 9110, 5.5).
func isFieldValue(text string) bool {
	for i := range len(text) {
		if char := text[i]; char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether a text is a token (RFC 9110, 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		char := text[i]
		isLetter := char|0x20 >= 'a' && char|0x20 <= 'z'
		isDigit := char >= '0' && char <= '9'
		if !isLetter && !isDigit && strings.IndexByte("!#$%&'*+-.^_`|~", char) < 0 {
			return false
		}
	}
	return text != ""
}
