package audit

import (
	"fmt"
	"slices"
	"strings"

	"filberthold/model"
)

// Fault is a kind of fault that a segment can have.
type Fault string

const (
	// Changed means that the contents are not those that were stored.
	Changed Fault = "changed"
	// Missing means that a segment is not in the archive.
	Missing Fault = "missing"
	// Reordered means that the object contains another segment of the archive.
	Reordered Fault = "reordered"
	// LostRecords means that record numbers are skipped without a gap record.
	LostRecords Fault = "lost records"
)

// maxMissing bounds the missing segments that Verifier.Report lists, because an
// object name can contain any number. It is 30 days of one segment a second.
const maxMissing = 30 * 24 * 60 * 60

// Finding is a fault of one segment.
type Finding struct {
	Segment string `json:"segment"`
	Fault   Fault  `json:"fault"`
	Detail  string `json:"detail"`
}

// ChainHead identifies the last segment of a chain at some time. A head that
// was saved earlier shows whether the end of the chain has been removed since
// then.
type ChainHead struct {
	Host        model.HostName `json:"host"`
	Incarnation string         `json:"incarnation"`
	Segment     uint64         `json:"segment"`
	Hash        string         `json:"hash"`
}

// Report is the result of the verification of one chain.
type Report struct {
	Head ChainHead `json:"head"`
	// Closed is true if the chain ends with a final segment. If it is false,
	// the host runs, has crashed, or the end of the chain has been removed.
	Closed   bool      `json:"closed"`
	Records  int       `json:"records"`
	Dropped  uint64    `json:"dropped"`
	Findings []Finding `json:"findings"`
}

// Verifier checks the chain of one incarnation of a host. It keeps a summary of
// each segment, because the records of one day are too many to keep in memory.
type Verifier struct {
	host        model.HostName
	incarnation string
	// last is the highest segment number that is known to have existed.
	last     uint64
	segments map[uint64]summary
	report   Report
}

// summary contains the values of a segment that the checks compare.
type summary struct {
	hash Hash
	// decodes is false if only the hash is known.
	decodes  bool
	previous Hash
	final    bool
	// first and end are the lowest record number and the one after the highest.
	// They are equal if there are no records.
	first, end uint64
}

// Verify checks the segments of one incarnation of a host. The saved head may
// be nil.
func Verify(segments []SegmentObject, saved *ChainHead) (Report, error) {
	verifier := NewVerifier()
	for _, stored := range segments {
		if err := verifier.AddSegment(stored); err != nil {
			return Report{}, err
		}
	}
	return verifier.Report(saved)
}

// NewVerifier returns a verifier without segments.
func NewVerifier() *Verifier {
	return &Verifier{segments: make(map[uint64]summary), report: Report{Findings: []Finding{}}}
}

// AddSegment adds a segment under the number that it contains, or under the
// number in its name if it cannot be decoded.
func (v *Verifier) AddSegment(stored SegmentObject) error {
	host, incarnation, number, err := ParseSegmentName(stored.Name)
	if err != nil {
		return err
	}
	if v.host != "" && (host != v.host || incarnation != v.incarnation) {
		return fmt.Errorf("object %q belongs to another chain than %q", stored.Name, v.name(1))
	}
	v.host, v.incarnation = host, incarnation
	v.last = max(v.last, number)
	segment, err := DecodeSegment(stored.Body)
	if err != nil {
		v.segments[number] = summary{hash: HashOf(stored.Body)}
		v.addFinding(number, Changed, "%v", err)
		return nil
	}
	if segment.Host != host || segment.Incarnation != incarnation {
		v.addFinding(number, Reordered, "holds a segment of host %s, incarnation %s", segment.Host, segment.Incarnation)
		return nil
	}
	if segment.Number != number {
		v.addFinding(number, Reordered, "holds segment %d", segment.Number)
	}
	v.segments[segment.Number] = v.summarise(stored.Body, segment)
	return nil
}

// summarise returns the summary of a segment. It counts the records and checks
// that their numbers are consecutive.
func (v *Verifier) summarise(body []byte, segment Segment) summary {
	result := summary{hash: HashOf(body), decodes: true, previous: segment.Previous, final: segment.Final}
	for i, record := range segment.Records {
		if i == 0 {
			result.first = record.firstNumber()
		} else if record.firstNumber() != result.end {
			v.addFinding(segment.Number, LostRecords, "record %d follows record %d", record.firstNumber(), result.end-1)
		}
		result.end = record.Number + 1
		if record.Dropped != nil {
			v.report.Dropped += record.Dropped.Total()
			continue
		}
		v.report.Records++
	}
	return result
}

// Report returns the result for all segments that were added. The saved head
// may be nil. Report must be called only once.
func (v *Verifier) Report(saved *ChainHead) (Report, error) {
	if saved != nil {
		v.host, v.incarnation = saved.Host, saved.Incarnation
		v.last = max(v.last, saved.Segment)
	}
	if v.last > uint64(len(v.segments))+maxMissing {
		return Report{}, fmt.Errorf("chain of %d segments names segment %d", len(v.segments), v.last)
	}
	v.findMissing()
	v.findChanged(saved)
	v.findLost()
	v.report.Head = ChainHead{Host: v.host, Incarnation: v.incarnation, Segment: v.last}
	if last, exists := v.segments[v.last]; exists {
		v.report.Head.Hash = last.hash.String()
		v.report.Closed = last.final
	}
	slices.SortStableFunc(v.report.Findings, func(a, b Finding) int { return strings.Compare(a.Segment, b.Segment) })
	return v.report, nil
}

func (v *Verifier) name(number uint64) string { return SegmentName(v.host, v.incarnation, number) }

func (v *Verifier) addFinding(number uint64, fault Fault, format string, arguments ...any) {
	finding := Finding{Segment: v.name(number), Fault: fault, Detail: fmt.Sprintf(format, arguments...)}
	v.report.Findings = append(v.report.Findings, finding)
}

func (v *Verifier) findMissing() {
	for number := uint64(1); number <= v.last; number++ {
		if _, exists := v.segments[number]; !exists {
			v.addFinding(number, Missing, "segment %d of at least %d", number, v.last)
		}
	}
}

// findChanged compares the hash of each segment with the hash in the next one,
// from the last segment to the first. The hash in a segment that is missing or
// changed itself is not used.
func (v *Verifier) findChanged(saved *ChainHead) {
	trusted := true
	for number := v.last; number >= 1; number-- {
		segment, exists := v.segments[number]
		if !exists {
			trusted = false
			continue
		}
		expected, isKnown := v.expectedHash(number, saved)
		isIntact := segment.decodes && (!isKnown || expected == segment.hash.String())
		if segment.decodes && !isIntact && trusted {
			v.addFinding(number, Changed, "its hash is %s, the chain holds %s", segment.hash, expected)
		}
		trusted = segment.decodes && (isIntact || !trusted)
	}
	if first := v.segments[1]; first.decodes && first.previous != (Hash{}) {
		v.addFinding(1, Changed, "the first segment names a segment before it")
	}
}

// expectedHash returns the hash of a segment that the saved head or the next
// segment contains. It reports false if neither contains it.
func (v *Verifier) expectedHash(number uint64, saved *ChainHead) (string, bool) {
	if saved != nil && saved.Segment == number {
		return saved.Hash, true
	}
	next := v.segments[number+1]
	return next.previous.String(), next.decodes
}

// findLost checks that record numbers are consecutive across segments. After a
// segment that is missing or cannot be decoded, any number may follow.
func (v *Verifier) findLost() {
	next, isKnown := uint64(1), true
	for number := uint64(1); number <= v.last; number++ {
		segment := v.segments[number]
		if !segment.decodes {
			isKnown = false
			continue
		}
		if segment.first == segment.end {
			continue
		}
		if isKnown && segment.first != next {
			v.addFinding(number, LostRecords, "record %d follows record %d", segment.first, next-1)
		}
		next, isKnown = segment.end, true
	}
}
