package pgfront

import (
	"net"

	"gypsumdock/pkg/protocol/pgwire"
)

// ServeTrusted serves connection as a session of user without its startup, and
// returns at its end.
func (s *Server) ServeTrusted(connection net.Conn, user, database string) {
	session := newSession(s, connection, pgwire.Startup{User: user, Database: database})
	session.reader.SetMaxBodyLen(s.config.MaxMessageBytes)
	if s.addSession(session, 0) != nil {
		return
	}
	session.run()
	s.removeSession(session)
}
