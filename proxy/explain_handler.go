package proxy

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"unicode"

	"filberthold/platform"
)

// ExplainPath is the path at which a host explains how it would handle a request. The question
// is in the query, but for its key, which is in the header that callers use for it: URLs may be
// logged on the way.
const ExplainPath = "/explain"

// The parameters of a question.
const (
	methodParameter  = "method"
	domainParameter  = "domain"
	pathParameter    = "path"
	objectParameter  = "object"
	attemptParameter = "attempt"
)

// Parameters returns the query of the question's URL, without its key.
func (q Question) Parameters() url.Values {
	parameters := url.Values{methodParameter: {q.Method}, domainParameter: {q.Domain}, pathParameter: {q.Path}}
	for name, value := range map[string]string{objectParameter: q.Object, attemptParameter: q.AttemptID} {
		if value != "" {
			parameters.Set(name, value)
		}
	}
	return parameters
}

// Check returns what is wrong with the question, or an empty string.
func (q Question) Check() string {
	isNotLetter := func(r rune) bool { return r > unicode.MaxASCII || !unicode.IsLetter(r) }
	isOutside := func(r rune) bool { return r <= ' ' || r == unicode.MaxASCII }
	switch {
	case q.Method == "" || strings.IndexFunc(q.Method, isNotLetter) >= 0:
		return "the method must consist of letters, as in GET"
	case q.Domain == "" || strings.IndexFunc(q.Domain, isOutside) >= 0:
		return "the domain must be a name, as in a.example"
	case !strings.HasPrefix(q.Path, "/") || strings.IndexFunc(q.Path, isOutside) >= 0:
		return "the path must begin with a slash and contain no blanks"
	case strings.IndexFunc(q.Object+q.AttemptID, unicode.IsControl) >= 0:
		return "the object and the attempt must contain no control characters"
	case strings.IndexFunc(q.Key, func(r rune) bool { return r <= ' ' || r >= unicode.MaxASCII }) >= 0:
		return "the key must consist of visible ASCII characters"
	}
	return ""
}

// HandleExplain responds with the explanation of a question. It answers one question at a
// time, because each one copies the state of all endpoints; others get status 429.
func (s *Server) HandleExplain(writer http.ResponseWriter, request *http.Request) {
	parameters := request.URL.Query()
	question := Question{
		Method: parameters.Get(methodParameter), Domain: parameters.Get(domainParameter), Path: parameters.Get(pathParameter),
		Object: parameters.Get(objectParameter), AttemptID: parameters.Get(attemptParameter),
		Key: platform.ParseRequestHeader(request.Header).Key,
	}
	if problem := question.Check(); problem != "" {
		http.Error(writer, problem, http.StatusBadRequest)
		return
	}
	if !s.isExplaining.CompareAndSwap(false, true) {
		http.Error(writer, "another explanation is in progress", http.StatusTooManyRequests)
		return
	}
	explained := s.Explain(question)
	s.isExplaining.Store(false)
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the operator has disconnected.
	_ = json.NewEncoder(writer).Encode(explained)
}
