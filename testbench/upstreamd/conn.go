package upstreamd

import (
	"context"
	"crypto/rand"
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

// waitThawed waits while the node is frozen; false means that it was killed.
func (n *node) waitThawed(ctx context.Context) bool {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// enter counts a connection in, unless the limit is reached.
func (n *node) enter() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spec.Connections > 0 && n.open >= n.spec.Connections {
		n.refused.Add(1)
		return false
	}
	n.open++
	n.peak = max(n.peak, n.open)
	return true
}

func (n *node) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open--
}

// start runs the startup of a connection. It reports whether the connection
// counts against the limit.
func (c *conn) start(raw net.Conn) (bool, error) {
	startup, err := c.receiveStartup(raw)
	if err != nil {
		return false, err
	}
	c.application = startup.Parameters["application_name"]
	if !c.node.enter() {
		return false, c.refuse(sql.Errorf(sql.CodeTooManyConnections, "sorry, too many clients already"))
	}
	if err = sleep(c.alive, c.node.currentCosts().connect()); err != nil {
		return true, err
	}
	if err = c.authenticate(startup); err != nil {
		return true, err
	}
	return true, c.greet()
}

func (c *conn) receiveStartup(raw net.Conn) (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			cancelBackend(m)
			return nil, errTerminated
		default:
			if _, err = raw.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

func cancelBackend(request *pgproto3.CancelRequest) {
	found, isOpen := backends.open.Load(request.ProcessID)
	if !isOpen {
		return
	}
	target := found.(*conn)
	if string(target.secret) != string(request.SecretKey) {
		return
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.cancel != nil {
		target.cancel()
	}
}

func (c *conn) greet() error {
	c.secret = make([]byte, secretBytes)
	if _, err := rand.Read(c.secret); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, status := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	} {
		c.backend.Send(&status)
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	return c.ready()
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

func (c *conn) refuse(cause *sql.Error) error {
	c.sendError(cause, "FATAL")
	if err := c.flush(); err != nil {
		return err
	}
	return cause
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

// sendRows sends up to limit rows, or all when limit is 0, and reports whether
// the result is at its end.
func (c *conn) sendRows(res result, formats []int16, limit int) (bool, error) {
	for sent := 0; res.next != nil; sent++ {
		if limit > 0 && sent == limit {
			c.backend.Send(&pgproto3.PortalSuspended{})
			return false, nil
		}
		row, more := res.next()
		if !more {
			break
		}
		c.backend.Send(encodeRow(row, formats))
		if sent%flushRows == flushRows-1 {
			if err := c.flush(); err != nil {
				return false, err
			}
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return true, nil
}

func encodeRow(row []sql.Value, formats []int16) *pgproto3.DataRow {
	encoded := &pgproto3.DataRow{Values: make([][]byte, 0, len(row))}
	for i, value := range row {
		encoded.Values = append(encoded.Values, value.Encode(formatOf(formats, i)))
	}
	return encoded
}

// formatOf follows the protocol: no code is text, one code holds for all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return sql.FormatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return sql.FormatText
	}
}

func describeColumns(items []sql.Item, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, item := range items {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name:         []byte(item.Name),
			DataTypeOID:  uint32(sql.TypeOf(item.Expr)),
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return description
}
