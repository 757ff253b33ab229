package upstreamd

import (
	"context"
	"time"

	"gypsumdock/testbench/upstreamd/sql"
)

// lockTimeout ends a wait for a row lock, in place of deadlock detection.
const lockTimeout = 5 * time.Second

// rowLock is held by a transaction on a key.
type rowLock struct {
	holder   *transaction
	released chan struct{}
}

// lock takes the row lock on key for t, which holds it to its end.
func (n *node) lock(ctx context.Context, key string, t *transaction) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		busy := n.tryLock(key, t)
		if busy == nil {
			return nil
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return sql.Errorf(sql.CodeCancelled, "canceling statement due to user request")
		case <-deadline.C:
			return sql.Errorf(sql.CodeLockTimeout, "canceling statement due to lock timeout")
		}
	}
}

// tryLock returns nil when t holds the lock, or else a channel that is closed
// when its holder releases it.
func (n *node) tryLock(key string, t *transaction) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	held, isHeld := n.locks[key]
	if isHeld && held.holder != t {
		return held.released
	}
	if !isHeld {
		n.locks[key] = &rowLock{holder: t, released: make(chan struct{})}
		t.locked = append(t.locked, key)
	}
	return nil
}

// unlock releases the locks of t. The caller holds the mutex.
func (n *node) unlock(t *transaction) {
	for _, key := range t.locked {
		close(n.locks[key].released)
		delete(n.locks, key)
	}
	t.locked = nil
}
