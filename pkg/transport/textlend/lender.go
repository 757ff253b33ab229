package textlend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
)

const (
	// maxFrameBytes bounds a message of a loan: a statement, or an answer with
	// its rows.
	maxFrameBytes = 10 << 20
	// freeConnTimeout bounds the wait for a free connection, and
	// openConnTimeout that for a connection which has to be opened. The
	// borrower asks the next lender afterwards.
	freeConnTimeout = 100 * time.Millisecond
	openConnTimeout = 200 * time.Millisecond
	// maxTimeLeft bounds the timeout that a borrower can ask for.
	maxTimeLeft = time.Minute
	// idleLoanTimeout bounds the wait for the next statement of a transaction.
	// The borrower rolls the transaction back sooner.
	idleLoanTimeout = time.Minute
)

// Local provides connections of this instance. It is implemented by
// textback.Pools.
type Local interface {
	Get(ctx context.Context, options textback.GetOptions) (conn *textback.Conn, opened bool, err error)
	Put(conn *textback.Conn, reusable bool)
}

// Lender runs units of work of other instances on connections of this one. It
// is safe for concurrent use.
type Lender struct {
	local    Local
	stopping atomic.Bool
	// plans is replaced whenever the lenders change.
	plans atomic.Pointer[Plans]
	loans sync.WaitGroup
}

// NewLender returns a lender of the connections in local.
func NewLender(local Local) *Lender { return &Lender{local: local} }

// SetPlans sets the plans, which name the upstreams whose connections are lent.
func (l *Lender) SetPlans(plans Plans) { l.plans.Store(&plans) }

// StopLending makes the lender refuse new loans, so that borrowers ask other
// lenders.
func (l *Lender) StopLending() { l.stopping.Store(true) }

// Wait waits until the loans in progress have ended, or until ctx ends.
func (l *Lender) Wait(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		l.loans.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// Serve serves one loan and closes its stream.
func (l *Lender) Serve(ctx context.Context, open *meshpb.ForwardOpen, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	l.loans.Add(1)
	defer l.loans.Done()
	conn, refusal := l.acquire(ctx, open)
	answerBy := time.Now().Add(readyTimeout)
	if refusal != meshpb.Refusal_REFUSAL_UNSPECIFIED {
		_ = writeFrame(stream, &meshpb.ForwardReady{Refusal: refusal}, answerBy)
		return
	}
	made := &loan{conn: conn, stream: stream, reader: bufio.NewReader(stream)}
	reusable := false
	if writeFrame(stream, &meshpb.ForwardReady{Accepted: true}, answerBy) == nil {
		reusable = made.serve()
	}
	l.local.Put(conn, reusable)
}

// acquire obtains a connection of this instance, or returns the reason for a
// refusal.
func (l *Lender) acquire(ctx context.Context, open *meshpb.ForwardOpen) (*textback.Conn, meshpb.Refusal) {
	upstream := model.UpstreamID(open.GetUpstream())
	plans := l.plans.Load()
	switch {
	case l.stopping.Load():
		return nil, meshpb.Refusal_REFUSAL_STOPPING
	case plans == nil || !(*plans)[upstream].Lends():
		return nil, meshpb.Refusal_REFUSAL_NO_ROOM
	}
	wait := min(freeConnTimeout, timeLeft(open.GetDeadlineMs()))
	return l.getWithin(ctx, textback.GetOptions{
		Upstream: upstream, CheckAlive: !open.GetReadOnly(), Deadline: time.Now().Add(wait),
	})
}

// getWithin obtains a connection within openConnTimeout. A connection that is
// obtained later is returned to the pool.
func (l *Lender) getWithin(ctx context.Context, options textback.GetOptions) (*textback.Conn, meshpb.Refusal) {
	got := make(chan *textback.Conn, 1)
	failed := make(chan error, 1)
	go func() {
		conn, _, err := l.local.Get(ctx, options)
		if err != nil {
			failed <- err
			return
		}
		got <- conn
	}()
	timer := time.NewTimer(openConnTimeout)
	defer timer.Stop()
	select {
	case conn := <-got:
		return conn, meshpb.Refusal_REFUSAL_UNSPECIFIED
	case err := <-failed:
		return nil, refusalOf(err)
	case <-timer.C:
	}
	go l.returnLate(got, failed)
	return nil, meshpb.Refusal_REFUSAL_UNREACHABLE
}

// returnLate returns a connection that was obtained too late.
func (l *Lender) returnLate(got <-chan *textback.Conn, failed <-chan error) {
	select {
	case conn := <-got:
		l.local.Put(conn, true)
	case <-failed:
	}
}

// refusalOf returns the refusal for an error of Local.Get.
func refusalOf(err error) meshpb.Refusal {
	switch {
	case errors.Is(err, textback.ErrNoFreeConnection):
		return meshpb.Refusal_REFUSAL_NO_ROOM
	case textback.IsTooManyConnections(err):
		return meshpb.Refusal_REFUSAL_FULL
	default:
		return meshpb.Refusal_REFUSAL_UNREACHABLE
	}
}

// timeLeft converts a timeout in milliseconds that a peer sent.
func timeLeft(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond
}

// writeFrame writes a message with its length, by the deadline.
func writeFrame(stream net.Conn, message protoMessage, deadline time.Time) error {
	if err := stream.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(stream, message)
	return err
}

// loan is a borrower's use of one connection.
type loan struct {
	conn   *textback.Conn
	stream net.Conn
	reader *bufio.Reader
	// state is the state of the connection after the last answer.
	state statement.State
}

// serve executes statements until the borrower ends the loan. It reports
// whether the connection can be used again.
func (l *loan) serve() bool {
	for {
		// If the stream is already closed, the read below fails.
		_ = l.stream.SetReadDeadline(time.Now().Add(idleLoanTimeout))
		request := &meshpb.LoanRequest{}
		options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
		if options.UnmarshalFrom(l.reader, request) != nil {
			return l.state == statement.Idle
		}
		answer := l.execute(request)
		if writeFrame(l.stream, answer, time.Now().Add(maxTimeLeft)) != nil {
			return answer.GetFailure() == meshpb.LoanFailure_LOAN_FAILURE_UNSPECIFIED && l.state == statement.Idle
		}
		if answer.GetFailure() != meshpb.LoanFailure_LOAN_FAILURE_UNSPECIFIED {
			return false
		}
	}
}

// execute executes one statement on the connection.
func (l *loan) execute(request *meshpb.LoanRequest) *meshpb.LoanAnswer {
	deadline := time.Now().Add(timeLeft(request.GetTimeLeftMs()))
	if l.prepareConn(request, deadline) != nil {
		return &meshpb.LoanAnswer{Failure: meshpb.LoanFailure_LOAN_FAILURE_NOT_SENT}
	}
	answer, err := l.conn.Exchange(request.GetStatement(), deadline)
	if textback.IsTimeout(err) {
		return &meshpb.LoanAnswer{Failure: meshpb.LoanFailure_LOAN_FAILURE_TIMED_OUT}
	}
	if err != nil {
		return &meshpb.LoanAnswer{Failure: meshpb.LoanFailure_LOAN_FAILURE_LOST}
	}
	l.state = answer.State
	return encodeAnswer(answer)
}

// prepareConn sets the session values on the connection, and prepares the
// statement that is to be executed.
func (l *loan) prepareConn(request *meshpb.LoanRequest, deadline time.Time) error {
	if err := l.conn.SetSessionValues(request.GetValues(), deadline); err != nil {
		return err
	}
	prepared := request.GetPrepared()
	if prepared == nil {
		return nil
	}
	if prepared.GetForget() {
		l.conn.ForgetPrepared(prepared.GetName())
	}
	return l.conn.Prepare(prepared.GetName(), prepared.GetReadOnly(), prepared.GetShape(), deadline)
}
