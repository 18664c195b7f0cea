package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// finding is a problem at a path of a document such as endpoints[2].slots.
type finding struct {
	path, message, hint string
}

// Checker collects the problems of a decoded document.
type Checker struct {
	findings    []finding
	allowedName *regexp.Regexp
	// definedAt holds the path at which each name, or other value that must be
	// unique, is defined. The keys are the kind and the value, with a space
	// between them.
	definedAt map[string]string
}

func newChecker() *Checker {
	return &Checker{
		allowedName: regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`),
		definedAt:   make(map[string]string),
	}
}

// Add adds a problem at a path such as endpoints[2].slots.
func (c *Checker) Add(path, hint, format string, arguments ...any) {
	c.findings = append(c.findings, finding{path: path, message: fmt.Sprintf(format, arguments...), hint: hint})
}

// Check checks a document that was generated from the one that is checked, and
// adds its problems. mapPath maps a path of the generated document to the
// path in the checked document from which it was generated.
func (c *Checker) Check(generated Document, mapPath func(path string) string) {
	inner := newChecker()
	inner.document(generated)
	for _, finding := range inner.findings {
		path := mapPath(finding.path)
		message := strings.Replace(finding.message, lastKey(finding.path), lastKey(path), 1)
		c.Add(path, finding.hint, "%s", message)
	}
}

// problems adds the findings, with their lines and columns, to the problems
// that the decoder reported. Findings in a line that the decoder reported are
// left out, because the value there is unknown.
func (c *Checker) problems(text []byte, decoderProblems []Problem) []Problem {
	if len(c.findings) == 0 {
		return decoderProblems
	}
	reported := make(map[int]bool)
	for _, problem := range decoderProblems {
		reported[problem.Line] = true
	}
	located := locate(text)
	for _, finding := range c.findings {
		line, column := located.position(finding.path)
		if !reported[line] {
			decoderProblems = append(decoderProblems, Problem{Line: line, Column: column, Message: finding.message, Hint: finding.hint})
		}
	}
	return decoderProblems
}

// name checks that a name is allowed and unique among its kind.
func (c *Checker) name(path, kind, name string) {
	if name == "" {
		c.Add(path, "each "+kind+" needs a name of its own", "%s has no name", kind)
		return
	}
	if !c.allowedName.MatchString(name) {
		c.Add(path, "use up to 63 letters, digits, dots, hyphens and underscores", "%s name %q is not allowed", kind, name)
	}
	c.unique(path, kind, name)
}

// unique checks that a value is unique among its kind.
func (c *Checker) unique(path, kind, value string) {
	key := kind + " " + value
	if first, exists := c.definedAt[key]; exists {
		c.Add(path, "it is first used at "+first, "%s %q is defined twice", kind, value)
		return
	}
	c.definedAt[key] = path
}

// reference checks that a name of a kind is defined in the document.
func (c *Checker) reference(path, kind, name string) {
	if _, exists := c.definedAt[kind+" "+name]; exists {
		return
	}
	if name == "" {
		c.Add(path, "name one that the document defines", "%s is missing", kind)
		return
	}
	c.Add(path, "define it or correct the name", "unknown %s %q", kind, name)
}

// address checks an IP address with a port. It must be unique among the
// addresses of the same protocol.
func (c *Checker) address(path, protocol, address string) {
	const hint = "give an IP address and a port, as in '192.0.2.7:8000'"
	if address == "" {
		c.Add(path, hint, "%s is missing", lastKey(path))
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.Add(path, hint+"; host names are not looked up", "%q is not an IP address with a port", address)
	case parsed.Port() == 0:
		c.Add(path, hint, "%q has no port", address)
	case parsed.Addr().IsUnspecified():
		c.Add(path, "give the address that others use", "%q is not the address of one host", address)
	default:
		c.unique(path, protocol+" address", parsed.String())
	}
}

func (c *Checker) atLeast(path string, value, minimum int) {
	if value < minimum {
		c.Add(path, fmt.Sprintf("give a number of at least %d", minimum), "%s is %d", lastKey(path), value)
	}
}

func (c *Checker) percent(path string, value, minimum int) {
	if value < minimum || value > 100 {
		c.Add(path, fmt.Sprintf("give a percentage in %d..100", minimum), "%s is %d", lastKey(path), value)
	}
}

// duration checks a duration. An integer in the document would be decoded as
// nanoseconds, so a value below a microsecond is reported as one without a unit.
func (c *Checker) duration(path string, value Duration, isRequired bool) {
	const hint = "give a number and a unit, as in '2s' or '10m'"
	switch {
	case value < 0:
		c.Add(path, hint, "%s is negative", lastKey(path))
	case value == 0 && isRequired:
		c.Add(path, hint, "%s is missing or 0", lastKey(path))
	case value > 0 && time.Duration(value) < time.Microsecond:
		c.Add(path, hint, "%s has no unit", lastKey(path))
	}
}

// lastKey returns the last key of a path.
func lastKey(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[i+1:]
		}
	}
	return path
}
