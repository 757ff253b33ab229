package marks_test

import (
	"fmt"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// beginWrite commits a write on the primary and sends its mark to the targets.
func (s *simulation) beginWrite(n *node, session model.SessionID) {
	if n.generation() != s.generation() {
		return
	}
	s.position++
	mark := s.primaryMark()
	key := marks.Key{Session: session, Group: testGroup}
	placement, _ := n.view.PlaceMark(n.clock(s.now), session)
	placement.Complete = placement.Complete && n.home.Joined(n.clock(s.now))
	for i, target := range placement.Targets {
		call(s, target.Home, func(home *node) marks.StoreStatus {
			return home.home.Store(key, mark, target.Version)
		}, func(status marks.StoreStatus) {
			placement.RecordAnswer(i, status)
			if placement.Progress() == marks.PlacementStored {
				s.acknowledge(n, session, write{mark: mark, writer: n, home: s.find(placement.Targets[0].Home)})
			}
		})
	}
	s.send(func() { // the fallback: acknowledge if every replica has applied the write
		if s.hasWrite(s.replicas[0], mark) && s.hasWrite(s.replicas[1], mark) {
			s.acknowledge(n, session, write{mark: mark, writer: n})
		}
	})
}

func (s *simulation) acknowledge(n *node, session model.SessionID, done write) {
	if n.dead || done.mark.Generation != s.generation() {
		return
	}
	n.ledger.Record(marks.Key{Session: session, Group: testGroup}, done.mark)
	if s.acked[session].mark.Before(done.mark) {
		s.acked[session] = done
	}
}

// beginRead asks the session's home for its mark and then checks the data of
// each replica that the answer allows.
func (s *simulation) beginRead(n *node, session model.SessionID) {
	lastWrite := s.acked[session]
	key := marks.Key{Session: session, Group: testGroup}
	if s.reportOwnLoss(n, key) {
		return
	}
	target, ok := n.view.ReadTarget(n.clock(s.now), session)
	if !ok {
		s.checkUnansweredRead(n, session, lastWrite)
		return
	}
	call(s, target.Home, func(home *node) marks.Answer {
		return home.home.Ask(key, target.Version)
	}, func(answer marks.Answer) {
		switch {
		case n.dead || s.reportOwnLoss(n, key):
			return
		case answer.Status == marks.AskUnknown:
			s.checkUnansweredRead(n, session, lastWrite)
			return
		case answer.Status == marks.AskLost || !marks.Survived(answer.Mark, n.head.Groups[0]):
			s.lossReports++
			s.reported[session] = s.reported[session].Max(answer.Mark)
			call(s, target.Home, func(home *node) bool { s.reportLoss(home, key, answer.Mark); return true }, func(bool) {})
			return
		}
		s.checkRead(n, session, lastWrite, answer.Mark)
	})
}

// reportLoss clears a lost mark at its home and in all ledgers.
func (s *simulation) reportLoss(home *node, key marks.Key, mark model.Mark) {
	home.home.LossReported(key, mark)
	for _, member := range home.head.Members {
		call(s, member.ID, func(to *node) bool { to.ledger.LossReported(key, mark); return true }, func(bool) {})
	}
}

// reportOwnLoss tells the session of a loss that the node's own ledger holds,
// and reports whether there was one.
func (s *simulation) reportOwnLoss(n *node, key marks.Key) bool {
	mark, lost := n.ledger.Lost(key)
	if lost {
		s.lossReports++
		s.reported[key.Session] = s.reported[key.Session].Max(mark)
		s.reportLoss(n, key, mark)
	}
	return lost
}

// checkUnansweredRead checks a read whose home cannot answer. Such a read uses
// a fresh sample of the primary as its floor. If the same instance acknowledged
// the session's last write and that write was lost, the session must have been
// told.
func (s *simulation) checkUnansweredRead(n *node, session model.SessionID, lastWrite write) {
	unreported := lastWrite.writer == n && s.reported[session].Before(lastWrite.mark)
	if unreported && n.generation() == s.generation() && !s.survives(lastWrite.mark) {
		s.violation = fmt.Errorf("%s is not told of the loss of %v by its own instance", session, lastWrite.mark)
	}
}

// checkRead checks that each replica that has applied floor has the session's
// last write.
func (s *simulation) checkRead(n *node, session model.SessionID, lastWrite write, floor model.Mark) {
	if lastWrite.mark.IsZero() {
		return
	}
	lost := !s.survives(lastWrite.mark)
	if lost && (!lastWrite.isMarkKept() || !s.reported[session].Before(lastWrite.mark)) {
		return
	}
	for _, r := range s.replicas {
		allowed := !r.applied.Before(floor) && r.applied.Generation <= n.generation()
		if !allowed {
			continue
		}
		s.readsChecked++
		if !s.hasWrite(r, lastWrite.mark) {
			s.violation = fmt.Errorf("%s reads %v below its write %v, floor %v", session, r.applied, lastWrite.mark, floor)
		}
	}
}
