package sessions

import (
	"context"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Ask returns the position that the session's reads in the group must find
// applied, or that a write of the session was lost. The status is AskUnknown if
// the home is not reachable or does not know. A loss that is in this instance's own
// ledger is reported even then.
func (s *Service) Ask(ctx context.Context, key marks.Key) marks.Answer {
	answer := s.askHome(ctx, key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost, found := s.ledger.Lost(key); found {
		return marks.Answer{Status: marks.AskLost, Mark: lost.Max(answer.Mark)}
	}
	return answer
}

// askHome asks the session's home, which may be this instance.
func (s *Service) askHome(ctx context.Context, key marks.Key) marks.Answer {
	s.mu.Lock()
	target, confirmed := s.view.ReadTarget(s.config.Clock.Now(), key.Session)
	if confirmed && target.Home == s.config.Self {
		defer s.mu.Unlock()
		return s.home.Ask(key, target.Version)
	}
	s.mu.Unlock()
	if !confirmed {
		return marks.Answer{}
	}
	answer, err := s.config.Peers.AskMark(ctx, target, key)
	if err != nil {
		return marks.Answer{}
	}
	return answer
}

// LossReported records that the session was told of the loss of its writes up to
// mark. It tells all members, since their ledgers may contain the lost marks as well
// as the home.
func (s *Service) LossReported(key marks.Key, mark model.Mark) {
	s.ApplyLossReported(key, mark)
	s.mu.Lock()
	members := s.members
	s.mu.Unlock()
	for _, member := range members {
		if member.ID != s.config.Self {
			s.config.Peers.SendLossReported(member.ID, key, mark)
		}
	}
}
