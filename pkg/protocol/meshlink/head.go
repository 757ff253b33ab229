package meshlink

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// EncodeFreshHeadAsk returns the call for the head row as the table has it at the
// time of the call. known is the version that the caller has.
func EncodeFreshHeadAsk(known model.RowVersion) *meshpb.Envelope {
	ask := &meshpb.HeadAsk{KnownVersion: int64(known), Fresh: true}
	return &meshpb.Envelope{Body: &meshpb.Envelope_HeadAsk{HeadAsk: ask}}
}

// EncodeHeadAnswer returns the answer to a fresh HeadAsk from a peer that has
// version known: the row itself is left out if it is unchanged. head is nil while
// the table has no row, which is sent as version 0.
func EncodeHeadAnswer(head *model.Head, known model.RowVersion) *meshpb.Envelope {
	answer := new(meshpb.HeadAnswer)
	if head != nil {
		answer.Version = int64(head.Version)
	}
	if head != nil && head.Version != known {
		value, err := json.Marshal(head)
		if err != nil {
			return EncodeFailure("the head row cannot be encoded")
		}
		answer.Head = value
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_HeadAnswer{HeadAnswer: answer}}
}

// DecodeHeadAnswer returns the head row in the answer to a fresh HeadAsk: known if
// the row is unchanged, and nil while the table has no row.
func DecodeHeadAnswer(envelope *meshpb.Envelope, known *model.Head) (*model.Head, error) {
	answer := envelope.GetHeadAnswer()
	switch {
	case answer == nil:
		return nil, errUnexpectedAnswer
	case answer.GetVersion() == 0:
		return nil, nil
	case answer.GetVersion() == int64(known.Version):
		return known, nil
	}
	head := new(model.Head)
	if err := json.Unmarshal(answer.GetHead(), head); err != nil {
		return nil, errors.Wrap(err, "decode head row")
	}
	head.Version = model.RowVersion(answer.GetVersion())
	return head, nil
}
