package obs

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// DocMetric is a metric, either as documented on the metrics page or as registered.
type DocMetric struct {
	Name   string
	Labels []string // sorted
}

// docRow matches "| `filbertmast_x` | counter | `a`, `b` | meaning |".
var docRow = regexp.MustCompile("^\\| `(" + Namespace + "_[a-z0-9_]+)` \\| (counter|gauge|histogram|summary) \\|([^|]*)\\|")

var docLabel = regexp.MustCompile("`([a-z_]+)`")

// ParseDoc returns the metrics in the tables of the metrics page.
func ParseDoc(page string) []DocMetric {
	var out []DocMetric
	for line := range strings.Lines(page) {
		m := docRow.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		d := DocMetric{Name: m[1]}
		for _, l := range docLabel.FindAllStringSubmatch(m[3], -1) {
			d.Labels = append(d.Labels, l[1])
		}
		slices.Sort(d.Labels)
		out = append(out, d)
	}
	return out
}

// descText matches the string form of a prometheus.Desc, which has no accessors for
// its name and labels.
var descText = regexp.MustCompile(`^Desc\{fqName: "([^"]*)".*variableLabels: \{([^}]*)\}\}$`)

// Registered returns the metrics of the project in a registry, sorted by name,
// including those that have no series yet.
func Registered(reg *prometheus.Registry) []DocMetric {
	ch := make(chan *prometheus.Desc)
	go func() {
		reg.Describe(ch)
		close(ch)
	}()
	var out []DocMetric
	for desc := range ch {
		m := descText.FindStringSubmatch(desc.String())
		if m == nil || !strings.HasPrefix(m[1], Namespace+"_") {
			continue
		}
		d := DocMetric{Name: m[1]}
		if m[2] != "" {
			d.Labels = strings.Split(m[2], ",")
		}
		slices.Sort(d.Labels)
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b DocMetric) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// CompareDoc returns the differences between the metrics page and the registry, in
// sorted order. It returns nil if both contain the same metrics with the same labels.
func CompareDoc(page string, reg *prometheus.Registry) []string {
	doc := make(map[string]DocMetric)
	var out []string
	for _, d := range ParseDoc(page) {
		if _, ok := doc[d.Name]; ok {
			out = append(out, d.Name+" is on the page twice")
		}
		doc[d.Name] = d
	}
	for _, m := range Registered(reg) {
		d, ok := doc[m.Name]
		switch {
		case !ok:
			out = append(out, m.Name+" is registered but not on the page")
		case !slices.Equal(d.Labels, m.Labels):
			out = append(out, fmt.Sprintf("%s has labels %v, on the page %v", m.Name, m.Labels, d.Labels))
		}
		delete(doc, m.Name)
	}
	for name := range doc {
		out = append(out, name+" is on the page but not registered")
	}
	slices.Sort(out)
	return out
}
