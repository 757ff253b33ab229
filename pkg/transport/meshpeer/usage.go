package meshpeer

import (
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// SendUsage sends the report of the use of callers. Errors are ignored: reports
// contain totals, so that the next one makes up for a lost one.
func (p *Peers) SendUsage(to model.InstanceID, report quota.Report) {
	_ = p.node.Send(to, meshlink.EncodeUsage(report))
}
