package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Names of the databases that routes lead to.
const (
	latest  = "lepu270"
	ryw     = "huvo11a"
	bounded = "xapu221"
)

// config is the operator's configuration.
type config struct {
	version int
	service string
	most    int
	// others are the names of further services, to each of which a route leads.
	others []string
	// keys are the access keys of the only tenant; nil for none.
	keys []string
}

// value returns the row of the configuration.
func (c config) value() map[string]any {
	route := func(name, kind string, priority, age int) map[string]any {
		r := map[string]any{
			"name": "r-" + name, "host": name, "prefix": "/", "kind": kind, "service": c.service, "timeout_ms": 1600,
			"target_latency_ms": 400, "priority": priority, "max_attempts": 2,
		}
		if age > 0 {
			r["max_staleness_ms"] = age
		}
		return r
	}
	routes := []any{
		route(latest, "primary", 1, 0), route(ryw, "read_your_writes", 2, 2500), route(bounded, "bounded_staleness", 2, 1500),
	}
	services := []any{map[string]any{"name": c.service, "max_connections": c.most, "sync_replicas": 0}}
	for _, name := range c.others {
		further := route("db-"+name, "primary", 1, 0)
		further["service"] = name
		routes = append(routes, further)
		services = append(services, map[string]any{"name": name, "max_connections": c.most, "sync_replicas": 0})
	}
	fields := map[string]any{
		"version": c.version, "routes": routes, "services": services, "limits": map[string]any{"transaction_idle_ms": 3000},
	}
	if c.keys != nil {
		fields["tenants"] = []any{map[string]any{"name": "acme", "api_keys": c.keys}}
	}
	return fields
}

// system is a small deployment.
type system struct {
	*site
	store   *Store
	service *Service
	// others are further services.
	others   []*Service
	machines []*Instance
	config   config
}

// options say what a system has besides the usual.
type options struct {
	// settings are further lines of the table `bounds` of the settings.
	settings string
	others   []string
	keys     []string
}

var zones = []string{"colombo", "colombo", "gampaha", "kalutara"}

// startSystem starts the stand-ins and the instances, and waits until they are ready.
func (s *site) startSystem(count int, with options) (*system, error) {
	store, err := startStore()
	if err != nil {
		return nil, err
	}
	service, err := startService(store, s.record, "hirecore", []string{"colombo", "gampaha", "kalutara"})
	if err != nil {
		return nil, err
	}
	y := &system{site: s, store: store, service: service, config: config{
		version: 7, service: service.name, most: service.most, others: with.others, keys: with.keys,
	}}
	for _, name := range with.others {
		other, err := startService(store, s.record, name, []string{"colombo", "gampaha", "kalutara"})
		if err != nil {
			return y, err
		}
		y.others = append(y.others, other)
	}
	y.configure()
	places := make([]string, count)
	for i := range places {
		places[i] = zones[i%len(zones)]
	}
	y.machines, err = machines(s.dir, s.record, store.address(), service.cloud.Addr().String(), places, with.settings)
	if err != nil {
		return y, err
	}
	for _, m := range y.machines {
		if err := m.start(); err != nil {
			return y, err
		}
	}
	if !awaitReady(y.machines, 20*time.Second) {
		return y, fmt.Errorf("the instances were not ready in 20 s")
	}
	s.record.note("all instances are ready")
	return y, nil
}

// configure writes the next version of the configuration.
func (y *system) configure() {
	y.config.version += 3
	y.store.put("op", "config", y.config.value())
	y.record.note("configuration %d is acknowledged", y.config.version)
}

func (y *system) close() {
	for _, m := range y.machines {
		m.kill()
	}
	for _, service := range append(y.others, y.service) {
		for _, d := range service.databases {
			d.stop()
		}
	}
}

// attempt is a statement of a client, with its answer.
type attempt struct {
	Reply
	machine, route, text string
	write                bool
}

// load is the clients' traffic.
type load struct {
	system *system
	mu     sync.Mutex
	all    []attempt
	stop   chan struct{}
	tasks  sync.WaitGroup
}

func (y *system) startLoad() *load { return &load{system: y, stop: make(chan struct{})} }

// client runs statements at one instance, one after the other, and reconnects when
// its session ends.
func (l *load) client(m *Instance, database string, pause time.Duration, text func() (string, bool)) {
	l.tasks.Go(func() {
		var c *Client
		for {
			select {
			case <-l.stop:
				if c != nil {
					c.close()
				}
				return
			case <-time.After(pause):
			}
			if c == nil {
				var err error
				if c, err = dial(m.callers(), database, "u3f1"); err != nil {
					c = nil
					time.Sleep(50 * time.Millisecond)
					continue
				}
			}
			line, writes := text()
			reply := c.do(line, 2*time.Second)
			l.mu.Lock()
			l.all = append(l.all, attempt{Reply: reply, machine: m.name, route: database, text: line, write: writes})
			l.mu.Unlock()
			if reply.err != nil || reply.state != "I" {
				c.close()
				c = nil
			}
		}
	})
}

func (l *load) end() {
	close(l.stop)
	l.tasks.Wait()
}

// writeRecord notes what was sent and answered and what was run.
func (l *load) writeRecord() {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, a := range l.all {
		lines = append(lines, line{a.sent, fmt.Sprintf("%s to %s at %s: %s -> %s after %d ms", a.id, a.route, a.machine, clip(a.text), a.Reply, a.came.Sub(a.sent).Milliseconds())})
	}
	l.system.service.mu.Lock()
	for _, r := range l.system.service.runs {
		lines = append(lines, line{r.at, fmt.Sprintf("%s ran at %s (%s): %s, log %s", r.id, r.database, r.role, clip(r.text), r.tip.position())})
	}
	l.system.service.mu.Unlock()
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	r := l.system.record
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, "", "what was sent, answered and run:")
	for _, each := range lines {
		r.lines = append(r.lines, r.since(each.at)+" "+each.text)
	}
	r.lines = append(r.lines, "")
}

func clip(text string) string { return text[:min(len(text), 60)] }

// stale returns the reads of `primary` routes that ran on a log which lacks a commit
// that was acknowledged to its client before the first byte of the read was sent.
// Commits that a promotion has rolled back do not count.
func (l *load) stale() []string {
	s := l.system.service
	s.mu.Lock()
	defer s.mu.Unlock()
	var final *entry
	if leader := s.leader(); leader != nil {
		final = leader.tip
	}
	commits := map[string]*entry{}
	reads := map[string]ran{}
	for _, r := range s.runs {
		if r.tip == nil || len(r.tip.ids) == 0 || !slices.Contains(r.tip.ids, r.id) {
			reads[r.id] = r
			continue
		}
		commits[r.id] = r.tip
	}
	survives := map[*entry]bool{}
	for e := final; e != nil; e = e.prev {
		survives[e] = true
	}
	type acked struct {
		at    time.Time
		entry *entry
	}
	var acks []acked
	for _, a := range l.all {
		if e := commits[a.id]; a.write && a.ok() && e != nil && survives[e] {
			acks = append(acks, acked{a.came, e})
		}
	}
	slices.SortFunc(acks, func(a, b acked) int { return a.at.Compare(b.at) })
	highest := make([]*entry, len(acks))
	for i, a := range acks {
		highest[i] = a.entry
		if i > 0 && highest[i-1].number > a.entry.number {
			highest[i] = highest[i-1]
		}
	}
	var found []string
	for _, a := range l.all {
		r, ranIt := reads[a.id]
		if a.write || a.route != latest || !a.ok() || !ranIt {
			continue
		}
		at, _ := slices.BinarySearchFunc(acks, a.sent, func(k acked, sent time.Time) int {
			if k.at.Before(sent) {
				return -1
			}
			return 1
		})
		if at == 0 {
			continue
		}
		needed := highest[at-1]
		if r.tip.ancestor(needed.number) != needed {
			found = append(found, fmt.Sprintf("%s read %s at %s through %s on log %s, which lacks %s, acknowledged before",
				l.system.record.since(a.sent), a.id, r.database, a.machine, r.tip.position(), needed.position()))
		}
	}
	return found
}
