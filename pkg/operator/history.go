package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/state/model"
)

// HistoryEntry is a revision in the history. Who is the operator that applied it.
type HistoryEntry struct {
	Revision model.Revision `json:"revision"`
	Digest   string         `json:"digest"`
	Who      string         `json:"who"`
	When     time.Time      `json:"when"`
	Note     string         `json:"note,omitempty"`
}

// History returns the revisions that are kept, newest first.
func (p *Publisher) History(ctx context.Context) ([]HistoryEntry, error) {
	rows, err := p.Table.List(ctx, p.historyPrefix())
	if err != nil {
		return nil, err
	}
	entries := make([]HistoryEntry, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &entries[i]); err != nil {
			return nil, errors.Wrapf(err, "decode history row %q", row.Key)
		}
	}
	slices.SortFunc(entries, func(a, b HistoryEntry) int { return cmp.Compare(b.Revision, a.Revision) })
	return entries, nil
}

// Rollback applies the bundle of an older revision as a new revision.
func (p *Publisher) Rollback(ctx context.Context, revision model.Revision) (Applied, error) {
	row, err := p.Table.Get(ctx, p.historyKey(revision))
	if err != nil {
		return Applied{}, err
	}
	if row == nil {
		return Applied{}, errors.Errorf("revision %d is not in the history", revision)
	}
	var entry HistoryEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Applied{}, errors.Wrapf(err, "decode history row %q", row.Key)
	}
	old, err := p.load(ctx, entry.Digest)
	if err != nil {
		return Applied{}, err
	}
	base, err := p.Active(ctx)
	if err != nil {
		return Applied{}, err
	}
	return p.Apply(ctx, base, old, fmt.Sprintf("rollback to revision %d", revision))
}
