package quota

import (
	"time"

	"gypsumdock/pkg/state/model"
)

// CallerState is what metrics show of a caller.
type CallerState struct {
	Caller model.CallerName
	// Used and Refused count the operations of this member.
	Used    uint64
	Refused uint64
	// Tokens is what the region has by the knowledge of this member.
	Tokens float64
}

// EachCaller calls show for each caller with a limit, ordered by name.
func (m *Machine) EachCaller(now time.Duration, show func(CallerState)) {
	m.advance(now)
	for _, name := range m.names {
		c := m.callers[name]
		m.fill(c, m.now)
		show(CallerState{Caller: name, Used: c.used, Refused: c.refused, Tokens: c.tokens})
	}
}

// InGroup reports whether this member divides the rates by demand, as of the
// last call with a time.
func (m *Machine) InGroup() bool { return m.inGroup() }
