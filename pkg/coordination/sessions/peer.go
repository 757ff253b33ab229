package sessions

import (
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// StoreMark answers a peer that stores the mark of a write here.
func (s *Service) StoreMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus {
	s.mu.Lock()
	status := s.home.Store(key, mark, version)
	s.mu.Unlock()
	if status == marks.StoreRefused {
		s.config.RefreshHead()
	}
	return status
}

// AskMark answers a peer that asks for a session's marks.
func (s *Service) AskMark(key marks.Key, version uint64) marks.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Ask(key, version)
}

// ApplyLossReported takes that a session was told of the loss of its writes.
func (s *Service) ApplyLossReported(key marks.Key, mark model.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home.LossReported(key, mark)
	s.ledger.LossReported(key, mark)
}

// AcceptLostMark takes the mark of a lost write whose home is here.
func (s *Service) AcceptLostMark(key marks.Key, mark model.Mark, version uint64) marks.StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.AcceptLostMark(key, mark, version)
}

// HandedOver takes that a member has nothing to hand over as of the row.
func (s *Service) HandedOver(from model.InstanceID, row model.RowVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.home.HandedOver(s.config.Clock.Now(), from, row)
}
