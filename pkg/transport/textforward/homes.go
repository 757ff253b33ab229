package textforward

import (
	"sync"

	"gypsumdock/pkg/state/model"
)

// maxCachedOrders bounds the number of cached orders. When it is reached all are
// dropped, and computed again when they are needed.
const maxCachedOrders = 4096

// CallerOrder returns the servers of a group in the order in which they are used
// for a caller, or false if the caller has no home. It must be safe for concurrent
// use.
type CallerOrder = func(group model.GroupID, caller model.CallerName) ([]model.InstanceID, bool)

// homes holds the orders by caller that were computed for a topology.
type homes struct {
	self  model.InstanceID
	order CallerOrder

	mu     sync.Mutex
	cached map[homeKey][]model.InstanceID
}

type homeKey struct {
	group  model.GroupID
	caller model.CallerName
}

// SetCallerOrder replaces the function that orders the servers for a caller with
// a home. self is this instance.
func (f *Forwarder) SetCallerOrder(self model.InstanceID, order CallerOrder) {
	f.homes.Store(&homes{self: self, order: order, cached: make(map[homeKey][]model.InstanceID)})
}

// Home returns the home server of a caller in a group. It returns false if the
// caller has none, or if that is this instance or has failed recently.
func (f *Forwarder) Home(group model.GroupID, caller model.CallerName) (model.InstanceID, bool) {
	ordered := f.homeOrder(group, caller)
	if len(ordered) == 0 || ordered[0] == f.homes.Load().self || f.isAvoided(ordered[0]) {
		return "", false
	}
	return ordered[0], true
}

// order returns the servers of a group in the order of preference, which the
// caller of order must not change.
func (f *Forwarder) order(group model.GroupID, caller model.CallerName) []model.InstanceID {
	if ordered := f.homeOrder(group, caller); ordered != nil {
		return ordered
	}
	if orders := f.orders.Load(); orders != nil {
		return (*orders)[group]
	}
	return nil
}

// homeOrder returns the order for a caller with a home, and nil for others.
func (f *Forwarder) homeOrder(group model.GroupID, caller model.CallerName) []model.InstanceID {
	known := f.homes.Load()
	if caller == "" || known == nil {
		return nil
	}
	return known.lookUp(homeKey{group: group, caller: caller})
}

func (h *homes) lookUp(key homeKey) []model.InstanceID {
	h.mu.Lock()
	defer h.mu.Unlock()
	ordered, known := h.cached[key]
	if known {
		return ordered
	}
	if len(h.cached) >= maxCachedOrders {
		clear(h.cached)
	}
	ordered, hasHome := h.order(key.group, key.caller)
	if !hasHome {
		ordered = nil
	}
	h.cached[key] = ordered
	return ordered
}
