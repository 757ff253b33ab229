// Package platformfake is an in-memory platform with fault switches, for
// tests. It takes no time and starts no goroutine.
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

// ErrAnswerLost is the error of a commit whose answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Platform implements platform.Table and platform.Instances, and its Objects
// the object store. It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	objects   map[string][]byte
	instances []platform.Instance

	down          bool
	losses        []Loss
	beforeCommits []func()
}

var (
	_ platform.Table     = (*Platform)(nil)
	_ platform.Instances = (*Platform)(nil)
	_ platform.Objects   = Objects{}
)

// Loss is what happens to a commit whose answer is lost.
type Loss uint8

// The losses.
const (
	// LoseRequest drops the commit before it takes effect.
	LoseRequest Loss = iota
	// LoseAnswer drops the answer after the commit took effect.
	LoseAnswer
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetDown makes every call fail, without effect, until it is called with false.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// LoseNext makes the next commits fail, one for each loss, in that order.
func (p *Platform) LoseNext(losses ...Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, losses...)
}

// BeforeNextCommit runs race, once, before the next commit takes effect. race
// may call the platform.
func (p *Platform) BeforeNextCommit(race func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeCommits = append(p.beforeCommits, race)
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = slices.Clone(instances)
}

// Instances returns the list as set.
func (p *Platform) Instances(context.Context) ([]platform.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, ErrDown
	}
	return slices.Clone(p.instances), nil
}

// Get returns the row, or nil.
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
	if race := p.takeRace(); race != nil {
		race()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return platform.CommitResult{}, ErrDown
	}
	loss, lost := p.takeLoss()
	if lost && loss == LoseRequest {
		return platform.CommitResult{}, ErrAnswerLost
	}
	result := p.apply(opID, writes)
	if lost {
		return platform.CommitResult{}, ErrAnswerLost
	}
	return result, nil
}

func (p *Platform) takeRace() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.beforeCommits) == 0 {
		return nil
	}
	race := p.beforeCommits[0]
	p.beforeCommits = p.beforeCommits[1:]
	return race
}

func (p *Platform) takeLoss() (Loss, bool) {
	if len(p.losses) == 0 {
		return 0, false
	}
	loss := p.losses[0]
	p.losses = p.losses[1:]
	return loss, true
}

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

// row returns a copy of the row, or nil.
func (p *Platform) row(key string) *platform.Row {
	row, ok := p.rows[key]
	if !ok {
		return nil
	}
	row.Value = slices.Clone(row.Value)
	return &row
}

// Version returns the version of the row; zero when it does not exist.
func (p *Platform) Version(key string) model.RowVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[key].Version
}
