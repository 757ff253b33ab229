package slopes

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Report is what a run gave.
type Report struct {
	Points []Measured `json:"points"`
	Fits   []Fit      `json:"fits"`
}

// quantity is a column that is fitted.
type quantity struct {
	name  string
	value func(Measured) float64
}

var quantities = []quantity{
	{"core share of an instance", func(m Measured) float64 { return m.CoreShare }},
	{"resident MB of an instance", func(m Measured) float64 { return m.ResidentMB }},
	{"mesh KB/s out of an instance", func(m Measured) float64 { return m.MeshOutKB }},
	{"mesh KB/s into an instance", func(m Measured) float64 { return m.MeshInKB }},
	{"platform reads/s of all", func(m Measured) float64 { return sum(m.PlatformReads) }},
	{"platform writes/s of all", func(m Measured) float64 { return sum(m.PlatformWrites) }},
}

// NewReport fits each quantity over the points. Quantities that the points do
// not determine are left out.
func NewReport(points []Measured) Report {
	report := Report{Points: points}
	for _, q := range quantities {
		for _, terms := range [][]Term{
			{Constant, PerInstance, PerGroup},
			{Constant, PerInstance, PerGroup, PerPair},
		} {
			if fit, err := Least(q.name, points, terms, q.value); err == nil && len(points) > len(terms) {
				report.Fits = append(report.Fits, fit)
			}
		}
	}
	return report
}

// Heading is the head of the table that Line prints a row of.
const Heading = "instances\tgroups\tdata centres\trate\tcore %\tmost %\tresident MB\theap MB\tmesh out KB/s\tmesh in KB/s\treads/s\twrites/s\tanswered/s\tapply s\tfailover s\n"

// Line returns the row of a point.
func Line(m Measured) string {
	line := fmt.Sprintf("%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f",
		m.Instances, m.Groups, m.DataCentres, m.Rate, 100*m.CoreShare, 100*m.CoreShareMost, m.ResidentMB, m.HeapMB,
		m.MeshOutKB, m.MeshInKB, sum(m.PlatformReads), sum(m.PlatformWrites), m.Answered)
	if m.Changes == nil {
		return line + "\t-\t-\n"
	}
	return line + fmt.Sprintf("\t%.2f\t%.2f\n", m.Changes.ApplySeconds, m.Changes.FailoverSeconds)
}

// Text writes the report as tables.
func (r Report) Text(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 1, 2, ' ', 0)
	fmt.Fprint(table, Heading)
	for _, point := range r.Points {
		fmt.Fprint(table, Line(point))
	}
	fmt.Fprintln(table)
	for _, fit := range r.Fits {
		fmt.Fprintf(table, "%s\t%s\tR2 %.3f\n", fit.Quantity, fit.formula(), fit.R2)
	}
	return table.Flush()
}

func (f Fit) formula() string {
	parts := make([]string, len(f.Terms))
	for n, term := range f.Terms {
		parts[n] = fmt.Sprintf("%+.5f %s", f.Slopes[n], term)
	}
	return strings.Join(parts, "  ")
}
