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
	// maxCommits bounds the attempts against changes of the head row that do
	// not touch the configuration, such as a change of primary.
	maxCommits = 20
	// maxResends bounds how often a commit without an answer is sent again.
	maxResends = 5
	// historyLength is the number of revisions whose rows are kept.
	historyLength = 1000
)

// Publisher puts bundles in force in a region.
type Publisher struct {
	Table   platform.Table
	Objects platform.Objects
	Region  string
	// Who is written to the history.
	Who string
	// Now gives the time that is written to the history.
	Now func() time.Time
	// NewOpID returns an operation ID that was never used.
	NewOpID func() string
}

// ActiveConfiguration is the configuration in force. Head is nil before the first apply.
type ActiveConfiguration struct {
	Head   *model.Head
	Bundle *bundle.Bundle
	row    *platform.Row
}

// Revision returns the revision in force; zero before the first.
func (c ActiveConfiguration) Revision() model.Revision {
	if c.Head == nil {
		return 0
	}
	return c.Head.Revision
}

// has reports whether b is the configuration in force.
func (c ActiveConfiguration) has(b *bundle.Bundle) bool {
	return c.Bundle != nil && len(bundle.Diff(c.Bundle, b)) == 0
}

// Applied is the result of an apply or rollback.
type Applied struct {
	Revision model.Revision  `json:"revision"`
	Digest   string          `json:"digest"`
	Changes  []bundle.Change `json:"changes"`
	// Unchanged is true when the folder was in force already.
	Unchanged bool `json:"unchanged"`
	// BaseProblem says why the folder's base file could not be written.
	BaseProblem string `json:"base_problem,omitempty"`
}

// Active reads the configuration in force.
func (p *Publisher) Active(ctx context.Context) (ActiveConfiguration, error) {
	current, err := p.head(ctx)
	if err != nil || current.Revision() == 0 {
		return current, err
	}
	current.Bundle, err = p.load(ctx, current.Head.Digest)
	return current, err
}

func (p *Publisher) head(ctx context.Context) (ActiveConfiguration, error) {
	row, err := p.Table.Get(ctx, platform.HeadKey(p.Region))
	if err != nil || row == nil {
		return ActiveConfiguration{}, err
	}
	head, err := platform.DecodeHead(row)
	return ActiveConfiguration{Head: head, row: row}, err
}

func (p *Publisher) load(ctx context.Context, digest string) (*bundle.Bundle, error) {
	data, err := p.Objects.Get(ctx, digest)
	if err != nil {
		return nil, err
	}
	return bundle.Decode(data, digest)
}

// Apply puts b in force as the next revision after base. It returns a
// ConflictError when another revision came between, and an OutcomeUnknownError when
// an answer was lost and could not be settled.
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

// commit writes the head row and the history row of the next revision.
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
	return errors.Errorf("the head row changed %d times; apply again", maxCommits)
}

func (p *Publisher) conflict(ctx context.Context, base, current ActiveConfiguration) error {
	between := HistoryEntry{Revision: current.Revision(), Who: "unknown"}
	row, err := p.Table.Get(ctx, p.historyKey(between.Revision))
	if err == nil && row != nil {
		// A row that cannot be read leaves the operator unnamed.
		_ = json.Unmarshal(row.Value, &between)
	}
	return &ConflictError{Base: base.Revision(), Active: between}
}

// send commits writes and settles a lost answer. It reports whether they were
// applied.
func (p *Publisher) send(ctx context.Context, writes []platform.Write) (bool, error) {
	opID := p.NewOpID()
	var lost error
	for range maxResends {
		result, err := p.Table.Commit(ctx, opID, writes)
		if err == nil {
			return result.Applied || ownWrite(result, opID), nil
		}
		lost = err
		settlement, rows, err := platform.ResolveCommit(ctx, p.Table, opID, writes)
		switch {
		case err != nil:
			return false, &OutcomeUnknownError{Cause: err}
		case settlement == platform.CommitApplied:
			return true, nil
		case settlement == platform.CommitConflict, isTaken(rows):
			return false, nil
		}
	}
	return false, &OutcomeUnknownError{Cause: lost}
}

// ownWrite reports whether a commit that was not applied met its own earlier
// copy.
func ownWrite(result platform.CommitResult, opID string) bool {
	for _, row := range result.Rows {
		if row != nil && row.OpID == opID {
			return true
		}
	}
	return false
}

// isTaken reports whether the history row is another operation's. It is
// written once, so that the commit was not and will not be applied.
func isTaken(rows []*platform.Row) bool {
	return rows[historyWrite] != nil
}

// The order of the writes of a commit.
const (
	headWrite = iota
	historyWrite
)

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
		return nil, errors.Wrap(err, "encode history")
	}
	writes := make([]platform.Write, historyWrite+1)
	writes[headWrite] = platform.Write{Key: platform.HeadKey(p.Region), Value: value}
	if current.row != nil {
		writes[headWrite].IfVersion = current.row.Version
	}
	writes[historyWrite] = platform.Write{Key: p.historyKey(entry.Revision), Value: history}
	return p.trim(ctx, writes, entry.Revision)
}

// trim adds the removal of the history row that falls out of the length kept.
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

func (p *Publisher) historyKey(revision model.Revision) string {
	return fmt.Sprintf("%s%d", p.historyPrefix(), revision)
}

func (p *Publisher) historyPrefix() string { return "revision/" + p.Region + "/" }
