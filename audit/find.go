package audit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"filberthold/place"

	"github.com/oklog/ulid/v2"
)

// ArchiveReader lists and reads the objects of the archive.
type ArchiveReader interface {
	ObjectNames(ctx context.Context, prefix string) ([]string, error)
	Object(ctx context.Context, name string) ([]byte, error)
}

// ErrNoRecord is returned for a request that is not in the archive.
var ErrNoRecord = errors.New("no record in the archive")

// searchMargin covers the clock error between hosts and the longest segment
// interval of 10 s.
const searchMargin = 15 * time.Second

// ListChains returns the segment names that start with prefix in order, one
// list for each chain.
func ListChains(ctx context.Context, source ArchiveReader, prefix string) ([][]string, error) {
	names, err := source.ObjectNames(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list archive: %w", err)
	}
	slices.Sort(names)
	var chains [][]string
	last := ""
	for _, name := range names {
		if _, _, _, err := ParseSegmentName(name); err != nil {
			return nil, err
		}
		chain := name[:strings.LastIndex(name, "/")]
		if chain != last {
			chains = append(chains, nil)
		}
		chains[len(chains)-1] = append(chains[len(chains)-1], name)
		last = chain
	}
	return chains, nil
}

// Find returns the records of the host that handled a request, from shortly
// before its arrival to its end. It searches the segments whose names start with
// prefix, around the time in the request ID.
func Find(ctx context.Context, source ArchiveReader, prefix string, request place.RequestID) ([]Record, error) {
	id, err := ulid.ParseStrict(string(request))
	if err != nil {
		return nil, fmt.Errorf("%w: parse request identifier %q: %w", ErrNoRecord, request, err)
	}
	chains, err := ListChains(ctx, source, prefix)
	if err != nil {
		return nil, err
	}
	// The search continues if a chain cannot be read, because the request may
	// be in another one.
	var faults []error
	for _, names := range chains {
		search := search{source: source, names: names, request: request, arrivedAt: ulid.Time(id.Time())}
		if search.isLaterIncarnation() {
			continue
		}
		records, found, err := search.run(ctx)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if found {
			return records, nil
		}
	}
	missing := fmt.Errorf("request %s: %w: %d chains", request, ErrNoRecord, len(chains))
	return nil, errors.Join(append([]error{missing}, faults...)...)
}

// search is the search for a request in one chain.
type search struct {
	source    ArchiveReader
	names     []string
	request   place.RequestID
	arrivedAt time.Time
}

// isLaterIncarnation reports whether the incarnation started after the request
// arrived.
func (s *search) isLaterIncarnation() bool {
	_, incarnation, _, err := ParseSegmentName(s.names[0])
	if err != nil {
		return false
	}
	id, err := ulid.ParseStrict(incarnation)
	return err == nil && ulid.Time(id.Time()).After(s.arrivedAt.Add(searchMargin))
}

func (s *search) run(ctx context.Context) (records []Record, found bool, err error) {
	first := sort.Search(len(s.names), func(i int) bool {
		segment, loadError := s.load(ctx, s.names[i])
		if loadError != nil {
			err = loadError
		}
		count := len(segment.Records)
		return count == 0 || !segment.Records[count-1].At.Before(s.arrivedAt.Add(-searchMargin))
	})
	if err != nil {
		return nil, false, err
	}
	for _, name := range s.names[first:] {
		segment, err := s.load(ctx, name)
		if err != nil {
			return nil, false, err
		}
		for _, record := range segment.Records {
			if !found && record.At.After(s.arrivedAt.Add(searchMargin)) {
				return nil, false, nil
			}
			records = append(records, record)
			found = found || record.Request == s.request
			if record.Request == s.request && record.IsFinal() {
				return records, true, nil
			}
		}
	}
	return records, found, nil
}

func (s *search) load(ctx context.Context, name string) (Segment, error) {
	body, err := s.source.Object(ctx, name)
	if err != nil {
		return Segment{}, fmt.Errorf("read segment: %w", err)
	}
	segment, err := DecodeSegment(body)
	if err != nil {
		return Segment{}, fmt.Errorf("segment %s: %w", name, err)
	}
	return segment, nil
}
