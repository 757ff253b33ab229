// Package operator is the operators' command: it checks, compares and applies
// a folder of configuration, and shows and switches groups.
package operator

import (
	"fmt"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// Exit codes of the command; they stand in its help.
const (
	ExitOK = iota
	ExitFailed
	ExitUsage
	ExitConflict
	ExitIncomplete
	ExitOutcomeUnknown
)

const exitHelp = `Exit codes:
0 done;
1 failed, nothing was changed;
2 wrong usage, or the folder has problems;
3 another operator's revision came between, nothing was changed;
4 done, but not in force on every live instance in time, or the switch is not over in time;
5 the outcome is not known, as the platform gave no answer.`

// InvalidFilesError holds the problems of a folder.
type InvalidFilesError struct{ Problems []bundle.Problem }

// Error lists the problems, one a line.
func (e *InvalidFilesError) Error() string { return bundle.FormatProblems(e.Problems) }

// ConflictError says that another revision came between.
type ConflictError struct {
	// Base is the revision that the operator started from.
	Base model.Revision
	// Active is the revision that is in force now.
	Active HistoryEntry
}

// Error names the revision, who applied it and what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came after revision %d, which this change started from; "+
		"compare with diff, then apply with --base %d", e.Active.Revision, e.Active.Who, e.Base, e.Active.Revision)
}

// OutcomeUnknownError says that an answer was lost and could not be settled.
type OutcomeUnknownError struct{ Cause error }

// Error gives the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome is not known: %v; look at status and history before trying again", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// RolloutIncompleteError says that some live instance had not adopted a revision in
// time.
type RolloutIncompleteError struct{ Rollout Rollout }

// Error counts the instances.
func (e *RolloutIncompleteError) Error() string {
	return fmt.Sprintf("revision %d is not in force on %d of %d instances yet",
		e.Rollout.Revision, e.Rollout.missing(), len(e.Rollout.Instances))
}

// exitCode returns the code for the error of a command.
func exitCode(err error) int {
	var (
		folder     *InvalidFilesError
		conflict   *ConflictError
		unknown    *OutcomeUnknownError
		notInForce *RolloutIncompleteError
		pending    *switchPendingError
		usage      *usageError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &folder), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		return ExitOutcomeUnknown
	case errors.As(err, &notInForce), errors.As(err, &pending):
		return ExitIncomplete
	default:
		return ExitFailed
	}
}

// usageError is a wrong use of the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }
