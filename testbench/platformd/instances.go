package platformd

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Instance is an entry of the list, in the protocol's form.
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// listChange is a change of the list; it shows once the lag has passed.
type listChange struct {
	at       time.Time
	instance Instance
	removed  bool
}

// instanceList is a list that lags behind its changes.
type instanceList struct {
	mu      sync.Mutex
	shown   map[string]Instance
	pending []listChange
}

func newInstanceList() *instanceList { return &instanceList{shown: make(map[string]Instance)} }

func (l *instanceList) change(instance Instance, removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{at: time.Now(), instance: instance, removed: removed})
}

// list returns the entries as they were before the lag, ordered by ID.
func (l *instanceList) list(lag time.Duration) []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-lag)
	for len(l.pending) > 0 && !l.pending[0].at.After(limit) {
		next := l.pending[0]
		l.pending = l.pending[1:]
		if next.removed {
			delete(l.shown, next.instance.ID)
		} else {
			l.shown[next.instance.ID] = next.instance
		}
	}
	all := make([]Instance, 0, len(l.shown))
	for _, instance := range l.shown {
		all = append(all, instance)
	}
	slices.SortFunc(all, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return all
}
