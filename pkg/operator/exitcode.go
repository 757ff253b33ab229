// Package operator implements gypsumctl, the operators' command line. It checks,
// compares and applies a folder of configuration files, and shows groups and
// switches their primaries.
package operator

import (
	"fmt"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

// Exit codes of the command. exitHelp describes them.
const (
	ExitOK = iota
	ExitFailed
	ExitUsage
	ExitConflict
	ExitIncomplete
	ExitOutcomeUnknown
)

// exitHelp describes the exit codes in the help text.
const exitHelp = `Exit codes:
0 done;
1 failed, nothing was changed;
2 wrong usage, or the folder has problems;
3 another operator's revision came between, nothing was changed;
4 done, but not in force on every live instance in time, or the switch is not over in time;
5 the outcome is not known, as the platform gave no answer.`

// InvalidFilesError holds the problems of a configuration folder or of a
// settings file.
type InvalidFilesError struct{ Problems []bundle.Problem }

// Error lists the problems, one per line.
func (e *InvalidFilesError) Error() string { return bundle.FormatProblems(e.Problems) }

// ConflictError reports that another revision was applied after the one that the
// operator started from.
type ConflictError struct {
	// Base is the revision that the operator started from.
	Base model.Revision
	// Active is the revision that is active now.
	Active HistoryEntry
}

// Error names the revision, who applied it and what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came after revision %d, which this change started from; "+
		"compare with diff, then apply with --base %d", e.Active.Revision, e.Active.Who, e.Base, e.Active.Revision)
}

// OutcomeUnknownError reports that the answer to a call was lost, so that it is
// unknown whether the call took effect.
type OutcomeUnknownError struct{ Cause error }

// Error names the cause and what to do.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome is not known: %v; look at status and history before trying again", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// RolloutIncompleteError reports that some live instance did not adopt a revision
// in time.
type RolloutIncompleteError struct{ Rollout Rollout }

// Error gives the number of instances that have not adopted the revision.
func (e *RolloutIncompleteError) Error() string {
	return fmt.Sprintf("revision %d is not in force on %d of %d instances yet",
		e.Rollout.Revision, e.Rollout.missing(), len(e.Rollout.Instances))
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var (
		folder     *InvalidFilesError
		conflict   *ConflictError
		unknown    *OutcomeUnknownError
		incomplete *RolloutIncompleteError
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
	case errors.As(err, &incomplete), errors.As(err, &pending):
		return ExitIncomplete
	default:
		return ExitFailed
	}
}

// usageError is an invalid use of the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }
