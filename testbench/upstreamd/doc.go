// Package upstreamd is a stand-in for groups of PostgreSQL databases. It
// speaks the PostgreSQL protocol, keeps one table of records in memory, and
// replicates it from the primary of each group to the replicas with a settable
// lag. Faults are set, and the log of executed statements is read, through an
// HTTP control endpoint.
package upstreamd
