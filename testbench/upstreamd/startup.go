package upstreamd

import (
	"context"
	"crypto/rand"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/testbench/upstreamd/sql"
)

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

func (c *conn) refuse(cause *sql.Error) error {
	c.sendError(cause, "FATAL")
	if err := c.flush(); err != nil {
		return err
	}
	return cause
}
