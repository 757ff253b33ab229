package routing_test

import (
	"fmt"
	"slices"
	"time"

	"gypsumdock/pkg/state/bundle"
	"gypsumdock/pkg/state/marks"
	"gypsumdock/pkg/state/model"
	"gypsumdock/pkg/state/routing"
)

func (s *shareSim) arrive() {
	rate := shareLoad * float64(s.slots) / shareService.Seconds()
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), s.arrive)
	number := s.random.IntN(shareSessions)
	n := s.nodes[number%shareNodes]
	if s.roaming {
		n = s.nodes[s.random.IntN(shareNodes)]
	}
	session := model.SessionID(fmt.Sprint(number))
	s.dbs[2].stuck = s.stuck
	if s.random.Float64() < shareWrites {
		s.execute(n, 0, func() { s.commit(n, session) })
		return
	}
	r := &shareRead{node: n, session: session, route: &bundle.Route{Group: group, ReadOnly: true}, arrived: s.now}
	r.required = s.ackedAll
	if s.random.IntN(2) == 0 {
		r.route.MaxAge = shareAge
		r.required = s.acked[session]
	}
	s.choose(r)
}

// commit stores the mark and then acknowledges the write.
func (s *shareSim) commit(n *shareNode, session model.SessionID) {
	s.committed = append(s.committed, s.now)
	position := model.LSN(len(s.committed))
	s.after(s.oneWay, func() {
		home := s.home(session)
		s.after(s.hop(n, home), func() {
			home.home.Store(marks.Key{Session: session, Group: group}, at(position), 1)
			s.after(s.hop(n, home), func() {
				s.acked[session] = max(s.acked[session], position)
				s.ackedAll = max(s.ackedAll, position)
			})
		})
	})
}

func (s *shareSim) home(session model.SessionID) *shareNode {
	target, _ := s.view.ReadTarget(0, session)
	i := slices.IndexFunc(s.nodes, func(n *shareNode) bool { return n.id == target.Home })
	return s.nodes[i]
}

func (s *shareSim) hop(a, b *shareNode) time.Duration {
	if a == b {
		return 0
	}
	return s.oneWay
}

// choose routes a read as an instance does.
func (s *shareSim) choose(r *shareRead) {
	decision, refusal := routing.Choose(s.now, s.snapshot(r.node), routing.Request{
		Route: r.route, ReadOnly: true, Floor: r.floor, FloorKind: r.kind, Rand: s.random.Uint64(),
		Outstanding: r.node.running, Exclude: r.exclude,
	})
	switch {
	case refusal != nil:
		s.result.refused++
	case decision.Need == routing.NeedMarks:
		s.askHome(r)
	case decision.Need == routing.NeedSample:
		s.after(s.oneWay, func() {
			r.floor, r.kind = at(s.position(s.dbs[0])), routing.FloorSample
			s.after(s.oneWay, func() { s.choose(r) })
		})
	case !decision.WaitFor.IsZero():
		s.wait(r, decision, s.now+decision.MaxWait)
	default:
		s.read(r, decision)
	}
}

func (s *shareSim) askHome(r *shareRead) {
	home := s.home(r.session)
	s.after(s.hop(r.node, home), func() {
		answer := home.home.Ask(marks.Key{Session: r.session, Group: group}, 1)
		r.floor, r.kind = answer.Mark, routing.FloorMarks
		s.after(s.hop(r.node, home), func() { s.choose(r) })
	})
}

// wait asks the replica for its position until it has reached the floor.
func (s *shareSim) wait(r *shareRead, decision routing.Decision, until time.Duration) {
	db := s.find(decision.Upstream)
	s.after(s.oneWay, func() {
		seen := at(s.position(s.dbs[db]))
		s.after(s.oneWay, func() {
			switch {
			case !seen.Before(decision.WaitFor):
				s.read(r, decision)
			case s.now >= until:
				r.exclude = decision.Upstream
				s.choose(r)
			default:
				s.after(2*time.Millisecond, func() { s.wait(r, decision, until) })
			}
		})
	})
}

func (s *shareSim) find(id model.UpstreamID) int {
	return slices.IndexFunc(s.dbs, func(db *shareDB) bool { return db.id == id })
}

func (s *shareSim) read(r *shareRead, decision routing.Decision) {
	i := s.find(decision.Upstream)
	// The check is made when the statement is sent: the position only grows
	// until it runs.
	if s.position(s.dbs[i]) < r.required {
		s.result.violations++
	}
	s.execute(r.node, i, func() {
		if r.arrived < s.from {
			return
		}
		s.result.reads++
		if !decision.Primary {
			s.replicas++
		}
		s.latencies = append(s.latencies, s.now+s.oneWay-r.arrived)
	})
}

// execute runs a statement on a database; done is called when it ends.
func (s *shareSim) execute(n *shareNode, i int, done func()) {
	db := s.dbs[i]
	n.running[i]++
	s.after(s.oneWay, func() { s.start(n, i, db, done) })
}

func (s *shareSim) start(n *shareNode, i int, db *shareDB, done func()) {
	if db.busy >= s.slots {
		db.backlog = append(db.backlog, func() { s.start(n, i, db, done) })
		return
	}
	db.busy++
	s.after(time.Duration(s.random.ExpFloat64()*float64(shareService)), func() {
		db.busy--
		n.running[i]--
		done()
		if len(db.backlog) > 0 {
			next := db.backlog[0]
			db.backlog = db.backlog[1:]
			next()
		}
	})
}

func (s *shareSim) finish() shareResult {
	slices.Sort(s.latencies)
	if count := len(s.latencies); count > 0 {
		s.result.p50 = s.latencies[count/2]
		s.result.p99 = s.latencies[count*99/100]
		s.result.replicaShare = float64(s.replicas) / float64(count)
	}
	for _, n := range s.nodes {
		s.result.marksHeld += n.home.Size().Marks
	}
	return s.result
}
