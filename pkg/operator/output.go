package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

const outputJSON = "json"

// result is what a subcommand prints: as text, or as JSON of its fields.
type result interface{ writeText(w io.Writer) }

func (a *app) print(r result) error {
	if a.options.Output == outputJSON {
		return writeJSON(a.env.Stdout, r)
	}
	table := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	r.writeText(table)
	return table.Flush()
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// failure is the JSON of an error.
type failure struct {
	Error    string           `json:"error"`
	ExitCode int              `json:"exit_code"`
	Problems []bundle.Problem `json:"problems,omitempty"`
	Active   *HistoryEntry    `json:"between,omitempty"`
}

func (a *app) printError(err error) {
	if a.options.Output != outputJSON {
		fmt.Fprintln(a.env.Stderr, strings.TrimSpace(err.Error()))
		return
	}
	shown := failure{Error: strings.TrimSpace(err.Error()), ExitCode: exitCode(err)}
	var folder *InvalidFilesError
	if errors.As(err, &folder) {
		shown.Problems = folder.Problems
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		shown.Active = &conflict.Active
	}
	// Standard error is the last place to report to.
	_ = writeJSON(a.env.Stderr, shown)
}

type checkResult struct {
	Digest  string `json:"digest"`
	Groups  int    `json:"groups"`
	Routes  int    `json:"routes"`
	Callers int    `json:"callers"`
}

func (r checkResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "sound: %d groups, %d routes, %d callers, digest %s\n", r.Groups, r.Routes, r.Callers, r.Digest)
}

type diffResult struct {
	Revision model.Revision  `json:"revision"`
	Changes  []bundle.Change `json:"changes"`
}

func (r diffResult) writeText(w io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintf(w, "no difference to revision %d\n", r.Revision)
		return
	}
	writeChanges(w, r.Changes)
}

func writeChanges(w io.Writer, changes []bundle.Change) {
	for _, change := range changes {
		fmt.Fprintln(w, change)
	}
}

type applyResult struct {
	Applied
	Rollout *Rollout `json:"rollout,omitempty"`
}

func (r applyResult) writeText(w io.Writer) {
	writeChanges(w, r.Changes)
	if r.Unchanged {
		fmt.Fprintf(w, "revision %d has this configuration already\n", r.Revision)
	} else {
		fmt.Fprintf(w, "applied revision %d\n", r.Revision)
	}
	if r.BaseProblem != "" {
		fmt.Fprintf(w, "the folder's base was not kept: %s\n", r.BaseProblem)
	}
	if r.Rollout == nil {
		fmt.Fprintln(w, "no --instance was given, so that nothing is known of the instances")
		return
	}
	r.Rollout.writeText(w)
}

func (r Rollout) writeText(w io.Writer) {
	fmt.Fprintln(w, "INSTANCE\tREVISION\tIN FORCE")
	for _, instance := range r.Instances {
		fmt.Fprintf(w, "%s\t%d\t%s\n", instance.Instance, instance.Revision, instance.verdict())
	}
}

func (r InstanceRollout) verdict() string {
	switch {
	case r.Problem != "":
		return r.Problem
	case r.Active:
		return "yes"
	default:
		return "no"
	}
}

type historyResult struct {
	Revisions []HistoryEntry `json:"revisions"`
}

func (r historyResult) writeText(w io.Writer) {
	fmt.Fprintln(w, "REVISION\tWHEN\tWHO\tDIGEST\tNOTE")
	for _, entry := range r.Revisions {
		fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\n", entry.Revision, entry.When.Format(time.RFC3339), entry.Who, entry.Digest, entry.Note)
	}
}

type verifierResult struct {
	Verifier string `json:"verifier"`
}

func (r verifierResult) writeText(w io.Writer) { fmt.Fprintln(w, r.Verifier) }
