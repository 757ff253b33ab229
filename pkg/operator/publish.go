package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/model"
)

const (
	// maxCommits is the number of attempts to commit while the head row changes
	// concurrently without a new revision, as by a change of primary.
	maxCommits = 20
	// maxResends is the number of times that a commit is sent while its answers
	// are lost.
	maxResends = 5
	// historyLength is the number of revisions that are kept in the history.
	historyLength = 1000
)

// Publisher makes bundles the active configuration of a region.
type Publisher struct {
	Table   platform.Table
	Objects platform.Objects
	Region  string
	// Who is the operator's name in the history.
	Who string
	// Now returns the current time, for the history.
	Now func() time.Time
	// NewOpID returns a unique operation ID for a commit.
	NewOpID func() string
}

// ActiveConfiguration is the active configuration of a region. Head and Bundle
// are nil before the first apply.
type ActiveConfiguration struct {
	Head   *model.Head
	Bundle *bundle.Bundle
	row    *platform.Row
}

// Revision returns the active revision; zero before the first apply.
func (c ActiveConfiguration) Revision() model.Revision {
	if c.Head == nil {
		return 0
	}
	return c.Head.Revision
}

// has reports whether the active configuration equals b.
func (c ActiveConfiguration) has(b *bundle.Bundle) bool {
	return c.Bundle != nil && len(bundle.Diff(c.Bundle, b)) == 0
}

// Applied is the result of an apply or rollback.
type Applied struct {
	Revision model.Revision  `json:"revision"`
	Digest   string          `json:"digest"`
	Changes  []bundle.Change `json:"changes"`
	// Unchanged is true if the configuration was active already.
	Unchanged bool `json:"unchanged"`
	// BaseProblem is the error of writing the folder's base file, if it failed.
	BaseProblem string `json:"base_problem,omitempty"`
}

// Active reads the active configuration.
func (p *Publisher) Active(ctx context.Context) (ActiveConfiguration, error) {
	current, err := p.head(ctx)
	if err != nil || current.Revision() == 0 {
		return current, err
	}
	current.Bundle, err = p.load(ctx, current.Head.Digest)
	return current, err
}

// head reads the head row without the bundle.
func (p *Publisher) head(ctx context.Context) (ActiveConfiguration, error) {
	row, err := p.Table.Get(ctx, platform.HeadKey(p.Region))
	if err != nil || row == nil {
		return ActiveConfiguration{}, err
	}
	head, err := platform.DecodeHead(row)
	return ActiveConfiguration{Head: head, row: row}, err
}

// load reads a bundle from the object store.
func (p *Publisher) load(ctx context.Context, digest string) (*bundle.Bundle, error) {
	data, err := p.Objects.Get(ctx, digest)
	if err != nil {
		return nil, err
	}
	return bundle.Decode(data, digest)
}

// Apply makes b active as the next revision after base. It returns a
// ConflictError if another revision was applied since base was read, and an
// OutcomeUnknownError if it is unknown whether b was applied.
func (p *Publisher) Apply(ctx context.Context, base ActiveConfiguration, b *bundle.Bundle, note string) (Applied, error) {
	data, digest, err := bundle.Encode(b)
	if err != nil {
		return Applied{}, err
	}
	applied := Applied{Revision: base.Revision(), Digest: digest, Changes: bundle.Diff(base.Bundle, b)}
	if base.has(b) {
		applied.Digest = base.Head.Digest
		applied.Unchanged = true
		return applied, nil
	}
	if _, err := p.Objects.Put(ctx, data); err != nil {
		return Applied{}, err
	}
	applied.Revision = base.Revision() + 1
	entry := HistoryEntry{Revision: applied.Revision, Digest: digest, Who: p.Who, When: p.Now().UTC(), Note: note}
	return applied, p.commit(ctx, base, b, entry)
}

// commit writes the head row and the history row of the next revision. It
// retries while the head row changes without a new revision.
func (p *Publisher) commit(ctx context.Context, base ActiveConfiguration, b *bundle.Bundle, entry HistoryEntry) error {
	current := base
	for range maxCommits {
		if current.Revision() != base.Revision() {
			return p.conflict(ctx, base, current)
		}
		writes, err := p.writes(ctx, current, b, entry)
		if err != nil {
			return err
		}
		applied, err := p.send(ctx, writes)
		if err != nil || applied {
			return err
		}
		if current, err = p.head(ctx); err != nil {
			return err
		}
	}
	return errors.Errorf("gave up after %d attempts, as the head row changed each time; apply again", maxCommits)
}

// conflict returns the ConflictError for an apply on base while current is
// active.
func (p *Publisher) conflict(ctx context.Context, base, current ActiveConfiguration) error {
	active := HistoryEntry{Revision: current.Revision(), Who: "unknown"}
	row, err := p.Table.Get(ctx, p.historyKey(active.Revision))
	if err == nil && row != nil {
		// If the row cannot be decoded, the operator stays "unknown".
		_ = json.Unmarshal(row.Value, &active)
	}
	return &ConflictError{Base: base.Revision(), Active: active}
}

// send commits writes, and finds out the outcome if the answer is lost. It
// reports whether they were applied.
func (p *Publisher) send(ctx context.Context, writes []platform.Write) (bool, error) {
	opID := p.NewOpID()
	var lost error
	for range maxResends {
		result, err := p.Table.Commit(ctx, opID, writes)
		if err == nil {
			return result.Applied || ownWrite(result, opID), nil
		}
		lost = err
		outcome, rows, err := platform.ResolveCommit(ctx, p.Table, opID, writes)
		switch {
		case err != nil:
			return false, &OutcomeUnknownError{Cause: err}
		case outcome == platform.CommitApplied:
			return true, nil
		case outcome == platform.CommitConflict, isTaken(rows):
			return false, nil
		}
	}
	return false, &OutcomeUnknownError{Cause: lost}
}

// ownWrite reports whether a commit was refused because an earlier attempt of
// the same operation was applied.
func ownWrite(result platform.CommitResult, opID string) bool {
	for _, row := range result.Rows {
		if row != nil && row.OpID == opID {
			return true
		}
	}
	return false
}

// isTaken reports whether another operation has written the history row. The row
// is written only once, so the commit was not and will not be applied.
func isTaken(rows []*platform.Row) bool {
	return rows[historyWrite] != nil
}

// Indexes of the writes in a commit.
const (
	headWrite = iota
	historyWrite
)

// writes returns the writes that make b active after current.
func (p *Publisher) writes(ctx context.Context, current ActiveConfiguration, b *bundle.Bundle, entry HistoryEntry) ([]platform.Write, error) {
	head, err := nextHead(current.Head, b, entry)
	if err != nil {
		return nil, err
	}
	value, err := platform.EncodeHead(head)
	if err != nil {
		return nil, err
	}
	history, err := json.Marshal(entry)
	if err != nil {
		return nil, errors.Wrap(err, "encode history row")
	}
	writes := make([]platform.Write, historyWrite+1)
	writes[headWrite] = platform.Write{Key: platform.HeadKey(p.Region), Value: value}
	if current.row != nil {
		writes[headWrite].IfVersion = current.row.Version
	}
	writes[historyWrite] = platform.Write{Key: p.historyKey(entry.Revision), Value: history}
	return p.trim(ctx, writes, entry.Revision)
}

// trim appends the deletion of the history row that exceeds historyLength, if
// there is one.
func (p *Publisher) trim(ctx context.Context, writes []platform.Write, revision model.Revision) ([]platform.Write, error) {
	if revision <= historyLength {
		return writes, nil
	}
	row, err := p.Table.Get(ctx, p.historyKey(revision-historyLength))
	if err != nil || row == nil {
		return writes, err
	}
	return append(writes, platform.Write{Key: row.Key, IfVersion: row.Version, Delete: true}), nil
}

// historyKey returns the table key of a revision in the history.
func (p *Publisher) historyKey(revision model.Revision) string {
	return fmt.Sprintf("%s%d", p.historyPrefix(), revision)
}

// historyPrefix returns the common prefix of the history's keys.
func (p *Publisher) historyPrefix() string { return "revision/" + p.Region + "/" }
