package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	contentTypeText = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeJSON = "application/json"
)

// quantiles are the quantiles reported for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99}

// Handler serves the metrics of a registry in the Prometheus text format. It
// serves JSON to requests with the parameter format=json or with
// application/json in the Accept header.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet && req.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "metrics are read with GET", http.StatusMethodNotAllowed)
			return
		}
		if wantsJSON(req) {
			serveJSON(w, r)
			return
		}
		w.Header().Set("Content-Type", contentTypeText)
		w.Write(Text(r))
	})
}

func wantsJSON(req *http.Request) bool {
	return req.URL.Query().Get("format") == "json" || strings.Contains(req.Header.Get("Accept"), contentTypeJSON)
}

func serveJSON(w http.ResponseWriter, r metrics.Registry) {
	body, err := json.Marshal(r.GetAll())
	if err != nil {
		http.Error(w, "metrics cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Write(body)
}

// family is the set of metrics with one base name.
type family struct {
	base string
	kind string
	// series is sorted by labels before it is written.
	series []series
}

type series struct {
	labels string
	metric any
}

// Text returns the metrics of a registry in the Prometheus text format, sorted by
// name. It omits metrics of unsupported types, and metrics whose type differs
// from the first one with the same base name.
func Text(r metrics.Registry) []byte {
	families := map[string]*family{}
	r.Each(func(name string, metric any) {
		base, labels := splitName(name)
		kind := kindOf(metric)
		if kind == "" {
			return
		}
		f := families[base]
		if f == nil {
			f = &family{base: base, kind: kind}
			families[base] = f
		}
		if f.kind == kind {
			f.series = append(f.series, series{labels, metric})
		}
	})
	ordered := make([]*family, 0, len(families))
	for _, f := range families {
		slices.SortFunc(f.series, func(a, b series) int { return strings.Compare(a.labels, b.labels) })
		ordered = append(ordered, f)
	}
	slices.SortFunc(ordered, func(a, b *family) int { return strings.Compare(a.base, b.base) })
	var out bytes.Buffer
	for _, f := range ordered {
		f.write(&out)
	}
	return out.Bytes()
}

// splitName splits base{labels} and replaces characters of the base that are
// invalid in metric names.
func splitName(name string) (base, labels string) {
	base, rest, found := strings.Cut(name, "{")
	if found {
		labels = strings.TrimSuffix(rest, "}")
	}
	return strings.Map(sanitiseRune, base), labels
}

func sanitiseRune(c rune) rune {
	if c == '_' || c == ':' || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') {
		return c
	}
	return '_'
}

func kindOf(metric any) string {
	switch metric.(type) {
	case metrics.Counter, metrics.Meter:
		return "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return "gauge"
	case metrics.Histogram, metrics.Timer:
		return "summary"
	}
	return ""
}

func (f *family) write(out *bytes.Buffer) {
	fmt.Fprintf(out, "# TYPE %s %s\n", f.base, f.kind)
	for _, s := range f.series {
		switch m := s.metric.(type) {
		case metrics.Counter:
			writeLine(out, f.base, s.labels, float64(m.Count()))
		case metrics.Timer:
			snapshot := m.Snapshot()
			writeSummary(out, f.base, s.labels, snapshot.Percentiles(quantiles), snapshot.Sum(), snapshot.Count(), float64(time.Second))
		case metrics.Meter:
			writeLine(out, f.base, s.labels, float64(m.Count()))
		case metrics.Gauge:
			writeLine(out, f.base, s.labels, float64(m.Value()))
		case metrics.GaugeFloat64:
			writeLine(out, f.base, s.labels, m.Value())
		case metrics.Histogram:
			snapshot := m.Snapshot()
			writeSummary(out, f.base, s.labels, snapshot.Percentiles(quantiles), snapshot.Sum(), snapshot.Count(), 1)
		}
	}
}

// writeSummary writes the quantiles, sum and count. The quantiles and the sum are
// divided by unit.
func writeSummary(out *bytes.Buffer, base, labels string, values []float64, sum, count int64, unit float64) {
	for i, q := range quantiles {
		quantile := `quantile="` + strconv.FormatFloat(q, 'g', -1, 64) + `"`
		writeLine(out, base, joinLabels(labels, quantile), values[i]/unit)
	}
	writeLine(out, base+"_sum", labels, float64(sum)/unit)
	writeLine(out, base+"_count", labels, float64(count))
}

func joinLabels(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

func writeLine(out *bytes.Buffer, name, labels string, value float64) {
	out.WriteString(name)
	if labels != "" {
		out.WriteString("{" + labels + "}")
	}
	out.WriteString(" " + strconv.FormatFloat(value, 'g', -1, 64) + "\n")
}
