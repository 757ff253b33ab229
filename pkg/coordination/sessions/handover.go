package sessions

import (
	"context"
	"time"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// Run hands over the marks of lost writes to the sessions' homes, until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(handoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.handOver(ctx)
		}
	}
}

// handOver sends what is to be handed over, and tells the members once
// nothing is.
func (s *Service) handOver(ctx context.Context) {
	row, members, lost := s.handovers()
	if row == 0 {
		return
	}
	for _, mark := range lost {
		if !s.handOverOne(ctx, mark) {
			return
		}
	}
	s.HandedOver(s.config.Self, row)
	if !s.announces(row) {
		return
	}
	for _, member := range members {
		if member.ID != s.config.Self {
			s.config.Peers.HandedOver(member.ID, row)
		}
	}
}

// announces reports whether the members are told in this round that nothing is
// left: in the first rounds after a new row, while links to new members may
// not stand yet, and from then on seldom, so that the messages of many members
// stay few.
func (s *Service) announces(row model.RowVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row != s.announcedRow {
		s.announcedRow, s.rounds = row, 0
	}
	s.rounds++
	return s.rounds <= announceRounds || s.rounds%announceInterval == 0
}

// handovers returns the marks to hand over as of the newest row.
func (s *Service) handovers() (model.RowVersion, []model.Member, []marks.LostMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		return 0, nil, nil
	}
	lost := append(s.home.PendingHandover(), s.ledger.PendingHandover(s.set)...)
	return s.row, s.members, lost
}

func (s *Service) handOverOne(ctx context.Context, lost marks.LostMark) bool {
	if !s.deliver(ctx, lost) {
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

// deliver gives a lost mark to its home, which may be this instance.
func (s *Service) deliver(ctx context.Context, lost marks.LostMark) bool {
	if lost.Target.Home == s.config.Self {
		return s.AcceptLostMark(lost.Key, lost.Mark, lost.Target.Version) == marks.StoreDone
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	status, err := s.config.Peers.HandOver(ctx, lost)
	return err == nil && status == marks.StoreDone
}
