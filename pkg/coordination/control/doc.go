// Package control runs the control loop of an instance. One goroutine, the
// control goroutine, passes events to the deterministic state machines of the
// state layer, publishes an immutable Snapshot for traffic, and starts
// goroutines for the machines' actions that need I/O. Their results come back
// as inputs.
//
// The Snapshot is published before the actions that follow from the same input
// are executed. A confirmation that this instance has stopped writes is
// therefore sent only after traffic has lost the permit.
package control
