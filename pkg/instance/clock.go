package instance

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock gives the time since the process's start. It goes on while the machine
// is suspended, so that permits run out during that time.
type clock struct{ start time.Duration }

func newClock() clock { return clock{start: bootTime()} }

// Now returns the time since the start.
func (c clock) Now() time.Duration { return bootTime() - c.start }

// bootTime reads the clock that counts suspended time too. The monotonic clock
// stands in for it on a system without it.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		if err = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
			panic("no steady clock: " + err.Error())
		}
	}
	return time.Duration(now.Nano())
}
