package textfront

import "gypsumdock/pkg/protocol/statement"

// maxSessionEntries bounds the number of session values, and that of prepared
// statements, of a session.
const maxSessionEntries = 1000

// prepared is a statement that the caller has prepared.
type prepared struct {
	readOnly bool
	shape    string
	// upstreamName is the name under which the statement is prepared on
	// upstreams.
	upstreamName string
}

// set stores a session value, which is set on an upstream connection before it
// is used.
func (s *session) set(request statement.Request) {
	if _, known := s.values[request.Name]; !known && len(s.values) >= maxSessionEntries {
		s.fail(request, statement.FailTooLarge, "too many session values")
		return
	}
	s.values[request.Name] = request.Value
	s.complete("")
}

// prepare stores a prepared statement, which is prepared on an upstream
// connection before it is executed there.
func (s *session) prepare(request statement.Request) {
	if _, known := s.prepared[request.Name]; !known && len(s.prepared) >= maxSessionEntries {
		s.fail(request, statement.FailTooLarge, "too many prepared statements")
		return
	}
	s.prepared[request.Name] = prepared{
		readOnly:     request.ReadOnly,
		shape:        request.Value,
		upstreamName: sharedPreparedName(request.ReadOnly, request.Value),
	}
	s.complete("")
}

func (s *session) deallocate(request statement.Request) {
	if _, known := s.prepared[request.Name]; !known {
		s.fail(request, statement.FailNotPrepared, "no such prepared statement")
		return
	}
	delete(s.prepared, request.Name)
	s.complete("")
}

// boundStatement is a caller's statement, with the prepared statement that it
// executes, if any.
type boundStatement struct {
	request  statement.Request
	prepared prepared
	// writes is set if the statement may write.
	writes bool
}

// bind looks up the prepared statement that a request executes. It returns
// false if there is none of that name.
func (s *session) bind(request statement.Request) (boundStatement, bool) {
	stmt := boundStatement{request: request, writes: request.Kind == statement.Write}
	if request.Kind != statement.Execute {
		return stmt, true
	}
	known, found := s.prepared[request.Name]
	stmt.prepared = known
	stmt.writes = !known.readOnly
	return stmt, found
}
