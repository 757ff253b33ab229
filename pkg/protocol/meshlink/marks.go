package meshlink

import (
	"github.com/go-faster/errors"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// errUnexpectedAnswer is returned for an answer of another type than the call
// expects, or with an unknown status.
var errUnexpectedAnswer = errors.New("answer of peer has an unexpected type or status")

// Key decodes the key of a mark.
func Key(key *meshpb.MarkKey) marks.Key {
	return marks.Key{Session: model.SessionID(key.GetSession()), Group: model.GroupID(key.GetGroup())}
}

// Mark decodes a mark.
func Mark(mark *meshpb.Mark) model.Mark {
	return model.Mark{Generation: model.Generation(mark.GetGeneration()), LSN: model.LSN(mark.GetLsn())}
}

func encodeKey(key marks.Key) *meshpb.MarkKey {
	return &meshpb.MarkKey{Session: string(key.Session), Group: string(key.Group)}
}

func encodeMark(mark model.Mark) *meshpb.Mark {
	return &meshpb.Mark{Generation: uint64(mark.Generation), Lsn: uint64(mark.LSN)}
}

// EncodeMarkStore returns the call to store a mark at a home. version is that of
// the members from which the home was chosen.
func EncodeMarkStore(key marks.Key, mark model.Mark, version uint64) *meshpb.Envelope {
	store := &meshpb.MarkStore{Key: encodeKey(key), Mark: encodeMark(mark), MembersVersion: version}
	return &meshpb.Envelope{Body: &meshpb.Envelope_MarkStore{MarkStore: store}}
}

// EncodeMarkStored returns the answer to a MarkStore or a LostMark.
func EncodeMarkStored(status marks.StoreStatus) *meshpb.Envelope {
	stored := &meshpb.MarkStored{Status: uint32(status)}
	return &meshpb.Envelope{Body: &meshpb.Envelope_MarkStored{MarkStored: stored}}
}

// DecodeMarkStored decodes the answer to a MarkStore or a LostMark.
func DecodeMarkStored(envelope *meshpb.Envelope) (marks.StoreStatus, error) {
	stored := envelope.GetMarkStored()
	if stored == nil || stored.GetStatus() > uint32(marks.StoreLost) {
		return marks.StoreRefused, errUnexpectedAnswer
	}
	return marks.StoreStatus(stored.GetStatus()), nil
}

// EncodeMarkAsk returns the call for a session's mark in a group. version is that
// of the members from which the home was chosen.
func EncodeMarkAsk(key marks.Key, version uint64) *meshpb.Envelope {
	ask := &meshpb.MarkAsk{Key: encodeKey(key), MembersVersion: version}
	return &meshpb.Envelope{Body: &meshpb.Envelope_MarkAsk{MarkAsk: ask}}
}

// EncodeMarkAnswer returns the answer to a MarkAsk.
func EncodeMarkAnswer(answer marks.Answer) *meshpb.Envelope {
	encoded := &meshpb.MarkAnswer{Status: uint32(answer.Status), Mark: encodeMark(answer.Mark)}
	return &meshpb.Envelope{Body: &meshpb.Envelope_MarkAnswer{MarkAnswer: encoded}}
}

// DecodeMarkAnswer decodes the answer to a MarkAsk.
func DecodeMarkAnswer(envelope *meshpb.Envelope) (marks.Answer, error) {
	answer := envelope.GetMarkAnswer()
	if answer == nil || answer.GetStatus() > uint32(marks.AskLost) {
		return marks.Answer{}, errUnexpectedAnswer
	}
	return marks.Answer{Status: marks.AskStatus(answer.GetStatus()), Mark: Mark(answer.GetMark())}, nil
}

// EncodeMarkTold returns the message that the session was told of the loss of its
// write.
func EncodeMarkTold(key marks.Key, mark model.Mark) *meshpb.Envelope {
	told := &meshpb.MarkTold{Key: encodeKey(key), Mark: encodeMark(mark)}
	return &meshpb.Envelope{Body: &meshpb.Envelope_MarkTold{MarkTold: told}}
}

// EncodeLostMark returns the call that hands a lost mark over to its home.
func EncodeLostMark(lost marks.LostMark) *meshpb.Envelope {
	encoded := &meshpb.LostMark{
		Key:            encodeKey(lost.Key),
		Mark:           encodeMark(lost.Mark),
		MembersVersion: lost.Target.Version,
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_LostMark{LostMark: encoded}}
}

// EncodeFailure returns the answer to a call that failed.
func EncodeFailure(reason string) *meshpb.Envelope {
	return &meshpb.Envelope{Body: &meshpb.Envelope_Failure{Failure: &meshpb.Failure{Reason: reason}}}
}
