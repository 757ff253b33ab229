package replay

import (
	"context"
	"fmt"
	"time"

	"gypsumdock/testbench/caller"
	"gypsumdock/testbench/history"
	"gypsumdock/testbench/upstreamd"
)

// Result is the outcome of a replay.
type Result struct {
	Title    string `json:"title"`
	Requests int    `json:"requests"`
	// Answered is the number of requests that ended with an answer.
	Answered int `json:"answered"`
	// Outcomes counts the requests by their last outcome.
	Outcomes map[history.Outcome]int `json:"outcomes"`
	Attempts int                     `json:"attempts"`
	// Reads is the number of reads that upstreams executed, and ReplicaReads
	// that of those which replicas executed.
	Reads        int                 `json:"reads"`
	ReplicaReads int                 `json:"replica_reads"`
	Gaps         []Gap               `json:"gaps,omitempty"`
	Violations   []history.Violation `json:"violations,omitempty"`
	// Failures lists the expected outcomes that were not reached.
	Failures []string `json:"failures,omitempty"`
}

// Gap is the time from the loss of a primary to the first acknowledged write
// of its group that started afterwards.
type Gap struct {
	Group string        `json:"group"`
	Gap   time.Duration `json:"gap"`
	// Closed is false when no write was acknowledged any more.
	Closed bool `json:"closed"`
}

func (p *player) result(ctx context.Context) (*Result, error) {
	log, err := p.cluster.Upstreams.Log(ctx, 0)
	if err != nil {
		return nil, err
	}
	r := &Result{
		Title:      p.trace.Header.Title,
		Requests:   len(p.requests),
		Outcomes:   make(map[history.Outcome]int),
		Violations: history.Check(p.log.Ops(), log),
	}
	for _, request := range p.requests {
		r.Outcomes[request.Outcome]++
		r.Attempts += request.Attempts
	}
	r.Answered = r.Outcomes[history.OutcomeOK] + r.Outcomes[history.OutcomeLost]
	r.Reads, r.ReplicaReads = CountReads(p.cluster.Layout, log)
	for _, lost := range p.losses {
		r.Gaps = append(r.Gaps, gapAfter(lost, p.requests))
	}
	r.judge(p)
	return r, nil
}

// CountReads returns the number of reads in the log and of those on replicas.
func CountReads(layout upstreamd.Layout, log []upstreamd.Entry) (reads, replica int) {
	primary := make(map[string]string)
	for _, group := range layout.Groups {
		primary[group.ID] = group.Upstreams[0].ID
	}
	for _, entry := range log {
		switch entry.Kind {
		case upstreamd.EntryPromote:
			primary[entry.Group] = entry.Upstream
		case upstreamd.EntryRead:
			reads++
			if primary[entry.Group] != entry.Upstream {
				replica++
			}
		}
	}
	return reads, replica
}

func gapAfter(lost loss, requests []caller.Request) Gap {
	gap := Gap{Group: lost.group}
	for _, request := range requests {
		landed := request.Kind.IsWrite() && request.Group == lost.group &&
			request.Outcome == history.OutcomeOK && request.Last.Start.After(lost.at)
		if !landed {
			continue
		}
		if after := request.End.Sub(lost.at); !gap.Closed || after < gap.Gap {
			gap.Gap, gap.Closed = after, true
		}
	}
	return gap
}

// judge compares the result with what the trace expects.
func (r *Result) judge(p *player) {
	expect := p.trace.Expect
	if len(r.Violations) > expect.Violations {
		r.fail("%d violations, %d allowed", len(r.Violations), expect.Violations)
	}
	if answered := share(r.Answered, r.Requests); answered < expect.MinAnswered {
		r.fail("%.3f of the requests answered, %.3f expected", answered, expect.MinAnswered)
	}
	if replicas := share(r.ReplicaReads, r.Reads); replicas < expect.MinReplicaShare {
		r.fail("%.3f of the reads on replicas, %.3f expected", replicas, expect.MinReplicaShare)
	}
	limit := time.Duration(expect.MaxGapMS) * time.Millisecond
	for _, gap := range r.Gaps {
		if !gap.Closed || limit > 0 && gap.Gap > limit {
			r.fail("writes of %s did not land for %s, %s allowed", gap.Group, gap.Gap, limit)
		}
	}
}

func (r *Result) fail(format string, args ...any) {
	r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
