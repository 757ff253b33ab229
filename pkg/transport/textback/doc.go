// Package textback holds the connections to upstreams whose protocol is made
// of lines. A connection serves one unit of work at a time; what a session has
// set on it is tracked, so that the next session finds its own.
package textback
