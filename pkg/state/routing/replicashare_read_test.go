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

// generateLoad starts a read or write of a random session, and schedules the
// next one.
func (s *shareSimulation) generateLoad() {
	rate := shareLoadFactor * float64(s.slots) / shareServiceTime.Seconds()
	s.after(time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), s.generateLoad)
	number := s.random.IntN(shareSessions)
	inst := s.instances[number%shareInstances]
	if s.roaming {
		inst = s.instances[s.random.IntN(shareInstances)]
	}
	session := model.SessionID(fmt.Sprint(number))
	s.dbs[2].stuck = s.stuck
	if s.random.Float64() < shareWriteFraction {
		s.execute(inst, 0, func() { s.commit(inst, session) })
		return
	}
	r := &shareRead{instance: inst, session: session, route: &bundle.Route{Group: group, ReadOnly: true}, arrived: s.now}
	r.required = s.lastAcknowledged
	if s.random.IntN(2) == 0 {
		r.route.MaxAge = shareAge
		r.required = s.acknowledged[session]
	}
	s.choose(r)
}

// commit stores the write's mark at the home of the session, and then
// acknowledges the write.
func (s *shareSimulation) commit(inst *shareInstance, session model.SessionID) {
	s.committed = append(s.committed, s.now)
	position := model.LSN(len(s.committed))
	s.after(s.oneWay, func() {
		home := s.homeOf(session)
		s.after(s.delay(inst, home), func() {
			home.home.Store(marks.Key{Session: session, Group: group}, at(position), 1)
			s.after(s.delay(inst, home), func() {
				s.acknowledged[session] = max(s.acknowledged[session], position)
				s.lastAcknowledged = max(s.lastAcknowledged, position)
			})
		})
	})
}

// homeOf returns the instance that stores the session's marks.
func (s *shareSimulation) homeOf(session model.SessionID) *shareInstance {
	target, _ := s.view.ReadTarget(0, session)
	i := slices.IndexFunc(s.instances, func(inst *shareInstance) bool { return inst.id == target.Home })
	return s.instances[i]
}

// delay returns the network latency between two instances.
func (s *shareSimulation) delay(a, b *shareInstance) time.Duration {
	if a == b {
		return 0
	}
	return s.oneWay
}

// choose routes a read, and obtains the information that Choose needs.
func (s *shareSimulation) choose(r *shareRead) {
	decision, refusal := routing.Choose(s.now, s.snapshot(r.instance), routing.Request{
		Route: r.route, ReadOnly: true, Floor: r.floor, FloorKind: r.kind, Rand: s.random.Uint64(),
		Outstanding: r.instance.outstanding, Exclude: r.exclude,
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
		s.pollReplica(r, decision, s.now+decision.MaxWait)
	default:
		s.runRead(r, decision)
	}
}

func (s *shareSimulation) askHome(r *shareRead) {
	home := s.homeOf(r.session)
	s.after(s.delay(r.instance, home), func() {
		answer := home.home.Ask(marks.Key{Session: r.session, Group: group}, 1)
		r.floor, r.kind = answer.Mark, routing.FloorMarks
		s.after(s.delay(r.instance, home), func() { s.choose(r) })
	})
}

// pollReplica polls the position of the replica until it has reached the floor,
// or the time until has passed.
func (s *shareSimulation) pollReplica(r *shareRead, decision routing.Decision, until time.Duration) {
	db := s.databaseIndex(decision.Upstream)
	s.after(s.oneWay, func() {
		seen := at(s.position(s.dbs[db]))
		s.after(s.oneWay, func() {
			switch {
			case !seen.Before(decision.WaitFor):
				s.runRead(r, decision)
			case s.now >= until:
				r.exclude = decision.Upstream
				s.choose(r)
			default:
				s.after(2*time.Millisecond, func() { s.pollReplica(r, decision, until) })
			}
		})
	})
}

func (s *shareSimulation) databaseIndex(id model.UpstreamID) int {
	return slices.IndexFunc(s.dbs, func(db *shareDatabase) bool { return db.id == id })
}

func (s *shareSimulation) runRead(r *shareRead, decision routing.Decision) {
	i := s.databaseIndex(decision.Upstream)
	// The check when the statement is sent is sufficient, because the position
	// of the database only grows until the statement runs.
	if s.position(s.dbs[i]) < r.required {
		s.result.violations++
	}
	s.execute(r.instance, i, func() {
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

// execute runs a statement on a database, and calls done when it ends.
func (s *shareSimulation) execute(inst *shareInstance, i int, done func()) {
	db := s.dbs[i]
	inst.outstanding[i]++
	s.after(s.oneWay, func() { s.startStatement(inst, i, db, done) })
}

func (s *shareSimulation) startStatement(inst *shareInstance, i int, db *shareDatabase, done func()) {
	if db.busySlots >= s.slots {
		db.backlog = append(db.backlog, func() { s.startStatement(inst, i, db, done) })
		return
	}
	db.busySlots++
	s.after(time.Duration(s.random.ExpFloat64()*float64(shareServiceTime)), func() {
		db.busySlots--
		inst.outstanding[i]--
		done()
		if len(db.backlog) > 0 {
			next := db.backlog[0]
			db.backlog = db.backlog[1:]
			next()
		}
	})
}

func (s *shareSimulation) finish() shareResult {
	slices.Sort(s.latencies)
	if count := len(s.latencies); count > 0 {
		s.result.p50 = s.latencies[count/2]
		s.result.p99 = s.latencies[count*99/100]
		s.result.replicaShare = float64(s.replicas) / float64(count)
	}
	for _, inst := range s.instances {
		s.result.marksHeld += inst.home.Size().Marks
	}
	return s.result
}
