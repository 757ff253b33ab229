package load

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumdock/testbench/history"
	"gypsumdock/testbench/replay"
)

const (
	// Bounds of the latency histogram, in microseconds.
	shortestLatency  = 1
	longestLatency   = 120_000_000
	significantDigit = 3
	// seriesStep is the step of the series over time.
	seriesStep = 100 * time.Millisecond
)

// Report holds the figures of one run. Durations are in milliseconds.
type Report struct {
	Label string `json:"label"`
	// Offered is the number of requests a second that arrived.
	Offered  float64 `json:"offered"`
	Requests int     `json:"requests"`
	// Shed is the number of requests that the tool gave up unsent because their
	// session was too far behind.
	Shed     int                     `json:"shed"`
	Outcomes map[history.Outcome]int `json:"outcomes"`
	// Goodput is the number of requests a second that were answered in time.
	Goodput float64 `json:"goodput"`
	// Attempts is the mean number of attempts of a request.
	Attempts     float64                  `json:"attempts"`
	ReplicaShare float64                  `json:"replica_share"`
	Latency      map[history.Kind]Latency `json:"latency"`
	// FailoverGapMS is the time from the kill of the primary to the first
	// acknowledged write; negative when none was acknowledged.
	FailoverGapMS *float64 `json:"failover_gap_ms,omitempty"`
	// LongestPauseMS is the longest time between two acknowledged writes of the
	// first group.
	LongestPauseMS float64             `json:"longest_pause_ms"`
	Violations     []history.Violation `json:"violations"`

	histograms map[history.Kind]*hdrhistogram.Histogram
	// answers counts the answered requests of each step since the warm-up.
	answers []float64
}

// Latency has the percentiles of one kind of request, in milliseconds from the
// arrival to the answer.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *runner) report(ctx context.Context, measured, end time.Time) (*Report, error) {
	entries, err := r.cluster.Upstreams.Log(ctx, 0)
	if err != nil {
		return nil, err
	}
	seconds := end.Sub(measured).Seconds()
	report := &Report{
		Label:      r.config.Label,
		Shed:       r.shed,
		Outcomes:   make(map[history.Outcome]int),
		Latency:    make(map[history.Kind]Latency),
		Violations: history.Check(r.log.Ops(), entries),
		histograms: make(map[history.Kind]*hdrhistogram.Histogram),
		answers:    make([]float64, end.Sub(measured)/seriesStep),
	}
	attempts, inTime := 0, 0
	for _, request := range r.done {
		if request.at.Before(measured) {
			continue
		}
		report.Requests++
		attempts += request.Attempts
		if request.Outcome == history.OutcomeOK && request.End.Sub(request.at) <= r.config.Good {
			inTime++
		}
		report.add(request, measured)
	}
	report.Offered = float64(report.Requests+r.shed) / seconds
	report.Goodput = float64(inTime) / seconds
	report.Attempts = float64(attempts) / float64(max(1, report.Requests))
	reads, replica := replay.CountReads(r.cluster.Layout, entries)
	report.ReplicaShare = float64(replica) / float64(max(1, reads))
	report.summarise()
	report.gap(r)
	report.pause(r, measured, end)
	return report, nil
}

func (p *Report) add(request finished, measured time.Time) {
	p.Outcomes[request.Outcome]++
	if request.Outcome != history.OutcomeOK {
		return
	}
	histogram := p.histograms[request.kind]
	if histogram == nil {
		histogram = hdrhistogram.New(shortestLatency, longestLatency, significantDigit)
		p.histograms[request.kind] = histogram
	}
	latency := request.End.Sub(request.at).Microseconds()
	_ = histogram.RecordValue(min(max(latency, shortestLatency), longestLatency))
	if step := int(request.End.Sub(measured) / seriesStep); step >= 0 && step < len(p.answers) {
		p.answers[step]++
	}
}

func (p *Report) summarise() {
	at := func(h *hdrhistogram.Histogram, percentile float64) float64 {
		return milliseconds(time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond)
	}
	for kind, h := range p.histograms {
		p.Latency[kind] = Latency{
			Count: h.TotalCount(), P50: at(h, 50), P90: at(h, 90), P99: at(h, 99), Max: at(h, 100),
		}
	}
}

// gap finds the first write that was sent after the kill and acknowledged.
func (p *Report) gap(r *runner) {
	if r.killed.IsZero() {
		return
	}
	shortest := -1.0
	group := r.cluster.Layout.Groups[0].ID
	for _, op := range r.log.Ops() {
		landed := op.Kind.IsWrite() && op.Group == group && op.Outcome == history.OutcomeOK && op.Start.After(r.killed)
		if !landed {
			continue
		}
		if after := milliseconds(op.End.Sub(r.killed)); shortest < 0 || after < shortest {
			shortest = after
		}
	}
	p.FailoverGapMS = &shortest
}

// pause finds the longest time between two acknowledged writes.
func (p *Report) pause(r *runner, measured, end time.Time) {
	group := r.cluster.Layout.Groups[0].ID
	var landed []time.Time
	for _, op := range r.log.Ops() {
		if op.Kind.IsWrite() && op.Group == group && op.Outcome == history.OutcomeOK && op.End.After(measured) {
			landed = append(landed, op.End)
		}
	}
	slices.SortFunc(landed, time.Time.Compare)
	last := measured
	for _, at := range append(landed, end) {
		p.LongestPauseMS = max(p.LongestPauseMS, milliseconds(at.Sub(last)))
		last = at
	}
}
