package experiment

import (
	"image/color"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	// Register the output formats of plots.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// axisMargin is the space before the first and after the last class of an axis, in
	// classes.
	axisMargin = 0.5
	// legendHeadroom is the factor by which a logarithmic axis extends above the data, so
	// that the legend does not cover them.
	legendHeadroom = 4
)

// plotFormats are the file name extensions of plots.
var plotFormats = []string{".svg", ".png"}

// WritePlots writes the plots of the report into dir, each as SVG and PNG, and returns
// the names of the files.
func (r *Report) WritePlots(dir string) ([]string, error) {
	plots := map[string]*plot.Plot{}
	for _, part := range r.partNames() {
		plots[part+"-first-token"] = r.ttftPlot(part)
		for _, s := range r.Service {
			if s.Part == part {
				plots[part+"-service-"+s.Variant] = servicePlot(&s)
			}
		}
		if p := r.memoryPlot(part); p != nil {
			plots[part+"-memory"] = p
		}
	}
	if len(r.Slowdown) > 0 {
		p, err := r.slowdownPlot()
		if err != nil {
			return nil, err
		}
		plots["slowdown"] = p
	}
	return savePlots(dir, r.Scenario, plots)
}

func savePlots(dir, scenario string, plots map[string]*plot.Plot) ([]string, error) {
	var files []string
	for name, p := range plots {
		for _, format := range plotFormats {
			file := filepath.Join(dir, scenario+"-"+name+format)
			if err := p.Save(plotWidth, plotHeight, file); err != nil {
				return nil, errors.Wrapf(err, "draw %s", name)
			}
			files = append(files, file)
		}
	}
	slices.Sort(files)
	return files, nil
}

func (r *Report) partNames() []string {
	var names []string
	for _, s := range r.Service {
		if !slices.Contains(names, s.Part) {
			names = append(names, s.Part)
		}
	}
	return names
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line and its legend entry in the standard colour of that number.
func addLine(p *plot.Plot, name string, points plotter.XYs, number int) {
	if len(points) == 0 {
		return
	}
	line := &plotter.Line{XYs: points, LineStyle: plotter.DefaultLineStyle}
	line.Color = plotutil.Color(number)
	line.Width = lineWidth
	p.Add(line)
	p.Legend.Add(name, line)
}

// ttftPlot draws p99 (solid) and p50 (dashed) of the time to first token by prompt
// length class, for each variant.
func (r *Report) ttftPlot(part string) *plot.Plot {
	p := newPlot("Time to first token, p99 (dashed: p50): "+part, "prompt tokens", "seconds")
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	p.NominalX(names...)
	p.Legend.Left = true
	for i, variant := range r.variantNames() {
		p50, p99 := r.ttftLines(part, variant)
		addLine(p, variant, p99, i)
		addDashed(p, p50, plotutil.Color(i))
	}
	p.X.Min, p.X.Max = -axisMargin, float64(len(classes))-axisMargin
	p.Y.Max *= legendHeadroom
	return p
}

// ttftLines returns the points of ttftPlot for one variant.
func (r *Report) ttftLines(part, variant string) (p50, p99 plotter.XYs) {
	for _, f := range r.First {
		class := slices.IndexFunc(classes, func(c Class) bool { return c.Name == f.Class })
		if f.Part != part || f.Variant != variant || class < 0 {
			continue
		}
		p50 = append(p50, plotter.XY{X: float64(class), Y: f.P50.Seconds()})
		p99 = append(p99, plotter.XY{X: float64(class), Y: f.P99.Seconds()})
	}
	return p50, p99
}

func addDashed(p *plot.Plot, points plotter.XYs, c color.Color) {
	if len(points) == 0 {
		return
	}
	line := &plotter.Line{XYs: points, LineStyle: plotter.DefaultLineStyle}
	line.Color = c
	line.Dashes = plotutil.Dashes(1)
	p.Add(line)
}

func (r *Report) variantNames() []string {
	var names []string
	for _, s := range r.Service {
		if !slices.Contains(names, s.Variant) {
			names = append(names, s.Variant)
		}
	}
	slices.Sort(names)
	return names
}

// servicePlot draws completed, refused and failed requests per second over time.
func servicePlot(s *ServiceRow) *plot.Plot {
	p := newPlot("Service: "+s.Part+", "+s.Variant, "seconds", "requests a second")
	lines := make([]plotter.XYs, 3)
	for _, point := range s.Timeline {
		for i, y := range []float64{point.Completed, point.Refused, point.Failed} {
			lines[i] = append(lines[i], plotter.XY{X: point.At.Seconds(), Y: y})
		}
	}
	for i, name := range []string{"completed", "refused", "failed"} {
		addLine(p, name, lines[i], i)
	}
	return p
}

// memoryPlot draws the memory in the runs with the first seed over time. It returns nil
// if there are no samples.
func (r *Report) memoryPlot(part string) *plot.Plot {
	p := newPlot("Memory with slow readers: "+part, "seconds", "MiB")
	drawn := false
	for i, variant := range r.variantNames() {
		for _, run := range r.Runs {
			if run.Part != part || run.Variant != variant || run.Seed != r.Seeds[0] || len(run.Memory) == 0 {
				continue
			}
			var points plotter.XYs
			for _, m := range run.Memory {
				points = append(points, plotter.XY{X: m.At.Seconds(), Y: mib(m.Bytes)})
			}
			addLine(p, variant, points, i)
			drawn = true
		}
	}
	if !drawn {
		return nil
	}
	p.Y.Min = 0
	p.Legend.Left = true
	return p
}

// slowdownPlot draws the slowdown of short prompts, a bar for each part and variant.
func (r *Report) slowdownPlot() (*plot.Plot, error) {
	p := newPlot("Slowdown of short prompts by long ones", "", "p99 with long / p99 without")
	var values plotter.Values
	var names []string
	for _, s := range r.Slowdown {
		values = append(values, s.First)
		names = append(names, s.Part+" "+s.Variant)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return nil, errors.Wrap(err, "draw slowdown")
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}
