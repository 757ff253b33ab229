package instance

import "time"

// clock gives the time since the process's start.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

// Now returns the time since the start, from the monotonic clock.
func (c clock) Now() time.Duration { return time.Since(c.start) }
