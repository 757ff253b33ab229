package pgback

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/transport/lines"
)

// Limits of a connection's own work.
const (
	// keepOutput is the size, in bytes, up to which an output buffer is kept.
	keepOutput   = 64 << 10
	resetTimeout = 5 * time.Second
	// closeTimeout bounds the wait for the upstream to close its side.
	closeTimeout = time.Second
)

// conn is a connection to an upstream. It implements Backend.
type conn struct {
	net        net.Conn
	frontend   *pgproto3.Frontend
	output     []byte
	encodeErr  error
	pid        uint32
	secret     []byte
	address    string
	probe      *lines.InputProbe
	statements *statements
	pool       *pool
	origin     origin
}

var _ Backend = (*conn)(nil)

// Send appends message to the output buffer.
func (c *conn) Send(message pgproto3.FrontendMessage) {
	if c.encodeErr != nil {
		return
	}
	output, err := message.Encode(c.output)
	if err != nil {
		c.encodeErr = err
		return
	}
	c.output = output
}

// Flush writes the output buffer.
func (c *conn) Flush() error {
	if c.encodeErr != nil {
		return errors.Wrap(c.encodeErr, "encode")
	}
	if len(c.output) == 0 {
		return nil
	}
	_, err := c.net.Write(c.output)
	c.output = c.output[:0]
	if cap(c.output) > keepOutput {
		c.output = nil
	}
	return err
}

// Receive returns the next message from the upstream.
func (c *conn) Receive() (pgproto3.BackendMessage, error) { return c.frontend.Receive() }

// SetDeadline bounds Flush and Receive.
func (c *conn) SetDeadline(at time.Time) error { return c.net.SetDeadline(at) }

// UsePrepared records the use of a prepared statement.
func (c *conn) UsePrepared(name string) PreparedState { return c.statements.prepare(name) }

// ForgetPrepared records that a statement is not prepared.
func (c *conn) ForgetPrepared(name string) { c.statements.forget(name) }

// Cancel asks the upstream to cancel the running statement.
func (c *conn) Cancel(ctx context.Context) error {
	return sendCancel(ctx, c.address, &pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret})
}

// Release gives the connection back to its pool.
func (c *conn) Release(reuse Reuse) {
	if reuse == ReuseAfterReset {
		reuse = c.reset()
	}
	if reuse != ReuseClean || c.hasLeftover() {
		c.pool.discard(c)
		return
	}
	c.pool.put(c)
}

// hasLeftover reports whether something is left in the buffers. The wire is
// looked at before the next use.
func (c *conn) hasLeftover() bool {
	return len(c.output) > 0 || c.frontend.ReadBufferLen() > 0
}

// reset brings the session back to its defaults.
func (c *conn) reset() Reuse {
	c.statements.clear()
	if err := c.SetDeadline(time.Now().Add(resetTimeout)); err != nil {
		return ReuseNever
	}
	c.Send(&pgproto3.Query{String: "DISCARD ALL"})
	if err := c.Flush(); err != nil {
		return ReuseNever
	}
	for {
		message, err := c.Receive()
		if err != nil {
			return ReuseNever
		}
		switch message := message.(type) {
		case *pgproto3.ErrorResponse:
			return ReuseNever
		case *pgproto3.ReadyForQuery:
			if message.TxStatus != 'I' {
				return ReuseNever
			}
			return ReuseClean
		}
	}
}

// close ends the connection and waits until the upstream has closed its side,
// for a short time. The upstream rolls back what is open.
func (c *conn) close() {
	defer c.net.Close()
	if err := c.net.SetDeadline(time.Now().Add(closeTimeout)); err != nil {
		return
	}
	packet, err := (&pgproto3.Terminate{}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := c.net.Write(packet); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.net)
}
