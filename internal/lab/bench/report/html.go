package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"os"

	"damaskrouter.example/damaskrouter/internal/lab/bench/run"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 18
	// legendMargin scales the axis so that a share of 1 ends below the legend.
	legendMargin = 1.25
)

// pageData is the input of the page template.
type pageData struct {
	Title string
	Table string
	Plots []template.HTML
}

// HTML writes the results as one page with embedded plots.
func HTML(file string, results []*run.Result) error {
	var table bytes.Buffer
	if err := Table(&table, results); err != nil {
		return err
	}
	data := pageData{Table: table.String()}
	if len(results) > 0 {
		data.Title = results[0].Workload
	}
	for _, draw := range []func([]*run.Result) (*plot.Plot, error){plotReuse, plotSkew, plotFirstToken} {
		svg, err := render(draw, results)
		if err != nil {
			return Error.Wrap(err)
		}
		data.Plots = append(data.Plots, svg)
	}
	var out bytes.Buffer
	if err := page.Execute(&out, data); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(file, out.Bytes(), fileMode))
}

func render(draw func([]*run.Result) (*plot.Plot, error), results []*run.Result) (template.HTML, error) {
	p, err := draw(results)
	if err != nil {
		return "", err
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	// Browsers accept an XML declaration only at the beginning of a document.
	_, svg, found := bytes.Cut(b.Bytes(), []byte("?>"))
	if !found {
		svg = b.Bytes()
	}
	return template.HTML(svg), nil
}

func plotReuse(results []*run.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Cache reuse of returning turns"
	p.Y.Label.Text = "share of prompt tokens"
	p.Y.Min, p.Y.Max = 0, legendMargin
	var measured, bound plotter.Values
	for _, r := range results {
		measured = append(measured, r.CacheReuse)
		bound = append(bound, r.ReuseBound)
	}
	if err := addBars(p, measured, "measured", 0); err != nil {
		return nil, err
	}
	if err := addBars(p, bound, "all-knowing bound", 1); err != nil {
		return nil, err
	}
	p.NominalX(names(results)...)
	p.Legend.Top = true
	return p, nil
}

func addBars(p *plot.Plot, values plotter.Values, label string, n int) error {
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(n)
	bars.Offset = vg.Points(float64(2*n-1) * barWidth / 2)
	p.Add(bars)
	p.Legend.Add(label, bars)
	return nil
}

func plotSkew(results []*run.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Busiest engine over the mean, by weight"
	p.X.Label.Text = "seconds"
	p.Y.Min = 1
	for i, r := range results {
		var points plotter.XYs
		for _, w := range r.SkewWindows {
			points = append(points, plotter.XY{X: w.At, Y: w.Skew})
		}
		if err := addLine(p, points, r.Strategy, i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func plotFirstToken(results []*run.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Time to the first token, largest class"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	var medians, tails plotter.Values
	for _, r := range results {
		t := largestClass(r.FirstToken)
		medians = append(medians, t.P50)
		tails = append(tails, t.P95)
	}
	if err := addBars(p, medians, "p50", 0); err != nil {
		return nil, err
	}
	if err := addBars(p, tails, "p95", 1); err != nil {
		return nil, err
	}
	p.NominalX(names(results)...)
	p.Legend.Top = true
	return p, nil
}

func addLine(p *plot.Plot, points plotter.XYs, label string, n int) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(n)
	p.Add(line)
	p.Legend.Add(label, line)
	p.Legend.Top = true
	return nil
}

func names(results []*run.Result) []string {
	var out []string
	for _, r := range results {
		out = append(out, r.Strategy)
	}
	return out
}
