package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the databases, as on the sheet of a small deployment.
const (
	workTime      = 3 * time.Millisecond
	connectTime   = 12 * time.Millisecond
	replicaLag    = 20 * time.Millisecond
	promoteTime   = 600 * time.Millisecond
	heartbeatTime = 1200 * time.Millisecond
	followAfter   = time.Second
)

// commit is one entry of a log.
type commit struct {
	term   int
	writes map[string]string
}

// Group is a service: one primary and its replicas. mu guards all of them.
type Group struct {
	name     string
	slots    int
	maxConns int
	store    *Store
	rec      *Recorder

	mu        sync.Mutex
	term      int
	databases []*Database
	// rolledBack holds the data of the writes that a promotion took back, and
	// beside that of writes committed at an old primary after a promotion.
	rolledBack map[string]bool
	beside     map[string]time.Time
	// calmSince is when commits at an old primary count: after the end of the last
	// disruption of a link, and the slack that the rules give.
	calmSince time.Time
	// fence and holder are those of the newest promotion; lowerFence is set if a
	// lower one came.
	fence      uint64
	holder     string
	violations []string
	promotions int
}

// Database is one database of a group.
type Database struct {
	id       string
	zone     string
	group    *Group
	address  string
	listener net.Listener

	running  bool
	primary  bool
	draining bool
	// isolated is set while it is cut off from the other databases, and dark while
	// nobody reaches it: what it would send is held up or lost.
	isolated bool
	dark     bool
	term     int
	// held is the highest term of a STEPDOWN.
	held     int
	log      []commit
	received []time.Time
	applied  int
	busy     int
	born     int64
	ledSince time.Time
	// darkSince is when it went dark or came back, and reachedAt when the others
	// last became reachable.
	darkSince time.Time
	reachedAt time.Time
	sequence  int
	conns     map[*dbConn]bool
	lag       time.Duration
}

func startGroup(name string, zones []string, store *Store, rec *Recorder) (*Group, error) {
	g := &Group{
		name: name, slots: 2, maxConns: 16, store: store, rec: rec, term: 1,
		rolledBack: map[string]bool{}, beside: map[string]time.Time{},
	}
	for i, zone := range zones {
		d := &Database{
			id: fmt.Sprintf("i-%s-%d", name, i+1), zone: zone, group: g, primary: i == 0, term: 1,
			conns: map[*dbConn]bool{}, lag: replicaLag,
		}
		g.databases = append(g.databases, d)
		if err := d.start(); err != nil {
			return nil, err
		}
	}
	go g.replicate()
	go g.announce()
	return g, nil
}

func (d *Database) start() error {
	address := d.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	d.listener = listener
	d.address = listener.Addr().String()
	d.running = true
	d.born = time.Now().UnixMilli()
	// A primary that crashed comes back as a replica if another was promoted.
	if d.primary && d.term < d.group.term {
		d.primary = false
	}
	d.group.rec.Logf(d.id, "runs, primary %t, %d commits", d.primary, len(d.log))
	d.group.mu.Unlock()
	go d.accept(listener)
	d.group.announceOne(d)
	return nil
}

// addReplica starts a further database, which takes the log of the primary.
func (g *Group) addReplica(zone string) error {
	g.mu.Lock()
	d := &Database{
		id: fmt.Sprintf("i-%s-%d", g.name, len(g.databases)+1), zone: zone, group: g, term: g.term,
		conns: map[*dbConn]bool{}, lag: replicaLag,
	}
	g.databases = append(g.databases, d)
	g.mu.Unlock()
	return d.start()
}

// setDraining makes the database report that it is about to leave.
func (d *Database) setDraining() {
	d.group.mu.Lock()
	d.draining = true
	d.group.rec.Logf(d.id, "is draining")
	d.group.mu.Unlock()
	d.group.announceOne(d)
}

// leave ends a database for good, after its drain. Its entry is removed.
func (d *Database) leave() {
	d.crash()
	d.group.store.Delete("servers", d.id)
}

// crash ends the process of the database. Its log stays.
func (d *Database) crash() {
	d.group.mu.Lock()
	d.running = false
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.socket.Close()
	}
	d.group.rec.Logf(d.id, "crashes, primary %t, %d commits", d.primary, len(d.log))
	d.group.mu.Unlock()
}

// setDark cuts the database off from everybody, or ends that. It runs on.
func (d *Database) setDark(dark bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dark, d.isolated = dark, dark
	if !dark {
		d.group.calmSince = time.Now().Add(thawSlack)
		d.reachedAt = time.Now()
		for c := range d.conns {
			// The far ends have been unreachable for more than 3 s.
			if c.openedAt.Before(d.darkSince) {
				_ = c.socket.Close()
			}
		}
	}
	d.darkSince = time.Now()
	d.group.rec.Logf(d.id, "dark %t, primary %t, %d commits", dark, d.primary, len(d.log))
}

// awaitLight waits while the database is dark.
func (d *Database) awaitLight() {
	for {
		d.group.mu.Lock()
		dark := d.dark
		d.group.mu.Unlock()
		if !dark {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leader returns the primary of the newest term, if it runs. g.mu is held.
func (g *Group) leader() *Database {
	for _, d := range g.databases {
		if d.running && d.primary && d.term == g.term {
			return d
		}
	}
	return nil
}

// Leader returns the primary of the newest term, or nil.
func (g *Group) Leader() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

// replicate copies the primary's log to the replicas.
func (g *Group) replicate() {
	for {
		time.Sleep(2 * time.Millisecond)
		g.mu.Lock()
		leader := g.leader()
		for _, d := range g.databases {
			if !d.running {
				continue
			}
			reaches := leader != nil && d != leader && !d.isolated && !leader.isolated
			if reaches && !(d.primary && time.Since(later(leader.ledSince, d.reachedAt)) < followAfter) {
				d.follow(leader)
			}
			for !d.primary && d.applied < len(d.log) && time.Since(d.received[d.applied]) >= d.lag {
				d.applied++
			}
		}
		g.mu.Unlock()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// follow takes the log of the primary. What the primary lacks is rolled back.
func (d *Database) follow(leader *Database) {
	common := 0
	for common < len(d.log) && common < len(leader.log) && d.log[common].term == leader.log[common].term {
		common++
	}
	for _, lost := range d.log[common:] {
		for _, data := range lost.writes {
			d.group.rolledBack[data] = true
			d.group.rec.Logf(d.id, "rolls back %s", data)
		}
	}
	if common < len(d.log) {
		d.log, d.received = d.log[:common], d.received[:common]
		d.applied = min(d.applied, common)
	}
	for _, next := range leader.log[common:] {
		d.log = append(d.log, next)
		d.received = append(d.received, time.Now())
	}
	if d.primary {
		d.group.rec.Logf(d.id, "follows %s of term %d", leader.id, leader.term)
	}
	d.term, d.primary = leader.term, false
}

// announce writes the databases' entries in the store, every heartbeat, and at
// once when one has changed or the store has lost it.
func (g *Group) announce() {
	for {
		g.mu.Lock()
		databases := slices.Clone(g.databases)
		g.mu.Unlock()
		for _, d := range databases {
			g.announceOne(d)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (g *Group) announceOne(d *Database) {
	g.mu.Lock()
	running := d.running && !d.dark
	role, state := "replica", "ready"
	if d.primary {
		role = "primary"
	}
	if d.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": g.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": g.slots, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": 1, "born": d.born,
	})
	g.mu.Unlock()
	stored, found := g.store.Get("servers", d.id)
	if !running {
		// Removed after three heartbeat intervals of silence.
		if found && d.silentFor() > 3*heartbeatTime {
			g.store.Delete("servers", d.id)
		}
		return
	}
	d.group.mu.Lock()
	d.sequence = int(time.Now().UnixMilli())
	d.group.mu.Unlock()
	if !found || string(stored) != string(body) {
		if g.store.Put("servers", d.id, body) {
			g.rec.Logf(d.id, "announces %s", role)
		}
	}
}

// silentFor returns the time since its last heartbeat.
func (d *Database) silentFor() time.Duration {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return time.Since(time.UnixMilli(int64(d.sequence)))
}

// promote is the handler of POST /promotion.
func promote(groups map[string]*Group) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			Service    string `json:"service"`
			Identifier string `json:"identifier"`
		}
		if json.NewDecoder(r.Body).Decode(&order) != nil || groups[order.Service] == nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g := groups[order.Service]
		fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
		holder := r.Header.Get("X-Duty-Holder")
		g.mu.Lock()
		defer g.mu.Unlock()
		g.rec.Logf("cloud", "%s asks with token %d to promote %s of %s", holder, fence, order.Identifier, order.Service)
		if fence < g.fence {
			g.violate("ONE: %s sends token %d after token %d of %s was seen", holder, fence, g.fence, g.holder)
		}
		if fence == g.fence && holder != g.holder {
			g.violate("ONE: %s and %s promote with token %d", holder, g.holder, fence)
		}
		g.fence, g.holder = max(g.fence, fence), holder
		for _, d := range g.databases {
			if d.id != order.Identifier || !d.running {
				continue
			}
			if !(d.primary && d.term == g.term) {
				go g.lead(d)
			}
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusConflict)
	}
}

func (g *Group) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	g.violations = append(g.violations, text)
	g.rec.Logf("check", "BROKEN %s", text)
}

// lead makes a database the primary of the next term.
func (g *Group) lead(d *Database) {
	time.Sleep(promoteTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.running || d.primary && d.term == g.term {
		return
	}
	g.term++
	g.promotions++
	d.term, d.primary, d.applied, d.ledSince = g.term, true, len(d.log), time.Now()
	g.rec.Logf(d.id, "leads term %d with %d commits", d.term, len(d.log))
}

// dbConn is a connection to a database.
type dbConn struct {
	d        *Database
	socket   net.Conn
	reader   *bufio.Reader
	openedAt time.Time
	prepared map[string]string
	tx       bool
	failed   bool
	readOnly bool
	term     int
	writes   map[string]string
}

func (d *Database) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		c := &dbConn{d: d, socket: socket, reader: bufio.NewReader(socket), openedAt: time.Now()}
		d.group.mu.Lock()
		over := len(d.conns) >= d.group.maxConns
		if !over {
			d.conns[c] = true
		}
		d.group.mu.Unlock()
		if over {
			_, _ = socket.Write([]byte("ERROR OVERLOADED too many connections\r\n"))
			_ = socket.Close()
			continue
		}
		go c.serve()
	}
}

func (c *dbConn) serve() {
	d := c.d
	defer func() {
		_ = c.socket.Close()
		d.group.mu.Lock()
		delete(d.conns, c)
		d.group.mu.Unlock()
	}()
	c.prepared = map[string]string{}
	line, err := c.line()
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if fields[0] != "START" || len(fields) < 3 || fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id {
		_, _ = c.socket.Write([]byte("ERROR WRONGNODE not here\r\n"))
		return
	}
	time.Sleep(connectTime)
	if !c.send(c.ready()...) {
		return
	}
	for {
		line, err := c.line()
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := c.answer(id, text)
		if !c.send(append(answer, c.ready()...)...) {
			return
		}
	}
}

func (c *dbConn) line() (string, error) {
	line, err := c.reader.ReadString('\n')
	if err == nil {
		c.d.awaitLight()
	}
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *dbConn) send(lines ...string) bool {
	c.d.awaitLight()
	_, err := c.socket.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
	return err == nil
}

func (d *Database) position(number int) string {
	term := 1
	if number > 0 {
		term = d.log[number-1].term
	}
	return fmt.Sprintf("%d.%d", term, number)
}

func (c *dbConn) ready() []string {
	c.d.group.mu.Lock()
	defer c.d.group.mu.Unlock()
	state := "I"
	if c.failed {
		state = "E"
	} else if c.tx {
		state = "T"
	}
	return []string{"READY " + state + " " + c.d.position(c.d.applied)}
}

func (c *dbConn) answer(id, text string) []string {
	since := ""
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		since, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "SET":
		return []string{"COMPLETE -"}
	case "RESET":
		clear(c.prepared)
		return []string{"COMPLETE -"}
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return []string{"COMPLETE -"}
	case "ROLLBACK":
		c.tx, c.failed, c.writes = false, false, nil
		return []string{"COMPLETE -"}
	}
	if c.failed {
		return []string{"ERROR MALFORMED the transaction failed"}
	}
	d := c.d
	d.group.mu.Lock()
	busy := d.busy >= d.group.slots+16
	if !busy {
		d.busy++
	}
	d.group.mu.Unlock()
	if busy {
		return []string{"ERROR BUSY no slot"}
	}
	time.Sleep(workTime + time.Duration(rand.Intn(1000))*time.Microsecond)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.busy--
	if !d.running {
		return []string{"ERROR BUSY ends"}
	}
	if since != "" && !d.has(since) {
		return []string{"ERROR LAGGING not there yet"}
	}
	answer := c.run(id, word, rest)
	if id != "-" {
		d.group.rec.Logf(d.id, "ran %s %s at %s: %s", id, text, d.position(d.applied), strings.Join(answer, " | "))
	}
	return answer
}

// has reports whether the applied log holds a position.
func (d *Database) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	at, err := strconv.Atoi(number)
	if err != nil || at > d.applied {
		return false
	}
	return at == 0 || strconv.Itoa(d.log[at-1].term) == term
}

func (d *Database) read(item string) string {
	for i := d.applied - 1; i >= 0; i-- {
		if data, found := d.log[i].writes[item]; found {
			return data
		}
	}
	return "none"
}

// run runs a statement. The group's mutex is held.
func (c *dbConn) run(id, word, rest string) []string {
	d := c.d
	leads := d.primary && (!c.tx || c.term == d.term)
	signature := fmt.Sprintf("COMPLETE %s.%s", d.id, id)
	switch word {
	case "STATUS", "STEPDOWN":
		if term, err := strconv.Atoi(rest); word == "STEPDOWN" && err == nil {
			d.held = max(d.held, term)
			d.primary = d.primary && d.term >= term
		}
		role := "replica"
		if d.primary {
			role = "primary"
		}
		return []string{fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d", role, d.term, d.position(len(d.log)), d.held, d.busy, len(d.conns)), "COMPLETE -"}
	case "BEGIN":
		if rest == "" && !d.primary {
			return []string{"ERROR READONLY " + d.id}
		}
		c.tx, c.readOnly, c.term, c.writes = true, rest == "READ", d.term, map[string]string{}
		return []string{"COMPLETE -"}
	case "READ":
		if c.tx && !c.readOnly && !leads {
			c.failed = true
			return []string{"ERROR READONLY " + d.id}
		}
		return []string{"DATAROW " + d.read(rest), signature}
	case "WRITE":
		if !leads || c.tx && c.readOnly {
			c.failed = c.tx
			return []string{"ERROR READONLY " + d.id}
		}
		item, data, _ := strings.Cut(rest, " ")
		if c.tx {
			c.writes[item] = data
			return []string{signature}
		}
		d.commit(map[string]string{item: data})
		return []string{signature}
	case "COMMIT":
		if len(c.writes) > 0 && !leads {
			c.tx, c.writes = false, nil
			return []string{"ERROR READONLY " + d.id}
		}
		if len(c.writes) > 0 {
			d.commit(c.writes)
		}
		c.tx, c.writes = false, nil
		return []string{signature}
	}
	return []string{"ERROR MALFORMED " + word}
}

// commit appends to the log. The group's mutex is held.
func (d *Database) commit(writes map[string]string) {
	if d.term < d.group.term {
		for _, data := range writes {
			d.group.beside[data] = time.Now()
			d.group.rec.Logf(d.id, "commits %s in term %d, though term %d has begun", data, d.term, d.group.term)
		}
	}
	d.log = append(d.log, commit{term: d.term, writes: writes})
	d.received = append(d.received, time.Now())
	d.applied = len(d.log)
}
