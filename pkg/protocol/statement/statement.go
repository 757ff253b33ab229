// Package statement defines the statements of a session and the answers of an
// upstream independently of the wire format. A CallerCodec and an UpstreamCodec
// translate them to and from a wire format.
package statement

import (
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/verdict"
)

// Kind is the kind of a statement.
type Kind uint8

// The kinds of statement.
const (
	// Unknown is a statement that cannot be parsed. It is never sent to an upstream.
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

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"unknown", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}
	return names[k]
}

// Request is one statement of a caller.
type Request struct {
	// ID is the request's identifier, chosen by the caller.
	ID   string
	Kind Kind
	// Text is the statement as the caller sent it. It is sent to upstreams
	// unchanged.
	Text string
	// ReadOnly is true for the Begin of a read-only transaction and the Prepare of
	// a statement that only reads.
	ReadOnly bool
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the session value of a Set, the text of a Prepare (its shape), or
	// the parameters of an Execute.
	Value string
}

// Start is the request that opens a session.
type Start struct {
	// Database is the database that the caller requests.
	Database string
	// Key is the digest of the access key with which the caller identifies its
	// account.
	Key model.KeyDigest
	// KeyFault says, as a text for the caller, why what was sent cannot be an
	// access key; empty if it can. It does not contain what was sent.
	KeyFault string
}

// State is the state of a session between two statements.
type State uint8

// The states of a session.
const (
	Idle State = iota
	InTransaction
	// TransactionFailed is a transaction that can only be ended, as a statement in
	// it has failed.
	TransactionFailed
)

// Reason is the result of a statement: Succeeded, or why an upstream did not execute
// it successfully.
type Reason uint8

// The results of statements.
const (
	// Succeeded means that the statement was executed.
	Succeeded Reason = iota
	// Busy means that all slots of the upstream are in use and its queue is full.
	Busy
	// Lagging means that the upstream has not applied the required log position.
	Lagging
	// NotWritable means that the upstream is not the primary.
	NotWritable
	// WrongUpstream means that another upstream than expected has the address.
	WrongUpstream
	// TooManyConnections means that the upstream accepts no further connection.
	TooManyConnections
	// NotPrepared means that the connection has no such prepared statement.
	NotPrepared
	// StatementFailed means that the statement ran and failed.
	StatementFailed
	// TimedOut means that the statement exceeded the upstream's time limit.
	TimedOut
	// Malformed means that the upstream could not parse the statement, or that the
	// state of the connection does not allow it.
	Malformed
	// Other is any reason that is not listed.
	Other
)

// Outcome returns whether a statement with this result was executed.
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

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	names := [...]string{
		"ok", "busy", "lagging", "not writable", "wrong upstream", "too many connections",
		"not prepared", "failed", "timed out", "malformed", "other",
	}
	return names[r]
}

// Answer is an upstream's complete answer to one statement.
type Answer struct {
	// Rows holds the row messages as the upstream sent them.
	Rows [][]byte
	// Signature is the upstream's proof that it executed the statement.
	Signature string
	Reason    Reason
	// Detail is the upstream's text for a reason other than Succeeded.
	Detail string
	State  State
	// Position is the log position that the upstream has applied; zero if the
	// answer has none.
	Position model.Position
}

// Failure is the answer to a caller whose statement was not executed successfully.
type Failure struct {
	Code FailureCode
	Text string
}

// FailureCode is the cause of a failure as the caller gets it. Codes marked as
// definite guarantee that the operation has no lasting effect.
type FailureCode uint8

// The codes that callers get.
const (
	// FailOverloaded is definite: there is no capacity for the statement.
	FailOverloaded FailureCode = iota
	// FailAborted is definite: the transaction was rolled back.
	FailAborted
	// FailReadOnly is definite: the transaction may not write.
	FailReadOnly
	// FailTimeout means that a read took too long; it may have run.
	FailTimeout
	// FailUnknown means that a write may or may not have taken effect.
	FailUnknown
	// FailStatement means that the statement ran and failed at the upstream.
	FailStatement
	// FailNotPrepared means that the prepared statement does not exist.
	FailNotPrepared
	// FailNoDatabase means that no route leads to the database.
	FailNoDatabase
	// FailMalformed means that the statement cannot be parsed or is not allowed in
	// the state of the session.
	FailMalformed
	// FailTooLarge means that the message exceeds the limit.
	FailTooLarge
	// FailDenied is definite: the caller's access key is not valid.
	FailDenied
)

// String returns the name of the code in logs and metrics.
func (c FailureCode) String() string {
	names := [...]string{
		"overloaded", "aborted", "read only", "timeout", "unknown outcome", "statement failed",
		"not prepared", "no database", "malformed", "too large", "denied",
	}
	return names[c]
}

// MaxMessageBytes bounds one message of a caller or an upstream.
const MaxMessageBytes = 1 << 20

// Message is one message of an upstream.
type Message struct {
	Kind MessageKind
	// Row is the complete row message and set for MessageRow. It shares memory with
	// the parsed line.
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

// MessageKind is the kind of a message of an upstream.
type MessageKind uint8

// The messages of an upstream.
const (
	MessageRow MessageKind = iota
	MessageComplete
	MessageError
	MessageReady
)

// Status is the state that an upstream reports.
type Status struct {
	Primary bool
	// Term is the newest term in which the upstream is a primary or a replica.
	Term uint32
	// Received is the position up to which the upstream has received the log.
	Received model.Position
	// LagMilliseconds is the time by which the applied log is behind the received
	// log on a replica.
	LagMilliseconds int64
}

// Command is a request to an upstream that is no statement of a caller.
type Command uint8

// The commands.
const (
	// CommandStatus queries the Status.
	CommandStatus Command = iota
	// CommandStepDown makes a primary of a lower term a replica.
	CommandStepDown
	// CommandReset clears session values and prepared statements.
	CommandReset
)

// CallerCodec is the wire format towards callers. Messages are lines.
type CallerCodec interface {
	// ParseStart parses the first line of a connection.
	ParseStart(line []byte) (Start, error)
	// ParseRequest parses a later line. last is true for the message that ends the
	// session. A statement that cannot be parsed has the kind Unknown.
	ParseRequest(line []byte) (request Request, last bool, err error)
	// AppendReady, AppendComplete and AppendFailure append a message to out.
	AppendReady(out []byte, state State) []byte
	AppendComplete(out []byte, signature string) []byte
	AppendFailure(out []byte, failure Failure) []byte
}

// UpstreamCodec is the wire format towards upstreams. Messages are lines. The methods
// whose names start with Append append a message to out. required is the log position
// that the upstream must have applied; zero means none.
type UpstreamCodec interface {
	// AppendStart appends the message that opens a connection to the upstream of
	// the group.
	AppendStart(out []byte, group model.GroupID, caller string, upstream model.UpstreamID) []byte
	// AppendRequest appends a caller's statement, which is unchanged except for the
	// required position.
	AppendRequest(out []byte, request Request, required model.Position) []byte
	// AppendExecute appends an Execute with another name of the prepared
	// statement.
	AppendExecute(out []byte, request Request, name string, required model.Position) []byte
	// AppendBegin, AppendRollback, AppendSet and AppendPrepare append statements of
	// the proxy itself.
	AppendBegin(out []byte, readOnly bool, required model.Position) []byte
	AppendRollback(out []byte) []byte
	AppendSet(out []byte, name, value string) []byte
	AppendPrepare(out []byte, name string, readOnly bool, shape string) []byte
	AppendCommand(out []byte, command Command, term uint32) []byte
	ParseMessage(line []byte) (Message, error)
	// ParseStatus parses the row of the answer to CommandStatus.
	ParseStatus(row []byte) (Status, error)
}
