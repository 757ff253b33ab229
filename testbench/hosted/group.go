package hosted

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// heartbeat is the time between two entries of a database in the store.
const heartbeat = 300 * time.Millisecond

// entry is one commit in a log.
type entry struct {
	term   uint32
	writes []write
}

type write struct{ item, data string }

// Group is a group of databases and the call that promotes them. It is safe
// for concurrent use.
type Group struct {
	Name           string
	store          *Store
	maxConnections int
	slots          int
	promoteTime    time.Duration
	lag            time.Duration
	cloud          *httptest.Server
	stop           chan struct{}
	tasks          sync.WaitGroup

	mu        sync.Mutex
	term      uint32
	databases []*Database
	// fence and holder are those of the last promotion.
	fence  uint64
	holder string
	// Violations holds what must never be seen.
	violations []string
	promotions int
	// rolledBack and deposed hold the data of writes that a promotion took
	// back, and of those committed beside the primary of a newer term.
	rolledBack map[string]bool
	deposed    map[string]bool
	// ran holds what the databases ran, and starts the first lines of their
	// connections.
	ran    []Ran
	starts map[string]bool
}

// GroupOptions describe a group.
type GroupOptions struct {
	Name           string
	Databases      int
	MaxConnections int
	Slots          int
	PromoteTime    time.Duration
	// Lag is the time by which replicas apply late.
	Lag time.Duration
	// SyncReplicas is the configured number of replicas that must have a commit
	// before it is acknowledged. The stand-in does not wait for them.
	SyncReplicas int
}

// StartGroup starts a group, the first database of which is the primary.
func StartGroup(store *Store, options GroupOptions) (*Group, error) {
	g := &Group{
		Name: options.Name, store: store, maxConnections: options.MaxConnections, slots: options.Slots,
		promoteTime: options.PromoteTime, lag: options.Lag, stop: make(chan struct{}), term: 1,
		rolledBack: map[string]bool{}, deposed: map[string]bool{}, starts: map[string]bool{},
	}
	g.cloud = httptest.NewServer(http.HandlerFunc(g.promote))
	for i := range options.Databases {
		added, err := g.add(i == 0)
		if err != nil {
			return nil, err
		}
		added.zone = "zone-" + strconv.Itoa(i)
	}
	g.tasks.Go(g.replicate)
	g.tasks.Go(g.announce)
	return g, nil
}

// Cloud returns the address of the call that promotes.
func (g *Group) Cloud() string { return g.cloud.Listener.Addr().String() }

// Databases returns the databases.
func (g *Group) Databases() []*Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Database(nil), g.databases...)
}

// Primary returns the database that leads the newest term, if it runs.
func (g *Group) Primary() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

func (g *Group) primary() *Database {
	for _, d := range g.databases {
		if d.running && d.primary && d.term == g.term {
			return d
		}
	}
	return nil
}

// Violations returns what must never be seen and was.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.violations...)
}

// Promotions returns the number of promotions.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions
}

// noteRolledBack records writes that a promotion took back. g.mu is held.
func (g *Group) noteRolledBack(lost []entry) {
	for _, e := range lost {
		for _, w := range e.writes {
			g.rolledBack[w.data] = true
		}
	}
}

// Outcome is what has become of the writes of a group.
type Outcome struct {
	// Kept holds how often each write's data is in the primary's log.
	Kept map[string]int
	// RolledBack holds the data that a promotion took back, and Deposed that
	// of commits beside the primary of a newer term.
	RolledBack, Deposed map[string]bool
}

// Outcome returns what has become of the writes so far; Kept is nil without a
// primary.
func (g *Group) Outcome() Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := Outcome{RolledBack: maps.Clone(g.rolledBack), Deposed: maps.Clone(g.deposed)}
	leader := g.primary()
	if leader == nil {
		return found
	}
	found.Kept = map[string]int{}
	for _, e := range leader.log {
		for _, w := range e.writes {
			found.Kept[w.data]++
		}
	}
	return found
}

// IsSettled reports whether all databases run and follow the primary.
func (g *Group) IsSettled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader := g.primary()
	if leader == nil {
		return false
	}
	for _, d := range g.databases {
		if !d.running || d.term != leader.term || len(d.log) != len(leader.log) {
			return false
		}
	}
	return true
}

// Close ends all databases.
func (g *Group) Close() {
	close(g.stop)
	g.cloud.Close()
	for _, d := range g.Databases() {
		d.Crash()
	}
	g.tasks.Wait()
}

// add adds a database. g.mu is not held.
func (g *Group) add(primary bool) (*Database, error) {
	d := &Database{group: g, primary: primary, term: g.term, conns: map[*conn]struct{}{}}
	g.mu.Lock()
	g.databases = append(g.databases, d)
	d.ID = g.Name + "-" + strconv.Itoa(len(g.databases))
	g.mu.Unlock()
	return d, d.Start()
}

var errNoReplica = errors.New("no such replica")

// promote is the handler of the call that names the next primary.
func (g *Group) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service    string `json:"service"`
		Identifier string `json:"identifier"`
	}
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	g.checkFence(fence, r.Header.Get("X-Duty-Holder"))
	target, err := g.running(order.Identifier)
	if err != nil {
		g.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	present := target.primary && target.term == g.term
	g.mu.Unlock()
	if present {
		return
	}
	g.tasks.Go(func() {
		time.Sleep(g.promoteTime)
		g.lead(target)
	})
}

// checkFence notes a fence that two holders share, or that goes back.
func (g *Group) checkFence(fence uint64, holder string) {
	switch {
	case fence < g.fence:
		g.violations = append(g.violations, "a promotion with a lower fence than one before")
	case fence == g.fence && holder != g.holder:
		g.violations = append(g.violations, "two holders promote with one fence")
	}
	g.fence = fence
	g.holder = holder
}

func (g *Group) running(id string) (*Database, error) {
	for _, d := range g.databases {
		if d.ID == id && d.running {
			return d, nil
		}
	}
	return nil, errNoReplica
}

// lead makes a database the primary of the next term, with what it has
// received. The one before learns of it when it can.
func (g *Group) lead(target *Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !target.running || target.primary && target.term == g.term {
		return
	}
	g.term++
	g.promotions++
	target.term = g.term
	target.primary = true
	target.paused = false
	target.applied = len(target.log)
	target.ledSince = time.Now()
}

// followAfter is the time after which a replaced primary that reaches the next
// one follows it.
const followAfter = time.Second

// replicate copies the primary's log to the replicas.
func (g *Group) replicate() {
	const interval = 5 * time.Millisecond
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(interval):
		}
		g.mu.Lock()
		leader := g.primary()
		for _, d := range g.databases {
			if leader == nil || d == leader || !d.running || d.paused || d.isolated || leader.isolated {
				d.apply(g.lag)
				continue
			}
			if d.primary && time.Since(leader.ledSince) < followAfter {
				continue
			}
			d.follow(leader)
			d.apply(g.lag)
		}
		g.mu.Unlock()
	}
}

// announce writes the entries of the databases.
func (g *Group) announce() {
	for {
		g.mu.Lock()
		for _, d := range g.databases {
			g.entryOf(d)
		}
		g.mu.Unlock()
		select {
		case <-g.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// entryOf writes or removes the entry of a database. g.mu is held.
func (g *Group) entryOf(d *Database) {
	if !d.running {
		if d.announced != "" {
			g.store.Delete("servers", d.ID)
			d.announced = ""
		}
		return
	}
	state := "ready"
	if d.draining {
		state = "draining"
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{
		"service": g.Name, "address": d.wire.Address(), "zone": d.zone, "version": "v1", "slots": g.slots,
		"state": state, "cold_remaining_ms": 0, "database_role": role, "born": d.born,
	})
	if d.announced != string(body) {
		d.announced = string(body)
		g.store.Put("servers", d.ID, body)
	}
}
