package platformd

import (
	"strings"
	"sync"
	"time"
)

// Faults are the faults in force.
type Faults struct {
	// Down refuses every request with 503; Hang holds it until the client
	// gives up.
	Down bool `json:"down,omitempty"`
	Hang bool `json:"hang,omitempty"`
	// BeforeMS delays a request before it takes effect, and AfterMS its answer
	// afterwards. The request takes effect even when the client gave up.
	BeforeMS int `json:"before_ms,omitempty"`
	AfterMS  int `json:"after_ms,omitempty"`
	// LoseCommits is the number of commits whose answer is lost after they
	// took effect; LosePrefix limits it to those that write a key with the
	// prefix.
	LoseCommits int    `json:"lose_commits,omitempty"`
	LosePrefix  string `json:"lose_prefix,omitempty"`
	// ListLagMS is the lag of the instance list.
	ListLagMS int `json:"list_lag_ms,omitempty"`
}

func (f Faults) before() time.Duration  { return time.Duration(f.BeforeMS) * time.Millisecond }
func (f Faults) after() time.Duration   { return time.Duration(f.AfterMS) * time.Millisecond }
func (f Faults) listLag() time.Duration { return time.Duration(f.ListLagMS) * time.Millisecond }

type faultState struct {
	mu     sync.Mutex
	faults Faults
	// lost is the number of answers that were lost.
	lost int
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *faultState) set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// takeLoss reports whether the answer to a commit is lost, and counts it.
func (s *faultState) takeLoss(writes []write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseCommits == 0 || !touches(writes, s.faults.LosePrefix) {
		return false
	}
	s.faults.LoseCommits--
	s.lost++
	return true
}

func touches(writes []write, prefix string) bool {
	for _, w := range writes {
		if strings.HasPrefix(w.Key, prefix) {
			return true
		}
	}
	return false
}
