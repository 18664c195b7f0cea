package claim_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"filberthold/claim"

	"gotest.tools/v3/assert"
)

// Guards against a decoder that panics or returns an error that does not wrap
// ErrMalformed, and against rows whose bytes change when they are encoded again.
// The seeds in testdata include invalid rows, such as one with an unknown state.
func FuzzDecode(f *testing.F) {
	deadline := time.Date(2026, 5, 4, 3, 2, 1, 5, time.UTC)
	rows := []claim.Row{
		{State: claim.Claimed, Token: "t", Host: "praha-b-1", Deadline: deadline, Fingerprint: []byte{1}},
		{State: claim.Done, Token: "t", Deadline: deadline, Response: &claim.Response{Status: 201, Body: []byte("x")}},
		{State: claim.NotRun, Token: "t", Deadline: deadline},
	}
	for _, row := range rows {
		value, err := claim.Encode(row)
		assert.NilError(f, err)
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := claim.Decode(value)
		if err != nil {
			assert.Assert(t, errors.Is(err, claim.ErrMalformed), "%v", err)
			return
		}
		encoded, err := claim.Encode(row)
		assert.NilError(t, err)
		again, err := claim.Decode(encoded)
		assert.NilError(t, err)
		repeated, err := claim.Encode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, repeated, encoded)
	})
}

// The response to a create is lost. The attempt reads the row, finds its own token
// in it and therefore holds the row.
func ExampleAttempt_Next() {
	now := time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)
	attempt := claim.New("token-1", "praha-b-1", now.Add(time.Second), []byte("digest"))
	attempt, action := attempt.Next(claim.Started{}, now)
	write := action.(claim.Write)
	attempt, action = attempt.Next(claim.WriteUnconfirmed{}, now)
	fmt.Printf("%T\n", action)
	attempt, action = attempt.Next(claim.CurrentRow{Row: write.Row, Version: 1}, now)
	fmt.Printf("%T\n", action)
	_, action = attempt.Next(claim.SendRequested{}, now)
	fmt.Printf("%T\n", action)
	// Output:
	// claim.Read
	// claim.Place
	// claim.Send
}
