package load

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gypsumdock/testbench/history"
)

// figure is a number of a report that is compared between variants.
type figure struct {
	name  string
	value func(*Report) float64
}

func latencyOf(kind history.Kind, pick func(Latency) float64) func(*Report) float64 {
	return func(r *Report) float64 { return pick(r.Latency[kind]) }
}

func figures() []figure {
	all := []figure{
		{"offered 1/s", func(r *Report) float64 { return r.Offered }},
		{"goodput 1/s", func(r *Report) float64 { return r.Goodput }},
		{"attempts per request", func(r *Report) float64 { return r.Attempts }},
		{"replica share", func(r *Report) float64 { return r.ReplicaShare }},
		{"violations", func(r *Report) float64 { return float64(len(r.Violations)) }},
		{"shed by the tool", func(r *Report) float64 { return float64(r.Shed) }},
		{"longest pause of writes ms", func(r *Report) float64 { return r.LongestPauseMS }},
		{"failover gap ms", func(r *Report) float64 {
			if r.FailoverGapMS == nil {
				return math.NaN()
			}
			return *r.FailoverGapMS
		}},
	}
	for _, outcome := range []history.Outcome{history.OutcomeNotRun, history.OutcomeUnknown, history.OutcomeLost} {
		all = append(all, figure{"ended " + string(outcome), func(r *Report) float64 { return float64(r.Outcomes[outcome]) }})
	}
	for _, kind := range []history.Kind{history.KindWrite, history.KindOnce, history.KindFresh, history.KindAged} {
		all = append(all,
			figure{string(kind) + " p50 ms", latencyOf(kind, func(l Latency) float64 { return l.P50 })},
			figure{string(kind) + " p99 ms", latencyOf(kind, func(l Latency) float64 { return l.P99 })},
		)
	}
	return all
}

// WriteText writes a table: a line for each figure, a column for each variant
// with the median and the range of its runs.
func WriteText(output io.Writer, variants [][]*Report) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "figure")
	for _, runs := range variants {
		fmt.Fprintf(table, "\t%s (median of %d, range)", runs[0].Label, len(runs))
	}
	fmt.Fprintln(table)
	for _, f := range figures() {
		fmt.Fprint(table, f.name)
		for _, runs := range variants {
			fmt.Fprintf(table, "\t%s", spread(f, runs))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func spread(f figure, runs []*Report) string {
	values := make([]float64, 0, len(runs))
	for _, run := range runs {
		if value := f.value(run); !math.IsNaN(value) {
			values = append(values, value)
		}
	}
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprintf("%.3g (%.3g to %.3g)", values[len(values)/2], values[0], values[len(values)-1])
}
