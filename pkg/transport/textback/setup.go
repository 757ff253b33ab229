package textback

import (
	"maps"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
)

// setup is what a connection needs before its next statement. It is sent with
// the next message where that is safe, so that it costs no round trip of its own.
type setup struct {
	// values are the session values to set if setValues is true.
	values    map[string]string
	setValues bool
	// prepare is the statement to prepare; nil if there is none.
	prepare *preparation
}

// preparation is a statement to prepare under a name.
type preparation struct {
	name     string
	readOnly bool
	shape    string
}

// RequireValues makes the next statement run with these session values.
func (c *Conn) RequireValues(values map[string]string) {
	c.setup.values = values
	c.setup.setValues = !maps.Equal(c.values, values)
}

// RequirePrepared makes the next statement run with a statement prepared under
// the name.
func (c *Conn) RequirePrepared(name string, readOnly bool, shape string) {
	c.setup.prepare = &preparation{name: name, readOnly: readOnly, shape: shape}
}

// CheckSetup returns an error if the connection has no room for the statement to
// prepare. Nothing was sent then, and the connection must be closed.
func (c *Conn) CheckSetup() error {
	wanted := c.setup.prepare
	if wanted == nil || c.prepared[wanted.name] || len(c.prepared) < maxPrepared {
		return nil
	}
	c.broken = true
	return errors.Wrap(ErrNotPrepared, "too many prepared statements on the connection")
}

// Confirm sends the session values that the next statement needs, and waits
// until they are set: a statement must not run with other values. It does
// nothing if they are set already. After an error no statement was sent and the
// connection must be closed.
func (c *Conn) Confirm(deadline time.Time) error {
	if err := c.CheckSetup(); err != nil {
		return err
	}
	if !c.setup.setValues {
		return nil
	}
	out, values := c.appendValues(c.out[:0])
	out, prepares := c.appendPrepare(out)
	c.out = out[:0]
	if err := c.Send(out, deadline); err != nil {
		return err
	}
	if err := c.receiveAll(values, deadline); err != nil {
		return err
	}
	return c.receivePrepared(prepares, deadline)
}

// ExchangeBegin sends the begin of a transaction together with all that its
// first statement needs. That is safe as a begin has no lasting effect. After an
// error the connection must be closed.
func (c *Conn) ExchangeBegin(data []byte, deadline time.Time) (*statement.Answer, error) {
	out, values := c.appendValues(c.out[:0])
	out, prepares := c.appendPrepare(out)
	out = append(out, data...)
	c.out = out[:0]
	if err := c.Send(out, deadline); err != nil {
		return nil, err
	}
	if err := c.receiveAll(values, deadline); err != nil {
		return nil, err
	}
	if err := c.receivePrepared(prepares, deadline); err != nil {
		return nil, err
	}
	return c.Receive(deadline)
}

// Exchange sends one statement and reads its answer. A statement to prepare goes
// with it: if that fails, the upstream does not run the statement.
func (c *Conn) Exchange(data []byte, deadline time.Time) (*statement.Answer, error) {
	out, prepares := c.appendPrepare(c.out[:0])
	out = append(out, data...)
	c.out = out[:0]
	if err := c.Send(out, deadline); err != nil {
		return nil, err
	}
	if err := c.receivePrepared(prepares, deadline); err != nil {
		return nil, err
	}
	return c.Receive(deadline)
}

// appendValues appends the commands that make the session values of the
// connection equal to those required, and returns their number. A value that is
// no longer set requires a reset, which also drops prepared statements.
func (c *Conn) appendValues(out []byte) ([]byte, int) {
	if !c.setup.setValues {
		return out, 0
	}
	c.setup.setValues = false
	values := c.setup.values
	messages := 0
	for name := range c.values {
		if _, kept := values[name]; !kept {
			out = c.codec.AppendCommand(out, statement.CommandReset, 0)
			messages++
			clear(c.values)
			clear(c.prepared)
			break
		}
	}
	for name, value := range values {
		if current, set := c.values[name]; set && current == value {
			continue
		}
		out = c.codec.AppendSet(out, name, value)
		messages++
		c.values[name] = value
	}
	return out, messages
}

// appendPrepare appends the required preparation unless it was done before. It
// returns the name that the upstream will confirm, or an empty one.
func (c *Conn) appendPrepare(out []byte) ([]byte, string) {
	wanted := c.setup.prepare
	c.setup.prepare = nil
	if wanted == nil || c.prepared[wanted.name] {
		return out, ""
	}
	return c.codec.AppendPrepare(out, wanted.name, wanted.readOnly, wanted.shape), wanted.name
}

// receiveAll reads a number of answers, each of which must be a success.
func (c *Conn) receiveAll(messages int, deadline time.Time) error {
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

// receivePrepared reads the answer to a preparation, unless name is empty. After
// one that failed, the upstream refuses the statement that needs it.
func (c *Conn) receivePrepared(name string, deadline time.Time) error {
	if name == "" {
		return nil
	}
	answer, err := c.Receive(deadline)
	if err != nil {
		return err
	}
	if answer.Reason == statement.Succeeded {
		c.prepared[name] = true
	}
	return nil
}
