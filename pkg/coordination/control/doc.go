// Package control runs the control state of an instance: one goroutine feeds
// the deterministic machines of the state layer, publishes an immutable
// Snapshot for traffic, and hands the machines' actions to goroutines that do
// the I/O. Their results come back as inputs.
//
// A Snapshot is published before the actions of the same input are carried
// out, so that a confirmation that writes stopped leaves only when traffic no
// longer sees the permit.
package control
