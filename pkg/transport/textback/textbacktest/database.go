// Package textbacktest provides an upstream of the line protocol for tests.
package textbacktest

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"gypsumdock/pkg/state/catalog"
)

// Database is an upstream with a connection limit. It resets connections above
// the limit. It is safe for concurrent use.
type Database struct {
	listener net.Listener
	limit    int64
	open     atomic.Int64
	accepted atomic.Int64

	mu sync.Mutex
	// answer returns the lines of an answer for a statement's text.
	answer     func(text string) []string
	statements []string
	starts     []string
}

// Start starts a database that accepts limit connections at once. Close ends
// it.
func Start(limit int64) (*Database, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Database{listener: listener, limit: limit, answer: defaultAnswer}
	go d.accept()
	return d, nil
}

// defaultAnswer answers a STATUS as a primary, and every other statement with
// success.
func defaultAnswer(text string) []string {
	if text == "STATUS" {
		return []string{"DATAROW primary 1 1.7 0 0 1 1", "COMPLETE -", "READY I 1.7"}
	}
	return []string{"COMPLETE s", "READY I 1.7"}
}

// Close closes the listener. Open connections stay open.
func (d *Database) Close() error { return d.listener.Close() }

// SetAnswer sets the function that answers statements. If it returns nil, the
// connection is closed without an answer.
func (d *Database) SetAnswer(answer func(text string) []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answer = answer
}

// OpenConnections returns the number of connections that are open.
func (d *Database) OpenConnections() int64 { return d.open.Load() }

// AcceptedConnections returns the number of connections that were accepted
// since the start, without those above the limit.
func (d *Database) AcceptedConnections() int64 { return d.accepted.Load() }

// Statements returns the texts of all statements that were received.
func (d *Database) Statements() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.statements...)
}

// Upstream describes the database as the upstream "u" of the group "g".
func (d *Database) Upstream() catalog.Upstream {
	return catalog.Upstream{ID: "u", Group: "g", Address: d.listener.Addr().String(), Slots: 2}
}

// Starts returns the lines with which connections were opened.
func (d *Database) Starts() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.starts...)
}

func (d *Database) accept() {
	for {
		socket, err := d.listener.Accept()
		if err != nil {
			return
		}
		if d.open.Add(1) > d.limit {
			d.open.Add(-1)
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
			continue
		}
		d.accepted.Add(1)
		go d.serve(socket)
	}
}

func (d *Database) serve(socket net.Conn) {
	defer d.open.Add(-1)
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer := d.answerTo(strings.TrimSuffix(line, "\r\n"))
		if answer == nil {
			return
		}
		if _, err := socket.Write([]byte(strings.Join(answer, "\r\n") + "\r\n")); err != nil {
			return
		}
	}
}

// answerTo returns the answer to a line, which is START or QUERY with an ID and
// a text.
func (d *Database) answerTo(line string) []string {
	rest, isQuery := strings.CutPrefix(line, "QUERY ")
	if !isQuery {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.starts = append(d.starts, line)
		return []string{"READY I 1.7"}
	}
	_, text, _ := strings.Cut(rest, " ")
	d.mu.Lock()
	d.statements = append(d.statements, text)
	answer := d.answer
	d.mu.Unlock()
	return answer(text)
}
