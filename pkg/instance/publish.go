package instance

import (
	"gypsumdock/pkg/coordination/control"
	"gypsumdock/pkg/coordination/engine"
	"gypsumdock/pkg/transport/pgback"
)

// publisher gives snapshots to the engine, and the granted limits to the
// pools.
type publisher struct {
	*engine.Engine
	pools *pgback.Pools
}

// Publish puts a snapshot in force. It is called by the control goroutine.
func (p publisher) Publish(snapshot *control.Snapshot) {
	p.Engine.Publish(snapshot)
	for i := range snapshot.Bundle.Groups {
		group := &snapshot.Bundle.Groups[i]
		for j := range group.Upstreams {
			upstream := &group.Upstreams[j]
			p.pools.SetLimit(upstream.ID, snapshot.Grants[upstream.ID])
		}
	}
}
