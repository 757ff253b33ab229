// Package platformfake provides an in-memory platform with fault injection for
// tests. Calls take no time, and it starts no goroutine.
package platformfake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/model"
)

// ErrDown is the error of every call while the platform is down.
var ErrDown = errors.New("platform is down")

// ErrAnswerLost is the error of a commit whose request or answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Platform implements platform.Table and platform.Instances, and its method Objects
// returns the object store. It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	objects   map[string][]byte
	instances []platform.Instance

	// down makes every call fail.
	down bool
	// losses are the faults of the next commits, in order.
	losses []Loss
	// beforeCommits are the functions to run before the next commits, in order.
	beforeCommits []func()
}

var (
	_ platform.Table     = (*Platform)(nil)
	_ platform.Instances = (*Platform)(nil)
	_ platform.Objects   = Objects{}
)

// Loss is the message of a commit that is lost. In both cases the commit returns
// ErrAnswerLost.
type Loss uint8

// The losses.
const (
	// LoseRequest loses the request: the commit does not take effect.
	LoseRequest Loss = iota
	// LoseAnswer loses the answer: the commit takes effect.
	LoseAnswer
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetDown sets whether every call fails without effect.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// LoseNext makes the next commits lose a message, one commit for each loss, in that
// order.
func (p *Platform) LoseNext(losses ...Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, losses...)
}

// BeforeNextCommit runs race once, before the next commit takes effect, so that a
// test can interleave another write. race may call the platform.
func (p *Platform) BeforeNextCommit(race func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeCommits = append(p.beforeCommits, race)
}

// SetInstances replaces the platform's list of instances.
func (p *Platform) SetInstances(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.Clone(instances)
}

// Instances returns the list of SetInstances.
func (p *Platform) Instances(context.Context) ([]platform.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, ErrDown
	}
	return slices.Clone(p.instances), nil
}

// Get returns the row, or nil if it does not exist.
func (p *Platform) Get(_ context.Context, key string) (*platform.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, ErrDown
	}
	return p.row(key), nil
}

// List returns the rows whose key starts with prefix, ordered by key.
func (p *Platform) List(_ context.Context, prefix string) ([]platform.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, ErrDown
	}
	var rows []platform.Row
	for key := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, *p.row(key))
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Commit applies all writes or none.
func (p *Platform) Commit(_ context.Context, opID string, writes []platform.Write) (platform.CommitResult, error) {
	if race := p.nextHook(); race != nil {
		race()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platform.CommitResult{}, ErrDown
	}
	loss, lost := p.nextLoss()
	if lost && loss == LoseRequest {
		return platform.CommitResult{}, ErrAnswerLost
	}
	result := p.apply(opID, writes)
	if lost {
		return platform.CommitResult{}, ErrAnswerLost
	}
	return result, nil
}

// nextHook removes and returns the next function of BeforeNextCommit, or nil.
func (p *Platform) nextHook() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.beforeCommits) == 0 {
		return nil
	}
	race := p.beforeCommits[0]
	p.beforeCommits = p.beforeCommits[1:]
	return race
}

// nextLoss removes and returns the next loss. p.mu must be held.
func (p *Platform) nextLoss() (Loss, bool) {
	if len(p.losses) == 0 {
		return 0, false
	}
	loss := p.losses[0]
	p.losses = p.losses[1:]
	return loss, true
}

// apply writes all rows if all have their expected versions. p.mu must be held.
func (p *Platform) apply(opID string, writes []platform.Write) platform.CommitResult {
	applied := !slices.ContainsFunc(writes, func(w platform.Write) bool { return p.rows[w.Key].Version != w.IfVersion })
	if applied {
		for _, write := range writes {
			p.write(opID, write)
		}
	}
	rows := make([]*platform.Row, len(writes))
	for i, write := range writes {
		rows[i] = p.row(write.Key)
	}
	return platform.CommitResult{Applied: applied, Rows: rows}
}

// write writes or deletes one row. p.mu must be held.
func (p *Platform) write(opID string, write platform.Write) {
	if write.Delete {
		delete(p.rows, write.Key)
		return
	}
	p.rows[write.Key] = platform.Row{
		Key:     write.Key,
		Version: write.IfVersion + 1,
		Value:   slices.Clone(write.Value),
		OpID:    opID,
	}
}

// row returns a copy of the row, or nil if it does not exist. p.mu must be held.
func (p *Platform) row(key string) *platform.Row {
	row, ok := p.rows[key]
	if !ok {
		return nil
	}
	row.Value = slices.Clone(row.Value)
	return &row
}

// Version returns the version of the row, or zero if it does not exist.
func (p *Platform) Version(key string) model.RowVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[key].Version
}
