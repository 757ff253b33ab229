package textback

import (
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
)

// ErrNotSent means that a statement did not leave the proxy: it has not run.
var ErrNotSent = errors.New("the statement was not sent")

// ErrNoFreeConnection means that no connection became free in time.
var ErrNoFreeConnection = errors.New("no connection is free")

// IsTimeout reports whether an exchange ended since no answer came in time.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &network) && network.Timeout()
}

// Link is a connection to an upstream for one unit of work. Conn is one of this
// instance; package textlend has those of others. It belongs to one goroutine.
type Link interface {
	// Lender returns the instance that holds the connection; empty for this one.
	Lender() model.InstanceID
	// Codec returns the wire format of the upstream.
	Codec() statement.UpstreamCodec
	// SetSessionValues gives the connection the session values, and only these, before the
	// next Exchange.
	SetSessionValues(values map[string]string, deadline time.Time) error
	// Prepare makes sure that a statement is prepared before the next Exchange.
	Prepare(name string, readOnly bool, shape string, deadline time.Time) error
	// ForgetPrepared drops the knowledge that a statement is prepared.
	ForgetPrepared(name string)
	// Exchange sends a statement and reads its answer. After an error the link
	// must not be used again, and the statement may have run unless the error
	// is ErrNotSent.
	Exchange(data []byte, deadline time.Time) (*statement.Answer, error)
}

var _ Link = (*Conn)(nil)

// GetOptions says what a link is wanted for.
type GetOptions struct {
	Upstream model.UpstreamID
	// CheckAlive asks for a sign of life of a connection that has long been idle.
	CheckAlive bool
	// Deadline bounds the wait for a connection.
	Deadline time.Time
}
