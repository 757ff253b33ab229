package region

import (
	"slices"
	"time"

	"gypsumdock/pkg/state/members"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/serving"
)

// serverLinger is how long an instance still serves a group after another one
// has taken its place, so that units of work in progress end there.
const serverLinger = 3 * time.Second

// Serving tells who serves a group.
type Serving struct {
	// Servers holds the members that serve the group, in the order in which they
	// act if its primary is lost.
	Servers []model.Member
	// Local is true if this instance places units of work of the group itself.
	Local bool
}

// liveMembers returns the members that take part in serving groups: those that
// are heard from, and neither leaving nor evicted. Those that cannot renew their
// permits take part only if no other does.
func (l *Loop) liveMembers() []model.Member {
	usable, cutOff := l.membersByUse()
	if len(usable) == 0 {
		return cutOff
	}
	return usable
}

// membersByUse returns the members that are able to serve groups, and those that
// could if they were not cut off. An observer hears of them from the member that
// it queries.
func (l *Loop) membersByUse() (usable, cutOff []model.Member) {
	for _, member := range l.view.Members {
		heard, isCutOff := member.State == members.Live, member.CutOff
		if !l.view.Registered {
			heard = !slices.Contains(l.peerSuspects, member.Member.ID)
			isCutOff = slices.Contains(l.peerCutOff, member.Member.ID)
		}
		switch {
		case !heard || member.Member.Leaving || member.Member.Evicted != 0:
		case isCutOff:
			cutOff = append(cutOff, member.Member)
		default:
			usable = append(usable, member.Member)
		}
	}
	return usable, cutOff
}

// updateMembers recomputes who serves the groups if the live members have
// changed, or if this instance has just ceased to serve one.
func (l *Loop) updateMembers(now time.Duration) {
	ended := false
	for id, until := range l.servedUntil {
		if l.serves(id) {
			l.servedUntil[id] = now + serverLinger
			continue
		}
		if now >= until {
			delete(l.servedUntil, id)
			ended = true
		}
	}
	if ended || !slices.Equal(l.liveMembers(), l.live) {
		l.updateGroupSpecs()
		l.publish()
	}
}

// serves reports whether this instance is one of the group's servers.
func (l *Loop) serves(id model.GroupID) bool {
	return slices.ContainsFunc(l.serving[id].Servers, func(server model.Member) bool { return server.ID == l.config.Self.ID })
}

// updateServing chooses the servers of all groups to which a route leads.
func (l *Loop) updateServing() {
	l.live = l.liveMembers()
	chosen := make(map[model.GroupID]Serving)
	for _, group := range l.catalog.RoutedGroups() {
		servers := l.chooseServers(group.ID)
		if slices.ContainsFunc(servers, func(server model.Member) bool { return server.ID == l.config.Self.ID }) {
			l.servedUntil[group.ID] = l.now() + serverLinger
		}
		_, local := l.servedUntil[group.ID]
		chosen[group.ID] = Serving{Servers: servers, Local: local}
	}
	l.serving = chosen
}

func (l *Loop) chooseServers(id model.GroupID) []model.Member {
	group := serving.Group{ID: id}
	for _, upstream := range l.registry.byGroup(id) {
		group.DataCentres = append(group.DataCentres, upstream.DataCentre)
	}
	var servers []model.Member
	for _, server := range serving.Servers(group, l.live) {
		at := slices.IndexFunc(l.live, func(member model.Member) bool { return member.ID == server })
		servers = append(servers, l.live[at])
	}
	return servers
}

// serverRank returns the position of this instance among the servers of a group.
func (l *Loop) serverRank(id model.GroupID) int {
	rank := 0
	for _, server := range l.serving[id].Servers {
		if server.ID == l.config.Self.ID {
			break
		}
		rank++
	}
	return rank
}

// serverIDs returns the IDs of a group's servers.
func (l *Loop) serverIDs(id model.GroupID) []model.InstanceID {
	var ids []model.InstanceID
	for _, server := range l.serving[id].Servers {
		ids = append(ids, server.ID)
	}
	return ids
}
