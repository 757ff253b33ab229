package textback

import (
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
)

// ErrNotSent means that a statement was not sent, and thus has not run.
var ErrNotSent = errors.New("the statement was not sent")

// ErrNoFreeConnection means that no connection became free in time. It
// corresponds to REFUSAL_NO_ROOM in mesh.proto.
var ErrNoFreeConnection = errors.New("no connection is free")

// IsTimeout reports whether an exchange failed because no answer came in time.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}

// Link is a connection to an upstream for one unit of work. Conn is a
// connection of this instance; package textlend implements links over
// connections of other instances. Only one goroutine may use it.
type Link interface {
	// Lender returns the instance that the connection belongs to; empty for
	// this one.
	Lender() model.InstanceID
	// Codec returns the wire format of the upstream.
	Codec() statement.UpstreamCodec
	// SetSessionValues makes the session values of the connection equal to
	// values before the next Exchange.
	SetSessionValues(values map[string]string, deadline time.Time) error
	// Prepare makes sure that a statement is prepared before the next Exchange.
	Prepare(name string, readOnly bool, shape string, deadline time.Time) error
	// ForgetPrepared records that a statement is not prepared, so that the next
	// Prepare prepares it again.
	ForgetPrepared(name string)
	// Exchange sends a statement and reads its answer. After an error the link
	// must not be used again, and the statement may have run unless the error
	// is ErrNotSent.
	Exchange(data []byte, deadline time.Time) (*statement.Answer, error)
}

var _ Link = (*Conn)(nil)

// GetOptions says which connection is wanted, and how long to wait for it.
type GetOptions struct {
	Upstream model.UpstreamID
	// CheckAlive requests that a connection which has been idle for long must
	// answer the upstream's reset before it is used.
	CheckAlive bool
	// Deadline bounds the wait for a free connection.
	Deadline time.Time
}
