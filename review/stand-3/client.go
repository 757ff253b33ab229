package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Record is what was sent, answered and run, in the order of time.
type Record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func newRecord() *Record { return &Record{begun: time.Now()} }

func (r *Record) since(at time.Time) string { return fmt.Sprintf("%8.3f", at.Sub(r.begun).Seconds()) }

func (r *Record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, r.since(time.Now())+" "+fmt.Sprintf(format, values...))
}

func (r *Record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// Reply is the answer to a statement.
type Reply struct {
	id         string
	sent, came time.Time
	rows       []string
	signature  string
	code, text string
	state      string
	err        error
}

func (r Reply) ok() bool { return r.err == nil && r.code == "" }

func (r Reply) String() string {
	switch {
	case r.err != nil:
		return "no answer: " + r.err.Error()
	case r.code != "":
		return r.code + " " + r.text
	default:
		return "success"
	}
}

// Client is a session.
type Client struct {
	socket net.Conn
	reader *bufio.Reader
}

var lastID atomic.Int64

// dial opens a session.
func dial(address, database, key string) (*Client, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{socket: socket, reader: bufio.NewReaderSize(socket, 64<<10)}
	_, err = fmt.Fprintf(socket, "START %s %s\r\n", database, key)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	reply := c.receive(2 * time.Second)
	if reply.err == nil && reply.code != "" {
		reply.err = errors.New(reply.code + " " + reply.text)
	}
	if reply.err != nil {
		_ = socket.Close()
		return nil, reply.err
	}
	return c, nil
}

func (c *Client) close() { _ = c.socket.Close() }

// do runs a statement and waits for the answer until the deadline.
func (c *Client) do(text string, deadline time.Duration) Reply {
	id := fmt.Sprintf("q%08d", lastID.Add(1))
	sent := time.Now()
	_ = c.socket.SetWriteDeadline(sent.Add(deadline))
	if _, err := fmt.Fprintf(c.socket, "QUERY %s %s\r\n", id, text); err != nil {
		return Reply{id: id, sent: sent, err: err}
	}
	reply := c.receive(deadline)
	reply.id, reply.sent, reply.came = id, sent, time.Now()
	return reply
}

func (c *Client) receive(deadline time.Duration) Reply {
	_ = c.socket.SetReadDeadline(time.Now().Add(deadline))
	var reply Reply
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			if reply.code == "" {
				reply.err = err
			}
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
			return reply
		}
	}
}
