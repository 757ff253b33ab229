package meshlink

import (
	"math"

	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/loadshare"
	"gypsumdock/pkg/state/model"
)

// EncodeLoadReport returns the message that tells another server what the sender
// has outstanding.
func EncodeLoadReport(counts []loadshare.Count) *meshpb.Envelope {
	report := &meshpb.LoadReport{Upstreams: make([]*meshpb.UpstreamLoad, 0, len(counts))}
	for _, count := range counts {
		report.Upstreams = append(report.Upstreams, &meshpb.UpstreamLoad{
			Upstream: string(count.Upstream), Outstanding: uint32(min(max(0, count.Outstanding), math.MaxInt32)),
		})
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_LoadReport{LoadReport: report}}
}

// DecodeLoadReport returns the counts of a report without validating them.
func DecodeLoadReport(report *meshpb.LoadReport) []loadshare.Count {
	counts := make([]loadshare.Count, 0, len(report.GetUpstreams()))
	for _, load := range report.GetUpstreams() {
		counts = append(counts, loadshare.Count{Upstream: model.UpstreamID(load.GetUpstream()), Outstanding: int(load.GetOutstanding())})
	}
	return counts
}
