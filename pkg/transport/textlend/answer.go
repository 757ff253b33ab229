package textlend

import (
	"google.golang.org/protobuf/proto"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/protocol/statement"
	"gypsumdock/pkg/state/model"
)

type protoMessage = proto.Message

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

// decodeAnswer reads an answer. A reason or state of a later version of the
// protocol is taken as the one that claims least.
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
