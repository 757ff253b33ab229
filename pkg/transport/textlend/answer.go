package textlend

import (
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
)

// protoMessage is any message of a loan.
type protoMessage = proto.Message

// encodeAnswer converts an answer of the upstream to a message. Its field
// number is the LSN of the position.
func encodeAnswer(answer *statement.Answer) *meshpb.LoanAnswer {
	return &meshpb.LoanAnswer{
		Rows:      answer.Rows,
		Signature: answer.Signature,
		Reason:    uint32(answer.Reason),
		Detail:    answer.Detail,
		State:     uint32(answer.State),
		Term:      answer.Position.Term,
		Number:    uint64(answer.Position.LSN),
	}
}

// decodeAnswer converts a message to an answer. Reasons and states that only a
// later version of the protocol knows become Other and Failed, which claim
// least.
func decodeAnswer(answer *meshpb.LoanAnswer) *statement.Answer {
	decoded := &statement.Answer{
		Rows:      answer.GetRows(),
		Signature: answer.GetSignature(),
		Reason:    statement.Other,
		Detail:    answer.GetDetail(),
		State:     statement.TransactionFailed,
		Position:  model.Position{Term: answer.GetTerm(), LSN: model.LSN(answer.GetNumber())},
	}
	if answer.GetReason() < uint32(statement.Other) {
		decoded.Reason = statement.Reason(answer.GetReason())
	}
	if answer.GetState() < uint32(statement.TransactionFailed) {
		decoded.State = statement.State(answer.GetState())
	}
	return decoded
}
