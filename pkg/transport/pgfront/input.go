package pgfront

import (
	"net"
	"sync"
	"time"
)

// input reads from a caller. It distinguishes the wait for a new message, which
// can be interrupted and is bounded only by idleDeadline, from reading the rest of
// a message, which is bounded by messageTimeout.
type input struct {
	conn           net.Conn
	messageTimeout time.Duration
	// atBoundary is true when the next byte starts a message.
	atBoundary bool
	// idleDeadline bounds the wait for a new message; zero means no bound.
	idleDeadline time.Time
	// deadlineSet is true while a deadline for the rest of a message is set.
	deadlineSet bool

	mu          sync.Mutex
	waiting     bool
	interrupted bool
}

// Read implements io.Reader for the message decoder.
func (i *input) Read(p []byte) (int, error) {
	if !i.atBoundary {
		return i.readRest(p)
	}
	if err := i.startWait(); err != nil {
		return 0, err
	}
	n, err := i.conn.Read(p)
	i.endWait()
	if n > 0 {
		i.atBoundary = false
		return n, nil
	}
	return n, err
}

func (i *input) readRest(p []byte) (int, error) {
	if !i.deadlineSet {
		i.deadlineSet = true
		if err := i.conn.SetReadDeadline(time.Now().Add(i.messageTimeout)); err != nil {
			return 0, err
		}
	}
	return i.conn.Read(p)
}

func (i *input) startWait() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting = true
	i.deadlineSet = false
	until := i.idleDeadline
	if i.interrupted {
		// A deadline in the past makes Read return at once.
		until = time.Unix(1, 0)
	}
	return i.conn.SetReadDeadline(until)
}

func (i *input) endWait() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting = false
}

// interrupt ends the current wait for a new message, or the next one at its start.
func (i *input) interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.interrupted = true
	if i.waiting {
		// A deadline in the past makes Read return at once.
		_ = i.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
