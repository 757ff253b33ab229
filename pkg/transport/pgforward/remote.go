package pgforward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"gypsumdock/pkg/transport/pgback"
)

// remote is a borrowed connection of a peer. It implements pgback.Backend.
type remote struct {
	stream   net.Conn
	frontend *pgproto3.Frontend
	output   []byte
	// err is the first error in encoding a message.
	err error
	// prepared holds the names of the statements that this unit has prepared.
	// Others that the connection may have are not known here.
	prepared map[string]struct{}

	// mu serializes the writes of Cancel, Flush and Release.
	mu sync.Mutex
}

var _ pgback.Backend = (*remote)(nil)

// Send appends message to the output buffer.
func (r *remote) Send(message pgproto3.FrontendMessage) {
	if r.err != nil {
		return
	}
	output, err := message.Encode(r.output)
	if err != nil {
		r.err = err
		return
	}
	r.output = output
}

// Flush writes the output buffer.
func (r *remote) Flush() error {
	if r.err != nil {
		return errors.Wrap(r.err, "encode")
	}
	err := r.write(r.output)
	r.output = r.output[:0]
	return err
}

func (r *remote) write(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := r.stream.Write(data)
	return err
}

// Receive returns the next message of the upstream.
func (r *remote) Receive() (pgproto3.BackendMessage, error) { return r.frontend.Receive() }

// SetDeadline bounds Flush and Receive.
func (r *remote) SetDeadline(at time.Time) error { return r.stream.SetDeadline(at) }

// UsePrepared records the use of a prepared statement by this unit.
func (r *remote) UsePrepared(name string) pgback.PreparedState {
	_, known := r.prepared[name]
	r.prepared[name] = struct{}{}
	return pgback.PreparedState{Known: known}
}

// ForgetPrepared records that a statement is not prepared.
func (r *remote) ForgetPrepared(name string) { delete(r.prepared, name) }

// Cancel asks the lender to cancel the running statement. The lender relays no later
// message before the upstream has processed the request.
func (r *remote) Cancel(context.Context) error {
	return r.writeMessage(&pgproto3.CopyFail{})
}

func (r *remote) writeMessage(message pgproto3.FrontendMessage) error {
	encoded, err := message.Encode(nil)
	if err != nil {
		return err
	}
	return r.write(encoded)
}

// Release returns the connection to the lender.
func (r *remote) Release(reuse pgback.Reuse) {
	defer r.stream.Close()
	if reuse == pgback.ReuseNever {
		return
	}
	if r.stream.SetDeadline(time.Now().Add(releaseTimeout)) != nil {
		return
	}
	if reuse == pgback.ReuseAfterReset && r.writeMessage(&pgproto3.CopyDone{}) != nil {
		return
	}
	_ = r.writeMessage(&pgproto3.Terminate{})
}

// releaseTimeout bounds writing the last messages of a unit.
const releaseTimeout = time.Second
