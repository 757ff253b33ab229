package textfront

import (
	"gypsumdock/pkg/protocol/meshpb"
	"gypsumdock/pkg/state/model"
)

// load returns the load of this instance with the units of a group, which peers
// use to choose a server.
func (s *Server) load(id model.GroupID) *meshpb.ServerLoad {
	running, waiting := s.config.Dispatch.Load(id)
	load := &meshpb.ServerLoad{Running: uint32(max(0, running)), Waiting: uint32(max(0, waiting))}
	if s.config.Busy != nil {
		load.BusyPermille = s.config.Busy()
	}
	return load
}
