package pgfront

import (
	"net"
	"sync"
	"time"
)

// input reads from a caller. It tells waiting for a new message, which has no
// timeout of its own and can be interrupted, from reading the rest of one.
type input struct {
	conn           net.Conn
	messageTimeout time.Duration
	// atBoundary is true when the next byte starts a message.
	atBoundary bool
	// idleUntil bounds the wait for a new message; zero means no bound.
	idleUntil time.Time
	// bounded is true while a deadline for the rest of a message is set.
	bounded bool

	mu      sync.Mutex
	waiting bool
	woken   bool
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
	if !i.bounded {
		i.bounded = true
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
	i.bounded = false
	until := i.idleUntil
	if i.woken {
		until = time.Unix(1, 0)
	}
	return i.conn.SetReadDeadline(until)
}

func (i *input) endWait() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting = false
}

// wake ends a wait for a new message, now or when it begins next.
func (i *input) wake() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.woken = true
	if i.waiting {
		_ = i.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
