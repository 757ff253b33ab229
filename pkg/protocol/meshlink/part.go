package meshlink

import (
	"math"

	"github.com/go-faster/errors"

	"gypsumdock/pkg/coordination/region"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/transfer"
)

// errBadOffer means that a peer has offered a table that cannot exist.
var errBadOffer = errors.New("offer of a table with an impossible digest, size or version")

// encodeOffer returns nil for nil.
func encodeOffer(offer *region.TableOffer) *meshpb.TableOffer {
	if offer == nil {
		return nil
	}
	return &meshpb.TableOffer{Version: uint64(offer.Version), Digest: offer.Digest[:], Size: uint64(offer.Size)}
}

// decodeOffer returns nil for nil.
func decodeOffer(offer *meshpb.TableOffer) (*region.TableOffer, error) {
	if offer == nil {
		return nil, nil
	}
	digest, valid := decodeDigest(offer.GetDigest())
	if !valid || offer.GetSize() > math.MaxInt32 || offer.GetVersion() > math.MaxInt64 {
		return nil, errBadOffer
	}
	return &region.TableOffer{
		Version: int64(offer.GetVersion()),
		Offer:   transfer.Offer{Digest: digest, Size: int(offer.GetSize())},
	}, nil
}

func decodeDigest(data []byte) (digest transfer.Digest, valid bool) {
	if len(data) != len(digest) {
		return digest, false
	}
	return transfer.Digest(data), true
}

// EncodePartAsk returns the call for the part of an offered table that begins at the
// offset.
func EncodePartAsk(digest transfer.Digest, offset int) *meshpb.Envelope {
	ask := &meshpb.PartAsk{Digest: digest[:], Offset: uint64(offset)}
	return &meshpb.Envelope{Body: &meshpb.Envelope_PartAsk{PartAsk: ask}}
}

// DecodePartAsk decodes the call of a peer. It returns false if no table can have
// such a part.
func DecodePartAsk(ask *meshpb.PartAsk) (digest transfer.Digest, offset int, valid bool) {
	digest, valid = decodeDigest(ask.GetDigest())
	if !valid || ask.GetOffset() > math.MaxInt32 {
		return digest, 0, false
	}
	return digest, int(ask.GetOffset()), true
}

// EncodePart returns the answer with a part; an empty one stands for
// region.ErrPartGone.
func EncodePart(part []byte) *meshpb.Envelope {
	return &meshpb.Envelope{Body: &meshpb.Envelope_PartAnswer{PartAnswer: &meshpb.PartAnswer{Data: part}}}
}

// DecodePart returns the part in an answer, or region.ErrPartGone.
func DecodePart(envelope *meshpb.Envelope) ([]byte, error) {
	answer := envelope.GetPartAnswer()
	if answer == nil {
		return nil, errUnexpectedAnswer
	}
	if len(answer.GetData()) == 0 {
		return nil, region.ErrPartGone
	}
	return answer.GetData(), nil
}
