// Package capacity measures how the cost of each role grows with the size of a
// deployment, and fits lines through the measurements. It runs the code of the daemons
// in one process with loopback addresses. The engines are stand-ins.
package capacity

import (
	"math"

	"github.com/pkg/errors"
)

// Point is one measurement: the value Y at size X.
type Point struct {
	X, Y float64
}

// Fit is the least-squares line Y = Intercept + Slope*X through a set of points.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the largest vertical distance of a point from the line, in the unit
	// of Y.
	Residual float64 `json:"residual"`
}

// Linear fits a line through points, which must have at least two different sizes.
func Linear(points []Point) (Fit, error) {
	meanX, meanY := means(points)
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	if variance == 0 {
		return Fit{}, errors.New("fitting a line needs points of at least two sizes")
	}
	f := Fit{Slope: covariance / variance}
	f.Intercept = meanY - f.Slope*meanX
	for _, p := range points {
		f.Residual = max(f.Residual, math.Abs(p.Y-f.At(p.X)))
	}
	return f, nil
}

// At returns the line's value at size x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// means returns the means of X and Y.
func means(points []Point) (x, y float64) {
	for _, p := range points {
		x += p.X
		y += p.Y
	}
	n := float64(max(len(points), 1))
	return x / n, y / n
}
