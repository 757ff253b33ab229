package quota_test

import (
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/protocol/meshpb"
	state "gypsumdock/pkg/state/quota"
)

func encode(report state.Report) *meshpb.Envelope { return meshlink.EncodeUsage(report) }
