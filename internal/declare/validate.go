package declare

import (
	"cmp"
	"errors"
	"slices"
	"strconv"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// Upper bounds of declared numbers.
const (
	maxShare    = 1_000_000_000
	maxCount    = 1_000_000_000
	maxCPU      = model.MaxResource // thousandths of a core
	maxMemory   = model.MaxResource // MiB
	maxBodySize = 1 << 30           // bytes
)

// JSON names of the lists of declarations.
const (
	listTeams    = "teams"
	listKeys     = "keys"
	listQueues   = "queues"
	listPrices   = "prices"
	listServices = "services"
)

// origin is the file and path of one declared item.
type origin struct{ file, path string }

// locator returns the origin of item i of a list.
type locator func(list string, i int) origin

// inMemory is the locator of declarations that were not read from a file.
func inMemory(list string, i int) origin {
	return origin{path: strict.Index("$."+list, i)}
}

// Validate returns every rule that d breaks. It does not need d to be normalized.
func Validate(d *model.Declarations) Problems {
	return validate(d, inMemory, nil)
}

// validate returns every rule that d breaks, except for values that already have
// a problem in decodeProblems.
func validate(d *model.Declarations, at locator, decodeProblems Problems) Problems {
	v := &validator{teams: make(map[string]bool, len(d.Teams)), decodeProblems: decodeProblems}
	for _, t := range d.Teams {
		v.teams[t.Name] = true
	}
	v.checkTeams(d.Teams, at)
	v.checkKeys(d.Keys, at)
	v.checkQueues(d.Queues, at)
	v.checkPrices(d.Prices, at)
	v.checkServices(d.Services, at)
	return v.problems
}

// validator collects problems. Its field current is the origin of the item being
// checked.
type validator struct {
	teams          map[string]bool
	decodeProblems Problems
	current        origin
	problems       Problems
}

func (v *validator) addProblem(field string, value any, format string, args ...any) {
	path := v.current.path
	if field != "" {
		path += "." + field
	}
	if v.decodeProblems.Covers(v.current.file, path) {
		return
	}
	v.problems.Add(v.current.file, path, value, format, args...)
}

// unique adds a problem if another item had the same name.
func (v *validator) unique(seen map[string]origin, name, field string) {
	first, ok := seen[name]
	if !ok {
		seen[name] = v.current
		return
	}
	location := first.path
	if first.file != "" {
		location = first.file + ": " + first.path
	}
	v.addProblem(field, name, "duplicate of %s", location)
}

func (v *validator) name(field, name string) {
	if name == "" {
		v.addProblem(field, nil, "is required")
		return
	}
	if !model.ValidName(name) {
		v.addProblem(field, name, "must be 1 to 63 letters, digits, '-', '_' or '.', and begin with a letter or digit")
	}
}

func (v *validator) between(field string, n, low, high int64) {
	if n < low || n > high {
		v.addProblem(field, n, "must be from %d to %d", low, high)
	}
}

func (v *validator) duration(field string, d model.Duration) {
	if !d.InRange() {
		v.addProblem(field, d, "must be from 0s to %s", model.MaxDuration)
	}
}

func (v *validator) labels(labels model.Labels) {
	keys := make([]string, 0, len(labels))
	for k := range labels {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if !model.ValidLabel(k, labels[k]) {
			v.addProblem("labels["+strconv.Quote(k)+"]", labels[k], "labels consist of letters, digits, '-', '_', '.' and '/', and a value has at most 63 characters")
		}
	}
}

// team checks a reference to a team.
func (v *validator) team(field, name string) {
	if !v.teams[name] {
		v.addProblem(field, name, "no such team is declared")
	}
}

// admitted checks a list of admitted teams.
func (v *validator) admitted(teams []string) {
	for i, t := range teams {
		field := strict.Index(listTeams, i)
		v.team(field, t)
		if slices.Index(teams, t) < i {
			v.addProblem(field, t, "is listed twice")
		}
	}
}

func (v *validator) selector(field, text string) {
	_, err := model.ParseSelector(text)
	var bad *model.SelectorError
	if errors.As(err, &bad) {
		v.addProblem(field, text, "position %d: %s", bad.Offset+1, bad.Reason)
	}
}

func (v *validator) checkTeams(teams []model.Team, at locator) {
	seen := make(map[string]origin, len(teams))
	for i, t := range teams {
		v.current = at(listTeams, i)
		v.name("name", t.Name)
		v.unique(seen, t.Name, "name")
		v.between("share", t.Share, 1, maxShare)
		v.between("max_running", t.MaxRunning, 0, maxCount)
		v.between("max_resources.cpu_milli", t.MaxResources.CPU, 0, maxCPU)
		v.between("max_resources.memory_mib", t.MaxResources.Memory, 0, maxMemory)
		v.between("max_resources.accelerators", t.MaxResources.Accelerators, 0, maxCount)
		v.labels(t.Labels)
	}
}

func (v *validator) checkKeys(keys []model.Key, at locator) {
	seen := make(map[string]origin, len(keys))
	for i, k := range keys {
		v.current = at(listKeys, i)
		if !ValidDigest(k.Digest) {
			// The value is omitted, since it may be the key itself.
			v.addProblem("digest", nil, "must be a SHA-256 digest of 64 lower-case hex digits, as printed by keys new")
		} else {
			v.uniqueKey(seen, k.Digest)
		}
		switch {
		case k.Team != "":
			v.team("team", k.Team)
		case !k.Operator && !k.Worker:
			v.addProblem("team", nil, "is required for a key that is neither an operator's nor a worker's")
		}
	}
}

// uniqueKey is unique for keys; its problems show a shortened digest.
func (v *validator) uniqueKey(seen map[string]origin, d model.KeyDigest) {
	before := len(v.problems)
	v.unique(seen, string(d), "digest")
	if len(v.problems) > before {
		v.problems[before].Value = strict.FormatValue(ShortDigest(d))
	}
}

func (v *validator) checkQueues(queues []model.Queue, at locator) {
	seen := make(map[string]origin, len(queues))
	routes := make(map[model.Route]origin, len(queues))
	for i, q := range queues {
		v.current = at(listQueues, i)
		v.name("name", q.Name)
		v.unique(seen, q.Name, "name")
		v.name("workspace", q.Workspace)
		v.owner(&q)
		v.admitted(q.Teams)
		if q.Open && len(q.Teams) > 0 {
			v.addProblem("teams", nil, "an open queue names no teams")
		}
		v.selector("selector", q.Selector)
		v.labels(q.Labels)
		v.between("max_pending", q.MaxPending, 0, maxCount)
		v.between("max_attempts", int64(q.MaxAttempts), 0, model.MaxRestartLimit)
		v.between("stretch_permille", q.StretchPermille, 0, maxCount)
		v.duration("allowance", q.Allowance)
		v.duration("policy.base", q.Policy.Base)
		v.duration("policy.per_worker", q.Policy.PerWorker)
		v.duration("policy.valid", q.Policy.Valid)
		v.route(routes, q.Route)
	}
}

// owner checks that a queue either belongs to a team or is shared.
func (v *validator) owner(q *model.Queue) {
	if !q.Shared {
		v.team("team", q.Team)
		return
	}
	if q.Team != "" || q.Open || len(q.Teams) > 0 {
		v.addProblem("shared", nil, "a shared queue must not name teams or be open")
	}
}

// route checks that no other queue has the same route.
func (v *validator) route(seen map[model.Route]origin, r model.Route) {
	if r == (model.Route{}) {
		return
	}
	if first, ok := seen[r]; ok {
		v.addProblem("route", r.Host+r.PathPrefix, "duplicate of %s", first.path)
		return
	}
	seen[r] = v.current
}

func (v *validator) checkServices(services []model.Service, at locator) {
	seen := make(map[string]origin, len(services))
	for i, s := range services {
		v.current = at(listServices, i)
		v.name("name", s.Name)
		v.unique(seen, s.Name, "name")
		v.name("workspace", s.Workspace)
		v.admitted(s.Teams)
		v.between("max_queue", int64(s.MaxQueue), 0, maxCount)
		v.between("max_request_bytes", s.MaxRequest, 0, maxBodySize)
		v.between("max_answer_bytes", s.MaxAnswer, 0, maxBodySize)
		if s.Deadline < 0 {
			v.addProblem("deadline", s.Deadline, "must not be negative")
		}
	}
}

// checkPrices checks that every patience has exactly one price: the first price is
// for a patience of zero, and prices fall as patience grows.
func (v *validator) checkPrices(prices []model.PricePoint, at locator) {
	order := make([]int, len(prices))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(prices[a].Patience, prices[b].Patience) })
	for n, i := range order {
		v.current = at(listPrices, i)
		p := prices[i]
		v.between("micro_units", p.MicroUnits, 0, maxCount)
		switch {
		case p.Patience < 0:
			v.addProblem("patience", p.Patience, "must not be negative")
		case n == 0 && p.Patience != 0:
			v.addProblem("patience", p.Patience, "the price for the shortest patience must be at 0s, so that all work has a price")
		case n > 0 && prices[order[n-1]].Patience == p.Patience:
			v.addProblem("patience", p.Patience, "another price has the same patience")
		case n > 0 && prices[order[n-1]].MicroUnits <= p.MicroUnits:
			v.addProblem("micro_units", p.MicroUnits, "must be below the %d of the price for the shorter patience of %s", prices[order[n-1]].MicroUnits, prices[order[n-1]].Patience)
		}
	}
}
