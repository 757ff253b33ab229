// Package pgfront serves callers with the PostgreSQL protocol. A session reads
// a caller's messages, asks the traffic.Engine where each unit of work may
// run, carries it over a connection of package pgback, and gives the answer
// with the verdict that is known of it.
//
// One goroutine serves a session. A unit of work, a statement or a
// transaction, owns its upstream connection until the upstream reports that it
// is idle again. The answer to a write is held back from its CommandComplete
// on until the engine allows it.
package pgfront
