// Package testbench holds the stand-ins, the load tool and the integration
// tests. Nothing of it is shipped.
package testbench
