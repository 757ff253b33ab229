package pgback

import "container/list"

// statements is the set of statements prepared on a connection, in the order
// of their last use and bounded in number.
type statements struct {
	limit int
	order *list.List
	byKey map[string]*list.Element
}

func newStatements(limit int) *statements {
	return &statements{limit: limit, order: list.New(), byKey: make(map[string]*list.Element)}
}

func (s *statements) prepare(name string) PreparedState {
	if element, found := s.byKey[name]; found {
		s.order.MoveToFront(element)
		return PreparedState{Known: true}
	}
	s.byKey[name] = s.order.PushFront(name)
	if s.order.Len() <= s.limit {
		return PreparedState{}
	}
	oldest := s.order.Back().Value.(string)
	s.forget(oldest)
	return PreparedState{Evicted: oldest}
}

func (s *statements) forget(name string) {
	element, found := s.byKey[name]
	if !found {
		return
	}
	s.order.Remove(element)
	delete(s.byKey, name)
}

func (s *statements) clear() {
	s.order.Init()
	clear(s.byKey)
}
