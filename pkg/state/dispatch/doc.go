// Package dispatch decides where the units of work of one group run, which of
// them wait, and which are refused at once. A unit is a statement outside a
// transaction, or a whole transaction; it holds one connection while it runs.
//
// The package is deterministic: time is an argument. It is not safe for
// concurrent use.
package dispatch
