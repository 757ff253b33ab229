// Package statement holds the statements of a session and the answers of an
// upstream, free of any wire format. A Codec of a wire format translates them.
package statement

import (
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Kind says what a statement does.
type Kind uint8

// The kinds of statement.
const (
	// Unknown is a statement that cannot be read. It is never passed on.
	Unknown Kind = iota
	Begin
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
)

// String returns the kind as it stands in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"unknown", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}
	return names[k]
}

// Request is one statement of a caller.
type Request struct {
	// ID is the caller's own name of the request.
	ID   string
	Kind Kind
	// Text is the statement as it came, which is what an upstream gets.
	Text string
	// ReadOnly is set for a Begin of a transaction that only reads, and for a
	// Prepare of a statement that only reads.
	ReadOnly bool
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is the session value of a Set, the shape of a Prepare, and the
	// parameters of an Execute.
	Value string
}

// Start opens a session.
type Start struct {
	// Database is the database that the caller asks for.
	Database string
	Caller   string
}

// State is the state of a session between two statements.
type State uint8

// The states of a session.
const (
	Idle State = iota
	InTransaction
	// TransactionFailed is a transaction that can only be ended.
	TransactionFailed
)

// Reason is why an upstream did not carry out a statement.
type Reason uint8

// The reasons of upstreams.
const (
	// Succeeded means that the statement was carried out.
	Succeeded Reason = iota
	// Busy means that all slots and the queue of the upstream are taken.
	Busy
	// Lagging means that the upstream's log lacks the position asked for.
	Lagging
	// NotWritable means that the upstream is not the primary.
	NotWritable
	// WrongUpstream means that another upstream answers at the address.
	WrongUpstream
	// TooManyConnections means that the upstream takes no further connection.
	TooManyConnections
	// NotPrepared means that the connection has no such prepared statement.
	NotPrepared
	// StatementFailed means that the statement ran and failed.
	StatementFailed
	// TimedOut means that the statement ran too long.
	TimedOut
	// Malformed means that the upstream could not read the statement, or that
	// the state of the connection does not allow it.
	Malformed
	// Other stands for every reason that is not listed.
	Other
)

// Outcome returns what is known of a statement that got the reason.
func (r Reason) Outcome() verdict.Outcome {
	switch r {
	case Busy, Lagging, NotWritable, WrongUpstream, TooManyConnections, NotPrepared, Malformed:
		return verdict.NotRun
	case Succeeded, StatementFailed:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

// String returns the reason as it stands in logs and metrics.
func (r Reason) String() string {
	names := [...]string{
		"ok", "busy", "lagging", "not writable", "wrong upstream", "too many connections",
		"not prepared", "failed", "timed out", "malformed", "other",
	}
	return names[r]
}

// Answer is what an upstream said to one statement.
type Answer struct {
	// Rows holds the row messages as they came.
	Rows [][]byte
	// Signature is the upstream's proof that it carried the statement out.
	Signature string
	Reason    Reason
	// Detail is the upstream's text for a reason other than Succeeded.
	Detail string
	State  State
	// Position is the place in the log that the upstream has applied; zero if
	// it gave none.
	Position model.Position
}

// Failure is the answer to a statement that was not carried out.
type Failure struct {
	Code FailureCode
	Text string
}

// FailureCode is the cause that a caller is told. Those marked as a promise
// say that nothing of the operation is kept.
type FailureCode uint8

// The causes that callers are told.
const (
	// FailOverloaded is a promise: there is no room for the statement.
	FailOverloaded FailureCode = iota
	// FailAborted is a promise: the transaction was rolled back.
	FailAborted
	// FailReadOnly is a promise: the transaction may not write.
	FailReadOnly
	// FailTimeout says nothing on whether a read has run.
	FailTimeout
	// FailUnknown says that a write may or may not be kept.
	FailUnknown
	// FailStatement is an upstream's own failure of the statement.
	FailStatement
	// FailNotPrepared names a prepared statement that does not exist.
	FailNotPrepared
	// FailNoDatabase names a database that no route leads to.
	FailNoDatabase
	// FailMalformed is a statement that cannot be read or is out of place.
	FailMalformed
	// FailTooLarge is a message above the limit.
	FailTooLarge
)

// String returns the cause as it stands in logs and metrics.
func (c FailureCode) String() string {
	names := [...]string{
		"overloaded", "aborted", "read only", "timeout", "unknown outcome", "statement failed",
		"not prepared", "no database", "malformed", "too large",
	}
	return names[c]
}

// MaxMessageBytes bounds one message of either side.
const MaxMessageBytes = 1 << 20

// Message is one message of an upstream.
type Message struct {
	Kind MessageKind
	// Row is the whole row message, for MessageRow; it aliases the input.
	Row []byte
	// Signature is set for MessageComplete.
	Signature string
	// Reason and Detail are set for MessageError.
	Reason Reason
	Detail string
	// State and Position are set for MessageReady.
	State    State
	Position model.Position
}

// MessageKind tells the messages of an upstream apart.
type MessageKind uint8

// The messages of an upstream.
const (
	MessageRow MessageKind = iota
	MessageComplete
	MessageError
	MessageReady
)

// Status is what an upstream says of itself.
type Status struct {
	Primary bool
	// Term is the newest term that the upstream leads or follows.
	Term uint32
	// Received is the place up to which it has received the log.
	Received model.Position
	// Lag is how far a replica applies behind what it received, in
	// milliseconds.
	LagMilliseconds int64
}

// Command is a request to an upstream that is no statement of a caller.
type Command uint8

// The orders.
const (
	// CommandStatus changes nothing.
	CommandStatus Command = iota
	// CommandStepDown makes a primary of a lower term a replica.
	CommandStepDown
	// CommandReset clears session values and prepared statements.
	CommandReset
)

// CallerCodec is the wire format towards callers. Messages are lines.
type CallerCodec interface {
	// ParseStart reads the first line of a connection.
	ParseStart(line []byte) (Start, error)
	// ParseRequest reads a later line. last is true for the end of the
	// session. A statement that cannot be read has the kind Unknown.
	ParseRequest(line []byte) (request Request, last bool, err error)
	AppendReady(out []byte, state State) []byte
	AppendComplete(out []byte, signature string) []byte
	AppendFailure(out []byte, failure Failure) []byte
}

// UpstreamCodec is the wire format towards upstreams. Messages are lines.
type UpstreamCodec interface {
	// AppendStart opens a connection to the upstream of the group.
	AppendStart(out []byte, group model.GroupID, caller string, upstream model.UpstreamID) []byte
	// AppendRequest sends a statement unchanged but for the position that the
	// upstream must have applied, which may be zero.
	AppendRequest(out []byte, request Request, since model.Position) []byte
	// AppendExecute sends an Execute under another prepared name.
	AppendExecute(out []byte, request Request, name string, since model.Position) []byte
	// AppendBegin, AppendSet, AppendPrepare and AppendRollback send statements
	// of the proxy's own.
	AppendBegin(out []byte, readOnly bool, since model.Position) []byte
	AppendRollback(out []byte) []byte
	AppendSet(out []byte, name, value string) []byte
	AppendPrepare(out []byte, name string, readOnly bool, shape string) []byte
	AppendCommand(out []byte, order Command, term uint32) []byte
	ParseMessage(line []byte) (Message, error)
	// ParseStatus reads the row of an answer to AskStatus.
	ParseStatus(row []byte) (Status, error)
}
