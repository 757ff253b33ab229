package instance

import (
	"sync"
	"syscall"
	"time"
)

const (
	// processorSampleInterval is the minimum time between two readings of the
	// process's processor time. A container's processor share is enforced in
	// periods of the same length.
	processorSampleInterval = 100 * time.Millisecond
	// permille is the number of thousandths in a whole.
	permille = 1000
)

// processorUse samples how much of its processor share the process uses. It is
// safe for concurrent use.
type processorUse struct {
	// cores is the processor share of the instance; zero if unknown.
	cores float64
	now   func() time.Duration
	// used returns the processor time of the process.
	used func() (time.Duration, error)

	mu        sync.Mutex
	sampledAt time.Duration
	lastUsed  time.Duration
	sampled   bool
	busy      uint32
}

func newProcessorUse(cores float64) *processorUse {
	start := time.Now()
	return &processorUse{cores: cores, now: func() time.Duration { return time.Since(start) }, used: processTime}
}

// Permille returns the part of the processor share that was used in the newest
// sample, in thousandths; zero if it is unknown.
func (p *processorUse) Permille() uint32 {
	if p.cores <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	elapsed := now - p.sampledAt
	if p.sampled && elapsed < processorSampleInterval {
		return p.busy
	}
	used, err := p.used()
	if err != nil {
		p.sampled, p.busy = false, 0
		return 0
	}
	if p.sampled {
		// The result is at least 1, as 0 means that the use is unknown.
		p.busy = max(1, uint32(permille*float64(max(0, used-p.lastUsed))/(float64(elapsed)*p.cores)))
	}
	p.sampledAt, p.lastUsed, p.sampled = now, used, true
	return p.busy
}

// processTime returns the processor time that the process has used.
func processTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
