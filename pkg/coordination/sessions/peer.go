package sessions

import (
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// StoreMark stores the mark of a write with this instance as the home. version is
// the version of the members by which the writer chose this home.
func (s *Service) StoreMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus {
	s.mu.Lock()
	status := s.home.Store(key, mark, version)
	s.mu.Unlock()
	if status == marks.StoreRefused {
		s.config.RefreshHead()
	}
	return status
}

// AskMark returns a session's marks with this instance as the home. version is the
// version of the members by which the reader chose this home.
func (s *Service) AskMark(key marks.Key, version uint64) marks.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Ask(key, version)
}

// ApplyLossReported records on this instance that a session was told of the loss
// of its writes up to mark.
func (s *Service) ApplyLossReported(key marks.Key, mark model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home.LossReported(key, mark)
	s.ledger.LossReported(key, mark)
}

// AcceptLostMark stores the mark of a lost write with this instance as the home.
func (s *Service) AcceptLostMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.AcceptLostMark(key, mark, version)
}

// HandedOver records that a member has nothing left to hand over as of this version
// of the head row.
func (s *Service) HandedOver(from model.InstanceID, version model.RowVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home.HandedOver(s.config.Clock.Now(), from, version)
}
