package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// Client is a session. It belongs to one goroutine.
type Client struct {
	name   string
	socket net.Conn
	reader *bufio.Reader
	rec    *Recorder
}

// Reply is the answer to a statement.
type Reply struct {
	rows      []string
	signature string
	code      string
	text      string
	state     string
	// lost is set if no answer came.
	lost bool
}

func (r Reply) ok() bool { return !r.lost && r.code == "" }

// dial opens a session at an instance.
func dial(i *Instance, database, name string) (*Client, error) {
	socket, err := net.DialTimeout("tcp", i.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{name: name + "@" + i.name, socket: socket, reader: bufio.NewReader(socket), rec: i.sys.rec}
	_ = socket.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(socket, "START %s %s\r\n", database, name); err != nil {
		_ = socket.Close()
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = socket.Close()
		return nil, fmt.Errorf("no READY: %q %v", line, err)
	}
	return c, nil
}

func (c *Client) close() { _ = c.socket.Close() }

// do sends a statement and waits for its answer.
func (c *Client) do(text string) Reply {
	id := fmt.Sprintf("q%06d", lastID.Add(1))
	_ = c.socket.SetDeadline(time.Now().Add(4 * time.Second))
	c.rec.Logf(c.name, "sends %s %s", id, text)
	reply := Reply{}
	if _, err := fmt.Fprintf(c.socket, "QUERY %s %s\r\n", id, text); err != nil {
		reply.lost = true
		c.rec.Logf(c.name, "lost %s: %v", id, err)
		return reply
	}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			reply.lost = true
			c.rec.Logf(c.name, "lost %s: %v", id, err)
			return reply
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			reply.rows = append(reply.rows, rest)
		case "COMPLETE":
			reply.signature = rest
		case "ERROR":
			reply.code, reply.text, _ = strings.Cut(rest, " ")
		case "READY":
			reply.state, _, _ = strings.Cut(rest, " ")
			c.rec.Logf(c.name, "answered %s %v %s %s %s", id, reply.rows, reply.signature, reply.code, reply.text)
			return reply
		}
	}
}
