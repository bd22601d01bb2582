// Package measure runs parts of the system at several sizes and reports how
// state, messages, bytes and processor time grow with size. Capacity planning
// uses the slopes.
package measure

import "math"

// Point is one measured value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a least-squares line through measured points.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square distance of the points from the line, as
	// a fraction of the mean value.
	Residual float64 `json:"residual"`
}

// Line fits a line to points. It needs at least two points of different size.
func Line(points []Point) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	var f Fit
	f.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Intercept = (sy - f.Slope*sx) / n
	f.Residual = f.residual(points, sy/n)
	return f
}

// At returns the value of the line at the size x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

func (f Fit) residual(points []Point, mean float64) float64 {
	if mean == 0 {
		return 0
	}
	var sum float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		sum += d * d
	}
	return math.Sqrt(sum/float64(len(points))) / math.Abs(mean)
}
