package sessions

import (
	"context"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Run hands the marks of lost writes over to the sessions' homes until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.handOverLostMarks(ctx)
		}
	}
}

// handOverLostMarks sends the lost marks to their homes. Once none is left, it
// tells the members.
func (s *Service) handOverLostMarks(ctx context.Context) {
	version, members, lost := s.pendingHandovers()
	if version == 0 {
		return
	}
	for _, mark := range lost {
		if !s.handOverOne(ctx, mark) {
			return
		}
	}
	s.HandedOver(s.config.Self, version)
	if !s.shouldAnnounce(version) {
		return
	}
	for _, member := range members {
		if member.ID != s.config.Self {
			s.config.Peers.HandedOver(member.ID, version)
		}
	}
}

// shouldAnnounce reports whether the members are told in this round that nothing is
// left. They are told in the first rounds after a new head row, when connections to
// new members may not be open yet, and seldom afterwards, to keep the number of
// messages in a large cluster low.
func (s *Service) shouldAnnounce(version model.RowVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != s.announcedVersion {
		s.announcedVersion, s.rounds = version, 0
	}
	s.rounds++
	return s.rounds <= firstAnnounceRounds || s.rounds%announceEveryRounds == 0
}

// pendingHandovers returns the newest version of the head row, its members, and the
// lost marks to hand over as of it. The version is 0 before the first row.
func (s *Service) pendingHandovers() (model.RowVersion, []model.Member, []marks.LostMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memberSet == nil {
		return 0, nil, nil
	}
	lost := append(s.home.PendingHandover(), s.ledger.PendingHandover(s.memberSet)...)
	return s.headVersion, s.members, lost
}

// handOverOne hands one lost mark over and reports whether its home accepted it.
func (s *Service) handOverOne(ctx context.Context, lost marks.LostMark) bool {
	if !s.sendLostMark(ctx, lost) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost.Target.Home != s.config.Self {
		s.home.LossReported(lost.Key, lost.Mark)
	}
	s.ledger.HandoverAccepted(lost)
	return true
}

// sendLostMark sends a lost mark to its home, which may be this instance, and
// reports whether it was accepted.
func (s *Service) sendLostMark(ctx context.Context, lost marks.LostMark) bool {
	if lost.Target.Home == s.config.Self {
		return s.AcceptLostMark(lost.Key, lost.Mark, lost.Target.Version) == marks.StoreDone
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	status, err := s.config.Peers.HandOver(ctx, lost)
	return err == nil && status == marks.StoreDone
}
