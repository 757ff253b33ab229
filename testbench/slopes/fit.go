package slopes

import (
	"math"

	"github.com/go-faster/errors"
)

// Term is a column of a fit.
type Term struct {
	Name  string
	Value func(p Point) float64
}

// The terms of a fit.
var (
	Constant    = Term{"constant", func(Point) float64 { return 1 }}
	PerInstance = Term{"per instance", func(p Point) float64 { return float64(p.Instances) }}
	PerGroup    = Term{"per group", func(p Point) float64 { return float64(p.Groups) }}
	PerPair     = Term{"per instance and group", func(p Point) float64 { return float64(p.Instances * p.Groups) }}
)

// Fit is a linear model by least squares.
type Fit struct {
	Quantity string    `json:"quantity"`
	Terms    []string  `json:"terms"`
	Slopes   []float64 `json:"slopes"`
	// R2 is the share of the variance that the model explains.
	R2 float64 `json:"r2"`
}

var errSingular = errors.New("the points do not determine the fit")

// Least fits value over the points by least squares.
func Least(quantity string, points []Measured, terms []Term, value func(Measured) float64) (Fit, error) {
	fit := Fit{Quantity: quantity}
	size := len(terms)
	system := make([][]float64, size)
	for row := range system {
		system[row] = make([]float64, size+1)
	}
	for _, point := range points {
		for row, term := range terms {
			at := term.Value(point.Point)
			for column, other := range terms {
				system[row][column] += at * other.Value(point.Point)
			}
			system[row][size] += at * value(point)
		}
	}
	slopes, err := solve(system)
	if err != nil {
		return fit, err
	}
	fit.Slopes = slopes
	for _, term := range terms {
		fit.Terms = append(fit.Terms, term.Name)
	}
	fit.R2 = explained(points, terms, slopes, value)
	return fit, nil
}

// tiny is the pivot below which a system counts as singular.
const tiny = 1e-9

// solve solves a linear system by elimination; the last column holds the
// constants. It overwrites system.
func solve(system [][]float64) ([]float64, error) {
	size := len(system)
	for column := range size {
		best := column
		for row := column + 1; row < size; row++ {
			if math.Abs(system[row][column]) > math.Abs(system[best][column]) {
				best = row
			}
		}
		system[column], system[best] = system[best], system[column]
		if math.Abs(system[column][column]) < tiny {
			return nil, errSingular
		}
		eliminate(system, column)
	}
	solution := make([]float64, size)
	for row := range size {
		solution[row] = system[row][size] / system[row][row]
	}
	return solution, nil
}

func eliminate(system [][]float64, pivot int) {
	for row := range system {
		if row == pivot {
			continue
		}
		factor := system[row][pivot] / system[pivot][pivot]
		for column := pivot; column <= len(system); column++ {
			system[row][column] -= factor * system[pivot][column]
		}
	}
}

func explained(points []Measured, terms []Term, slopes []float64, value func(Measured) float64) float64 {
	mean := 0.0
	for _, point := range points {
		mean += value(point) / float64(len(points))
	}
	var total, rest float64
	for _, point := range points {
		modelled := 0.0
		for n, term := range terms {
			modelled += slopes[n] * term.Value(point.Point)
		}
		total += (value(point) - mean) * (value(point) - mean)
		rest += (value(point) - modelled) * (value(point) - modelled)
	}
	if total == 0 {
		return 1
	}
	return 1 - rest/total
}
