package meshlink

import (
	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/model"
)

// EncodeStatus returns the message with an instance's status. An UpstreamLoad is
// an UpstreamStatus in mesh.proto.
func EncodeStatus(status control.Status) *meshpb.Envelope {
	encoded := &meshpb.Status{
		Revision:    uint64(status.Ref.Revision),
		Digest:      status.Ref.Digest,
		HeadVersion: int64(status.HeadVersion),
		Leaving:     status.Leaving,
		Sessions:    uint32(status.Sessions),
		Admin:       status.AdminAddress,
	}
	for _, load := range status.UpstreamLoads {
		encoded.Upstreams = append(encoded.Upstreams, &meshpb.UpstreamStatus{
			Upstream: string(load.Upstream),
			Free:     uint32(load.Free),
			Waiting:  uint32(load.Waiting),
		})
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_Status{Status: encoded}}
}

// DecodeStatus decodes the status of an instance.
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
	for _, load := range status.GetUpstreams() {
		decoded.UpstreamLoads = append(decoded.UpstreamLoads, control.UpstreamLoad{
			Upstream: model.UpstreamID(load.GetUpstream()),
			Free:     int(load.GetFree()),
			Waiting:  int(load.GetWaiting()),
		})
	}
	return decoded
}
