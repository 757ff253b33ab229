package textback

import (
	"bufio"
	"maps"
	"net"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/lines"
)

const (
	// readBufferBytes is the buffer of a connection to an upstream.
	readBufferBytes = 4 << 10
	// maxPrepared is the number of prepared statements that a connection keeps.
	maxPrepared = 200
)

// Errors of connections.
var (
	// ErrBroken means that the connection ended or broke the protocol.
	ErrBroken = errors.New("connection to the upstream broke")
	// ErrNotPrepared means that the upstream refused to prepare a statement.
	ErrNotPrepared = errors.New("the upstream did not prepare the statement")
)

// Conn is a connection to an upstream. It belongs to one goroutine at a time.
type Conn struct {
	upstream catalog.Upstream
	codec    statement.UpstreamCodec
	socket   net.Conn
	reader   *bufio.Reader
	quiet    *lines.InputProbe
	out      []byte
	// values are the session values that are set on the connection.
	values map[string]string
	// prepared holds the names of the statements prepared on it.
	prepared map[string]bool
	usedAt   time.Time
	broken   bool
	// pool is the one in which the connection is in use; nil while it is idle.
	pool *pool
}

// Upstream returns the upstream that the connection was opened to.
func (c *Conn) Upstream() catalog.Upstream { return c.upstream }

// Lender returns nothing: the connection is this instance's.
func (c *Conn) Lender() model.InstanceID { return "" }

// Codec returns the wire format of the upstream.
func (c *Conn) Codec() statement.UpstreamCodec { return c.codec }

// Send writes messages.
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
			return nil, errors.Wrap(err, "answer of the upstream")
		}
		message, err := c.codec.ParseMessage(line)
		if err != nil {
			c.broken = true
			return nil, errors.Wrap(err, "answer of the upstream")
		}
		size += len(line)
		if size > maxAnswerBytes {
			c.broken = true
			return nil, errors.Wrap(ErrBroken, "answer too large")
		}
		if done := take(answer, message); done {
			return answer, nil
		}
	}
}

// maxAnswerBytes bounds the rows that are kept of one answer.
const maxAnswerBytes = 8 << 20

// take adds a message to the answer and reports whether it was the last one.
func take(answer *statement.Answer, message statement.Message) bool {
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

// Exchange sends one statement of the proxy's own and reads its answer.
func (c *Conn) Exchange(data []byte, deadline time.Time) (*statement.Answer, error) {
	if err := c.Send(data, deadline); err != nil {
		return nil, err
	}
	return c.Receive(deadline)
}

// SetSessionValues gives the connection the session values, and only these. Those that
// are set already cost nothing.
func (c *Conn) SetSessionValues(values map[string]string, deadline time.Time) error {
	if maps.Equal(c.values, values) {
		return nil
	}
	out := c.out[:0]
	messages := 0
	for name := range c.values {
		if _, kept := values[name]; !kept {
			out = c.codec.AppendOrder(out, statement.OrderReset, 0)
			messages++
			clear(c.values)
			clear(c.prepared)
			break
		}
	}
	for name, value := range values {
		if held, set := c.values[name]; set && held == value {
			continue
		}
		out = c.codec.AppendSet(out, name, value)
		messages++
		c.values[name] = value
	}
	c.out = out[:0]
	return c.run(out, messages, deadline)
}

// run sends messages and expects each of them to succeed.
func (c *Conn) run(data []byte, messages int, deadline time.Time) error {
	if err := c.Send(data, deadline); err != nil {
		return err
	}
	for range messages {
		answer, err := c.Receive(deadline)
		if err != nil {
			return err
		}
		if answer.Reason != statement.Succeeded {
			c.broken = true
			return errors.Wrapf(ErrNotPrepared, "%s: %s", answer.Reason, answer.Detail)
		}
	}
	return nil
}

// Prepare makes sure that a statement is prepared under the name.
func (c *Conn) Prepare(name string, readOnly bool, shape string, deadline time.Time) error {
	if c.prepared[name] {
		return nil
	}
	if len(c.prepared) >= maxPrepared {
		c.broken = true
		return errors.Wrap(ErrNotPrepared, "too many on one connection")
	}
	if err := c.run(c.codec.AppendPrepare(nil, name, readOnly, shape), 1, deadline); err != nil {
		return err
	}
	c.prepared[name] = true
	return nil
}

// ForgetPrepared drops the knowledge that a statement is prepared, after the upstream
// has said otherwise.
func (c *Conn) ForgetPrepared(name string) { delete(c.prepared, name) }

// isUsable reports whether an idle connection has neither ended nor sent what
// nobody asked for.
func (c *Conn) isUsable() bool {
	return !c.broken && c.reader.Buffered() == 0 && !c.quiet.HasInput()
}

func (c *Conn) close() { _ = c.socket.Close() }
