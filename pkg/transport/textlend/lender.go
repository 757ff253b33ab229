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
	// maxFrameBytes bounds a frame of a loan: a statement, or an answer with
	// its rows.
	maxFrameBytes = 10 << 20
	// roomWait bounds the wait for a connection that is free, and lendTimeout
	// that for one that has to be opened. The borrower asks the next holder
	// afterwards.
	roomWait    = 100 * time.Millisecond
	lendTimeout = 200 * time.Millisecond
	// maxTimeLeft bounds the time that a borrower may ask for.
	maxTimeLeft = time.Minute
	// idleLoan bounds the wait for the next statement of a transaction. The
	// borrower gives up sooner.
	idleLoan = time.Minute
)

// Local lends connections of this instance. textback.Pools implements it.
type Local interface {
	Get(ctx context.Context, use textback.GetOptions) (conn *textback.Conn, opened bool, err error)
	Put(conn *textback.Conn, reusable bool)
}

// Lender serves the units of work of other instances. It is safe for concurrent
// use.
type Lender struct {
	local    Local
	stopping atomic.Bool
	// plans is replaced whenever the holders change.
	plans atomic.Pointer[Plans]
	loans sync.WaitGroup
}

// NewLender returns a lender of connections that are held in local.
func NewLender(local Local) *Lender { return &Lender{local: local} }

// SetPlans names the upstreams whose connections are lent.
func (l *Lender) SetPlans(plans Plans) { l.plans.Store(&plans) }

// StopLending ends the lending: borrowers go to other holders.
func (l *Lender) StopLending() { l.stopping.Store(true) }

// Wait waits for the loans in progress until ctx ends.
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

// Serve serves one loan. It owns the stream.
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

// acquire takes a connection of this instance, or says why there is none.
func (l *Lender) acquire(ctx context.Context, open *meshpb.ForwardOpen) (*textback.Conn, meshpb.Refusal) {
	upstream := model.UpstreamID(open.GetUpstream())
	plans := l.plans.Load()
	switch {
	case l.stopping.Load():
		return nil, meshpb.Refusal_REFUSAL_STOPPING
	case plans == nil || !(*plans)[upstream].Lends():
		return nil, meshpb.Refusal_REFUSAL_NO_ROOM
	}
	wait := min(roomWait, timeLeft(open.GetDeadlineMs()))
	return l.getWithin(ctx, textback.GetOptions{
		Upstream: upstream, CheckAlive: !open.GetReadOnly(), Deadline: time.Now().Add(wait),
	})
}

// getWithin takes a connection within lendTimeout. One that comes later goes to
// the pool.
func (l *Lender) getWithin(ctx context.Context, use textback.GetOptions) (*textback.Conn, meshpb.Refusal) {
	got := make(chan *textback.Conn, 1)
	failed := make(chan error, 1)
	go func() {
		conn, _, err := l.local.Get(ctx, use)
		if err != nil {
			failed <- err
			return
		}
		got <- conn
	}()
	timer := time.NewTimer(lendTimeout)
	defer timer.Stop()
	select {
	case conn := <-got:
		return conn, meshpb.Refusal_REFUSAL_UNSPECIFIED
	case err := <-failed:
		return nil, refusalOf(err)
	case <-timer.C:
	}
	go l.putLate(got, failed)
	return nil, meshpb.Refusal_REFUSAL_UNREACHABLE
}

func (l *Lender) putLate(got <-chan *textback.Conn, failed <-chan error) {
	select {
	case conn := <-got:
		l.local.Put(conn, true)
	case <-failed:
	}
}

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

// timeLeft returns the time that a peer gave, in milliseconds.
func timeLeft(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(maxTimeLeft.Milliseconds()))) * time.Millisecond
}

// writeFrame writes a message by the deadline.
func writeFrame(stream net.Conn, message protoMessage, deadline time.Time) error {
	if err := stream.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(stream, message)
	return err
}

// loan is the use of one connection by a borrower.
type loan struct {
	conn   *textback.Conn
	stream net.Conn
	reader *bufio.Reader
	// state is that of the connection after the last answer.
	state statement.State
}

// serve carries out statements until the borrower ends the loan, and reports
// whether the connection can be used again.
func (l *loan) serve() bool {
	for {
		// A stream that is closed already says so in the read.
		_ = l.stream.SetReadDeadline(time.Now().Add(idleLoan))
		request := &meshpb.LoanRequest{}
		options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
		if options.UnmarshalFrom(l.reader, request) != nil {
			return l.state == statement.Idle
		}
		answer := l.carryOut(request)
		if writeFrame(l.stream, answer, time.Now().Add(maxTimeLeft)) != nil {
			return answer.GetFailure() == meshpb.LoanFailure_LOAN_FAILURE_UNSPECIFIED && l.state == statement.Idle
		}
		if answer.GetFailure() != meshpb.LoanFailure_LOAN_FAILURE_UNSPECIFIED {
			return false
		}
	}
}

// carryOut runs one statement.
func (l *loan) carryOut(request *meshpb.LoanRequest) *meshpb.LoanAnswer {
	deadline := time.Now().Add(timeLeft(request.GetTimeLeftMs()))
	if l.makeReady(request, deadline) != nil {
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

// makeReady gives the connection the session's values and the statement that is
// to be executed.
func (l *loan) makeReady(request *meshpb.LoanRequest, deadline time.Time) error {
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
