package revise

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"filberthold/config"
	"filberthold/store"
)

const (
	// maxNumbers bounds how many numbers an operator tries. A number is taken
	// once an operator has stored a body under it, whether or not that body was
	// accepted later.
	maxNumbers = 64
	// maxCommits bounds the commits of one acceptance whose responses are lost.
	maxCommits = 4
)

// ErrUnsettled is returned if it is unknown whether the change took effect.
// Calling Accept again with the same body and base returns the outcome.
var ErrUnsettled = errors.New("acceptance is not settled")

// Store is the part of the platform that stores the configuration.
type Store interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes ...store.Write) ([]uint64, error)
	PutObject(ctx context.Context, name string, body []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
}

// Accept makes body the successor of the revision base. It refuses a body that
// is not a valid configuration, because no host could adopt it. It returns a
// ConflictError if another revision has succeeded base. A second call with the
// same body and base returns the result of the first one, so that the call may
// be repeated after any error.
func Accept(ctx context.Context, client Store, base uint64, body []byte) (RevisionID, error) {
	if _, err := config.ParseDeployment("new configuration", body, base+1); err != nil {
		return RevisionID{}, fmt.Errorf("accept on revision %d: %w", base, err)
	}
	row, current, err := readHead(ctx, client)
	if err != nil {
		return RevisionID{}, fmt.Errorf("accept on revision %d: %w", base, err)
	}
	if current.number != base {
		return settle(ctx, client, base, body)
	}
	head, err := storeBody(ctx, client, base, body)
	if err != nil {
		return RevisionID{}, fmt.Errorf("accept on revision %d: %w", base, err)
	}
	for range maxCommits {
		_, err = client.Commit(ctx, acceptanceWrites(row.Version, head)...)
		if err == nil {
			return head, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return settle(ctx, client, base, body)
		}
		// The commit may or may not have taken effect. If the head is still
		// the base, committing again is safe: if the first commit arrives
		// after the second one, it fails because the row has a new version.
		_, current, readErr := readHead(ctx, client)
		if readErr != nil {
			return RevisionID{}, fmt.Errorf("accept revision %d: %w: %w", head.number, ErrUnsettled, errors.Join(err, readErr))
		}
		if current.number != base {
			return settle(ctx, client, base, body)
		}
	}
	return RevisionID{}, fmt.Errorf("accept revision %d: %w: %w", head.number, ErrUnsettled, err)
}

// readHead returns the head row and its contents; both are zero before the
// first revision.
func readHead(ctx context.Context, client Store) (store.Row, RevisionID, error) {
	row, err := client.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrAbsent) {
		return store.Row{}, RevisionID{}, nil
	}
	if err != nil {
		return store.Row{}, RevisionID{}, fmt.Errorf("read head: %w", err)
	}
	head, err := ParseRevisionID(row.Value)
	if err != nil {
		return store.Row{}, RevisionID{}, fmt.Errorf("parse head: %w", err)
	}
	return row, head, nil
}

// storeBody stores the body under the first free number after base.
func storeBody(ctx context.Context, client Store, base uint64, body []byte) (RevisionID, error) {
	for number := base + 1; number <= base+maxNumbers; number++ {
		putErr := client.PutObject(ctx, ObjectName(number), body)
		if putErr == nil {
			return RevisionIDOf(number, body), nil
		}
		// After a lost response or ErrExists, the object has to be read to
		// find out whose body is stored under the number.
		stored, err := client.Object(ctx, ObjectName(number))
		if err != nil {
			return RevisionID{}, fmt.Errorf("store body of revision %d: %w", number, errors.Join(putErr, err))
		}
		if bytes.Equal(stored, body) {
			return RevisionIDOf(number, body), nil
		}
	}
	return RevisionID{}, fmt.Errorf("the %d numbers after %d are taken by bodies that were not accepted", maxNumbers, base)
}

// settle determines the outcome of a change from the revision that succeeded
// base. If that revision has the body of the change, the change was accepted.
// Otherwise it conflicts with another change.
func settle(ctx context.Context, client Store, base uint64, body []byte) (RevisionID, error) {
	accepted, err := successor(ctx, client, base)
	if err != nil {
		return RevisionID{}, fmt.Errorf("settle change of revision %d: %w", base, err)
	}
	if accepted.Matches(body) {
		return accepted, nil
	}
	theirs, err := client.Object(ctx, ObjectName(accepted.number))
	if err != nil {
		return RevisionID{}, fmt.Errorf("read revision %d: %w", accepted.number, err)
	}
	differences, err := Compare(theirs, body)
	if err != nil {
		return RevisionID{}, fmt.Errorf("compare with revision %d: %w", accepted.number, err)
	}
	return RevisionID{}, &ConflictError{base: base, accepted: accepted, differences: differences}
}

// successor returns the revision that was accepted on base. It skips the
// numbers of bodies that were stored and not accepted.
func successor(ctx context.Context, client Store, base uint64) (RevisionID, error) {
	for number := base + 1; number <= base+maxNumbers; number++ {
		row, err := client.Get(ctx, acceptedKey(number))
		if errors.Is(err, store.ErrAbsent) {
			continue
		}
		if err != nil {
			return RevisionID{}, fmt.Errorf("read acceptance of revision %d: %w", number, err)
		}
		return ParseRevisionID(row.Value)
	}
	return RevisionID{}, fmt.Errorf("revision %d has not been accepted yet: %w", base, store.ErrAbsent)
}
