package declare

import (
	"strings"
	"time"

	"github.com/filbertmast/filbertmast/internal/model"
	"github.com/filbertmast/filbertmast/internal/strict"
)

// minPermitValidity is the validity up to which a permit is never used: a placement needs 250 ms
// (permit.placementMargin) before it ends.
const minPermitValidity = 250 * time.Millisecond

// Bounds are limits of the processes that limits of declarations are compared with. A zero field
// is not known.
type Bounds struct {
	MaxBodyBytes int64          // largest body that an entry accepts
	MaxDeadline  model.Duration // longest deadline of a request
}

// Review returns what is valid in d and has no effect or contradicts something else: entries that
// never match, and limits of which another one takes precedence.
func Review(d *model.Declarations, b Bounds) Problems {
	return review(d, inMemory, b)
}

// ReviewDir is LoadDir, and Review if there are no problems. The findings name the files.
func ReviewDir(dir string, b Bounds) (set model.Declarations, problems, findings Problems) {
	m := merger{origins: make(map[string][]origin)}
	m.readDir(dir)
	problems = append(m.problems, validate(&m.set, m.originOf, m.problems)...)
	if len(problems) == 0 {
		findings = review(&m.set, m.originOf, b) // before the lists are sorted
		Normalize(&m.set)
	}
	return m.set, problems, findings
}

// ReviewWorkers returns the queues whose selector matches none of the workers' labels.
func ReviewWorkers(d *model.Declarations, workers []model.Labels) Problems {
	r := reviewer{}
	for i := range d.Queues {
		q := &d.Queues[i]
		r.current = inMemory(listQueues, i)
		s, err := model.ParseSelector(q.WorkerSelector())
		if err != nil || s.Contradiction() != "" || matchesAny(s, workers) {
			continue
		}
		r.add("selector", s.String(), "queue %s matches none of the %d known workers", q.Name, len(workers))
	}
	return r.findings
}

func matchesAny(s model.Selector, workers []model.Labels) bool {
	for _, labels := range workers {
		if s.Matches(labels) {
			return true
		}
	}
	return false
}

// reviewer collects findings. Its field current is the origin of the item being reviewed.
type reviewer struct {
	bounds   Bounds
	current  origin
	findings Problems
}

func (r *reviewer) add(field string, value any, format string, args ...any) {
	r.findings.Add(r.current.file, r.current.path+"."+field, value, format, args...)
}

func review(d *model.Declarations, at locator, b Bounds) Problems {
	r := reviewer{bounds: b}
	for i := range d.Teams {
		r.current = at(listTeams, i)
		r.team(&d.Teams[i])
	}
	for i := range d.Queues {
		r.current = at(listQueues, i)
		r.queue(&d.Queues[i])
	}
	for i := range d.Services {
		r.current = at(listServices, i)
		r.service(&d.Services[i])
	}
	return r.findings
}

func (r *reviewer) team(t *model.Team) {
	if t.MaxRunning == 0 {
		r.add("max_running", 0, "no task or request of team %s ever starts", t.Name)
	}
}

func (r *reviewer) queue(q *model.Queue) {
	if s, err := model.ParseSelector(q.WorkerSelector()); err == nil {
		if key := s.Contradiction(); key != "" {
			r.add("selector", s.String(), "no worker ever matches queue %s: its requirements for label %s contradict each other", q.Name, key)
		}
	}
	if p := q.Policy; p.Required() && p.Valid.Std() <= minPermitValidity {
		r.add("policy.valid", p.Valid, "no task of queue %s ever starts: a permit must be valid for more than %s to be used", q.Name, minPermitValidity)
	}
	r.allowedTime(q)
	r.route(q)
	if q.Team != "" {
		for i, t := range q.Teams {
			if t == q.Team {
				r.add(strict.Index(listTeams, i), t, "the owner of queue %s is admitted anyway", q.Name)
			}
		}
	}
}

// allowedTime reports an allowed time that no workflow can keep.
func (r *reviewer) allowedTime(q *model.Queue) {
	if q.StretchPermille > 0 && q.StretchPermille < 1000 && q.Allowance == 0 {
		r.add("stretch_permille", q.StretchPermille, "every workflow of queue %s is late: it may take less time than its steps and has no allowance", q.Name)
	}
}

// route reports a route that no call can have: its host is compared without the port, and its
// prefix with a path.
func (r *reviewer) route(q *model.Queue) {
	if q.Route == (model.Route{}) {
		return
	}
	host, prefix := q.Route.Host, q.Route.PathPrefix
	switch {
	case host == "":
		r.add("route.host", host, "no call has an empty host")
	case strings.ContainsAny(host, "/?# \t@"):
		r.add("route.host", host, "no call has such a host: it must be a host name alone")
	case strings.Contains(host, ":") && !strings.Contains(host, "::"):
		r.add("route.host", host, "no call matches: hosts are compared without their port")
	case strings.ToLower(host) != host:
		r.add("route.host", host, "few calls match: most clients send host names in lower case, and hosts are compared by letter")
	}
	switch {
	case !strings.HasPrefix(prefix, "/"):
		r.add("route.path_prefix", prefix, "no path matches: it must begin with '/'")
	case strings.ContainsAny(prefix, "?#"):
		r.add("route.path_prefix", prefix, "no path matches: a path has no query and no fragment")
	case strings.Contains(prefix, "//"):
		r.add("route.path_prefix", prefix, "few calls match: most clients send no empty segments")
	}
}

func (r *reviewer) service(s *model.Service) {
	if b := r.bounds.MaxBodyBytes; b > 0 && s.MaxRequest > b {
		r.add("max_request_bytes", s.MaxRequest, "has no effect: outer.max_body_bytes of the processes is %d", b)
	}
	if b := r.bounds.MaxDeadline; b > 0 && s.Deadline > b {
		r.add("deadline", s.Deadline, "has no effect beyond limits.longest_deadline of the processes, %s", b)
	}
}
