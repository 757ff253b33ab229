package instance

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock measures the time since the process started. It keeps counting while
// the machine is suspended, so that permits expire during that time.
type clock struct{ start time.Duration }

func newClock() clock { return clock{start: bootTime()} }

// Now returns the time since the process started.
func (c clock) Now() time.Duration { return bootTime() - c.start }

// bootTime returns the time since the machine booted, including the time for
// which it was suspended. It falls back to the monotonic clock, which may not
// count that time, on systems without CLOCK_BOOTTIME.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		if err = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
			panic("neither CLOCK_BOOTTIME nor CLOCK_MONOTONIC can be read: " + err.Error())
		}
	}
	return time.Duration(now.Nano())
}
