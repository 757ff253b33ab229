package pgfront

import (
	"net"

	"gypsumdock/pkg/protocol/pgwire"
)

// ServeAuthenticated serves connection as a session of user without the startup, and
// returns when the session ends.
func (s *Server) ServeAuthenticated(connection net.Conn, user, database string) {
	session := newSession(s, connection, pgwire.Startup{User: user, Database: database})
	session.reader.SetMaxBodyLen(s.config.MaxMessageBytes)
	if s.addSession(session, 0) != nil {
		return
	}
	session.run()
	s.removeSession(session)
}
