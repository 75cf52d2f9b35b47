package scale

import (
	"math"

	"github.com/levertide/levertide/internal/lab/results"
)

// unknowns of a fit: the intercept and the slopes over nodes and services.
const unknowns = 3

// figureOf picks one figure of a point; nil where it was not measured.
type figureOf func(results.SlopePoint) *float64

// fitAll fits every figure that was measured at enough points.
func fitAll(points []results.SlopePoint) []results.Fit {
	var fits []results.Fit
	add := func(figure, role string, pick figureOf) {
		if fitted, ok := fit(points, pick); ok {
			fitted.Figure, fitted.Role = figure, role
			fits = append(fits, fitted)
		}
	}
	for _, role := range results.Roles() {
		add("control_bytes_per_second_mean", role, func(p results.SlopePoint) *float64 { return meanOf(p.BytesByRole.Get(role)) })
		add("control_bytes_per_second_max", role, func(p results.SlopePoint) *float64 { return maxOf(p.BytesByRole.Get(role)) })
	}
	add("convergence_p50_ms", "", func(p results.SlopePoint) *float64 { return p.ConvergenceP50 })
	add("convergence_max_ms", "", func(p results.SlopePoint) *float64 { return p.ConvergenceMax })
	add("cpu_core_share", "hollow node", func(p results.SlopePoint) *float64 { return p.CoreShare })
	add("cpu_core_share", "real process", func(p results.SlopePoint) *float64 { return p.RealCoreShare })
	add("memory_bytes", "hollow node", func(p results.SlopePoint) *float64 { return p.MemoryBytes })
	add("memory_bytes", "real process", func(p results.SlopePoint) *float64 { return p.RealMemoryBytes })
	add("store_requests_per_second", "", func(p results.SlopePoint) *float64 { return p.StoreRequests })
	return fits
}

// meanOf and maxOf take one part of a spread; nil stays nil.
func meanOf(spread *results.Spread) *float64 {
	if spread == nil {
		return nil
	}
	return &spread.Mean
}

// maxOf takes the maximum of a spread; nil stays nil.
func maxOf(spread *results.Spread) *float64 {
	if spread == nil {
		return nil
	}
	return &spread.Max
}

// fit lays a plane through one figure by least squares; false tells that there
// are too few points or that they lie in one line.
func fit(points []results.SlopePoint, pick figureOf) (results.Fit, bool) {
	var sums normalEquations
	count := 0
	for _, point := range points {
		if value := pick(point); value != nil {
			sums.add(rowOf(point), *value)
			count++
		}
	}
	if count <= unknowns {
		return results.Fit{}, false
	}
	solved, ok := sums.solve()
	if !ok {
		return results.Fit{}, false
	}
	return results.Fit{
		Intercept:  solved[0],
		PerNode:    solved[1],
		PerService: solved[2],
		Residual:   residual(points, pick, solved),
		Points:     count,
	}, true
}

// rowOf returns what the unknowns of a fit are multiplied with at a point.
func rowOf(point results.SlopePoint) [unknowns]float64 {
	return [unknowns]float64{1, float64(point.Nodes), float64(point.Services)}
}

// residual returns the root mean square of what a fit leaves over.
func residual(points []results.SlopePoint, pick figureOf, solved [unknowns]float64) float64 {
	sum, count := 0.0, 0.0
	for _, point := range points {
		value := pick(point)
		if value == nil {
			continue
		}
		left := *value
		for i, factor := range rowOf(point) {
			left -= solved[i] * factor
		}
		sum += left * left
		count++
	}
	return math.Sqrt(sum / count)
}

// normalEquations are those of a least-squares fit: a square matrix and, in the
// last column, the right-hand side.
type normalEquations [unknowns][unknowns + 1]float64

// add takes one measured value.
func (e *normalEquations) add(row [unknowns]float64, value float64) {
	for i := range unknowns {
		for j := range unknowns {
			e[i][j] += row[i] * row[j]
		}
		e[i][unknowns] += row[i] * value
	}
}

// smallestPivot tells equations that do not determine the unknowns.
const smallestPivot = 1e-9

// solve eliminates with the largest pivot of each column.
func (e normalEquations) solve() (solved [unknowns]float64, ok bool) {
	for column := range unknowns {
		largest := column
		for row := column + 1; row < unknowns; row++ {
			if math.Abs(e[row][column]) > math.Abs(e[largest][column]) {
				largest = row
			}
		}
		e[column], e[largest] = e[largest], e[column]
		if math.Abs(e[column][column]) < smallestPivot {
			return solved, false
		}
		e.eliminate(column)
	}
	for i := range unknowns {
		solved[i] = e[i][unknowns] / e[i][i]
	}
	return solved, true
}

// eliminate clears a column in every row but its own.
func (e *normalEquations) eliminate(column int) {
	for row := range unknowns {
		if row == column {
			continue
		}
		factor := e[row][column] / e[column][column]
		for i := range e[row] {
			e[row][i] -= factor * e[column][i]
		}
	}
}
