// Package dispatch decides which upstream runs each unit of work of one group,
// which units wait in the queue, and which are refused at once. A unit of work
// is a single statement outside a transaction, or a whole transaction; it holds
// one connection while it runs. A slot is the capacity of an upstream to run
// one statement.
//
// Free slots go to the highest priority first, and within a priority to callers
// by weight (pkg/state/fairqueue). Lower priorities have a guaranteed share, and
// units that can only be late come last. docs/design/19-fair-queue.md has the
// rules and their reasons.
//
// The package is deterministic: the time is an argument, a duration since a
// fixed start. It is not safe for concurrent use.
package dispatch
