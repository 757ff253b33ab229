package textfront

import (
	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// mustForward reports whether another instance has to execute a unit of the
// route, as this one does not serve its group or is not the home of the caller. A
// unit that a peer has forwarded stays here.
func (s *session) mustForward(route *catalog.Route) bool {
	if s.forwarded != nil {
		return false
	}
	if s.unconfirmed || !s.server.config.Dispatch.Serves(route.Group) {
		return true
	}
	_, elsewhere := s.homeElsewhere(route)
	return elsewhere
}

// homeElsewhere returns the home server of the session's caller, if that is
// another instance which has not failed recently.
func (s *session) homeElsewhere(route *catalog.Route) (model.InstanceID, bool) {
	if s.caller == "" || s.server.config.Forwarder == nil {
		return "", false
	}
	return s.server.config.Forwarder.Home(route.Group, s.caller)
}

// servesItself reports whether this instance can execute the unit, so that it
// needs no other server than the home of its caller. It does not execute a unit
// whose key the home found invalid: its own configuration may be older.
func (f *forwarding) servesItself() bool {
	return !f.denied && f.session.server.config.Dispatch.Serves(f.route.Group) && f.session.isConfirmed(f.arrived)
}

// servers returns the servers to which the unit may be sent, in the order in which
// they are tried.
func (f *forwarding) servers() []model.InstanceID {
	if !f.servesItself() {
		return f.forwarder().Ordered(f.need())
	}
	if home, found := f.session.homeElsewhere(f.route); found {
		return []model.InstanceID{home}
	}
	return nil
}

// localTransaction replaces the transaction, no statement of which has been
// answered, by one that this instance executes. It returns false if this instance
// does not serve the group.
func (tx *forwardedTransaction) localTransaction() (*transaction, bool) {
	if !tx.servesItself() {
		return nil, false
	}
	return newTransaction(tx.session, tx.route, tx.readOnly), true
}
