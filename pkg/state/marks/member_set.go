package marks

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"gypsumdock/pkg/state/model"
)

// MemberSet is one version of the members and assigns each session its home
// among them. It is immutable and safe for concurrent use.
type MemberSet struct {
	version uint64
	homes   int
	hash    *rendezvous.Rendezvous
	// members includes leaving members; homes counts those that are not.
	members []model.InstanceID
}

// NewMemberSet returns the set of a head row's members. Leaving members are not
// the home of any session.
func NewMemberSet(version uint64, members []model.Member) *MemberSet {
	var homes []string
	set := &MemberSet{version: version}
	for _, member := range members {
		set.members = append(set.members, member.ID)
		if !member.Leaving {
			homes = append(homes, string(member.ID))
		}
	}
	set.homes = len(homes)
	set.hash = rendezvous.New(homes, xxhash.Sum64String)
	return set
}

// Version returns the version of the members in the head row.
func (s *MemberSet) Version() uint64 { return s.version }

// Home returns the member that stores the session's marks, or "" if every
// member is leaving or there is none.
func (s *MemberSet) Home(session model.SessionID) model.InstanceID {
	if s.homes == 0 {
		return ""
	}
	return model.InstanceID(s.hash.Lookup(string(session)))
}
