package load

import (
	"fmt"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gypsumdock/testbench/history"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// lastPercentile ends the latency curves.
	lastPercentile = 99.9
)

// WritePlots writes latency.svg and answers.svg into dir, from the first run
// of each variant.
func WritePlots(dir string, variants [][]*Report) error {
	latency := plot.New()
	latency.Title.Text = "Latency from the arrival of a request"
	latency.X.Label.Text = "percentile"
	latency.Y.Label.Text = "ms"
	answers := plot.New()
	answers.Title.Text = "Answered requests over time"
	answers.X.Label.Text = "s since the warm-up"
	answers.Y.Label.Text = fmt.Sprintf("answers in %s", seriesStep)
	var curves, series []any
	for _, runs := range variants {
		run := runs[0]
		for _, kind := range []history.Kind{history.KindWrite, history.KindAged} {
			if run.histograms[kind] != nil {
				curves = append(curves, run.Label+" "+string(kind), percentiles(run, kind))
			}
		}
		series = append(series, run.Label, overTime(run))
	}
	if err := save(latency, curves, filepath.Join(dir, "latency.svg")); err != nil {
		return err
	}
	return save(answers, series, filepath.Join(dir, "answers.svg"))
}

func save(p *plot.Plot, lines []any, path string) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(plotWidth, plotHeight, path)
}

func percentiles(run *Report, kind history.Kind) plotter.XYs {
	var points plotter.XYs
	for _, bracket := range run.histograms[kind].CumulativeDistribution() {
		if bracket.Quantile > lastPercentile {
			break
		}
		ms := milliseconds(time.Duration(bracket.ValueAt) * time.Microsecond)
		points = append(points, plotter.XY{X: bracket.Quantile, Y: ms})
	}
	return points
}

func overTime(run *Report) plotter.XYs {
	points := make(plotter.XYs, len(run.answers))
	for i, count := range run.answers {
		points[i] = plotter.XY{X: float64(i) * seriesStep.Seconds(), Y: count}
	}
	return points
}
