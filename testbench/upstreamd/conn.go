package upstreamd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/testbench/upstreamd/sql"
)

const (
	serverVersion = "17.0"
	// maxMessageBytes bounds a message of a client.
	maxMessageBytes = 64 << 20
	startupTimeout  = 30 * time.Second
	secretBytes     = 4
	// flushRows is the number of rows that are buffered before a flush.
	flushRows = 64
)

// backends numbers the connections of the process and finds them for cancel
// requests.
var backends struct {
	next atomic.Uint32
	open sync.Map // uint32 to *conn
}

var errTerminated = errors.New("terminated by the client")

// conn serves one client connection.
type conn struct {
	node    *node
	out     *answerWriter
	backend *pgproto3.Backend
	exec    executor
	id      uint32
	secret  []byte
	// application is the name that the client gave.
	application string
	// terminate ends the connection.
	terminate func()
	alive     context.Context

	mu     sync.Mutex
	cancel context.CancelFunc

	prepared map[string]*prepared
	portals  map[string]*portal
	// skipping is true from an error in the extended flow to the next Sync.
	skipping bool
}

// serve runs a connection to its end. The cancellation of alive closes it.
func serve(alive context.Context, n *node, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(alive, func() { _ = raw.Close() })
	defer stop()
	ctx, cancel := context.WithCancel(alive)
	defer cancel()
	out := newAnswerWriter(raw)
	c := &conn{
		node:     n,
		out:      out,
		backend:  pgproto3.NewBackend(raw, out),
		id:       backends.next.Add(1),
		alive:    ctx,
		prepared: make(map[string]*prepared),
		portals:  make(map[string]*portal),
	}
	c.terminate = func() {
		cancel()
		_ = raw.Close()
	}
	c.exec = executor{node: n, backend: c.id}
	c.backend.SetMaxBodyLen(maxMessageBytes)
	if !n.waitThawed(ctx) {
		return
	}
	_ = raw.SetReadDeadline(time.Now().Add(startupTimeout))
	admitted, err := c.start(raw)
	if admitted {
		defer n.leave()
	}
	if err != nil {
		return
	}
	_ = raw.SetReadDeadline(time.Time{})
	backends.open.Store(c.id, c)
	defer backends.open.Delete(c.id)
	defer c.exec.rollback()
	_ = c.loop()
}

func (c *conn) ready() error {
	status := byte('I')
	if tx := c.exec.tx; tx != nil {
		status = 'T'
		if tx.failed {
			status = 'E'
		}
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.flush()
}

// flush sends what is buffered, unless the node is frozen.
func (c *conn) flush() error {
	if !c.node.waitThawed(c.alive) {
		return c.alive.Err()
	}
	return c.backend.Flush()
}

func (c *conn) sendError(err error, severity string) {
	failure := &sql.Error{Code: "XX000", Message: err.Error()}
	_ = errors.As(err, &failure)
	c.backend.Send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: failure.Code, Message: failure.Message,
	})
}

func (c *conn) loop() error {
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return err
		}
		if !c.node.waitThawed(c.alive) {
			return c.alive.Err()
		}
		if err = c.handle(message); err != nil {
			return err
		}
	}
}

func (c *conn) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return c.simpleQuery(m.String)
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.Sync:
		c.skipping = false
		if c.exec.tx == nil {
			clear(c.portals)
		}
		return c.ready()
	case *pgproto3.Flush:
		return c.flush()
	}
	if c.skipping {
		return nil
	}
	if err := c.extended(message); err != nil {
		var failure *sql.Error
		if !errors.As(err, &failure) {
			return err
		}
		c.sendError(failure, "ERROR")
		c.skipping = true
		c.exec.fail()
	}
	return nil
}

// simpleQuery runs a script; several statements share a transaction.
func (c *conn) simpleQuery(text string) error {
	statements, err := sql.Parse(text)
	if err == nil && len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	if err == nil && len(statements) > 1 && c.exec.tx == nil {
		c.exec.begin(false, true)
	}
	c.exec.text, c.exec.params = text, nil
	for i := 0; err == nil && i < len(statements); i++ {
		err = c.simpleStatement(statements[i], text)
	}
	if err == nil && c.exec.tx != nil && c.exec.tx.implicit {
		_, err = c.exec.commit()
	}
	var failure *sql.Error
	if errors.As(err, &failure) {
		c.exec.fail()
		c.sendError(failure, "ERROR")
		return c.ready()
	}
	if err != nil {
		return err
	}
	return c.ready()
}

func (c *conn) simpleStatement(statement sql.Statement, text string) error {
	res, err := c.run(statement, text)
	if err != nil {
		return err
	}
	if columns := sql.Columns(statement); columns != nil {
		c.backend.Send(describeColumns(columns, nil))
	}
	_, err = c.sendRows(res, nil, 0)
	return err
}

// run executes a statement that a cancel request may stop.
func (c *conn) run(statement sql.Statement, text string) (result, error) {
	ctx, cancel := context.WithCancel(c.alive)
	defer cancel()
	c.setCancel(cancel)
	defer c.setCancel(nil)
	c.forget(statement)
	res, err := c.exec.run(ctx, statement)
	if cut := c.node.takeCut(text); cut != nil {
		if flushErr := c.flush(); flushErr != nil {
			return res, flushErr
		}
		c.out.cutAfter(cut.Bytes)
	}
	return res, err
}

func (c *conn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// forget drops the prepared statements that the statement ends.
func (c *conn) forget(statement sql.Statement) {
	switch s := statement.(type) {
	case sql.Discard:
		clear(c.prepared)
	case sql.Deallocate:
		if s.Name == "" {
			clear(c.prepared)
		}
		delete(c.prepared, s.Name)
	}
}
