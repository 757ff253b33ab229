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
		Admin:       status.Admin,
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_Status{Status: encoded}}
}

// DecodeStatus returns the status in a message.
func DecodeStatus(status *meshpb.Status) control.Status {
	return control.Status{
		Ref: adoption.Ref{
			Revision: model.Revision(status.GetRevision()),
			Digest:   status.GetDigest(),
		},
		HeadVersion: model.RowVersion(status.GetHeadVersion()),
		Leaving:     status.GetLeaving(),
		Sessions:    int(status.GetSessions()),
		Admin:       status.GetAdmin(),
	}
}
