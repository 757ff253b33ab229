// Package sql parses and evaluates the small subset of SQL that the stand-in
// upstream understands: one table of records, transactions, and PostgreSQL's
// own functions on its log and timeline.
package sql
