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

// borrowedLink is a link over a connection of a lender. Session values and
// prepared statements are sent along with each statement.
type borrowedLink struct {
	borrower   *Borrower
	lenderPath lenderPath
	stream     net.Conn
	reader     *bufio.Reader
	values     map[string]string
	prepared   *meshpb.LoanPrepared
	// forget names a statement that the upstream answered is not prepared.
	forget string
}

var _ textback.Link = (*borrowedLink)(nil)

// Lender returns the instance that the connection belongs to.
func (l *borrowedLink) Lender() model.InstanceID { return l.lenderPath.lender }

// Codec returns the wire format of the upstream.
func (l *borrowedLink) Codec() statement.UpstreamCodec { return l.borrower.codec }

// SetSessionValues stores the session values for the next Exchange.
func (l *borrowedLink) SetSessionValues(values map[string]string, _ time.Time) error {
	l.values = maps.Clone(values)
	return nil
}

// Prepare stores the prepared statement for the next Exchange.
func (l *borrowedLink) Prepare(name string, readOnly bool, shape string, _ time.Time) error {
	l.prepared = &meshpb.LoanPrepared{Name: name, ReadOnly: readOnly, Shape: shape, Forget: l.forget == name}
	l.forget = ""
	return nil
}

// ForgetPrepared makes the next Prepare of the statement prepare it again.
func (l *borrowedLink) ForgetPrepared(name string) { l.forget = name }

// Exchange makes the lender execute a statement, and reads its answer.
func (l *borrowedLink) Exchange(data []byte, deadline time.Time) (*statement.Answer, error) {
	request := &meshpb.LoanRequest{
		Values: l.values, Prepared: l.prepared, Statement: data,
		TimeLeftMs: uint64(max(time.Until(deadline), 0).Milliseconds()),
	}
	l.prepared = nil
	if err := writeFrame(l.stream, request, deadline); err != nil {
		return nil, l.exchangeFailed(err)
	}
	answer := &meshpb.LoanAnswer{}
	if err := l.stream.SetReadDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "set the deadline for the answer of the lender")
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(l.reader, answer); err != nil {
		return nil, l.exchangeFailed(err)
	}
	switch answer.GetFailure() {
	case meshpb.LoanFailure_LOAN_FAILURE_UNSPECIFIED:
		return decodeAnswer(answer), nil
	case meshpb.LoanFailure_LOAN_FAILURE_NOT_SENT:
		return nil, textback.ErrNotSent
	case meshpb.LoanFailure_LOAN_FAILURE_TIMED_OUT:
		return nil, errors.Wrap(os.ErrDeadlineExceeded, "answer of the lender's upstream")
	default:
		return nil, textback.ErrBroken
	}
}

// exchangeFailed excludes a lender whose stream has failed. A timeout does not
// count, since the upstream may have caused it.
func (l *borrowedLink) exchangeFailed(err error) error {
	if !textback.IsTimeout(err) {
		l.borrower.avoid(lenderPath{lender: l.lenderPath.lender}, err.Error())
	}
	return errors.Wrap(err, "execute a statement through the lender")
}

// close ends the loan. The lender closes the connection if a transaction is
// open on it.
func (l *borrowedLink) close() { _ = l.stream.Close() }
