package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a commit in a log. Entries are linked to the one before, so that a
// position names a whole log.
type entry struct {
	prev   *entry
	term   uint32
	number int
	// ids are the request IDs of the writes.
	ids []string
	// data is that of the last write.
	writes []write
}

type write struct{ id, item, data string }

// ancestor returns the entry with the number in the log that ends with e, or nil.
func (e *entry) ancestor(number int) *entry {
	for e != nil && e.number > number {
		e = e.prev
	}
	if e == nil || e.number != number {
		return nil
	}
	return e
}

func (e *entry) position() string {
	if e == nil {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", e.term, e.number)
}

func (e *entry) length() int {
	if e == nil {
		return 0
	}
	return e.number
}

// ran is a statement that a database has run.
type ran struct {
	id, text, database, role string
	at                       time.Time
	// tip is the end of the applied log at a read, and the new entry after a
	// commit.
	tip *entry
}

// Service is a service with its databases and the call that promotes them.
type Service struct {
	name    string
	store   *Store
	record  *Record
	lag     time.Duration
	promote time.Duration
	slots   int
	most    int
	beat    time.Duration
	cloud   net.Listener

	mu        sync.Mutex
	term      uint32
	databases []*Database
	// added is the number of databases so far.
	added  int
	runs   []ran
	fence  uint64
	holder string
	fences []string
}

// Database is one database of a service. The service's mutex guards it.
type Database struct {
	id, zone, address string
	service           *Service
	listener          net.Listener
	running           bool
	primary           bool
	draining          bool
	term              uint32
	// tip is the end of the received log, and applied that of the applied part.
	tip, applied *entry
	arrived      map[*entry]time.Time
	born         int64
	sequence     int
	busy         int
	replacedAt   time.Time
	conns        map[net.Conn]struct{}
}

func startService(store *Store, record *Record, name string, zones []string) (*Service, error) {
	s := &Service{
		name: name, store: store, record: record, lag: 20 * time.Millisecond, promote: 600 * time.Millisecond,
		slots: 4, most: 55, beat: 1200 * time.Millisecond, term: 1,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.cloud = listener
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.promotion)) }()
	for i, zone := range zones {
		if _, err := s.add(zone, i == 0); err != nil {
			return nil, err
		}
	}
	go s.replicate()
	return s, nil
}

// add starts a further database, with the log of the primary.
func (s *Service) add(zone string, primary bool) (*Database, error) {
	s.mu.Lock()
	s.added++
	d := &Database{
		id: fmt.Sprintf("i-%s%d", s.name, s.added), zone: zone, service: s, primary: primary, term: s.term,
		arrived: map[*entry]time.Time{}, conns: map[net.Conn]struct{}{},
	}
	if leader := s.leader(); leader != nil {
		d.tip, d.applied = leader.tip, leader.tip
	}
	s.databases = append(s.databases, d)
	s.mu.Unlock()
	return d, d.start()
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
	s := d.service
	s.mu.Lock()
	d.listener, d.address = listener, listener.Addr().String()
	d.running, d.born = true, time.Now().UnixMilli()
	if d.primary && d.term < s.term {
		d.primary = false
	}
	s.mu.Unlock()
	go d.accept(listener)
	d.announce()
	go d.beats(listener)
	return nil
}

// stop ends the database's process. Its log stays.
func (d *Database) stop() {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	d.running = false
	_ = d.listener.Close()
	for conn := range d.conns {
		_ = conn.Close()
	}
}

// drain reports that the database is about to leave.
func (d *Database) drain() {
	d.service.mu.Lock()
	d.draining = true
	d.service.mu.Unlock()
	d.announce()
}

// leave ends the database for good and removes its entry.
func (d *Database) leave() {
	d.stop()
	d.service.store.drop("servers", d.id)
}

func (d *Database) beats(listener net.Listener) {
	time.Sleep(time.Duration(rand.Int64N(int64(d.service.beat))))
	for {
		time.Sleep(d.service.beat)
		d.service.mu.Lock()
		same := d.running && d.listener == listener
		d.service.mu.Unlock()
		if !same {
			return
		}
		d.announce()
	}
}

// announce writes the database's entry.
func (d *Database) announce() {
	s := d.service
	s.mu.Lock()
	d.sequence++
	state, role := "ready", "replica"
	if d.draining {
		state = "draining"
	}
	if d.primary {
		role = "primary"
	}
	value := map[string]any{
		"service": s.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": s.slots, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": d.sequence, "born": d.born,
	}
	s.mu.Unlock()
	data, _ := json.Marshal(value)
	s.store.put("servers", d.id, json.RawMessage(data))
}

// leader returns the database that leads the newest term. s.mu is held.
func (s *Service) leader() *Database {
	for _, d := range s.databases {
		if d.running && d.primary && d.term == s.term {
			return d
		}
	}
	return nil
}

// primary returns the database that leads the newest term.
func (s *Service) primary() *Database {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader()
}

// promotion is the call that names the next primary.
func (s *Service) promotion(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service    string `json:"service"`
		Identifier string `json:"identifier"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&order) != nil || err != nil || r.URL.Path != "/promotion" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Duty-Holder")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.note("promotion of %s ordered by %s with token %d", order.Identifier, holder, fence)
	switch {
	case fence < s.fence:
		s.fences = append(s.fences, fmt.Sprintf("%s sent token %d after the platform had seen %d of %s", holder, fence, s.fence, s.holder))
	case fence == s.fence && holder != s.holder:
		s.fences = append(s.fences, fmt.Sprintf("%s and %s sent token %d", holder, s.holder, fence))
	}
	if fence >= s.fence {
		s.fence, s.holder = fence, holder
	}
	for _, d := range s.databases {
		if d.id != order.Identifier || !d.running {
			continue
		}
		if d.primary && d.term == s.term {
			return
		}
		go func() {
			time.Sleep(s.promote)
			s.lead(d)
		}()
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// lead makes a database the primary of the next term, with what it has received.
func (s *Service) lead(d *Database) {
	s.mu.Lock()
	if !d.running || d.primary && d.term == s.term {
		s.mu.Unlock()
		return
	}
	s.term++
	for _, other := range s.databases {
		if other != d && other.primary {
			other.replacedAt = time.Now()
		}
	}
	d.primary, d.term, d.applied = true, s.term, d.tip
	s.record.note("%s leads term %d from %s", d.id, s.term, d.tip.position())
	s.mu.Unlock()
	d.announce()
}

// replicate copies the primary's log to the replicas, which apply it later.
func (s *Service) replicate() {
	for {
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		leader := s.leader()
		var demoted *Database
		for _, d := range s.databases {
			if !d.running || leader == nil || d == leader {
				continue
			}
			if d.primary {
				if time.Since(d.replacedAt) < time.Second {
					continue
				}
				d.primary = false
				demoted = d
				s.record.note("%s follows %s", d.id, leader.id)
			}
			d.follow(leader)
		}
		s.mu.Unlock()
		if demoted != nil {
			demoted.announce()
		}
	}
}

// follow takes over the log of the primary. What is not in it is rolled back.
func (d *Database) follow(leader *Database) {
	d.term = leader.term
	now := time.Now()
	for e := leader.tip; e != nil && !d.holds(e); e = e.prev {
		d.arrived[e] = now
	}
	d.tip = leader.tip
	if d.applied != nil && d.tip.ancestor(d.applied.number) != d.applied {
		d.applied = nil
	}
	for {
		next := d.tip.ancestor(d.applied.length() + 1)
		if next == nil {
			return
		}
		if at, late := d.arrived[next]; late && now.Sub(at) < d.service.lag {
			return
		}
		delete(d.arrived, next)
		d.applied = next
	}
}

// holds reports whether the received log holds an entry.
func (d *Database) holds(e *entry) bool { return d.tip.ancestor(e.number) == e }

func (d *Database) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go d.serve(socket)
	}
}

// session is a connection to a database.
type session struct {
	database      *Database
	socket        net.Conn
	prepared      map[string]string
	inTransaction bool
	failed        bool
	readOnly      bool
	term          uint32
	writes        []write
}

func (d *Database) serve(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	s := d.service
	reader := bufio.NewReaderSize(socket, 64<<10)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	s.mu.Lock()
	over := len(d.conns) >= s.most || !d.running
	if !over {
		d.conns[socket] = struct{}{}
	}
	s.mu.Unlock()
	if over {
		_, _ = socket.Write([]byte("ERROR OVERLOADED too many connections\r\n"))
		return
	}
	defer func() {
		s.mu.Lock()
		delete(d.conns, socket)
		s.mu.Unlock()
	}()
	if len(fields) < 3 || fields[0] != "START" || fields[1] != s.name || len(fields) > 3 && fields[3] != d.id {
		_, _ = socket.Write([]byte("ERROR WRONGNODE " + d.id + "\r\n"))
		return
	}
	time.Sleep(12 * time.Millisecond)
	c := &session{database: d, socket: socket, prepared: map[string]string{}}
	_, _ = socket.Write([]byte(c.ready() + "\r\n"))
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := append(c.answer(id, text), c.ready())
		if _, err := socket.Write([]byte(strings.Join(answer, "\r\n") + "\r\n")); err != nil {
			return
		}
	}
}

func (c *session) ready() string {
	state := "I"
	if c.failed {
		state = "E"
	} else if c.inTransaction {
		state = "T"
	}
	d := c.database
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return "READY " + state + " " + d.applied.position()
}

func (c *session) answer(id, text string) []string {
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
		c.inTransaction, c.failed, c.writes = false, false, nil
		return []string{"COMPLETE -"}
	}
	if c.failed {
		return []string{"ERROR MALFORMED the transaction failed"}
	}
	d, s := c.database, c.database.service
	s.mu.Lock()
	if d.busy >= 4*s.slots {
		s.mu.Unlock()
		return []string{"ERROR BUSY no slot"}
	}
	d.busy++
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	d.busy--
	if since != "" && !d.has(since) {
		return []string{"ERROR LAGGING " + d.applied.position()}
	}
	if word == "EXECUTE" {
		name, values, _ := strings.Cut(rest, " ")
		shape, known := c.prepared[name]
		if !known {
			return []string{"ERROR UNPREPARED " + name}
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = values
	}
	return c.run(id, word, text, rest)
}

// has reports whether the applied log holds a position.
func (d *Database) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	at, err := strconv.Atoi(number)
	if err != nil {
		return false
	}
	if at == 0 {
		return true
	}
	e := d.applied.ancestor(at)
	return e != nil && strconv.FormatUint(uint64(e.term), 10) == term
}

// run runs a statement. The service's mutex is held.
func (c *session) run(id, word, text, rest string) []string {
	d, s := c.database, c.database.service
	leads := d.primary && (!c.inTransaction || c.readOnly || c.term == d.term)
	role := "replica"
	if d.primary {
		role = "primary"
	}
	note := func(tip *entry) {
		s.runs = append(s.runs, ran{id: id, text: text, database: d.id, role: role, at: time.Now(), tip: tip})
	}
	signature := fmt.Sprintf("COMPLETE %s.%s", d.id, id)
	switch word {
	case "STATUS", "STEPDOWN":
		if term, err := strconv.Atoi(rest); word == "STEPDOWN" && err == nil && d.primary && int(d.term) < term {
			d.primary = false
		}
		return []string{fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d", role, d.term, d.tip.position(), d.busy, len(d.conns)), "COMPLETE -"}
	case "BEGIN":
		if rest == "" && !d.primary {
			return []string{"ERROR READONLY " + d.id}
		}
		c.inTransaction, c.readOnly, c.term = true, rest == "READ", d.term
		return []string{"COMPLETE -"}
	case "READ":
		note(d.applied)
		return []string{"DATAROW " + read(d.applied, rest), signature}
	case "WRITE":
		if !leads || c.readOnly {
			c.failed = c.inTransaction
			return []string{"ERROR READONLY " + d.id}
		}
		item, data, _ := strings.Cut(rest, " ")
		c.writes = append(c.writes, write{id: id, item: item, data: data})
		if !c.inTransaction {
			note(c.commit())
		}
		return []string{signature}
	case "COMMIT":
		if len(c.writes) > 0 && !leads {
			c.inTransaction, c.writes = false, nil
			return []string{"ERROR READONLY " + d.id}
		}
		note(c.commit())
		c.inTransaction, c.readOnly = false, false
		return []string{signature}
	}
	return []string{"ERROR MALFORMED " + word}
}

// read returns the value of an item in a log.
func read(tip *entry, item string) string {
	for e, looked := tip, 0; e != nil && looked < 400; e, looked = e.prev, looked+1 {
		for i := len(e.writes) - 1; i >= 0; i-- {
			if e.writes[i].item == item {
				return e.writes[i].data
			}
		}
	}
	return "none"
}

// commit appends what was written to the log, and returns the new entry.
func (c *session) commit() *entry {
	if len(c.writes) == 0 {
		return nil
	}
	d := c.database
	e := &entry{prev: d.tip, term: d.term, number: d.tip.length() + 1, writes: c.writes}
	for _, w := range c.writes {
		e.ids = append(e.ids, w.id)
	}
	c.writes = nil
	d.tip, d.applied = e, e
	return e
}
