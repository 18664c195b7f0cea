package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filberthold/claim"
	"filberthold/model"

	"github.com/oklog/ulid/v2"
)

// maxRowBody is the size in bytes of the largest response body that is stored
// in the row itself; larger ones are stored in an object.
const maxRowBody = 64 << 10

// Register makes submits run at most once. It keeps one table row for each
// idempotency key and executes the actions of the state machine of package
// claim.
type Register struct {
	client *Client
	rows   rowStore
	host   model.HostName
}

// rowStore stores the rows of a register. It is a tableRows or a BoundKeys. The
// errors are those of Committer.Commit and Client.Get.
type rowStore interface {
	commit(ctx context.Context, write Write) error
	get(ctx context.Context, key string) (Row, error)
}

// tableRows stores rows in the platform's table.
type tableRows struct {
	client    *Client
	committer *Committer
}

func (t tableRows) commit(ctx context.Context, write Write) error {
	return t.committer.Commit(ctx, write)
}

func (t tableRows) get(ctx context.Context, key string) (Row, error) { return t.client.Get(ctx, key) }

// NewRegister returns the register of a host.
func NewRegister(client *Client, committer *Committer, host model.HostName) *Register {
	return &Register{client: client, rows: tableRows{client: client, committer: committer}, host: host}
}

// Claim is one attempt of this host to claim a key and to execute its request.
// It is not safe for concurrent use.
type Claim struct {
	register *Register
	key      string
	attempt  claim.Attempt
}

// Acquire creates the row of a key. If another attempt has created it, Acquire
// waits until the row is final or one of the two deadlines has passed. The
// returned action is a claim.Place if this attempt holds the row, and otherwise
// a claim.Answer, or a claim.Finish if ctx has ended. The fingerprint identifies
// the request.
func (r *Register) Acquire(ctx context.Context, service model.ServiceName, key string, deadline time.Time,
	fingerprint []byte) (*Claim, claim.Action) {
	token := claim.Token(string(r.host) + "/" + ulid.Make().String())
	acquired := &Claim{
		register: r,
		key:      rowKey(service, key),
		attempt:  claim.New(token, r.host, deadline, fingerprint),
	}
	return acquired, acquired.Advance(ctx, claim.Started{})
}

// LookUp returns the answer for a key that can no longer be claimed, from its
// row in the register.
func (r *Register) LookUp(ctx context.Context, service model.ServiceName, key string, fingerprint []byte) claim.Answer {
	reader := &Claim{register: r, key: rowKey(service, key)}
	return claim.AnswerExpired(reader.read(ctx), fingerprint, time.Now())
}

func rowKey(service model.ServiceName, key string) string {
	return "claims/" + string(service) + "/" + key
}

// Complete reports the complete response of the upstream. The returned action
// answers the caller, which does not wait for the write to the row. The next
// event, claim.Answered, stores the response in the row. If the caller has been
// answered before, Complete itself stores the response.
func (c *Claim) Complete(ctx context.Context, response *claim.Response) claim.Action {
	return c.Advance(ctx, claim.SendEnded{Execution: claim.Ran, Response: response})
}

// RefuseAsNotRun reports that placement sends the request to no further
// endpoint. The returned action answers notRun only if every send ended with
// proof that the request did not start, and the row contains notRun.
func (c *Claim) RefuseAsNotRun(ctx context.Context) claim.Action {
	return c.Advance(ctx, claim.NoMoreSends{})
}

// Advance passes an event to the state machine and executes its actions on the
// store. It returns the first other action: Place, AwaitSend, Send, DenySend,
// Answer or Finish. It returns Finish when ctx ends.
func (c *Claim) Advance(ctx context.Context, event claim.Event) claim.Action {
	for {
		var action claim.Action
		c.attempt, action = c.attempt.Next(event, time.Now())
		switch action := action.(type) {
		case claim.Write:
			event = c.write(ctx, action)
		case claim.Read:
			event = c.read(ctx)
		case claim.Wait:
			event = waitUntil(ctx, action.Until)
		default:
			return action
		}
		if ctx.Err() != nil {
			return claim.Finish{}
		}
	}
}

func waitUntil(ctx context.Context, until time.Time) claim.Event {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return claim.TimerFired{}
}

func (c *Claim) write(ctx context.Context, action claim.Write) claim.Event {
	row := action.Row
	if _, isTable := c.register.rows.(tableRows); isTable {
		moved, err := storeLargeBody(ctx, c.register.client, c.key, row)
		if err != nil {
			return claim.WriteUnconfirmed{}
		}
		row = moved
	}
	value, err := claim.Encode(row)
	if err != nil {
		return claim.WriteUnconfirmed{}
	}
	// The timeout covers the batch in progress and the batch of this write.
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	err = c.register.rows.commit(ctx, Write{Key: c.key, IfVersion: action.IfVersion, Value: value})
	var conflict *ConflictError
	switch {
	case err == nil:
		return claim.Committed{}
	case errors.As(err, &conflict) && len(conflict.Rows()) == 1:
		if found, err := c.decode(ctx, conflict.Rows()[0]); err == nil {
			return found
		}
	}
	return claim.WriteUnconfirmed{}
}

func (c *Claim) read(ctx context.Context) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := c.register.rows.get(ctx, c.key)
	if errors.Is(err, ErrAbsent) {
		return claim.CurrentRow{}
	}
	if err != nil {
		return claim.ReadFailed{}
	}
	found, err := c.decode(ctx, row)
	if err != nil {
		return claim.ReadFailed{}
	}
	return found
}

// decode returns the content of a row. It reads the body of the stored response
// from its object if it is not in the row.
func (c *Claim) decode(ctx context.Context, row Row) (claim.CurrentRow, error) {
	if row.Version == 0 {
		return claim.CurrentRow{}, nil
	}
	decoded, err := claim.Decode(row.Value)
	if err != nil {
		return claim.CurrentRow{}, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	if decoded.Response != nil && decoded.Response.Object != "" {
		body, err := c.register.client.Object(ctx, decoded.Response.Object)
		if err != nil {
			return claim.CurrentRow{}, fmt.Errorf("get stored response: %w", err)
		}
		decoded.Response.Body, decoded.Response.Object = body, ""
	}
	return claim.CurrentRow{Row: decoded, Version: row.Version}, nil
}

// storeLargeBody moves a body that is too large for a row to an object. The
// object is stored before the row that refers to it.
func storeLargeBody(ctx context.Context, client *Client, key string, row claim.Row) (claim.Row, error) {
	if row.Response == nil || len(row.Response.Body) <= maxRowBody {
		return row, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response := *row.Response
	response.Object = key + "/" + string(row.Token)
	if err := client.PutObject(ctx, response.Object, response.Body); err != nil && !errors.Is(err, ErrExists) {
		return claim.Row{}, fmt.Errorf("store large response: %w", err)
	}
	response.Body = nil
	row.Response = &response
	return row, nil
}
