package pgback

import "container/list"

// statementCache holds the names of the statements prepared on a connection. It is
// bounded and evicts the least recently used.
type statementCache struct {
	limit int
	order *list.List
	byKey map[string]*list.Element
}

func newStatementCache(limit int) *statementCache {
	return &statementCache{limit: limit, order: list.New(), byKey: make(map[string]*list.Element)}
}

// prepare records the use of the statement named name.
func (s *statementCache) prepare(name string) PreparedState {
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

func (s *statementCache) forget(name string) {
	element, found := s.byKey[name]
	if !found {
		return
	}
	s.order.Remove(element)
	delete(s.byKey, name)
}

func (s *statementCache) clear() {
	s.order.Init()
	clear(s.byKey)
}
