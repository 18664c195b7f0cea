package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"filberthold/config"
	"filberthold/revise"
	"filberthold/store"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

// publishTimeout bounds the time to publish a revision. Up to 64 revision
// numbers are tried and 4 commits made, each of which may wait for a slow
// store.
const publishTimeout = time.Minute

// errConflict is returned when another change of the same revision was accepted
// first.
var errConflict = errors.New("another change was accepted first")

// publishedRevision is the JSON form of an accepted or current revision.
type publishedRevision struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest,omitempty"`
}

// conflictReport is the JSON form of a conflict.
type conflictReport struct {
	Base        uint64               `json:"base"`
	Accepted    publishedRevision    `json:"accepted"`
	Differences []conflictDifference `json:"differences"`
}

// conflictDifference is a key whose value differs between the accepted and the
// refused change.
type conflictDifference struct {
	Key      string `json:"key"`
	Accepted string `json:"accepted"`
	Refused  string `json:"refused"`
}

func newPublishCommand() *cobra.Command {
	var address string
	var base uint64
	var asJSON bool
	command := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a deployment configuration as the successor of a revision",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			body, err := readDeployment(arguments[0], base)
			if err != nil {
				return err
			}
			id, err := publish(command.Context(), address, base, body)
			var conflict *revise.ConflictError
			switch {
			case errors.As(err, &conflict):
				return reportConflict(command, base, conflict, asJSON)
			case err != nil:
				return wrapPublish(err, base)
			case asJSON:
				return writeIndented(command.OutOrStdout(), newPublishedRevision(id))
			}
			command.Printf("revision %s is accepted, based on %d\n", id, base)
			return nil
		},
	}
	addPlatformFlag(command, &address)
	command.Flags().Uint64Var(&base, "base", 0, "revision on which the change is based; 0 for the first configuration")
	command.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	// With a default, an operator could overwrite a change without having seen it.
	_ = command.MarkFlagRequired("base")
	return command
}

// readDeployment reads and checks a configuration that is based on a revision.
func readDeployment(file string, base uint64) ([]byte, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.Code("unreadable").Hint("give the path of a deployment configuration").Wrapf(err, "read configuration")
	}
	if _, err := config.ParseDeployment(file, body, base+1); err != nil {
		return nil, wrapInvalid(err)
	}
	return body, nil
}

func publish(ctx context.Context, address string, base uint64, body []byte) (revise.RevisionID, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	client := store.NewClient(address)
	defer client.Close()
	id, err := revise.Accept(ctx, client, base, body)
	if err != nil {
		return revise.RevisionID{}, fmt.Errorf("publish: %w", err)
	}
	return id, nil
}

// reportConflict prints all keys that differ. The error text of a conflict
// contains only the first ten.
func reportConflict(command *cobra.Command, base uint64, conflict *revise.ConflictError, asJSON bool) error {
	report := conflictReport{Base: base, Accepted: newPublishedRevision(conflict.Accepted()), Differences: []conflictDifference{}}
	for _, difference := range conflict.Differences() {
		report.Differences = append(report.Differences, conflictDifference{
			Key: difference.Key(), Accepted: difference.Theirs(), Refused: difference.Ours(),
		})
	}
	if asJSON {
		if err := writeIndented(command.OutOrStdout(), report); err != nil {
			return err
		}
	} else {
		command.Printf("revision %s was accepted on revision %d; differing keys: %d\n", conflict.Accepted(), base, len(report.Differences))
		for _, difference := range report.Differences {
			command.Printf("  %s: accepted %q, refused %q\n", difference.Key, difference.Accepted, difference.Refused)
		}
	}
	return oops.Code("conflict").Hint("apply the change to the current configuration, and name its revision as --base").
		Wrapf(errConflict, "publish on revision %d", base)
}

// wrapPublish adds a hint to an error of publish.
func wrapPublish(err error, base uint64) error {
	switch {
	case errors.Is(err, revise.ErrUnsettled):
		return oops.Code("unsettled").Hint(fmt.Sprintf("publish the same file with --base %d again", base)).Wrap(err)
	case errors.Is(err, store.ErrAbsent):
		return oops.Code("unknownBase").Hint("filberthold revision shows the current revision").Wrap(err)
	}
	return oops.Code("platform").Hint("give the platformAddress of the settings; publishing again is safe").Wrap(err)
}

func newRevisionCommand() *cobra.Command {
	var address string
	var asJSON bool
	command := &cobra.Command{
		Use:   "revision",
		Short: "Show the revision of the configuration that the platform holds",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			id, err := currentRevision(command.Context(), address)
			switch {
			case err != nil:
				return oops.Code("platform").Hint("give the platformAddress of the settings").Wrap(err)
			case asJSON:
				return writeIndented(command.OutOrStdout(), newPublishedRevision(id))
			case id.Number() == 0:
				command.Println("0 (no configuration has been published)")
				return nil
			}
			command.Println(id)
			return nil
		},
	}
	addPlatformFlag(command, &address)
	command.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	return command
}

// currentRevision returns the ID of the current revision, which is the zero value
// before the first one.
func currentRevision(ctx context.Context, address string) (revise.RevisionID, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	client := store.NewClient(address)
	defer client.Close()
	row, err := client.Get(ctx, revise.HeadKey)
	if errors.Is(err, store.ErrAbsent) {
		return revise.RevisionID{}, nil
	}
	if err != nil {
		return revise.RevisionID{}, fmt.Errorf("read revision: %w", err)
	}
	id, err := revise.ParseRevisionID(row.Value)
	if err != nil {
		return revise.RevisionID{}, fmt.Errorf("parse revision: %w", err)
	}
	return id, nil
}

func newPublishedRevision(id revise.RevisionID) publishedRevision {
	if id.Number() == 0 {
		return publishedRevision{}
	}
	return publishedRevision{Revision: id.Number(), Digest: id.Digest().String()}
}
