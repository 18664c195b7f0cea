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
	// when another operator has stored a body under it, whether or not that
	// body was accepted later.
	maxNumbers = 64
	// maxCommits bounds the commits of one acceptance whose answers are lost.
	maxCommits = 4
)

// ErrUnsettled is returned when the store did not tell whether the change took
// effect. Accepting the same body on the same base again settles it.
var ErrUnsettled = errors.New("acceptance is not settled")

// Store is the part of the platform that holds the configuration.
type Store interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Commit(ctx context.Context, writes ...store.Write) ([]uint64, error)
	PutObject(ctx context.Context, name string, body []byte) error
	Object(ctx context.Context, name string) ([]byte, error)
}

// Accept makes body the successor of the revision base. A body that is not a
// valid configuration is refused, since no host could adopt it. It returns a
// ConflictError if another revision has succeeded base. Accepting the same
// body on the same base again returns the first result, so that the call may
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
		_, err = client.Commit(ctx, acceptingWrites(row.Version, head)...)
		if err == nil {
			return head, nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return settle(ctx, client, base, body)
		}
		// The commit may or may not have taken effect. If the head is still
		// the base, committing again is safe: a late arrival of the first
		// commit would then fail on the version of the row.
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
		// After a lost answer, and after ErrExists, the object tells whose
		// body is stored under the number.
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

// settle finds the revision that succeeded base. The change was accepted if
// that revision has its body, and has lost to another change if not.
func settle(ctx context.Context, client Store, base uint64, body []byte) (RevisionID, error) {
	winner, err := successor(ctx, client, base)
	if err != nil {
		return RevisionID{}, fmt.Errorf("settle change of revision %d: %w", base, err)
	}
	if winner.Matches(body) {
		return winner, nil
	}
	theirs, err := client.Object(ctx, ObjectName(winner.number))
	if err != nil {
		return RevisionID{}, fmt.Errorf("read revision %d: %w", winner.number, err)
	}
	differences, err := Compare(theirs, body)
	if err != nil {
		return RevisionID{}, fmt.Errorf("compare with revision %d: %w", winner.number, err)
	}
	return RevisionID{}, &ConflictError{base: base, winner: winner, differences: differences}
}

// successor returns the revision that was accepted on base. Numbers may have
// gaps, left by bodies that were stored and not accepted.
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
