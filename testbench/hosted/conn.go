package hosted

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// workTime is the time of a statement in its slot.
const workTime = 2 * time.Millisecond

// conn is a connection to a database.
type conn struct {
	database *Database
	socket   net.Conn
	reader   *bufio.Reader
	prepared map[string]string
	// account is the account that START named, and requestID the ID of the
	// statement that is running.
	account   string
	requestID string
	// inTransaction, failed and readOnly are the state of a transaction, and
	// writes what it has written so far.
	inTransaction bool
	failed        bool
	readOnly      bool
	writes        []write
	// term is the term in which a transaction began.
	term uint32
}

func (c *conn) serve() {
	defer func() {
		_ = c.socket.Close()
		c.database.set(func() { delete(c.database.conns, c) })
	}()
	c.prepared = map[string]string{}
	line, err := c.line()
	if err != nil {
		return
	}
	c.database.group.noteStart(line)
	fields := strings.Split(line, " ")
	if fields[0] != "START" || len(fields) < 3 || fields[1] != c.database.group.Name ||
		len(fields) > 3 && fields[3] != c.database.ID {
		_, _ = c.socket.Write([]byte("ERROR WRONGNODE not here\r\n"))
		return
	}
	c.account = fields[2]
	c.send([]string{c.ready()})
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
		c.requestID = id
		c.noteRequest()
		answer := c.answer(text)
		if c.loses() {
			continue
		}
		c.send(append(answer, c.ready()))
	}
}

func (c *conn) line() (string, error) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

func (c *conn) send(lines []string) {
	_, _ = c.socket.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
}

func (c *conn) loses() (lost bool) {
	c.database.set(func() { lost = c.database.loseAnswers })
	return lost
}

func (c *conn) ready() (line string) {
	state := "I"
	if c.failed {
		state = "E"
	} else if c.inTransaction {
		state = "T"
	}
	c.database.set(func() { line = "READY " + state + " " + c.database.position() })
	return line
}

// answer runs the text of a statement.
func (c *conn) answer(text string) []string {
	since := ""
	if rest, found := strings.CutPrefix(text, "SINCE "); found {
		since, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "SET", "RESET":
		if word == "RESET" {
			clear(c.prepared)
		}
		return []string{"COMPLETE -"}
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return []string{"COMPLETE -"}
	case "STATUS", "STEPDOWN":
		return c.status(word, rest)
	case "ROLLBACK":
		c.inTransaction, c.failed, c.writes = false, false, nil
		return []string{"COMPLETE -"}
	}
	if c.failed {
		return []string{"ERROR MALFORMED the transaction failed"}
	}
	return c.work(word, rest, since)
}

// work runs a statement that takes a slot.
func (c *conn) work(word, rest, since string) []string {
	busy := false
	c.database.set(func() {
		busy = c.database.busy >= 4*c.database.group.slots
		c.database.busy++
	})
	defer c.database.set(func() { c.database.busy-- })
	if busy {
		return []string{"ERROR BUSY no slot"}
	}
	time.Sleep(workTime)
	c.database.group.mu.Lock()
	defer c.database.group.mu.Unlock()
	if since != "" && !c.database.has(since) {
		return []string{"ERROR LAGGING not there yet"}
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
	isOperation := !c.inTransaction
	answer := c.run(word, rest)
	if !strings.HasPrefix(answer[0], "ERROR ") {
		c.noteRan(isOperation)
	}
	return answer
}

// run runs a statement. The group's mutex is held.
func (c *conn) run(word, rest string) []string {
	d := c.database
	leads := d.primary && (!c.inTransaction || c.readOnly || c.term == d.term)
	switch word {
	case "BEGIN":
		if rest == "" && !d.primary {
			return []string{"ERROR READONLY " + d.ID}
		}
		c.inTransaction, c.readOnly, c.term = true, rest == "READ", d.term
		return []string{"COMPLETE -"}
	case "READ":
		return []string{"DATAROW " + d.read(rest), c.signature()}
	case "WRITE":
		if !leads || c.readOnly {
			c.failed = c.inTransaction
			return []string{"ERROR READONLY " + d.ID}
		}
		item, data, _ := strings.Cut(rest, " ")
		c.writes = append(c.writes, write{item: item, data: data})
		if !c.inTransaction {
			c.commit()
		}
		return []string{c.signature()}
	case "COMMIT":
		if len(c.writes) > 0 && !leads {
			c.inTransaction, c.writes = false, nil
			return []string{"ERROR READONLY " + d.ID}
		}
		c.commit()
		c.inTransaction, c.readOnly = false, false
		return []string{c.signature()}
	}
	return []string{"ERROR MALFORMED " + word}
}

// commit appends what was written to the log.
func (c *conn) commit() {
	if len(c.writes) == 0 {
		return
	}
	d := c.database
	if d.term < d.group.term {
		for _, w := range c.writes {
			d.group.deposed[w.data] = true
		}
	}
	d.log = append(d.log, entry{term: d.term, writes: c.writes})
	d.arrived = append(d.arrived, time.Now())
	d.applied = len(d.log)
	c.writes = nil
}

func (c *conn) signature() string {
	return fmt.Sprintf("COMPLETE %s.%d", c.database.ID, len(c.database.log))
}

func (c *conn) status(word, rest string) []string {
	d := c.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	var term uint32
	if _, err := fmt.Sscan(rest, &term); word == "STEPDOWN" && err == nil && d.primary && d.term < term {
		d.primary = false
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	received := d.positionAt(len(d.log))
	return []string{
		fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d", role, d.term, received, d.busy, len(d.conns)),
		"COMPLETE -",
	}
}
