package meshlink

import (
	"time"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// EncodeRegionAsk returns the call to the instance that reads the metadata store
// for others.
func EncodeRegionAsk(query region.StateQuery) *meshpb.Envelope {
	ask := &meshpb.RegionAsk{CatalogVersion: uint64(query.CatalogVersion), UpstreamsVersion: query.UpstreamsVersion, Urgent: query.Urgent, Observer: query.Observer, TakesOffers: query.TakesOffers}
	if query.Head != nil {
		ask.HeadVersion = int64(query.Head.Version)
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_RegionAsk{RegionAsk: ask}}
}

// DecodeRegionAsk decodes the query of a peer. Its Head holds only the version
// that the peer has.
func DecodeRegionAsk(ask *meshpb.RegionAsk) region.StateQuery {
	return region.StateQuery{
		Head:             &model.Head{Version: model.RowVersion(ask.GetHeadVersion())},
		CatalogVersion:   catalog.Version(ask.GetCatalogVersion()),
		UpstreamsVersion: ask.GetUpstreamsVersion(),
		Urgent:           ask.GetUrgent(),
		Observer:         ask.GetObserver(),
		TakesOffers:      ask.GetTakesOffers(),
	}
}

// EncodeRegionAnswer returns the answer to a peer that has version known of the
// head row.
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
		Suspects:         encodeIDs(reply.Suspects),
		CutOff:           encodeIDs(reply.CutOff),

		ConfirmationAgeMs: encodeConfirmationAge(reply),
		CatalogOffer:      encodeOffer(reply.CatalogOffer),
		UpstreamsOffer:    encodeOffer(reply.UpstreamsOffer),
	}}}
}

// DecodeRegionAnswer decodes the answer of the reader. known is the head row whose
// version was sent with the query.
func DecodeRegionAnswer(envelope *meshpb.Envelope, known *model.Head) (*region.StateReply, error) {
	answer := envelope.GetRegionAnswer()
	if answer == nil {
		return nil, errUnexpectedAnswer
	}
	head, err := DecodeHeadAnswer(&meshpb.Envelope{
		Body: &meshpb.Envelope_HeadAnswer{HeadAnswer: answer.GetHead()},
	}, known)
	if err != nil {
		return nil, err
	}
	reply := &region.StateReply{Head: head, Current: answer.GetCurrent(), UpstreamsVersion: answer.GetUpstreamsVersion()}
	reply.Suspects = decodeIDs(answer.GetSuspects())
	reply.CutOff = decodeIDs(answer.GetCutOff())
	reply.ConfirmationAge, reply.Confirmed = decodeConfirmationAge(answer.GetConfirmationAgeMs())
	if len(answer.GetCatalog()) > 0 {
		reply.Catalog = answer.GetCatalog()
	}
	if len(answer.GetUpstreams()) > 0 {
		reply.Upstreams = answer.GetUpstreams()
	}
	if reply.CatalogOffer, err = decodeOffer(answer.GetCatalogOffer()); err != nil {
		return nil, err
	}
	if reply.UpstreamsOffer, err = decodeOffer(answer.GetUpstreamsOffer()); err != nil {
		return nil, err
	}
	return reply, nil
}

// encodeConfirmationAge returns the age in milliseconds plus one, or zero if there
// was no confirmation. It is rounded up, as a confirmation must not become newer.
func encodeConfirmationAge(reply *region.StateReply) uint64 {
	if !reply.Confirmed {
		return 0
	}
	age := max(reply.ConfirmationAge, 0)
	return uint64((age+time.Millisecond-1)/time.Millisecond) + 1
}

// maxAgeMillis bounds the age that a peer can send, so that it fits a duration.
const maxAgeMillis = uint64(24 * time.Hour / time.Millisecond)

func decodeConfirmationAge(encoded uint64) (age time.Duration, confirmed bool) {
	if encoded == 0 {
		return 0, false
	}
	return time.Duration(min(encoded-1, maxAgeMillis)) * time.Millisecond, true
}

func encodeIDs(ids []model.InstanceID) []string {
	var names []string
	for _, id := range ids {
		names = append(names, string(id))
	}
	return names
}

func decodeIDs(names []string) []model.InstanceID {
	var ids []model.InstanceID
	for _, name := range names {
		ids = append(ids, model.InstanceID(name))
	}
	return ids
}
