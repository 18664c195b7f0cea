package audit_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"filberthold/audit"
	"filberthold/model"
	"filberthold/place"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newRecord(class model.Class, request string, second int) audit.Record {
	return audit.Record{
		At: start.Add(time.Duration(second) * time.Second), Kind: audit.Sent,
		Request: place.RequestID(request), Class: class.String(), Reason: "next in turn",
	}
}

// fiveSegments returns a closed chain of two records a segment.
func fiveSegments(t testing.TB) []audit.SegmentObject {
	t.Helper()
	buffer, err := audit.NewBuffer(audit.MemoryLimit)
	assert.NilError(t, err)
	chain, err := audit.NewChain("plzen-a-1", "run-1")
	assert.NilError(t, err)
	var segments []audit.SegmentObject
	for i := range 5 {
		assert.NilError(t, buffer.Add(newRecord(model.Submit, fmt.Sprintf("r%d", i), i)))
		assert.NilError(t, buffer.Add(newRecord(model.Read, fmt.Sprintf("s%d", i), i)))
		batch, err := buffer.TakeBatch(audit.MemoryLimit)
		assert.NilError(t, err)
		buffer.FreeStored()
		segment, err := chain.AppendBatch(batch, i == 4)
		assert.NilError(t, err)
		segments = append(segments, segment)
	}
	return segments
}

// forge changes a record of a stored segment and keeps its header, as an
// attacker would who wants to change the history.
func forge(t *testing.T, segments []audit.SegmentObject, index int) {
	t.Helper()
	chain, err := audit.NewChain("plzen-a-1", "run-1")
	assert.NilError(t, err)
	for i := range segments {
		segment, err := audit.DecodeSegment(segments[i].Body)
		assert.NilError(t, err)
		if i == index {
			segment.Records[0].Reason = "another reason"
		}
		forged, err := chain.Append(segment.Records, segment.Final)
		assert.NilError(t, err)
		if i == index {
			segments[i] = forged
			return
		}
	}
}

// rebuild returns a segment with the same records in a new chain, after a
// number of empty segments.
func rebuild(t *testing.T, stored audit.SegmentObject, incarnation string, before int) audit.SegmentObject {
	t.Helper()
	segment, err := audit.DecodeSegment(stored.Body)
	assert.NilError(t, err)
	chain, err := audit.NewChain("plzen-a-1", incarnation)
	assert.NilError(t, err)
	for range before {
		_, err := chain.Append(nil, false)
		assert.NilError(t, err)
	}
	rebuilt, err := chain.Append(segment.Records, segment.Final)
	assert.NilError(t, err)
	return rebuilt
}

// withoutRecord rebuilds the chain without the last record of segment 2.
func withoutRecord(t *testing.T, segments []audit.SegmentObject) []audit.SegmentObject {
	t.Helper()
	chain, err := audit.NewChain("plzen-a-1", "run-1")
	assert.NilError(t, err)
	for i := range segments {
		segment, err := audit.DecodeSegment(segments[i].Body)
		assert.NilError(t, err)
		if i == 1 {
			segment.Records = segment.Records[:1]
		}
		segments[i], err = chain.Append(segment.Records, segment.Final)
		assert.NilError(t, err)
	}
	return segments
}

// Guards against a change of the archive that Verify does not detect. Each case
// changes the archive and lists exactly the faults that have to be reported.
func TestVerifyFindsTampering(t *testing.T) {
	name := func(number uint64) string { return audit.SegmentName("plzen-a-1", "run-1", number) }
	intact, err := audit.Verify(fiveSegments(t), nil)
	assert.NilError(t, err)
	cases := []struct {
		title  string
		tamper func(s []audit.SegmentObject) []audit.SegmentObject
		saved  *audit.ChainHead
		want   []string
		closed bool
	}{
		{"untouched", func(s []audit.SegmentObject) []audit.SegmentObject { return s }, nil, nil, true},
		{"one bit of a body", func(s []audit.SegmentObject) []audit.SegmentObject { s[2].Body[40] ^= 1; return s }, nil, []string{name(3) + " changed"}, true},
		{"a record in the middle", func(s []audit.SegmentObject) []audit.SegmentObject { forge(t, s, 2); return s }, nil, []string{name(3) + " changed"}, true},
		{"a record in the last segment", func(s []audit.SegmentObject) []audit.SegmentObject { forge(t, s, 4); return s }, &intact.Head, []string{name(5) + " changed"}, true},
		{"a segment removed", func(s []audit.SegmentObject) []audit.SegmentObject { return slices.Delete(s, 1, 2) }, nil, []string{name(2) + " missing"}, true},
		{"two segments swapped", func(s []audit.SegmentObject) []audit.SegmentObject {
			s[1].Body, s[2].Body = s[2].Body, s[1].Body
			return s
		}, nil,
			[]string{name(2) + " reordered", name(3) + " reordered"}, true},
		{"tail removed, no saved head", func(s []audit.SegmentObject) []audit.SegmentObject { return s[:3] }, nil, nil, false},
		{"tail removed, saved head", func(s []audit.SegmentObject) []audit.SegmentObject { return s[:3] }, &intact.Head,
			[]string{name(4) + " missing", name(5) + " missing"}, false},
		{"a segment rebuilt without the preceding ones", func(s []audit.SegmentObject) []audit.SegmentObject {
			s[2] = rebuild(t, s[2], "run-1", 2)
			return s
		}, nil, []string{name(3) + " changed"}, true},
		{"the first segment of another chain", func(s []audit.SegmentObject) []audit.SegmentObject {
			s[0].Body = rebuild(t, s[0], "run-2", 0).Body
			return s
		}, nil, []string{name(1) + " reordered", name(1) + " missing"}, true},
		{"records left out by the host", func(s []audit.SegmentObject) []audit.SegmentObject { return withoutRecord(t, s) }, nil,
			[]string{name(3) + " lost records"}, true},
		{"removed and changed", func(s []audit.SegmentObject) []audit.SegmentObject { forge(t, s, 1); return slices.Delete(s, 3, 4) }, nil,
			[]string{name(2) + " changed", name(4) + " missing"}, true},
	}
	for _, test := range cases {
		t.Run(test.title, func(t *testing.T) {
			report, err := audit.Verify(test.tamper(fiveSegments(t)), test.saved)
			assert.NilError(t, err)
			var found []string
			for _, finding := range report.Findings {
				found = append(found, finding.Segment+" "+string(finding.Fault))
			}
			assert.DeepEqual(t, found, test.want)
			assert.Equal(t, report.Closed, test.closed)
		})
	}
}

// Guards against lost records of submits, memory above the limit and dropped
// reads without a gap record, while nothing can be stored.
func TestFullBufferKeepsRecordsOfSubmits(t *testing.T) {
	const limit = 256 << 10
	buffer, err := audit.NewBuffer(limit)
	assert.NilError(t, err)
	submits, reads := 0, 0
	for i := range 4000 {
		// Reads alone fill the memory before the first submit is added.
		if i%10 == 0 && i > 2000 {
			id := fmt.Sprintf("submit-%d", i)
			if err := buffer.Reserve(place.RequestID(id)); err != nil {
				assert.Assert(t, errors.Is(err, audit.ErrFull), "%v", err)
			} else {
				for range 4 {
					assert.NilError(t, buffer.Add(newRecord(model.Submit, id, i)))
					submits++
				}
				buffer.Release(place.RequestID(id))
			}
		}
		assert.NilError(t, buffer.Add(newRecord(model.Read, fmt.Sprintf("read-%d", i), i)))
		reads++
		assert.Assert(t, buffer.UsedBytes() <= limit, "used %d after %d records", buffer.UsedBytes(), i)
	}
	assert.Assert(t, submits > 200, "submits: %d", submits)

	chain, err := audit.NewChain("plzen-a-1", "run-1")
	assert.NilError(t, err)
	var segments []audit.SegmentObject
	for final := false; !final; {
		batch, err := buffer.TakeBatch(64 << 10)
		assert.NilError(t, err)
		buffer.FreeStored()
		final = batch.IsLast
		segment, err := chain.AppendBatch(batch, final)
		assert.NilError(t, err)
		segments = append(segments, segment)
	}
	assert.Equal(t, buffer.UsedBytes(), 0)
	report, err := audit.Verify(segments, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Findings), 0, "%v", report.Findings)
	assert.Equal(t, report.Records+int(report.Dropped), submits+reads)
	kept := 0
	for _, stored := range segments {
		segment, err := audit.DecodeSegment(stored.Body)
		assert.NilError(t, err)
		for _, record := range segment.Records {
			if record.Class == model.Submit.String() {
				kept++
			}
			if record.Dropped != nil {
				assert.Equal(t, record.Dropped.Others, uint64(0))
			}
		}
	}
	assert.Equal(t, kept, submits)
}

// Guards against records of an admitted submit that do not fit into its
// reservation because their texts are long.
func TestLargestRecordsFitTheReservation(t *testing.T) {
	buffer, err := audit.NewBuffer(128 << 10)
	assert.NilError(t, err)
	long := strings.Repeat("ž", 500)
	assert.NilError(t, buffer.Reserve(place.RequestID(long)))
	for i := range 1000 {
		assert.NilError(t, buffer.Add(newRecord(model.Submit, fmt.Sprintf("other-%d", i), i)))
	}
	dropped := buffer.Dropped()
	assert.Assert(t, dropped > 0)
	for range 9 {
		assert.NilError(t, buffer.Add(audit.Record{
			At: start, Deadline: start, Kind: audit.Sent, Class: model.Submit.String(), Request: place.RequestID(long),
			Customer: model.CustomerName(long), Service: model.ServiceName(long), Endpoint: model.EndpointName(long),
			Reason: long, Outcome: long, Hedge: true, Position: math.MaxInt, Attempt: math.MaxUint64, AttemptNumber: math.MaxInt,
			Alternatives: slices.Repeat([]model.EndpointName{model.EndpointName(long)}, 50),
		}))
	}
	assert.Equal(t, buffer.Dropped(), dropped)
	assert.Assert(t, buffer.UsedBytes() <= 128<<10)
}

// Guards against a customer name with invalid UTF-8 that makes the segment
// unreadable, and with it the records of all other customers.
func TestInvalidUTF8IsReplaced(t *testing.T) {
	chain, err := audit.NewChain("plzen-a-1", "run-1")
	assert.NilError(t, err)
	stored, err := chain.Append([]audit.Record{{Number: 1, At: start, Kind: audit.Admitted, Customer: "resident\xff"}}, false)
	assert.NilError(t, err)
	segment, err := audit.DecodeSegment(stored.Body)
	assert.NilError(t, err)
	assert.Equal(t, segment.Records[0].Customer, model.CustomerName("resident\uFFFD"))
}

// Guards against a decoder that panics or accepts what it cannot encode again.
func FuzzDecodeSegment(f *testing.F) {
	for _, stored := range fiveSegments(f) {
		f.Add(stored.Body)
	}
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, body []byte) {
		segment, err := audit.DecodeSegment(body)
		if err != nil {
			return
		}
		chain, err := audit.NewChain(segment.Host, segment.Incarnation)
		assert.NilError(t, err)
		stored, err := chain.Append(segment.Records, segment.Final)
		assert.NilError(t, err)
		again, err := audit.DecodeSegment(stored.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(again.Records), len(segment.Records))
	})
}

func ExampleVerify() {
	chain, _ := audit.NewChain("plzen-a-1", "01JNZ0")
	first, _ := chain.Append([]audit.Record{{Number: 1, At: start, Kind: audit.Admitted}}, false)
	second, _ := chain.Append([]audit.Record{{Number: 2, At: start, Kind: audit.Delivered}}, true)
	report, _ := audit.Verify([]audit.SegmentObject{second}, nil)
	fmt.Println(report.Findings[0].Segment, report.Findings[0].Fault)
	report, _ = audit.Verify([]audit.SegmentObject{first, second}, nil)
	fmt.Println(len(report.Findings), report.Records, report.Closed)
	// Output:
	// audit/plzen-a-1/01JNZ0/0000000001 missing
	// 0 2 true
}
