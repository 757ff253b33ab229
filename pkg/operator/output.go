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

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// result is the output of a subcommand, printed as text or as JSON of its
// fields.
type result interface{ writeText(w io.Writer) }

// print prints a result in the format given by --output.
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

// failure is an error as JSON. Active is set for a ConflictError ("between" in
// JSON).
type failure struct {
	Error    string           `json:"error"`
	ExitCode int              `json:"exit_code"`
	Problems []bundle.Problem `json:"problems,omitempty"`
	Active   *HistoryEntry    `json:"between,omitempty"`
}

// printError prints an error to standard error in the format given by --output.
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
	// A failure to write to standard error cannot be reported anywhere.
	_ = writeJSON(a.env.Stderr, shown)
}

type checkResult struct {
	Digest  string `json:"digest"`
	Groups  int    `json:"groups"`
	Routes  int    `json:"routes"`
	Callers int    `json:"callers"`
	// LimitedCallers is the number of callers with a rate, and TotalRate the sum
	// of their rates.
	LimitedCallers int     `json:"limited_callers"`
	TotalRate      float64 `json:"total_rate"`
}

// addCallers counts the callers with a rate.
func (r *checkResult) addCallers(callers []bundle.Caller) {
	for i := range callers {
		if policy := callers[i].Policy(); policy.Limited() {
			r.LimitedCallers++
			r.TotalRate += policy.Rate
		}
	}
}

func (r checkResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "sound: %d groups, %d routes, %d callers, digest %s\n", r.Groups, r.Routes, r.Callers, r.Digest)
	if r.LimitedCallers > 0 {
		fmt.Fprintf(w, "rate limits: %d of %d callers, %s operations per second together\n", r.LimitedCallers, r.Callers,
			number(r.TotalRate))
	}
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
		fmt.Fprintf(w, "the base file could not be written: %s\n", r.BaseProblem)
	}
	if r.Rollout == nil {
		fmt.Fprintln(w, "no --instance was given, so it is unknown which instances have adopted the revision")
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

// verdict returns whether the instance has adopted the revision, or why that is
// unknown.
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
