// Package textback holds the connections to upstreams that use the platform's
// line protocol. A connection serves one unit of work at a time. It keeps track
// of the session values and prepared statements that were set on it, so that
// each session finds exactly its own.
package textback
