package textlend

import (
	"bufio"
	"maps"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/transport/textback"
)

// remote is a link over a connection of another instance. What the connection
// needs goes out with each statement.
type remote struct {
	borrower *Borrower
	way      way
	stream   net.Conn
	reader   *bufio.Reader
	values   map[string]string
	prepared *meshpb.LoanPrepared
	// forget names a statement that the upstream said is not prepared.
	forget string
}

var _ textback.Link = (*remote)(nil)

// Lender returns the holder of the connection.
func (r *remote) Lender() model.InstanceID { return r.way.holder }

// Codec returns the wire format of the upstream.
func (r *remote) Codec() statement.UpstreamCodec { return r.borrower.codec }

// SetSessionValues keeps the session values for the next Exchange.
func (r *remote) SetSessionValues(values map[string]string, _ time.Time) error {
	r.values = maps.Clone(values)
	return nil
}

// Prepare keeps the statement for the next Exchange.
func (r *remote) Prepare(name string, readOnly bool, shape string, _ time.Time) error {
	r.prepared = &meshpb.LoanPrepared{Name: name, ReadOnly: readOnly, Shape: shape, Forget: r.forget == name}
	r.forget = ""
	return nil
}

// ForgetPrepared makes the next Prepare of the statement prepare it anew.
func (r *remote) ForgetPrepared(name string) { r.forget = name }

// Exchange has the holder send a statement, and reads its answer.
func (r *remote) Exchange(data []byte, deadline time.Time) (*statement.Answer, error) {
	request := &meshpb.LoanRequest{
		Values: r.values, Prepared: r.prepared, Statement: data,
		TimeLeftMs: uint64(max(time.Until(deadline), 0).Milliseconds()),
	}
	r.prepared = nil
	if err := writeFrame(r.stream, request, deadline); err != nil {
		return nil, r.lost(err)
	}
	answer := &meshpb.LoanAnswer{}
	if err := r.stream.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "answer of the holder")
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(r.reader, answer); err != nil {
		return nil, r.lost(err)
	}
	switch answer.GetFailure() {
	case meshpb.LoanFailure_LOAN_FAILURE_UNSPECIFIED:
		return decodeAnswer(answer), nil
	case meshpb.LoanFailure_LOAN_FAILURE_NOT_SENT:
		return nil, textback.ErrNotSent
	case meshpb.LoanFailure_LOAN_FAILURE_TIMED_OUT:
		return nil, errors.Wrap(os.ErrDeadlineExceeded, "upstream of the holder")
	default:
		return nil, textback.ErrBroken
	}
}

// lost notes a holder whose stream has ended. Silence may be the upstream's.
func (r *remote) lost(err error) error {
	if !textback.IsTimeout(err) {
		r.borrower.avoid(way{holder: r.way.holder}, err.Error())
	}
	return errors.Wrap(err, "statement at the holder")
}

// close ends the loan. The holder closes the connection unless it is idle.
func (r *remote) close() { _ = r.stream.Close() }
