package connections

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/grants"
	"gypsumdock/pkg/state/model"
)

func TestConnections(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connections")
}

const database = model.UpstreamID("hire-a")

// table is a table whose answers to commits are lost while losing is true.
type table struct {
	mu     sync.Mutex
	rows   map[string]platform.Row
	losing bool
}

func (t *table) Get(_ context.Context, key string) (*platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	if !found {
		return nil, nil
	}
	return &row, nil
}

func (t *table) List(context.Context, string) ([]platform.Row, error) { return nil, nil }

func (t *table) Commit(_ context.Context, opID string, writes []platform.Write) (platform.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := writes[0]
	row := t.rows[w.Key]
	applied := row.Version == w.IfVersion
	if applied {
		row = platform.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value, OpID: opID}
		t.rows[w.Key] = row
	}
	if t.losing {
		return platform.CommitResult{}, errors.New("answer lost")
	}
	return platform.CommitResult{Applied: applied, Rows: []*platform.Row{&row}}, nil
}

func (t *table) granted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var row grants.Row
	Expect(json.Unmarshal(t.rows[grants.Key("west", database)].Value, &row)).To(Succeed())
	return row.Sum()
}

// pools is a set of pools that opens what it may when asked to.
type pools struct {
	mu          sync.Mutex
	open, limit int
	waiting     int
}

func (p *pools) Use(model.UpstreamID) Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Use{Open: p.open, Waiting: p.waiting}
}

func (p *pools) SetLimit(_ model.UpstreamID, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.open = min(p.open, limit)
}

func (p *pools) fill(mayOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mayOpen {
		p.open = max(p.open, p.limit)
	}
}

// fleet is two instances before one upstream.
type fleet struct {
	mu       sync.Mutex
	hinted   []model.InstanceID
	ops      int
	now      time.Duration
	table    *table
	services map[model.InstanceID]*Service
	pools    map[model.InstanceID]*pools
	head     model.Head
}

func (f *fleet) Now() time.Duration { return f.now }

func (f *fleet) HintGrant(to model.InstanceID, _ model.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hinted = append(f.hinted, to)
}

// deliver hands over the hints sent so far.
func (f *fleet) deliver() {
	f.mu.Lock()
	hinted := f.hinted
	f.hinted = nil
	f.mu.Unlock()
	for _, to := range hinted {
		f.services[to].Hinted(database)
		f.services[to].calls.Wait()
	}
}

func (f *fleet) opID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops++
	return fmt.Sprint(f.ops)
}

func (f *fleet) CountConnections(_ context.Context, _ *bundle.Upstream, of model.InstanceID) (int, error) {
	f.pools[of].SetLimit(database, 0)
	return 0, nil
}

func newFleet() *fleet {
	f := &fleet{
		table: &table{rows: make(map[string]platform.Row)}, services: make(map[model.InstanceID]*Service),
		pools: make(map[model.InstanceID]*pools),
		head:  model.Head{MembersVersion: 1, Members: []model.Member{{ID: "i1"}, {ID: "i2"}}},
	}
	for _, id := range []model.InstanceID{"i1", "i2"} {
		f.pools[id] = &pools{waiting: 20}
		f.services[id] = New(Config{
			Region: "west", Grants: grants.DefaultConfig(id), Clock: f, Table: f.table, Pools: f.pools[id],
			Upstreams: f, Peers: f, Reserve: 1, OpID: f.opID,
		})
		f.services[id].Adopt(&bundle.Bundle{Groups: []bundle.Group{{
			ID: "hire", Upstreams: []bundle.Upstream{{ID: database, Connections: 16}},
		}}})
	}
	return f
}

// run lets time pass for the instances that are members.
func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += tickInterval {
		for _, member := range f.head.Members {
			s := f.services[member.ID]
			s.HeadSeen(f.now, &f.head)
			s.tick(context.Background())
			s.calls.Wait()
			f.deliver()
			f.pools[member.ID].fill(s.MayOpen(database))
			Expect(f.pools["i1"].open + f.pools["i2"].open).To(BeNumerically("<=", 15))
		}
	}
}

var _ = Describe("Service", func() {
	It("shares an upstream, also when answers are lost, and takes up a dead instance's part", func() {
		f := newFleet()
		f.run(time.Second)
		f.table.losing = true
		f.run(2 * time.Second)
		f.table.losing = false
		f.run(10 * time.Second)
		Expect(f.pools["i1"].open + f.pools["i2"].open).To(Equal(15))
		Expect(f.pools["i1"].open).To(BeNumerically("~", 7.5, 1))
		Expect(f.table.granted()).To(Equal(15))

		f.head.MembersVersion++
		f.head.Members = f.head.Members[1:]
		f.run(8 * time.Second)
		Expect(f.pools["i2"].open).To(Equal(15))
		Expect(f.services["i1"].MayOpen(database)).To(BeFalse())
	})
})
