package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestLinear(t *testing.T) {
	for name, tc := range map[string]struct {
		points []Point
		want   Fit
	}{
		"exact":     {[]Point{{1, 5}, {2, 7}, {4, 11}}, Fit{Intercept: 3, Slope: 2}},
		"flat":      {[]Point{{1, 4}, {9, 4}}, Fit{Intercept: 4}},
		"scattered": {[]Point{{0, 0}, {1, 3}, {2, 0}}, Fit{Intercept: 1, Residual: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := Linear(tc.points)
			is.NoErr(err)
			is.True(math.Abs(got.Intercept-tc.want.Intercept) < 1e-9)
			is.True(math.Abs(got.Slope-tc.want.Slope) < 1e-9)
			is.True(math.Abs(got.Residual-tc.want.Residual) < 1e-9)
		})
	}
}

func TestLinearNeedsTwoSizes(t *testing.T) {
	for name, points := range map[string][]Point{
		"none": nil, "one": {{1, 1}}, "one size": {{2, 1}, {2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Linear(points)
			is.New(t).True(err != nil)
		})
	}
}

func TestTableFitsEachColumn(t *testing.T) {
	is := is.New(t)
	table := &Table{X: "n", Columns: []string{"a", "b"}}
	table.add(1, 2, 10)
	table.add(2, 4, 10)
	is.NoErr(table.fit())
	is.Equal(len(table.Fits), 2)
	is.Equal(table.Fits[0].Slope, 2.0)
	is.Equal(table.Fits[1].Slope, 0.0)
}
