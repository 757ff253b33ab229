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

// Sizes and bounds of a loan.
const (
	// answerFlush is the fill, in bytes, at which answers are written.
	answerFlush   = 12 << 10
	cancelTimeout = 2 * time.Second
)

// Transaction status of an idle connection in ReadyForQuery.
const statusIdle = 'I'

// loan is the use of one connection by a borrower. One goroutine carries
// messages to the upstream, another its answers.
type loan struct {
	backend pgback.Backend
	stream  net.Conn
	wire    *pgproto3.Backend

	mu sync.Mutex
	// unanswered counts requests whose ReadyForQuery is to come.
	unanswered int
	// status is that of the last ReadyForQuery.
	status byte
	// returned is true once the borrower has given the connection back.
	returned bool
	// dirty is true when the connection must be reset.
	dirty bool
	// unsure is true when a cancel request may still arrive.
	unsure bool
}

func newLoan(backend pgback.Backend, stream net.Conn) *loan {
	wire := pgproto3.NewBackend(stream, nil)
	wire.SetMaxBodyLen(maxMessage)
	return &loan{backend: backend, stream: stream, wire: wire, status: statusIdle}
}

// errReturned ends the loan in good order.
var errReturned = errors.New("returned")

// run carries messages until either side ends, and returns what may happen to
// the connection next.
func (l *loan) run() pgback.Reuse {
	answers := make(chan error, 1)
	go func() {
		answers <- l.carryAnswers()
		// The borrower learns at once that the upstream is lost.
		_ = l.stream.Close()
	}()
	if err := l.carryRequests(); !errors.Is(err, errReturned) {
		l.cancelRunning()
	}
	// The wait for an answer that will not come is over.
	if l.backend.SetDeadline(time.Unix(1, 0)) != nil {
		return pgback.ReuseNever
	}
	return l.reuse(<-answers)
}

// reuse says what may happen to the connection after answers ended with err.
func (l *loan) reuse(err error) pgback.Reuse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var network net.Error
	isInterrupted := errors.As(err, &network) && network.Timeout()
	isIdle := l.unanswered == 0 && l.status == statusIdle
	switch {
	case !l.returned || !isIdle || !isInterrupted || l.unsure:
		return pgback.ReuseNever
	case l.dirty:
		return pgback.ReuseAfterReset
	default:
		return pgback.ReuseClean
	}
}

// carryRequests carries the borrower's messages to the upstream.
func (l *loan) carryRequests() error {
	for {
		message, err := l.wire.Receive()
		if err != nil {
			return err
		}
		if err := l.carryRequest(message); err != nil {
			return err
		}
	}
}

func (l *loan) carryRequest(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Terminate:
		l.note(func() { l.returned = true })
		return errReturned
	case *pgproto3.CopyDone:
		l.note(func() { l.dirty = true })
		return nil
	case *pgproto3.CopyFail:
		l.cancel()
		return nil
	case *pgproto3.Parse:
		// The pool does not know of the borrower's statements.
		l.note(func() { l.dirty = l.dirty || message.Name != "" })
	case *pgproto3.Query, *pgproto3.Sync:
		l.note(func() { l.unanswered++ })
		l.backend.Send(message)
		return l.backend.Flush()
	case *pgproto3.Flush:
		l.backend.Send(message)
		return l.backend.Flush()
	}
	l.backend.Send(message)
	return nil
}

func (l *loan) note(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *loan) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if l.backend.Cancel(ctx) != nil {
		l.note(func() { l.unsure = true })
	}
}

// cancelRunning ends a statement whose borrower is gone, as far as that
// succeeds.
func (l *loan) cancelRunning() {
	l.mu.Lock()
	isRunning := l.unanswered > 0
	l.mu.Unlock()
	if isRunning {
		l.cancel()
	}
}

// carryAnswers carries the upstream's messages to the borrower.
func (l *loan) carryAnswers() error {
	output := make([]byte, 0, answerFlush)
	for {
		message, err := l.backend.Receive()
		if err != nil {
			return err
		}
		output, err = message.Encode(output)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
			l.note(func() {
				l.unanswered--
				l.status = ready.TxStatus
			})
		}
		if isPartOfRun(message) && len(output) < answerFlush {
			continue
		}
		if _, err := l.stream.Write(output); err != nil {
			return errors.Wrap(err, "borrower")
		}
		output = output[:0]
	}
}

// isPartOfRun reports whether more messages surely follow, so that writing can
// wait.
func isPartOfRun(message pgproto3.BackendMessage) bool {
	switch message.(type) {
	case *pgproto3.DataRow, *pgproto3.ParameterDescription, *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		return true
	default:
		return false
	}
}
