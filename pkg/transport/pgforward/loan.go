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

// Limits of a loan.
const (
	// answerFlushBytes is the size of buffered answers from which they are written.
	answerFlushBytes = 12 << 10
	cancelTimeout    = 2 * time.Second
)

// statusIdle is the transaction status in ReadyForQuery outside a transaction.
const statusIdle = 'I'

// loan is the use of one connection by a borrower. One goroutine relays requests to
// the upstream, another relays answers to the borrower.
type loan struct {
	backend pgback.Backend
	stream  net.Conn
	wire    *pgproto3.Backend

	mu sync.Mutex
	// unanswered counts requests whose ReadyForQuery has not arrived yet.
	unanswered int
	// status is the transaction status of the last ReadyForQuery.
	status byte
	// returned is true once the borrower has given the connection back.
	returned bool
	// dirty is true when the connection must be reset before its next use.
	dirty bool
	// cancelPending is true when a cancel request may still reach the upstream.
	cancelPending bool
}

func newLoan(backend pgback.Backend, stream net.Conn) *loan {
	wire := pgproto3.NewBackend(stream, nil)
	wire.SetMaxBodyLen(maxMessageBytes)
	return &loan{backend: backend, stream: stream, wire: wire, status: statusIdle}
}

// errReturned means that the borrower has returned the connection.
var errReturned = errors.New("connection returned by the borrower")

// run relays messages until either side ends and returns how the connection may be
// reused.
func (l *loan) run() pgback.Reuse {
	answers := make(chan error, 1)
	go func() {
		answers <- l.relayAnswers()
		// Closing the stream tells the borrower at once that the upstream is lost.
		_ = l.stream.Close()
	}()
	if err := l.relayRequests(); !errors.Is(err, errReturned) {
		l.cancelRunning()
	}
	// A deadline in the past ends the read of relayAnswers.
	if l.backend.SetDeadline(time.Unix(1, 0)) != nil {
		return pgback.ReuseNever
	}
	return l.reuse(<-answers)
}

// reuse returns how the connection may be reused after relayAnswers ended with err.
// It is only reused if that was the deadline set by run.
func (l *loan) reuse(err error) pgback.Reuse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var network net.Error
	isInterrupted := errors.As(err, &network) && network.Timeout()
	isIdle := l.unanswered == 0 && l.status == statusIdle
	switch {
	case !l.returned || !isIdle || !isInterrupted || l.cancelPending:
		return pgback.ReuseNever
	case l.dirty:
		return pgback.ReuseAfterReset
	default:
		return pgback.ReuseClean
	}
}

// relayRequests relays the borrower's messages to the upstream.
func (l *loan) relayRequests() error {
	for {
		message, err := l.wire.Receive()
		if err != nil {
			return err
		}
		if err := l.relayRequest(message); err != nil {
			return err
		}
	}
}

// relayRequest relays one message, or carries out a command to the lender.
func (l *loan) relayRequest(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		l.update(func() { l.returned = true })
		return errReturned
	case *pgproto3.CopyDone:
		l.update(func() { l.dirty = true })
		return nil
	case *pgproto3.CopyFail:
		l.cancel()
		return nil
	case *pgproto3.Parse:
		// The pool has no record of named statements that the borrower prepares.
		l.update(func() { l.dirty = l.dirty || message.Name != "" })
	case *pgproto3.Query, *pgproto3.Sync:
		l.update(func() { l.unanswered++ })
		l.backend.Send(message)
		return l.backend.Flush()
	case *pgproto3.Flush:
		l.backend.Send(message)
		return l.backend.Flush()
	}
	l.backend.Send(message)
	return nil
}

// update runs change with mu held.
func (l *loan) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// cancel asks the upstream to cancel the running statement.
func (l *loan) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if l.backend.Cancel(ctx) != nil {
		l.update(func() { l.cancelPending = true })
	}
}

// cancelRunning tries to cancel the running statement, if any, of a borrower that
// is gone.
func (l *loan) cancelRunning() {
	l.mu.Lock()
	isRunning := l.unanswered > 0
	l.mu.Unlock()
	if isRunning {
		l.cancel()
	}
}

// relayAnswers relays the upstream's messages to the borrower until either fails.
func (l *loan) relayAnswers() error {
	output := make([]byte, 0, answerFlushBytes)
	for {
		message, err := l.backend.Receive()
		if err != nil {
			return err
		}
		output, err = message.Encode(output)
		if err != nil {
			return errors.Wrap(err, "encode answer")
		}
		if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
			l.update(func() {
				l.unanswered--
				l.status = ready.TxStatus
			})
		}
		if isFollowedByMore(message) && len(output) < answerFlushBytes {
			continue
		}
		if _, err := l.stream.Write(output); err != nil {
			return errors.Wrap(err, "write answer to borrower")
		}
		output = output[:0]
	}
}

// isFollowedByMore reports whether another message always follows this one, so that
// writing it can wait.
func isFollowedByMore(message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.DataRow, *pgproto3.ParameterDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		return true
	default:
		return false
	}
}
