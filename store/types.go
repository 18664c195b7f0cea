// Package store is the client of the platform: its transactional table, its
// object store and its host list. It also contains the register, which makes
// submits run at most once. The protocol is HTTP/1.1 with JSON.
package store

import (
	"errors"
	"fmt"
	"time"
)

// TimeHeader carries the platform's clock in RFC 3339 form with nanoseconds.
const TimeHeader = "Platform-Time"

// CallerHeader carries the name of the process that calls the platform.
const CallerHeader = "Platform-Caller"

// ErrAbsent is returned for a row or an object that does not exist.
var ErrAbsent = errors.New("not found on the platform")

// ErrExists is returned if an object with the name already exists.
var ErrExists = errors.New("object exists on the platform")

// ErrLimited is returned when a rate limit of the platform refused a call.
var ErrLimited = errors.New("rate limit of the platform")

// ErrUnavailable is returned when the platform is in an outage.
var ErrUnavailable = errors.New("platform is unavailable")

// Row is a row of the table. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Write sets a row if its version is still IfVersion; 0 means that the row
// must be absent.
type Write struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"ifVersion"`
	Value     []byte `json:"value"`
}

// Transaction is a list of writes that take effect together or not at all.
type Transaction struct {
	Writes []Write `json:"writes"`
}

// TransactionResult holds the new versions in the order of the writes, or the
// rows whose versions differ.
type TransactionResult struct {
	Versions  []uint64 `json:"versions,omitempty"`
	Conflicts []Row    `json:"conflicts,omitempty"`
}

// RowList is the response to a listing of rows.
type RowList struct {
	Rows []Row `json:"rows"`
}

// ObjectList is the response to a listing of objects.
type ObjectList struct {
	Names []string `json:"names"`
}

// MemberState is the state of a member of the host list.
type MemberState string

const (
	// Live members accept new requests.
	Live MemberState = "live"
	// Leaving members finish the requests in flight and accept no new ones.
	Leaving MemberState = "leaving"
)

// Kinds of members of the host list.
const (
	// KindEntry is the kind of an entry host.
	KindEntry = "entry"
	// KindEndpoint is the kind of an upstream endpoint.
	KindEndpoint = "endpoint"
)

// Member is an entry host or an upstream endpoint on the host list.
type Member struct {
	Name        string      `json:"name"`
	Kind        string      `json:"kind"`
	Incarnation string      `json:"incarnation"`
	State       MemberState `json:"state"`
}

// MemberList is the platform's host list. It lags behind the actual state and
// is correct for the time AsOf.
type MemberList struct {
	Members []Member  `json:"members"`
	AsOf    time.Time `json:"asOf"`
}

// ConflictError reports that a transaction did not take effect, because the
// versions of some rows differ from those that it expected.
type ConflictError struct {
	rows []Row
}

// NewConflictError returns an error with the current rows whose versions differ.
func NewConflictError(rows []Row) *ConflictError { return &ConflictError{rows: rows} }

// Rows returns the current contents of the rows that differ.
func (e *ConflictError) Rows() []Row { return e.rows }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts with %d changed rows", len(e.rows))
}
