package meshlink

import (
	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/model"
)

// EncodeStatus returns the message with an instance's status.
func EncodeStatus(status control.Status) *meshpb.Envelope {
	encoded := &meshpb.Status{
		Revision:    uint64(status.Ref.Revision),
		Digest:      status.Ref.Digest,
		HeadVersion: int64(status.HeadVersion),
		Leaving:     status.Leaving,
		Sessions:    uint32(status.Sessions),
		Admin:       status.AdminAddress,
	}
	for _, room := range status.UpstreamLoads {
		encoded.Upstreams = append(encoded.Upstreams, &meshpb.UpstreamStatus{
			Upstream: string(room.Upstream),
			Free:     uint32(room.Free),
			Waiting:  uint32(room.Waiting),
		})
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_Status{Status: encoded}}
}

// DecodeStatus returns the status in a message.
func DecodeStatus(status *meshpb.Status) control.Status {
	decoded := control.Status{
		Ref: adoption.BundleRef{
			Revision: model.Revision(status.GetRevision()),
			Digest:   status.GetDigest(),
		},
		HeadVersion:  model.RowVersion(status.GetHeadVersion()),
		Leaving:      status.GetLeaving(),
		Sessions:     int(status.GetSessions()),
		AdminAddress: status.GetAdmin(),
	}
	for _, room := range status.GetUpstreams() {
		decoded.UpstreamLoads = append(decoded.UpstreamLoads, control.UpstreamLoad{
			Upstream: model.UpstreamID(room.GetUpstream()),
			Free:     int(room.GetFree()),
			Waiting:  int(room.GetWaiting()),
		})
	}
	return decoded
}
