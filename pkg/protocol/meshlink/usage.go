package meshlink

import (
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// demandUnit is the number of units of CallerUsage.demand_milli in one operation
// per second.
const demandUnit = 1000

// EncodeUsage returns the report of the use of callers.
func EncodeUsage(report quota.Report) *meshpb.Envelope {
	message := &meshpb.UsageReport{
		Sent: report.Sent, Echo: report.Echo, Group: report.Group, LastGroup: report.LastGroup, Active: report.Active,
	}
	for _, usage := range report.Usage {
		message.Callers = append(message.Callers, &meshpb.CallerUsage{
			Caller: string(usage.Caller), Used: usage.Used, DemandMilli: uint64(usage.Demand * demandUnit),
		})
	}
	return &meshpb.Envelope{Body: &meshpb.Envelope_UsageReport{UsageReport: message}}
}

// DecodeUsage decodes the report of a peer.
func DecodeUsage(message *meshpb.UsageReport) quota.Report {
	report := quota.Report{
		Sent: message.GetSent(), Echo: message.GetEcho(), Group: message.GetGroup(), LastGroup: message.GetLastGroup(),
		Active: message.GetActive(),
	}
	for _, usage := range message.GetCallers() {
		report.Usage = append(report.Usage, quota.Usage{
			Caller: model.CallerName(usage.GetCaller()), Used: usage.GetUsed(), Demand: float64(usage.GetDemandMilli()) / demandUnit,
		})
	}
	return report
}
