package balance

import (
	"time"
)

const (
	// maxCandidates bounds the number of candidates that are considered.
	maxCandidates = 16
	// targetMargin is the ratio of the target to the expected time below which a
	// unit counts as late. The expectation is a mean, and the queue of the server
	// grows until the next answer.
	targetMargin = 1.5
	// farFactor is the ratio of the expected times from which another data centre
	// is used.
	farFactor = 1.25
)

// Choose returns the index of the candidate to which the unit should be sent
// first, or -1 if there are none. Of two near servers, which the random value
// selects, it is the one that is expected to answer sooner. A server in another
// data centre is chosen only if the near one is avoided or would miss the unit's
// target. A server that is avoided gets a trial now and then.
func (b *Balance) Choose(now time.Duration, candidates []Candidate, unit Unit, random uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	candidates = candidates[:min(len(candidates), maxCandidates)]
	reference := b.reference(unit.Route)
	var known [maxCandidates]*server
	for i, candidate := range candidates {
		known[i] = b.server(candidate.Server)
	}
	servers := known[:len(candidates)]
	startTrials(now, servers, reference)
	if i := dueTrial(now, candidates, servers, unit); i >= 0 {
		servers[i].trial.Sent(now)
		return i
	}
	pick := picker{now: now, candidates: candidates, servers: servers, reference: reference, random: random, hasHome: unit.HasHome}
	near := pick.best(true)
	far := pick.best(false)
	switch {
	case near < 0 && far < 0:
		return 0
	case near < 0:
		return far
	case far < 0 || unit.TimeToTarget <= 0:
		return near
	}
	if pick.expected(near) <= time.Duration(float64(unit.TimeToTarget)/targetMargin) || pick.expected(far) >= time.Duration(float64(pick.expected(near))/farFactor) {
		return near
	}
	return far
}

// startTrials avoids the servers that are clearly slower than the fastest.
func startTrials(now time.Duration, servers []*server, reference time.Duration) {
	var slowness [maxCandidates]float64
	first, second := -1, -1
	for i, s := range servers {
		slowness[i] = s.slowness(now)
		if s.trial.Active() {
			continue
		}
		switch {
		case first < 0 || slowness[i] < slowness[first]:
			first, second = i, first
		case second < 0 || slowness[i] < slowness[second]:
			second = i
		}
	}
	if second < 0 {
		return
	}
	for i, s := range servers {
		if i != first && !s.trial.Active() && isClearlyAbove(slowness[i], slowness[first], max(reference, s.silentReference)) {
			s.trial.Start(now)
		}
	}
}

// dueTrial returns the index of an avoided server that gets this unit as a
// trial, or -1. Only servers that the unit would use otherwise are tried.
func dueTrial(now time.Duration, candidates []Candidate, servers []*server, unit Unit) int {
	for i, s := range servers {
		usual := candidates[i].Near || unit.HasHome && i == 0
		if usual && s.trial.Active() && s.outstanding == 0 && s.trial.Admits(now) {
			return i
		}
	}
	return -1
}

// picker finds the best of two candidates.
type picker struct {
	now        time.Duration
	candidates []Candidate
	servers    []*server
	reference  time.Duration
	random     uint64
	hasHome    bool
}

func (p *picker) expected(i int) time.Duration {
	expected := p.servers[i].expected(p.now, p.reference)
	if !p.isNear(i) {
		expected += remoteDelay
	}
	return expected
}

// isNear reports whether a candidate is used without need. A home counts as near.
func (p *picker) isNear(i int) bool { return p.candidates[i].Near || p.hasHome && i == 0 }

// best returns the better of two near or of two other candidates, or -1. A home
// is one of the two, and is left only if the other is better by keepFactor.
func (p *picker) best(near bool) int {
	var usable [maxCandidates]int
	count := 0
	for i := range p.candidates {
		if p.isNear(i) == near && !p.servers[i].trial.Active() {
			usable[count] = i
			count++
		}
	}
	switch count {
	case 0:
		return -1
	case 1:
		return usable[0]
	}
	home := p.hasHome && usable[0] == 0
	first := 0
	if !home {
		first = int(p.random % uint64(count))
	}
	second := (first + 1 + int((p.random>>32)%uint64(count-1))) % count
	a, b := usable[first], usable[second]
	limit := p.expected(a)
	if home {
		limit /= keepFactor
	}
	if p.expected(b) < limit {
		return b
	}
	return a
}
