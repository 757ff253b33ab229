package textfront

import (
	"time"

	"gypsumdock/pkg/protocol/statement"
)

// openTransaction is a caller's transaction. It is executed by this instance
// (transaction) or by a server of its group (forwardedTransaction).
type openTransaction interface {
	// run answers a statement of the transaction.
	run(stmt boundStatement, arrived time.Duration)
	// commit commits the transaction and answers the caller.
	commit(request statement.Request, arrived time.Duration)
	// rollBack rolls back what is not committed. It can be called again.
	rollBack()
	idle() *idleTimer
}

var (
	_ openTransaction = (*transaction)(nil)
	_ openTransaction = (*forwardedTransaction)(nil)
)

// idleTimer bounds the time between two statements of a transaction.
type idleTimer struct {
	// expiresAt is when the transaction is rolled back if the caller sends
	// nothing; zero for never.
	expiresAt time.Time
	// rolledBack is set after a rollback of which the caller has not been told
	// yet.
	rolledBack bool
}

func (t *idleTimer) idle() *idleTimer { return t }

// restart restarts the time that the caller has for its next statement; zero
// sets no limit.
func (t *idleTimer) restart(limit time.Duration) {
	if limit > 0 {
		t.expiresAt = time.Now().Add(limit)
	}
}

func (t *idleTimer) isExpired(now time.Time) bool {
	return !t.expiresAt.IsZero() && !now.Before(t.expiresAt)
}
