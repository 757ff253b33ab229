package marks

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"gypsumdock/pkg/state/model"
)

// Set is one version of the members that may be homes. It is immutable and
// safe for concurrent use.
type Set struct {
	version uint64
	members int
	hash    *rendezvous.Rendezvous
}

// NewSet returns the set of the members that are not leaving.
func NewSet(version uint64, members []model.Member) *Set {
	var names []string
	for _, member := range members {
		if !member.Leaving {
			names = append(names, string(member.ID))
		}
	}
	return &Set{
		version: version,
		members: len(names),
		hash:    rendezvous.New(names, xxhash.Sum64String),
	}
}

// Version returns the version of the members in the head row.
func (s *Set) Version() uint64 { return s.version }

// Home returns the member that keeps the session's marks, or "" if the set is
// empty.
func (s *Set) Home(session model.SessionID) model.InstanceID {
	if s.members == 0 {
		return ""
	}
	return model.InstanceID(s.hash.Lookup(string(session)))
}
