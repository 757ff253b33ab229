// Package meshlink converts the messages that instances exchange between the
// types of the coordination layer and the protobuf types of meshpb. The names of
// its functions follow mesh.proto, where an inner type may have another name:
// RegionAsk is region.StateQuery, RegionAnswer region.StateReply, and MarkTold the
// message of sessions.Peers.SendLossReported.
package meshlink

import (
	"encoding/json"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Encode returns the envelope of a message of the failover state machine, or nil
// for an unknown type.
func Encode(message failover.PeerMessage) *meshpb.Envelope {
	envelope := new(meshpb.Envelope)
	switch m := message.(type) {
	case failover.StopWrites:
		envelope.Body = &meshpb.Envelope_StopWrites{StopWrites: &meshpb.StopWrites{
			Group:       string(m.Group),
			Generation:  uint64(m.Generation),
			HeadVersion: int64(m.HeadVersion),
			Planned:     m.Planned,
		}}
	case failover.WritesStopped:
		envelope.Body = &meshpb.Envelope_WritesStopped{WritesStopped: &meshpb.WritesStopped{
			Group:       string(m.Group),
			Generation:  uint64(m.Generation),
			HeadVersion: int64(m.HeadVersion),
		}}
	case failover.Observed:
		envelope.Body = &meshpb.Envelope_Observed{Observed: encodeObserved(m)}
	default:
		return encodeAgreement(message)
	}
	return envelope
}

// encodeAgreement encodes the messages about promises, adoption and the head
// row, and returns nil for other types.
func encodeAgreement(message failover.PeerMessage) *meshpb.Envelope {
	envelope := new(meshpb.Envelope)
	switch m := message.(type) {
	case failover.PromiseAsked:
		envelope.Body = &meshpb.Envelope_PromiseAsked{PromiseAsked: &meshpb.PromiseAsked{
			Round:          m.Round,
			MembersVersion: m.MembersVersion,
			HeadVersion:    int64(m.HeadVersion),
		}}
	case failover.PromiseGiven:
		envelope.Body = &meshpb.Envelope_PromiseGiven{PromiseGiven: &meshpb.PromiseGiven{
			Round:          m.Round,
			MembersVersion: m.MembersVersion,
			HeadVersion:    int64(m.HeadVersion),
		}}
	case failover.PromiseRefused:
		envelope.Body = &meshpb.Envelope_PromiseRefused{PromiseRefused: &meshpb.PromiseRefused{
			Round:       m.Round,
			HeadVersion: int64(m.HeadVersion),
		}}
	case failover.HeadSent:
		return EncodeHead(m.Head)
	case failover.HeadChanged:
		changed := &meshpb.HeadChanged{Version: int64(m.Version)}
		envelope.Body = &meshpb.Envelope_HeadChanged{HeadChanged: changed}
	case failover.AdoptionAsked:
		asked := &meshpb.AdoptionAsked{HeadVersion: int64(m.HeadVersion)}
		envelope.Body = &meshpb.Envelope_AdoptionAsked{AdoptionAsked: asked}
	case failover.AdoptionConfirmed:
		confirmed := &meshpb.AdoptionConfirmed{HeadVersion: int64(m.HeadVersion)}
		envelope.Body = &meshpb.Envelope_AdoptionConfirmed{AdoptionConfirmed: confirmed}
	default:
		return nil
	}
	return envelope
}

// EncodeHead returns the message HeadSent with a head row, or nil if the row
// cannot be encoded as JSON.
func EncodeHead(head *model.Head) *meshpb.Envelope {
	value, err := json.Marshal(head)
	if err != nil {
		return nil
	}
	sent := &meshpb.HeadSent{Version: int64(head.Version), Head: value}
	return &meshpb.Envelope{Body: &meshpb.Envelope_HeadSent{HeadSent: sent}}
}

func encodeObserved(m failover.Observed) *meshpb.Observed {
	groups := make([]*meshpb.Observation, 0, len(m.Groups))
	for _, observation := range m.Groups {
		groups = append(groups, &meshpb.Observation{
			Group:      string(observation.Group),
			Generation: uint64(observation.Generation),
			Reachable:  observation.Reachable,
		})
	}
	return &meshpb.Observed{Groups: groups, CutOff: m.CutOff}
}

// Decode returns the message of the failover state machine in an envelope. It
// returns false for an envelope with another type of message.
func Decode(envelope *meshpb.Envelope) (failover.PeerMessage, bool) {
	switch body := envelope.GetBody().(type) {
	case *meshpb.Envelope_StopWrites:
		return failover.StopWrites{
			Group:       model.GroupID(body.StopWrites.GetGroup()),
			Generation:  model.Generation(body.StopWrites.GetGeneration()),
			HeadVersion: model.RowVersion(body.StopWrites.GetHeadVersion()),
			Planned:     body.StopWrites.GetPlanned(),
		}, true
	case *meshpb.Envelope_WritesStopped:
		return failover.WritesStopped{
			Group:       model.GroupID(body.WritesStopped.GetGroup()),
			Generation:  model.Generation(body.WritesStopped.GetGeneration()),
			HeadVersion: model.RowVersion(body.WritesStopped.GetHeadVersion()),
		}, true
	case *meshpb.Envelope_Observed:
		return decodeObserved(body.Observed), true
	default:
		return decodeAgreement(envelope)
	}
}

// decodeAgreement decodes the messages that encodeAgreement encodes.
func decodeAgreement(envelope *meshpb.Envelope) (failover.PeerMessage, bool) {
	switch body := envelope.GetBody().(type) {
	case *meshpb.Envelope_PromiseAsked:
		return failover.PromiseAsked{
			Round:          body.PromiseAsked.GetRound(),
			MembersVersion: body.PromiseAsked.GetMembersVersion(),
			HeadVersion:    model.RowVersion(body.PromiseAsked.GetHeadVersion()),
		}, true
	case *meshpb.Envelope_PromiseGiven:
		return failover.PromiseGiven{
			Round:          body.PromiseGiven.GetRound(),
			MembersVersion: body.PromiseGiven.GetMembersVersion(),
			HeadVersion:    model.RowVersion(body.PromiseGiven.GetHeadVersion()),
		}, true
	case *meshpb.Envelope_PromiseRefused:
		return failover.PromiseRefused{
			Round:       body.PromiseRefused.GetRound(),
			HeadVersion: model.RowVersion(body.PromiseRefused.GetHeadVersion()),
		}, true
	case *meshpb.Envelope_HeadSent:
		return decodeHead(body.HeadSent)
	case *meshpb.Envelope_HeadChanged:
		return failover.HeadChanged{Version: model.RowVersion(body.HeadChanged.GetVersion())}, true
	case *meshpb.Envelope_AdoptionAsked:
		return failover.AdoptionAsked{HeadVersion: model.RowVersion(body.AdoptionAsked.GetHeadVersion())}, true
	case *meshpb.Envelope_AdoptionConfirmed:
		version := model.RowVersion(body.AdoptionConfirmed.GetHeadVersion())
		return failover.AdoptionConfirmed{HeadVersion: version}, true
	default:
		return nil, false
	}
}

// DecodeHead returns the head row of a HeadSent. It returns false for any other
// message.
func DecodeHead(envelope *meshpb.Envelope) (*model.Head, bool) {
	message, found := Decode(envelope)
	if !found {
		return nil, false
	}
	sent, found := message.(failover.HeadSent)
	return sent.Head, found
}

func decodeHead(sent *meshpb.HeadSent) (failover.PeerMessage, bool) {
	head := new(model.Head)
	if err := json.Unmarshal(sent.GetHead(), head); err != nil {
		return nil, false
	}
	head.Version = model.RowVersion(sent.GetVersion())
	return failover.HeadSent{Head: head}, true
}

func decodeObserved(m *meshpb.Observed) failover.Observed {
	observed := failover.Observed{CutOff: m.GetCutOff(), Groups: make([]failover.Observation, 0, len(m.GetGroups()))}
	for _, observation := range m.GetGroups() {
		observed.Groups = append(observed.Groups, failover.Observation{
			Group:      model.GroupID(observation.GetGroup()),
			Generation: model.Generation(observation.GetGeneration()),
			Reachable:  observation.GetReachable(),
		})
	}
	return observed
}
