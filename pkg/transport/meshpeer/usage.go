package meshpeer

import (
	"gypsumdock/pkg/protocol/meshlink"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/quota"
)

// SendUsage sends the report of the use of callers.
func (p *Peers) SendUsage(to model.InstanceID, report quota.Report) {
	_ = p.node.Send(to, meshlink.EncodeUsage(report))
}
