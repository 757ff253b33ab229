package textback

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/reuse"
	"gypsumdock/pkg/transport/lines"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxPrepared bounds the prepared statements of a connection. Beyond it the
	// connection is closed.
	maxPrepared = 200
)

const (
	// checkAliveAfter is the idle time after which a connection must answer
	// before work is sent on it that must not be retried.
	checkAliveAfter = time.Second
	// checkAliveTimeout bounds the wait for that answer.
	checkAliveTimeout = 150 * time.Millisecond
)

// Errors of connections.
var (
	// ErrBroken means that the connection failed or that the upstream broke the
	// protocol.
	ErrBroken = errors.New("connection to the upstream broke")
	// ErrNotPrepared means that the upstream refused to prepare a statement, or
	// to set or reset session values.
	ErrNotPrepared = errors.New("the upstream did not prepare the statement")
)

// IsTimeout reports whether an exchange failed because no answer came in time.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}

// Conn is a connection to an upstream. Only one goroutine may use it at a time.
type Conn struct {
	upstream catalog.Upstream
	// caller is the client account that the connection was opened for, the only
	// one that it serves; empty if there is none.
	caller model.CallerName
	// pool is the pool that counts the connection as open; nil if none does.
	pool *pool
	// use is the caller's use of the upstream; nil if pool is nil.
	use    *reuse.Use
	codec  statement.UpstreamCodec
	socket net.Conn
	reader *bufio.Reader
	input  *lines.InputProbe
	out    []byte
	// values holds the session values that are set on the connection.
	values map[string]string
	// prepared holds the names of the statements that are prepared on it.
	prepared map[string]bool
	// usedAt is when the connection was last returned to its pool.
	usedAt time.Time
	broken bool
	// setup is what the next statement needs.
	setup setup
}

// Upstream returns the upstream that the connection was opened to.
func (c *Conn) Upstream() catalog.Upstream { return c.upstream }

// Codec returns the wire format of the upstream.
func (c *Conn) Codec() statement.UpstreamCodec { return c.codec }

// Send writes one or more messages.
func (c *Conn) Send(data []byte, deadline time.Time) error {
	_ = c.socket.SetDeadline(deadline)
	if _, err := c.socket.Write(data); err != nil {
		c.broken = true
		return errors.Wrap(err, "send to the upstream")
	}
	return nil
}

// Receive reads one whole answer. After an error the connection must not be
// used again.
func (c *Conn) Receive(deadline time.Time) (*statement.Answer, error) {
	_ = c.socket.SetReadDeadline(deadline)
	answer := &statement.Answer{}
	size := 0
	for {
		line, err := lines.Read(c.reader, statement.MaxMessageBytes)
		if err != nil {
			c.broken = true
			return nil, errors.Wrap(err, "read the answer of the upstream")
		}
		message, err := c.codec.ParseMessage(line)
		if err != nil {
			c.broken = true
			return nil, errors.Wrap(err, "read the answer of the upstream")
		}
		size += len(line)
		if size > maxAnswerBytes {
			c.broken = true
			return nil, errors.Wrap(ErrBroken, "answer exceeds the size limit")
		}
		if done := addMessage(answer, message); done {
			return answer, nil
		}
	}
}

// maxAnswerBytes bounds the size of one answer, whose rows are kept in memory.
const maxAnswerBytes = 8 << 20

// addMessage adds a message to the answer and reports whether it was the last
// one.
func addMessage(answer *statement.Answer, message statement.Message) bool {
	switch message.Kind {
	case statement.MessageRow:
		answer.Rows = append(answer.Rows, append([]byte(nil), message.Row...))
	case statement.MessageComplete:
		answer.Signature = message.Signature
	case statement.MessageError:
		answer.Reason = message.Reason
		answer.Detail = message.Detail
	case statement.MessageReady:
		answer.State = message.State
		answer.Position = message.Position
		return true
	}
	return false
}

// ForgetPrepared records that a statement is not prepared, after the upstream
// has answered so.
func (c *Conn) ForgetPrepared(name string) { delete(c.prepared, name) }

// isUsable reports whether an idle connection is still open. It is not usable
// if the upstream has closed it or has sent something without a request.
func (c *Conn) isUsable() bool {
	return !c.broken && c.reader.Buffered() == 0 && !c.input.HasInput()
}

func (c *Conn) close() { _ = c.socket.Close() }

// isAlive reports whether the upstream still answers on the connection. A
// connection that was used recently is not asked.
func (c *Conn) isAlive() bool {
	if time.Since(c.usedAt) < checkAliveAfter {
		return true
	}
	clear(c.values)
	clear(c.prepared)
	answer, err := c.Exchange(c.codec.AppendCommand(nil, statement.CommandReset, 0), time.Now().Add(checkAliveTimeout))
	return err == nil && answer.Reason == statement.Succeeded
}
