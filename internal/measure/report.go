package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Series is one quantity measured at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"` // of the values
	Size   string  `json:"size"` // unit of the sizes
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Latency is the distribution of one duration, in milliseconds, at one size.
type Latency struct {
	Name  string  `json:"name"`
	Size  float64 `json:"size"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Count is a single value that a run reports besides the series, such as the
// number of lost tasks.
type Count struct {
	Name  string  `json:"name"`
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Report is the result of one run.
type Report struct {
	Part      string    `json:"part"`
	Go        string    `json:"go"`
	Cores     int       `json:"cores"`
	Load      string    `json:"load"` // load averages of the machine at the start
	Series    []Series  `json:"series"`
	Latencies []Latency `json:"tails,omitempty"`
	Counts    []Count   `json:"counts,omitempty"`
}

func newReport(part string) *Report {
	return &Report{Part: part, Go: runtime.Version(), Cores: runtime.NumCPU(), Load: loadAverage()}
}

// loadAverage returns the three load averages of the machine, or an empty string
// if they cannot be read.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	if len(fields) < 3 {
		return ""
	}
	return strings.Join(fields[:3], " ")
}

// add appends a point to the named series, and creates the series if necessary.
func (r *Report) add(name, unit, size string, x, y float64) {
	for i := range r.Series {
		s := &r.Series[i]
		if s.Name == name {
			s.Points = append(s.Points, Point{x, y})
			return
		}
	}
	r.Series = append(r.Series, Series{Name: name, Unit: unit, Size: size, Points: []Point{{x, y}}})
}

func (r *Report) addCount(name string, size, value float64) {
	r.Counts = append(r.Counts, Count{Name: name, Size: size, Value: value})
}

// fitSeries computes the line of every series.
func (r *Report) fitSeries() {
	for i := range r.Series {
		r.Series[i].Fit = Line(r.Series[i].Points)
	}
}

// maxLatency is the longest duration that a histogram can record.
const maxLatency = 5 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// addLatency adds the distribution of a histogram in microseconds.
func (r *Report) addLatency(name string, size float64, h *hdrhistogram.Histogram) {
	r.Latencies = append(r.Latencies, Latency{
		Name:  name,
		Size:  size,
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / 1e3,
		P99:   float64(h.ValueAtQuantile(99)) / 1e3,
		Max:   float64(h.Max()) / 1e3,
	})
}

// WriteJSON writes r as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes r as a table of text.
func (r *Report) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s: %s, %d cores, load %s\n", r.Part, r.Go, r.Cores, r.Load)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "series\tslope\tunit a\tintercept\tresidual\tpoints (size: value)")
	for i := range r.Series {
		s := &r.Series[i]
		fmt.Fprintf(w, "%s\t%.5g\t%s a %s\t%.5g\t%.1f%%\t%s\n",
			s.Name, s.Fit.Slope, s.Unit, s.Size, s.Fit.Intercept, 100*s.Fit.Residual, pointsText(s.Points))
	}
	for _, t := range r.Latencies {
		fmt.Fprintf(w, "%s at %g\tp50 %.3g ms\tp99 %.3g ms\tmax %.3g ms\t%d values\t\n", t.Name, t.Size, t.P50, t.P99, t.Max, t.Count)
	}
	for _, c := range r.Counts {
		fmt.Fprintf(w, "%s at %g\t%g\t\t\t\t\n", c.Name, c.Size, c.Value)
	}
	return w.Flush()
}

func pointsText(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = fmt.Sprintf("%.4g: %.5g", p.X, p.Y)
	}
	return strings.Join(parts, ", ")
}
