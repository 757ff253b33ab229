package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"gypsumdock/testbench/faultproxy"
)

// Database is a database of a group. Its fields are guarded by the group's
// mutex.
type Database struct {
	ID       string
	group    *Group
	zone     string
	address  string
	listener net.Listener
	// wire carries the instances' connections; it is replaced at a restart.
	wire     *faultproxy.Proxy
	running  bool
	primary  bool
	term     uint32
	paused   bool
	draining bool
	// isolated is set while it is cut from the other databases.
	isolated bool
	// loseAnswers is set while answers are lost.
	loseAnswers bool
	log         []entry
	// arrived holds when each entry of the log was received.
	arrived   []time.Time
	applied   int
	busy      int
	born      int64
	ledSince  time.Time
	announced string
	conns     map[*conn]struct{}
}

// Start starts the database, at the address that it had.
func (d *Database) Start() error {
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
	if err := d.connectWire(); err != nil {
		d.group.mu.Unlock()
		return err
	}
	d.running = true
	d.born = time.Now().UnixMilli()
	if d.primary && d.term < d.group.term {
		d.primary = false
	}
	d.group.mu.Unlock()
	d.group.tasks.Go(func() { d.accept(listener) })
	return nil
}

// connectWire starts the proxy, at the address that it had. The group's mutex is
// held.
func (d *Database) connectWire() error {
	address := "127.0.0.1:0"
	if d.wire != nil {
		address = d.wire.Address()
	}
	wire, err := faultproxy.Start(address, d.address)
	if err == nil {
		d.wire = wire
	}
	return err
}

// Crash ends the database and its connections. Its log stays.
func (d *Database) Crash() {
	d.group.mu.Lock()
	if d.running {
		d.running = false
		_ = d.listener.Close()
		_ = d.wire.Close()
	}
	open := make([]*conn, 0, len(d.conns))
	for c := range d.conns {
		open = append(open, c)
	}
	d.group.mu.Unlock()
	for _, c := range open {
		_ = c.socket.Close()
	}
}

// Wire is the proxy through which instances reach the database.
func (d *Database) Wire() (wire *faultproxy.Proxy) {
	d.set(func() { wire = d.wire })
	return wire
}

// SetDraining makes the database report that it is about to leave.
func (d *Database) SetDraining(draining bool) { d.set(func() { d.draining = draining }) }

// SetIsolated cuts the database from the others of its group.
func (d *Database) SetIsolated(isolated bool) { d.set(func() { d.isolated = isolated }) }

// SetLoseAnswers makes the database run statements and not answer.
func (d *Database) SetLoseAnswers(lose bool) { d.set(func() { d.loseAnswers = lose }) }

func (d *Database) set(change func()) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	change()
}

// follow takes the log of a primary. Entries that it lacks are rolled back.
func (d *Database) follow(leader *Database) {
	common := 0
	for common < len(d.log) && common < len(leader.log) && d.log[common].term == leader.log[common].term {
		common++
	}
	if common < len(d.log) {
		d.group.noteRolledBack(d.log[common:])
		d.log = d.log[:common]
		d.arrived = d.arrived[:common]
		d.applied = min(d.applied, common)
	}
	for _, next := range leader.log[common:] {
		d.log = append(d.log, next)
		d.arrived = append(d.arrived, time.Now())
	}
	d.term = leader.term
	d.primary = false
}

// apply applies what was received for long enough.
func (d *Database) apply(lag time.Duration) {
	if d.primary {
		d.applied = len(d.log)
		return
	}
	for d.applied < len(d.log) && time.Since(d.arrived[d.applied]) >= lag {
		d.applied++
	}
}

// position returns the place up to which the log is applied.
func (d *Database) position() string { return d.positionAt(d.applied) }

func (d *Database) positionAt(number int) string {
	term := uint32(1)
	if number > 0 {
		term = d.log[number-1].term
	}
	return fmt.Sprintf("%d.%d", term, number)
}

// has reports whether the applied log holds a position.
func (d *Database) has(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	at, err := strconv.Atoi(number)
	if err != nil || at > d.applied {
		return false
	}
	return at == 0 || strconv.FormatUint(uint64(d.log[at-1].term), 10) == term
}

// read returns the value of an item in the applied log.
func (d *Database) read(item string) string {
	for i := d.applied - 1; i >= 0; i-- {
		for j := len(d.log[i].writes) - 1; j >= 0; j-- {
			if d.log[i].writes[j].item == item {
				return d.log[i].writes[j].data
			}
		}
	}
	return "none"
}

func (d *Database) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		c := &conn{database: d, socket: socket, reader: bufio.NewReader(socket)}
		d.group.mu.Lock()
		over := len(d.conns) >= d.group.maxConnections
		if !over && d.running {
			d.conns[c] = struct{}{}
		}
		d.group.mu.Unlock()
		if over {
			_, _ = socket.Write([]byte("ERROR OVERLOADED too many connections\r\n"))
			_ = socket.Close()
			continue
		}
		d.group.tasks.Go(c.serve)
	}
}
