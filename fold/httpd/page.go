package httpd

import (
	"bytes"
	"fmt"
	"html/template"
	"net/http"
	"strings"

	"plantainfold.example/fold"
)

const (
	// plotWidth is the width of a plot, in pixels.
	plotWidth = 480
	// plotHeight is the height of a plot, in pixels.
	plotHeight = 100
)

// plot shows one measure over time as an SVG polyline.
type plot struct {
	Title string
	// Latest is the formatted value of the newest sample.
	Latest string
	// Points is the points attribute of the polyline.
	Points string
	// Top is the formatted greatest value.
	Top string
}

// pageData is the input of pageTemplate.
type pageData struct {
	Status fold.Status
	Plots  []plot
}

var pageTemplate = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="10"><title>plantainfold: {{.Status.Entry}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em 1em;text-align:left;border-bottom:1px solid #ccc}svg{border:1px solid #ccc}polyline{fill:none;stroke:#246;stroke-width:1.5}</style></head><body>
<h1>Entry {{.Status.Entry}}</h1>
<p>Failure domain {{.Status.Domain}}, standing {{.Status.Mode}}{{if .Status.Leaving}}, leaving{{end}}, revision {{.Status.Revision}}, entries heard: {{range .Status.Entries}}{{.}} {{end}}</p>
{{range .Plots}}<h2>{{.Title}}: {{.Latest}}</h2>
<svg width="480" height="100" role="img" aria-label="{{.Title}}, greatest value {{.Top}}"><polyline points="{{.Points}}"/><text x="4" y="14" font-size="12">{{.Top}}</text></svg>
{{end}}<h2>Pools of this entry</h2>
<table><tr><th>pool</th><th>epoch</th><th>workers</th><th>adopted</th><th>used</th><th>waiting</th><th>running</th></tr>
{{range .Status.Pools}}<tr><td>{{.Pool}}</td><td>{{.Epoch}}</td><td>{{.Workers}}</td><td>{{.Adopted}}</td><td>{{.Used}}</td><td>{{.Waiting}}</td><td>{{.Running}}</td></tr>
{{end}}</table>
<h2>Teams on these pools</h2>
<table><tr><th>team</th><th>used</th><th>due</th><th>waiting tasks</th></tr>
{{range .Status.Measures.Shares}}<tr><td>{{.Team}}</td><td>{{printf "%.3f" .Used}}</td><td>{{printf "%.3f" .Due}}</td><td>{{.Waiting}}</td></tr>
{{end}}</table></body></html>
`))

// statusPage answers with a page of the status of the entry and plots of four measures. It requires no key and shows no
// secret.
func (a *API) statusPage(w http.ResponseWriter, r *http.Request) {
	data := pageData{Status: a.queries.Status(r.Context())}
	if a.operations != nil {
		data.Plots = plotsOf(a.operations.Samples(r.Context()))
	}
	var body bytes.Buffer
	if err := pageTemplate.Execute(&body, data); err != nil {
		writeProblem(w, fold.Unknown.Wrap(err, "render the status page"))
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_, _ = w.Write(body.Bytes())
}

func plotsOf(samples []fold.Sample) []plot {
	return []plot{
		plotOf("Waiting time, p99", "%.0f ms", samples, func(m fold.Measures) float64 { return float64(m.Waiting.P99) }),
		plotOf("Packing", "%.3f of capacity", samples, func(m fold.Measures) float64 { return m.Packing }),
		plotOf("Cost of control", "%.4f of a core", samples, func(m fold.Measures) float64 { return m.Control.CPU }),
		plotOf("Greatest distance from a due share", "%.3f of capacity", samples, worstShortfall),
	}
}

// worstShortfall returns the greatest amount by which a team with waiting tasks is below its due share, as a fraction of
// the capacity.
func worstShortfall(m fold.Measures) float64 {
	var worst float64
	for _, s := range m.Shares {
		if s.Waiting > 0 {
			worst = max(worst, s.Entitled-s.Used)
		}
	}
	return worst
}

// plotOf plots the value of each sample; format is the format of a value with its unit.
func plotOf(title, format string, samples []fold.Sample, value func(fold.Measures) float64) plot {
	p := plot{Title: title, Latest: "no sample yet", Top: "0"}
	if len(samples) == 0 {
		return p
	}
	var top float64
	for _, s := range samples {
		top = max(top, value(s.Measures))
	}
	var points strings.Builder
	for i, s := range samples {
		x := float64(plotWidth) * float64(i+1) / float64(len(samples))
		y := float64(plotHeight)
		if top > 0 {
			y -= (plotHeight - 20) * value(s.Measures) / top
		}
		_, _ = fmt.Fprintf(&points, "%.1f,%.1f ", x, y)
	}
	p.Points = points.String()
	p.Latest = fmt.Sprintf(format, value(samples[len(samples)-1].Measures))
	p.Top = fmt.Sprintf(format, top)
	return p
}
