// Package meshlink converts the messages of the control state to and from
// their protobuf form.
package meshlink

import (
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// Encode returns the envelope of a peer message, or nil for an unknown type.
func Encode(message failover.PeerMessage) *meshpb.Envelope {
	switch m := message.(type) {
	case failover.StopWrites:
		return &meshpb.Envelope{Body: &meshpb.Envelope_StopWrites{StopWrites: &meshpb.StopWrites{
			Group:       string(m.Group),
			Generation:  uint64(m.Generation),
			HeadVersion: int64(m.HeadVersion),
		}}}
	case failover.WritesStopped:
		return &meshpb.Envelope{Body: &meshpb.Envelope_WritesStopped{WritesStopped: &meshpb.WritesStopped{
			Group:       string(m.Group),
			Generation:  uint64(m.Generation),
			HeadVersion: int64(m.HeadVersion),
		}}}
	case failover.PromiseAsked:
		return &meshpb.Envelope{Body: &meshpb.Envelope_PromiseAsked{PromiseAsked: &meshpb.PromiseAsked{
			Round:          m.Round,
			MembersVersion: m.MembersVersion,
			HeadVersion:    int64(m.HeadVersion),
		}}}
	case failover.PromiseGiven:
		return &meshpb.Envelope{Body: &meshpb.Envelope_PromiseGiven{PromiseGiven: &meshpb.PromiseGiven{
			Round:          m.Round,
			MembersVersion: m.MembersVersion,
			HeadVersion:    int64(m.HeadVersion),
		}}}
	case failover.Observed:
		return &meshpb.Envelope{Body: &meshpb.Envelope_Observed{Observed: encodeObserved(m)}}
	default:
		return nil
	}
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
	return &meshpb.Observed{Groups: groups}
}

// Decode returns the peer message in an envelope. It reports false for an
// envelope that carries something else.
func Decode(envelope *meshpb.Envelope) (failover.PeerMessage, bool) {
	switch body := envelope.GetBody().(type) {
	case *meshpb.Envelope_StopWrites:
		return failover.StopWrites{
			Group:       model.GroupID(body.StopWrites.GetGroup()),
			Generation:  model.Generation(body.StopWrites.GetGeneration()),
			HeadVersion: model.RowVersion(body.StopWrites.GetHeadVersion()),
		}, true
	case *meshpb.Envelope_WritesStopped:
		return failover.WritesStopped{
			Group:       model.GroupID(body.WritesStopped.GetGroup()),
			Generation:  model.Generation(body.WritesStopped.GetGeneration()),
			HeadVersion: model.RowVersion(body.WritesStopped.GetHeadVersion()),
		}, true
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
	case *meshpb.Envelope_Observed:
		return decodeObserved(body.Observed), true
	default:
		return nil, false
	}
}

func decodeObserved(m *meshpb.Observed) failover.Observed {
	observed := failover.Observed{Groups: make([]failover.Observation, 0, len(m.GetGroups()))}
	for _, observation := range m.GetGroups() {
		observed.Groups = append(observed.Groups, failover.Observation{
			Group:      model.GroupID(observation.GetGroup()),
			Generation: model.Generation(observation.GetGeneration()),
			Reachable:  observation.GetReachable(),
		})
	}
	return observed
}
