package audit

import (
	"fmt"
	"slices"

	"filberthold/model"
)

// Fault tells what is wrong with a segment.
type Fault string

const (
	// Changed means that the contents are not those that were stored.
	Changed Fault = "changed"
	// Missing means that a segment is not in the archive.
	Missing Fault = "missing"
	// Reordered means that the object holds another segment of the archive.
	Reordered Fault = "reordered"
	// Lost means that record numbers are skipped without a gap record.
	Lost Fault = "lost records"
)

// maxMissing bounds the work for names with absurd numbers: 30 days of one
// segment a second.
const maxMissing = 30 * 24 * 60 * 60

// Finding is a fault of one segment.
type Finding struct {
	Segment string `json:"segment"`
	Fault   Fault  `json:"fault"`
	Detail  string `json:"detail"`
}

// Head identifies the last segment of a chain at some time. A head that was
// noted earlier shows later whether the end of the chain has been removed.
type Head struct {
	Host        model.HostName `json:"host"`
	Incarnation string         `json:"incarnation"`
	Segment     uint64         `json:"segment"`
	Hash        string         `json:"hash"`
}

// Report is the result of the verification of one chain.
type Report struct {
	Head Head `json:"head"`
	// Closed is true if the chain ends with a final segment. The end of a
	// chain that is not closed is unknown: the host runs, has crashed, or the
	// end has been removed.
	Closed   bool      `json:"closed"`
	Records  int       `json:"records"`
	Dropped  uint64    `json:"dropped"`
	Findings []Finding `json:"findings"`
}

// chainCheck verifies one chain.
type chainCheck struct {
	host        model.HostName
	incarnation string
	// last is the highest segment number that is known to have existed.
	last    uint64
	bodies  map[uint64][]byte
	decoded map[uint64]Segment
	report  Report
}

// Verify checks the segments of one incarnation of a host. A noted head may
// be nil.
func Verify(segments []Stored, noted *Head) (Report, error) {
	check := chainCheck{bodies: make(map[uint64][]byte), decoded: make(map[uint64]Segment)}
	check.report.Findings = []Finding{}
	for _, stored := range segments {
		if err := check.load(stored); err != nil {
			return Report{}, err
		}
	}
	if noted != nil {
		check.host, check.incarnation = noted.Host, noted.Incarnation
		check.last = max(check.last, noted.Segment)
	}
	if check.last > uint64(len(segments))+maxMissing {
		return Report{}, fmt.Errorf("chain of %d segments names segment %d", len(segments), check.last)
	}
	check.findMissing()
	check.findChanged(noted)
	check.countRecords()
	slices.SortStableFunc(check.report.Findings, func(a, b Finding) int {
		if a.Segment < b.Segment {
			return -1
		}
		return 1
	})
	return check.report, nil
}

func (c *chainCheck) name(number uint64) string { return Name(c.host, c.incarnation, number) }

func (c *chainCheck) find(number uint64, fault Fault, format string, arguments ...any) {
	finding := Finding{Segment: c.name(number), Fault: fault, Detail: fmt.Sprintf(format, arguments...)}
	c.report.Findings = append(c.report.Findings, finding)
}

// load decodes a segment and files it under the number that it contains.
func (c *chainCheck) load(stored Stored) error {
	host, incarnation, number, err := ParseName(stored.Name)
	if err != nil {
		return err
	}
	if c.host != "" && (host != c.host || incarnation != c.incarnation) {
		return fmt.Errorf("object %q belongs to another chain than %q", stored.Name, c.name(1))
	}
	c.host, c.incarnation = host, incarnation
	c.last = max(c.last, number)
	segment, err := DecodeSegment(stored.Body)
	if err != nil {
		c.bodies[number] = stored.Body
		c.find(number, Changed, "%v", err)
		return nil
	}
	if segment.Host != host || segment.Incarnation != incarnation {
		c.find(number, Reordered, "holds a segment of host %s, incarnation %s", segment.Host, segment.Incarnation)
		return nil
	}
	if segment.Number != number {
		c.find(number, Reordered, "holds segment %d", segment.Number)
	}
	c.bodies[segment.Number] = stored.Body
	c.decoded[segment.Number] = segment
	return nil
}

func (c *chainCheck) findMissing() {
	for number := uint64(1); number <= c.last; number++ {
		if _, exists := c.bodies[number]; !exists {
			c.find(number, Missing, "segment %d of at least %d", number, c.last)
		}
	}
}

// findChanged compares each segment with the hash that its successor holds,
// from the end to the start. A segment that is itself changed does not
// testify against the one before it unless it cannot be decided otherwise.
func (c *chainCheck) findChanged(noted *Head) {
	trusted := true
	for number := c.last; number >= 1; number-- {
		body, exists := c.bodies[number]
		expected, known := c.expectedHash(number, noted)
		if !exists {
			trusted = false
			continue
		}
		_, decodes := c.decoded[number]
		isIntact := decodes && (!known || expected == HashOf(body).String())
		if decodes && !isIntact && trusted {
			c.find(number, Changed, "its hash is %s, the chain holds %s", HashOf(body), expected)
		}
		trusted = decodes && (isIntact || !trusted)
	}
	if first, exists := c.decoded[1]; exists && first.Previous != (Hash{}) {
		c.find(1, Changed, "the first segment names a segment before it")
	}
}

// expectedHash returns what the chain or the noted head says of a segment.
func (c *chainCheck) expectedHash(number uint64, noted *Head) (string, bool) {
	if noted != nil && noted.Segment == number {
		return noted.Hash, true
	}
	next, exists := c.decoded[number+1]
	return next.Previous.String(), exists
}

// countRecords checks that record numbers go on without holes.
func (c *chainCheck) countRecords() {
	var lastNumber, lastSegment uint64
	for number := uint64(1); number <= c.last; number++ {
		segment, exists := c.decoded[number]
		if !exists {
			continue
		}
		for i, record := range segment.Records {
			if record.first() != lastNumber+1 && (i > 0 || lastSegment == number-1) {
				c.find(number, Lost, "record %d follows record %d", record.first(), lastNumber)
			}
			lastNumber = record.Number
			if record.Dropped != nil {
				c.report.Dropped += record.Dropped.Total()
				continue
			}
			c.report.Records++
		}
		lastSegment = number
	}
	c.report.Head = Head{Host: c.host, Incarnation: c.incarnation, Segment: c.last}
	if body, exists := c.bodies[c.last]; exists {
		c.report.Head.Hash = HashOf(body).String()
	}
	c.report.Closed = c.decoded[c.last].Final
}
