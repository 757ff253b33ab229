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

// Limits of a connection.
const (
	// maxKeptOutputBytes is the size up to which an output buffer is reused.
	maxKeptOutputBytes = 64 << 10
	resetTimeout       = 5 * time.Second
	// closeTimeout bounds the wait for the upstream to close its side.
	closeTimeout = time.Second
)

// conn is a connection to an upstream. It implements Backend.
type conn struct {
	socket     net.Conn
	frontend   *pgproto3.Frontend
	output     []byte
	encodeErr  error
	pid        uint32
	secret     []byte
	address    string
	probe      *lines.InputProbe
	statements *statementCache
	pool       *pool
	key        connectionKey
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

// Flush writes the output buffer to the upstream.
func (c *conn) Flush() error {
	if c.encodeErr != nil {
		return errors.Wrap(c.encodeErr, "encode")
	}
	if len(c.output) == 0 {
		return nil
	}
	_, err := c.socket.Write(c.output)
	c.output = c.output[:0]
	if cap(c.output) > maxKeptOutputBytes {
		c.output = nil
	}
	return err
}

// Receive returns the next message from the upstream.
func (c *conn) Receive() (pgproto3.BackendMessage, error) { return c.frontend.Receive() }

// SetDeadline bounds Flush and Receive.
func (c *conn) SetDeadline(at time.Time) error { return c.socket.SetDeadline(at) }

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
	if reuse != ReuseClean || c.hasBufferedData() {
		c.pool.discard(c)
		return
	}
	c.pool.put(c)
}

// hasBufferedData reports whether data is left in the buffers. Input that is still
// in the socket is checked before the next use, by isUsableFor.
func (c *conn) hasBufferedData() bool {
	return len(c.output) > 0 || c.frontend.ReadBufferLen() > 0
}

// reset restores the defaults of the session with DISCARD ALL. It returns
// ReuseClean, or ReuseNever on any failure.
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

// close ends the connection and waits up to closeTimeout until the upstream has
// closed its side. The upstream rolls back an open transaction.
func (c *conn) close() {
	defer c.socket.Close()
	if err := c.socket.SetDeadline(time.Now().Add(closeTimeout)); err != nil {
		return
	}
	packet, err := (&pgproto3.Terminate{}).Encode(nil)
	if err != nil {
		return
	}
	if _, err := c.socket.Write(packet); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.socket)
}
