// Package telemetry contains the catalogue of metrics and the tracer.
//
// Each metric is declared once, with its labels and meaning. A test keeps
// docs/METRICS.md equal to the catalogue.
package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is the type of a metric.
type Kind string

// The kinds of metric.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Definition is an entry of the catalogue of metrics.
type Definition struct {
	Name    string
	Kind    Kind
	Labels  []string
	Meaning string
}

// catalogue holds the declared metrics.
var catalogue []Definition

// Catalogue returns all declared metrics, ordered by name.
func Catalogue() []Definition {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b Definition) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// WriteMetrics writes all metrics, including those of the process, in the
// Prometheus text format.
func WriteMetrics(w io.Writer) {
	metrics.WritePrometheus(w, true)
}

// Counter is a declared counter; With returns one of its series.
type Counter struct{ definition Definition }

// Gauge is a declared gauge; With returns one of its series.
type Gauge struct{ definition Definition }

// Histogram is a declared histogram of seconds or ratios; With returns one of its series.
type Histogram struct{ definition Definition }

// With returns the series with the label values, which must be in the order of
// the declaration. Code that runs for each statement should keep the result.
func (c Counter) With(values ...string) *metrics.Counter {
	return metrics.GetOrCreateCounter(c.definition.series(values))
}

// With returns the series with the label values, which must be in the order of
// the declaration. The caller sets its value.
func (g Gauge) With(values ...string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(g.definition.series(values), nil)
}

// Forget removes the series with the label values.
func (g Gauge) Forget(values ...string) {
	metrics.UnregisterMetric(g.definition.series(values))
}

// With returns the series with the label values, which must be in the order of
// the declaration. Code that runs for each statement should keep the result.
func (h Histogram) With(values ...string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(h.definition.series(values))
}

// series returns the name of a series with its labels. It panics on a wrong
// number of values, which can only come from a mistake in the code.
func (d *Definition) series(values []string) string {
	if len(values) != len(d.Labels) {
		panic(fmt.Sprintf("metric %s has labels %v, not %v", d.Name, d.Labels, values))
	}
	if len(values) == 0 {
		return d.Name
	}
	pairs := make([]string, len(values))
	for i, value := range values {
		pairs[i] = fmt.Sprintf("%s=%q", d.Labels[i], value)
	}
	return d.Name + "{" + strings.Join(pairs, ",") + "}"
}

// declare adds a metric to the catalogue.
func declare(kind Kind, name, meaning string, labels []string) Definition {
	definition := Definition{Name: name, Kind: kind, Labels: labels, Meaning: meaning}
	catalogue = append(catalogue, definition)
	return definition
}

func counter(name, meaning string, labels ...string) Counter {
	return Counter{declare(KindCounter, name, meaning, labels)}
}

func gauge(name, meaning string, labels ...string) Gauge {
	return Gauge{declare(KindGauge, name, meaning, labels)}
}

func histogram(name, meaning string, labels ...string) Histogram {
	return Histogram{declare(KindHistogram, name, meaning, labels)}
}
