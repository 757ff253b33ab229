package control

import (
	"gypsumdock/pkg/coordination/platform"
	"gypsumdock/pkg/state/adoption"
	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/failover"
	"gypsumdock/pkg/state/model"
)

// input is one unit of work for the control goroutine, which calls apply.
type input interface{ apply(l *Loop) }

// failoverInput passes an event to the failover machine.
type failoverInput struct{ event failover.Event }

func (in failoverInput) apply(l *Loop) { l.step(in.event) }

// probeInput is the result of a probe.
type probeInput struct{ probed failover.Probed }

func (in probeInput) apply(l *Loop) {
	l.step(in.probed)
	l.lag.addProbe(in.probed, &l.view, l.now())
}

// adoptionInput passes an event to the adoption machine.
type adoptionInput struct{ event adoption.Event }

func (in adoptionInput) apply(l *Loop) { l.stepAdoption(in.event) }

// statusInput is the status of a peer.
type statusInput struct {
	from   model.InstanceID
	status Status
}

func (in statusInput) apply(l *Loop) {
	l.peers[in.from] = PeerStatus{Status: in.status, At: l.now()}
	if in.status.Ref.Revision > 0 {
		l.stepAdoption(adoption.RevisionSeen{Ref: in.status.Ref, From: in.from})
	}
	if l.view.Head == nil || in.status.HeadVersion > l.view.Head.Version {
		l.step(failover.PeerReceived{
			From:    in.from,
			Message: failover.HeadChanged{Version: in.status.HeadVersion},
		})
	}
}

// instancesInput is the platform's list of instances.
type instancesInput struct{ list []platform.Instance }

func (in instancesInput) apply(l *Loop) {
	event := failover.InstancesListed{}
	for _, instance := range in.list {
		event.Instances = append(event.Instances, failover.ListedInstance{
			ID:      instance.ID,
			Leaving: instance.State == platform.InstanceLeaving,
		})
	}
	l.step(event)
}

// readHeadInput requests a read of the head row.
type readHeadInput struct{}

func (readHeadInput) apply(l *Loop) { l.readHead() }

// leaveInput starts a graceful stop.
type leaveInput struct{}

func (leaveInput) apply(l *Loop) {
	l.leaving = true
	l.step(failover.StopRequested{})
	l.announce()
}

// stepAdoption passes an event to the adoption machine and executes its
// actions.
func (l *Loop) stepAdoption(event adoption.Event) {
	for _, action := range l.adoption.Step(l.now(), event) {
		l.executeAdoption(action)
	}
}

// groupSpecs returns the groups and upstreams of a bundle as an event of the
// failover machine.
func groupSpecs(current *bundle.Bundle) failover.BundleAdopted {
	event := failover.BundleAdopted{}
	for i := range current.Groups {
		event.Groups = append(event.Groups, groupSpec(current, &current.Groups[i]))
	}
	return event
}

func groupSpec(current *bundle.Bundle, group *bundle.Group) failover.GroupSpec {
	spec := failover.GroupSpec{ID: group.ID}
	for _, upstream := range group.Upstreams {
		spec.Upstreams = append(spec.Upstreams, failover.UpstreamSpec{
			ID:         upstream.ID,
			DataCentre: upstream.DataCentre,
			Leaving:    upstream.Leaving,
		})
	}
	for _, route := range current.Routes {
		if route.Group == group.ID {
			spec.SyncReplicas = max(spec.SyncReplicas, route.WaitReplicas)
		}
	}
	return spec
}
