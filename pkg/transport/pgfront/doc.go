// Package pgfront serves callers with the PostgreSQL protocol. A session reads
// a caller's messages, asks the traffic.Engine where each unit of work runs,
// runs it on a connection of package pgback, and sends the caller the answer, or
// an error that says whether the request may have run (package verdict).
//
// One goroutine serves a session. A unit of work is a statement, a batch of the
// extended protocol or a transaction. It owns its upstream connection until the
// upstream reports that no transaction is open. The answer to a write is held
// back, from its CommandComplete message on, until the engine allows it to be sent.
package pgfront
