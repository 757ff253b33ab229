package engine

import "sync/atomic"

// counters holds counts since the start of the process; see Stats.
type counters struct {
	admitted, refused, done atomic.Uint64
	samples, watches        atomic.Uint64
	retries, forwarded      atomic.Uint64
}

// Stats are the engine's counts since the start of the process. Admitted
// equals Refused plus Done plus what is in flight.
type Stats struct {
	Admitted, Refused, Done uint64
	// Samples counts the position queries to primaries, and Watches those to
	// replicas; probes are not included.
	Samples, Watches uint64
	// Retries counts the further attempts that the retry budget allowed.
	Retries uint64
	// Forwarded counts the units forwarded to a peer, to run on its connection.
	Forwarded uint64
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	return Stats{
		Done:      e.stats.done.Load(),
		Refused:   e.stats.refused.Load(),
		Admitted:  e.stats.admitted.Load(),
		Samples:   e.stats.samples.Load(),
		Watches:   e.stats.watches.Load(),
		Retries:   e.stats.retries.Load(),
		Forwarded: e.stats.forwarded.Load(),
	}
}

// InFlight returns the number of units admitted and not yet done.
func (e *Engine) InFlight() int {
	stats := e.Stats()
	return int(stats.Admitted - stats.Refused - stats.Done)
}
