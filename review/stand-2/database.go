package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the small deployment.
const (
	promoteTime     = 600 * time.Millisecond
	replicaLag      = 20 * time.Millisecond
	handshakeTime   = 12 * time.Millisecond
	workTime        = 3 * time.Millisecond
	slots           = 2
	maxWaiting      = 16
	maxConnections  = 16
	followAfter     = time.Second
	replicateEvery  = 5 * time.Millisecond
	heartbeatMillis = 1200
)

// commit is one commit in a log.
type commit struct {
	term   uint32
	writes []string
}

// database is a database of the group. group.mu guards its fields.
type database struct {
	id, zone, address string
	group             *group
	listener          net.Listener
	running           bool
	primary           bool
	draining          bool
	// drainingAt is when the store had accepted that the database leaves.
	drainingAt time.Time
	term       uint32
	log        []commit
	arrived    []time.Time
	applied    int
	busy       int
	born       int64
	// leaderSince is since when this primary of an older term has reached the new one.
	leaderSince time.Time
	announced   string
	conns       map[net.Conn]struct{}
}

// ran is a commit as the stand-in saw it.
type ran struct {
	database  string
	term      uint32
	newest    uint32
	sender    string
	committed time.Time
}

// group is a group of databases with the cloud API's call that promotes them.
type group struct {
	name  string
	store *store
	cloud net.Listener
	// ordered is called with the duty holder of each order that is accepted for a
	// database that does not lead, before it is answered; led when one leads.
	ordered func(holder string)
	led     func(d *database)

	mu         sync.Mutex
	term       uint32
	databases  []*database
	commits    map[string]ran
	rolledBack map[string]bool
	// late counts the requests that reached a leaving database too late, and orders
	// holds the orders that made a database lead.
	late   int
	orders []order
	// highest is the highest fence of all calls, by the holder; fences counts the
	// calls with a lower one, or with the same one from another holder.
	highest       uint64
	highestHolder string
	fences        int
	// called is called with each call that promotes.
	called func(target, holder string)
}

// order is an order to promote a database that did not lead yet.
type order struct {
	holder, target string
	at             time.Time
}

func startGroup(s *store, name string) (*group, error) {
	g := &group{name: name, store: s, term: 1, commits: map[string]ran{}, rolledBack: map[string]bool{}}
	var err error
	if g.cloud, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", g.promote)
	go func() { _ = http.Serve(g.cloud, mux) }()
	for i := range 3 {
		if _, err := g.add(i == 0, zones[i]); err != nil {
			return nil, err
		}
	}
	go g.replicate()
	return g, nil
}

func (g *group) add(primary bool, zone string) (*database, error) {
	g.mu.Lock()
	d := &database{
		id: "i-" + strconv.Itoa(len(g.databases)+1), zone: zone, group: g, primary: primary, term: g.term, conns: map[net.Conn]struct{}{},
	}
	g.databases = append(g.databases, d)
	g.mu.Unlock()
	return d, d.start()
}

func (d *database) start() error {
	address := d.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.listener, d.address, d.running = listener, listener.Addr().String(), true
	d.born = time.Now().UnixMilli()
	if d.primary && d.term < d.group.term {
		// Another database was promoted meanwhile.
		d.primary = false
	}
	go d.accept(listener)
	return nil
}

// crash ends the database. Its log stays.
func (d *database) crash() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.running = false
	_ = d.listener.Close()
	for c := range d.conns {
		_ = c.Close()
	}
}

func (g *group) leader() *database {
	for _, d := range g.databases {
		if d.running && d.primary && d.term == g.term {
			return d
		}
	}
	return nil
}

func (g *group) all() []*database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.databases)
}

func (g *group) primary() *database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service    string `json:"service"`
		Identifier string `json:"identifier"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	holder := r.Header.Get("X-Duty-Holder")
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if g.called != nil {
		g.called(body.Identifier, holder)
	}
	g.mu.Lock()
	if fence < g.highest || fence == g.highest && holder != g.highestHolder {
		g.fences++
		record("VIOLATION: %s sends fence %d, after %d of %s", holder, fence, g.highest, g.highestHolder)
	} else {
		g.highest, g.highestHolder = fence, holder
	}
	var target *database
	for _, d := range g.databases {
		if d.id == body.Identifier && d.running {
			target = d
		}
	}
	present := target != nil && target.primary && target.term == g.term
	g.mu.Unlock()
	record("promotion of %s ordered by %s, fence %s: running %t, leads already %t",
		body.Identifier, holder, r.Header.Get("X-Fencing-Token"), target != nil, present)
	if target == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
	if present {
		return
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	g.mu.Lock()
	g.orders = append(g.orders, order{holder: holder, target: target.id, at: time.Now()})
	g.mu.Unlock()
	time.AfterFunc(promoteTime, func() { g.lead(target) })
	if g.ordered != nil {
		go g.ordered(holder)
	}
}

// lead makes a database the primary of the next term, with what it has received.
func (g *group) lead(target *database) {
	g.mu.Lock()
	if !target.running || target.primary && target.term == g.term {
		g.mu.Unlock()
		return
	}
	g.term++
	target.term, target.primary, target.applied = g.term, true, len(target.log)
	record("%s leads term %d from position %d", target.id, g.term, len(target.log))
	g.mu.Unlock()
	if g.led != nil {
		go g.led(target)
	}
}

// replicate copies the primary's log to the others, and announces the databases.
func (g *group) replicate() {
	for {
		time.Sleep(replicateEvery)
		g.mu.Lock()
		leader := g.leader()
		for _, d := range g.databases {
			g.follow(d, leader)
			g.announce(d)
		}
		g.mu.Unlock()
	}
}

func (g *group) follow(d, leader *database) {
	if !d.running || d == leader {
		return
	}
	if leader != nil && d.primary {
		if d.leaderSince.IsZero() {
			d.leaderSince = time.Now()
		}
		if time.Since(d.leaderSince) < followAfter {
			return
		}
	}
	if leader == nil {
		d.leaderSince = time.Time{}
		if !d.primary {
			d.apply()
		}
		return
	}
	common := 0
	for common < len(d.log) && common < len(leader.log) && d.log[common].term == leader.log[common].term {
		common++
	}
	for _, lost := range d.log[common:] {
		for _, w := range lost.writes {
			g.rolledBack[w] = true
		}
	}
	if common < len(d.log) {
		record("%s rolls %d commits back", d.id, len(d.log)-common)
	}
	d.log, d.arrived, d.applied = d.log[:common], d.arrived[:common], min(d.applied, common)
	for _, next := range leader.log[common:] {
		d.log = append(d.log, next)
		d.arrived = append(d.arrived, time.Now())
	}
	d.term, d.primary, d.leaderSince = leader.term, false, time.Time{}
	d.apply()
}

func (d *database) apply() {
	for d.applied < len(d.log) && time.Since(d.arrived[d.applied]) >= replicaLag {
		d.applied++
	}
}

// announce writes the entry of a database. An entry lapses after three heartbeats
// without the database.
func (g *group) announce(d *database) {
	if !d.running {
		if d.announced != "" && d.announced != "lapsing" {
			d.announced = "lapsing"
			id := d.id
			time.AfterFunc(3*heartbeatMillis*time.Millisecond, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if !d.running {
					g.store.remove("servers", id)
				}
			})
		}
		return
	}
	state, role := "ready", "replica"
	if d.draining {
		state = "draining"
	}
	if d.primary {
		role = "primary"
	}
	said := fmt.Sprint(state, role, d.born)
	if d.announced != said {
		d.announced = said
		if d.draining && d.drainingAt.IsZero() {
			defer func() { d.drainingAt = time.Now() }()
		}
		g.store.put("servers", d.id, map[string]any{
			"service": g.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": slots, "state": state,
			"cold_remaining_ms": 0, "sequence": time.Now().UnixMilli() - d.born, "database_role": role, "born": d.born,
		})
	}
}

func (d *database) positionAt(number int) string {
	term := uint32(1)
	if number > 0 {
		term = d.log[number-1].term
	}
	return fmt.Sprintf("%d.%d", term, number)
}

// has reports whether the applied log holds a position.
func (d *database) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	at, err := strconv.Atoi(number)
	if err != nil || at > d.applied {
		return false
	}
	return at == 0 || strconv.FormatUint(uint64(d.log[at-1].term), 10) == term
}

func (d *database) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		over := len(d.conns) >= maxConnections || !d.running
		if !over {
			d.conns[socket] = struct{}{}
		}
		d.group.mu.Unlock()
		if over {
			_, _ = socket.Write([]byte("ERROR OVERLOADED too many connections\r\n"))
			_ = socket.Close()
			continue
		}
		go (&conn{database: d, socket: socket, reader: bufio.NewReader(socket)}).serve()
	}
}

// drainTimeout is the bound on requests to a database that leaves.
const drainTimeout = 7 * time.Second

// noteArrival records a client's request that reaches a database too long after it
// has said that it leaves.
func (c *conn) noteArrival(id string) {
	d := c.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.drainingAt.IsZero() || time.Since(d.drainingAt) <= drainTimeout {
		return
	}
	d.group.late++
	record("VIOLATION: request %s from %s reaches %s %d ms after it has said that it leaves",
		id, c.sender, d.id, time.Since(d.drainingAt).Milliseconds())
}

// conn is a connection to a database.
type conn struct {
	database              *database
	socket                net.Conn
	reader                *bufio.Reader
	sender                string
	prepared              map[string]string
	inTx, failed, reading bool
	writes                []string
	term                  uint32
}

func (c *conn) serve() {
	d := c.database
	defer func() {
		_ = c.socket.Close()
		d.group.mu.Lock()
		delete(d.conns, c.socket)
		d.group.mu.Unlock()
	}()
	line, err := c.line()
	fields := strings.Split(line, " ")
	if err != nil || len(fields) < 3 || fields[0] != "START" {
		return
	}
	time.Sleep(handshakeTime)
	if fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id {
		_, _ = c.socket.Write([]byte("ERROR WRONGNODE " + d.id + "\r\n"))
		return
	}
	c.sender, c.prepared = fields[2], map[string]string{}
	_, _ = c.socket.Write([]byte(c.ready()))
	for {
		line, err := c.line()
		word, rest, _ := strings.Cut(line, " ")
		if err != nil || word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if id != "-" {
			c.noteArrival(id)
		}
		answer := c.answer(text)
		if _, err := c.socket.Write([]byte(answer + "\r\n" + c.ready())); err != nil {
			return
		}
	}
}

func (c *conn) line() (string, error) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *conn) ready() string {
	state := "I"
	if c.failed {
		state = "E"
	} else if c.inTx {
		state = "T"
	}
	c.database.group.mu.Lock()
	defer c.database.group.mu.Unlock()
	return "READY " + state + " " + c.database.positionAt(c.database.applied) + "\r\n"
}

func (c *conn) answer(text string) string {
	since := ""
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		since, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "SET", "DEALLOCATE":
		return "COMPLETE -"
	case "RESET":
		clear(c.prepared)
		return "COMPLETE -"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return "COMPLETE -"
	case "ROLLBACK":
		c.inTx, c.failed, c.writes = false, false, nil
		return "COMPLETE -"
	}
	if c.failed {
		return "ERROR MALFORMED the transaction failed"
	}
	return c.work(word, rest, since)
}

// work runs a statement that takes a slot.
func (c *conn) work(word, rest, since string) string {
	d := c.database
	d.group.mu.Lock()
	if d.busy >= slots+maxWaiting {
		d.group.mu.Unlock()
		return "ERROR BUSY"
	}
	d.busy++
	wait := time.Duration(1+(d.busy-1)/slots) * workTime
	d.group.mu.Unlock()
	time.Sleep(wait)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.busy--
	if since != "" && !d.has(since) {
		return "ERROR LAGGING"
	}
	leads := d.primary && (!c.inTx || c.reading || c.term == d.term)
	switch word {
	case "STATUS", "STEPDOWN":
		return c.status(word, rest)
	case "BEGIN":
		if rest == "" && !d.primary {
			return "ERROR READONLY " + d.id
		}
		c.inTx, c.reading, c.term = true, rest == "READ", d.term
		return "COMPLETE -"
	case "READ":
		return "DATAROW x\r\n" + c.signature()
	case "WRITE":
		if !leads || c.reading {
			c.failed = c.inTx
			return "ERROR READONLY " + d.id
		}
		_, data, _ := strings.Cut(rest, " ")
		c.writes = append(c.writes, data)
		if !c.inTx {
			c.commit()
		}
		return c.signature()
	case "COMMIT":
		if len(c.writes) > 0 && !leads {
			c.inTx, c.writes = false, nil
			return "ERROR READONLY " + d.id
		}
		c.commit()
		c.inTx, c.reading = false, false
		return c.signature()
	}
	return "ERROR MALFORMED " + word
}

// commit appends what was written to the log. The group's mutex is held.
func (c *conn) commit() {
	d := c.database
	if len(c.writes) == 0 {
		return
	}
	d.log = append(d.log, commit{term: d.term, writes: c.writes})
	d.arrived = append(d.arrived, time.Now())
	d.applied = len(d.log)
	for _, w := range c.writes {
		d.group.commits[w] = ran{database: d.id, term: d.term, newest: d.group.term, sender: c.sender, committed: time.Now()}
	}
	c.writes = nil
}

func (c *conn) signature() string {
	return fmt.Sprintf("COMPLETE %s.%d.%d", c.database.id, len(c.database.log), time.Now().UnixNano())
}

// status answers a STATUS or STEPDOWN. The group's mutex is held.
func (c *conn) status(word, rest string) string {
	d := c.database
	var term uint32
	if _, err := fmt.Sscan(rest, &term); word == "STEPDOWN" && err == nil && d.primary && d.term < term {
		d.primary = false
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d\r\nCOMPLETE -", role, d.term, d.positionAt(len(d.log)), d.busy, len(d.conns))
}
