// Package pgwire implements the parts of PostgreSQL's wire protocol that pgproto3
// lacks, and a classifier of SQL text: it parses startup packets, builds the error
// messages that callers get, classifies statements, and reads the sqlcommenter tags
// in their comments. It does no I/O.
package pgwire
