// Package soak plays random faults on a hosted system of real processes, and
// checks the promises from what callers and databases see. A seed decides which
// faults come and when; what the machine makes of them may differ from run to
// run.
//
// The faults come from outside the processes: signals, loopback proxies before
// the store and the databases, and the stand-ins. Only processes that the soak
// has started are signalled.
package soak
