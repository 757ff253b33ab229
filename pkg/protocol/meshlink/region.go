package meshlink

import (
	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// EncodeRegionAsk returns the question to the instance that reads the store.
func EncodeRegionAsk(question region.StateQuery) *meshpb.Envelope {
	ask := &meshpb.RegionAsk{CatalogVersion: uint64(question.CatalogVersion), UpstreamsVersion: question.UpstreamsVersion, Urgent: question.Urgent}
	if question.Head != nil {
		ask.HeadVersion = int64(question.Head.Version)
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_RegionAsk{RegionAsk: ask}}
}

// DecodeRegionAsk returns the question of a peer. Of the head row only the
// version is known.
func DecodeRegionAsk(ask *meshpb.RegionAsk) region.StateQuery {
	return region.StateQuery{
		Head:             &model.Head{Version: model.RowVersion(ask.GetHeadVersion())},
		CatalogVersion:   catalog.Version(ask.GetCatalogVersion()),
		UpstreamsVersion: ask.GetUpstreamsVersion(),
		Urgent:           ask.GetUrgent(),
	}
}

// EncodeRegionAnswer returns the answer to a peer that knows the given version
// of the head row.
func EncodeRegionAnswer(reply *region.StateReply, known model.RowVersion) *meshpb.Envelope {
	head := EncodeHeadAnswer(reply.Head, known)
	if head.GetHeadAnswer() == nil {
		return head
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_RegionAnswer{RegionAnswer: &meshpb.RegionAnswer{
		Head:             head.GetHeadAnswer(),
		Current:          reply.Current,
		Catalog:          reply.Catalog,
		Upstreams:        reply.Upstreams,
		UpstreamsVersion: reply.UpstreamsVersion,
	}}}
}

// DecodeRegionAnswer returns the answer of a reader. known is the head row that
// the question named.
func DecodeRegionAnswer(envelope *meshpb.Envelope, known *model.Head) (*region.StateReply, error) {
	answer := envelope.GetRegionAnswer()
	if answer == nil {
		return nil, errUnexpected
	}
	head, err := DecodeHeadAnswer(&meshpb.Envelope{
		Body: &meshpb.Envelope_HeadAnswer{HeadAnswer: answer.GetHead()},
	}, known)
	if err != nil {
		return nil, err
	}
	reply := &region.StateReply{Head: head, Current: answer.GetCurrent(), UpstreamsVersion: answer.GetUpstreamsVersion()}
	if len(answer.GetCatalog()) > 0 {
		reply.Catalog = answer.GetCatalog()
	}
	if len(answer.GetUpstreams()) > 0 {
		reply.Upstreams = answer.GetUpstreams()
	}
	return reply, nil
}
