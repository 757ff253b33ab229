package marks_test

import (
	"fmt"

	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
)

// beginWrite commits a write on the primary and stores its mark.
func (w *world) beginWrite(n *node, session model.SessionID) {
	if n.generation() != w.generation() {
		return
	}
	w.position++
	mark := w.present()
	key := marks.Key{Session: session, Group: hire}
	placement, _ := n.view.PlaceMark(n.clock(w.now), session)
	placement.Complete = placement.Complete && n.home.Joined(n.clock(w.now))
	for i, target := range placement.Targets {
		call(w, target.Home, func(home *node) marks.StoreStatus {
			return home.home.Store(key, mark, target.Version)
		}, func(status marks.StoreStatus) {
			placement.RecordAnswer(i, status)
			if placement.Progress() == marks.PlacementStored {
				w.acknowledge(n, session, write{mark: mark, writer: n, home: w.find(placement.Targets[0].Home)})
			}
		})
	}
	w.send(func() { // the fallback: every replica has applied the write
		if w.hasWrite(w.replicas[0], mark) && w.hasWrite(w.replicas[1], mark) {
			w.acknowledge(n, session, write{mark: mark, writer: n})
		}
	})
}

func (w *world) acknowledge(n *node, session model.SessionID, done write) {
	if n.dead || done.mark.Generation != w.generation() {
		return
	}
	n.ledger.Record(marks.Key{Session: session, Group: hire}, done.mark)
	if w.acked[session].mark.Before(done.mark) {
		w.acked[session] = done
	}
}

// beginRead asks the session's home, and then checks what each replica that
// the answer allows would serve.
func (w *world) beginRead(n *node, session model.SessionID) {
	wanted := w.acked[session]
	key := marks.Key{Session: session, Group: hire}
	if w.ownLoss(n, key) {
		return
	}
	target, ok := n.view.ReadTarget(n.clock(w.now), session)
	if !ok {
		w.checkOwn(n, session, wanted)
		return
	}
	call(w, target.Home, func(home *node) marks.Answer {
		return home.home.Ask(key, target.Version)
	}, func(answer marks.Answer) {
		switch {
		case n.dead || w.ownLoss(n, key):
			return
		case answer.Status == marks.AskUnknown:
			w.checkOwn(n, session, wanted)
			return
		case answer.Status == marks.AskLost || !marks.Survived(answer.Mark, n.head.Groups[0]):
			w.warned++
			w.told[session] = w.told[session].Max(answer.Mark)
			call(w, target.Home, func(home *node) bool { w.tell(home, key, answer.Mark); return true }, func(bool) {})
			return
		}
		w.checkRead(n, session, wanted, answer.Mark)
	})
}

// tell clears a lost mark at its home and in all ledgers.
func (w *world) tell(home *node, key marks.Key, mark model.Mark) {
	home.home.LossReported(key, mark)
	for _, member := range home.head.Members {
		call(w, member.ID, func(to *node) bool { to.ledger.LossReported(key, mark); return true }, func(bool) {})
	}
}

// ownLoss tells the session of a loss that the node's own ledger knows.
func (w *world) ownLoss(n *node, key marks.Key) bool {
	mark, lost := n.ledger.Lost(key)
	if lost {
		w.warned++
		w.told[key.Session] = w.told[key.Session].Max(mark)
		w.tell(n, key, mark)
	}
	return lost
}

// checkOwn checks a read whose home cannot answer. It is served by a sample of
// the primary; a write that the same instance acknowledged, and that was lost,
// must have been noticed.
func (w *world) checkOwn(n *node, session model.SessionID, wanted write) {
	untold := wanted.writer == n && w.told[session].Before(wanted.mark)
	if untold && n.generation() == w.generation() && !w.survives(wanted.mark) {
		w.violation = fmt.Errorf("%s is not told of the loss of %v by its own instance", session, wanted.mark)
	}
}

func (w *world) checkRead(n *node, session model.SessionID, wanted write, floor model.Mark) {
	if wanted.mark.IsZero() {
		return
	}
	lost := !w.survives(wanted.mark)
	if lost && (!wanted.isKept() || !w.told[session].Before(wanted.mark)) {
		return
	}
	for _, r := range w.replicas {
		allowed := !r.applied.Before(floor) && r.applied.Generation <= n.generation()
		if !allowed {
			continue
		}
		w.served++
		if !w.hasWrite(r, wanted.mark) {
			w.violation = fmt.Errorf("%s reads %v below its write %v, floor %v", session, r.applied, wanted.mark, floor)
		}
	}
}
