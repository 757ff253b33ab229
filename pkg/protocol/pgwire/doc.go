// Package pgwire holds what the proxy knows of PostgreSQL's wire protocol and
// of SQL text: the classification of statements, the sqlcommenter tags in
// their comments, startup packets, names of prepared statements, and the error
// messages that callers get.
//
// The package does no I/O. Message encoding is that of pgproto3.
package pgwire
