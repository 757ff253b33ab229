// Package promises holds the integration tests of what must always hold. They
// run the programs as processes, behind proxies that inject faults, and look
// only at what callers were told and at what the upstreams executed.
package promises
