package report

import (
	"bytes"
	"maps"
	"os"
	"slices"

	"damaskrouter.example/damaskrouter/platform/journal"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Worth writes an SVG plot of the worth of each site by round.
func Worth(file string, rounds []journal.Round) error {
	p, err := plotWorth(rounds)
	if err != nil {
		return Error.Wrap(err)
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return Error.Wrap(err)
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(file, out.Bytes(), fileMode))
}

func plotWorth(rounds []journal.Round) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Mean worth of the standard days, by round"
	p.X.Label.Text = "round of the site"
	p.Y.Label.Text = "worth"
	bySite := make(map[string]plotter.XYs)
	for _, r := range rounds {
		bySite[r.Site] = append(bySite[r.Site], plotter.XY{X: float64(len(bySite[r.Site]) + 1), Y: r.Worth})
	}
	for i, site := range slices.Sorted(maps.Keys(bySite)) {
		if err := addLine(p, bySite[site], site, i); err != nil {
			return nil, err
		}
	}
	return p, nil
}
