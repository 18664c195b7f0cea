package model

import "fmt"

// Class determines whether the requests of a service may be hedged, resumed, and
// retried after an attempt that may have run.
type Class int

const (
	// Read requests are short and idempotent.
	Read Class = iota + 1
	// Submit requests are short and run at most once.
	Submit
	// Export requests are long, idempotent and resumable.
	Export
)

// ParseClass returns the class whose String method returns text.
func ParseClass(text string) (Class, error) {
	for _, class := range Classes() {
		if class.String() == text {
			return class, nil
		}
	}
	return 0, fmt.Errorf("unknown class %q: want read, submit or export", text)
}

// Classes returns all classes in a fixed order.
func Classes() []Class {
	return []Class{Read, Submit, Export}
}

// String returns the text form used in settings, logs and metrics.
func (c Class) String() string {
	switch c {
	case Read:
		return "read"
	case Submit:
		return "submit"
	case Export:
		return "export"
	}
	return fmt.Sprintf("class(%d)", int(c))
}

// Idempotent reports whether a request of this class may run more than once.
func (c Class) Idempotent() bool {
	return c == Read || c == Export
}
