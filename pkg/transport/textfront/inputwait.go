package textfront

import (
	"net"
	"sync"
	"time"
)

// inputWait is the wait of a session for its next message, which a drain
// interrupts. Reads of a message that has begun to arrive, and of the first line of
// a session, are not interrupted: they would fail, and the session would be closed
// without an answer.
type inputWait struct {
	mu      sync.Mutex
	waiting bool
}

// begin starts the wait for input of conn, which ends at until; zero for no bound.
func (w *inputWait) begin(conn net.Conn, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = true
	_ = conn.SetReadDeadline(until)
}

// end ends the wait. The read deadline of the connection may have passed.
func (w *inputWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
}

// interrupt makes the read of a wait time out. Without a wait it limits the read of a
// message that has begun to arrive to until; zero for no limit. It may be called from
// any goroutine.
func (w *inputWait) interrupt(conn net.Conn, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.waiting:
		_ = conn.SetReadDeadline(time.Now())
	case !until.IsZero():
		_ = conn.SetReadDeadline(until)
	}
}
