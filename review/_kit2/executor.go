package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the site file that executors keep to, in milliseconds.
const (
	holdMaxMS     = 6000
	stopMS        = 200
	beatMS        = 1500
	gangTimeoutMS = 3000
	startupMS     = 20
	checkpointMS  = 2000
)

// Slot is a place where executors live one after the other, at one address.
type Slot struct {
	fleet    *Fleet
	n        int
	addr     string // IP:port
	zone     string
	rack     string
	kind     string
	lives    int
	current  *Executor // nil while it is down
	fails    bool      // the executor fails all that it starts
	capacity map[string]int64
}

// Fleet is all executors, and what they have run.
type Fleet struct {
	rec     *Recorder
	cell    *Cell
	service string
	slots   []*Slot

	mu    sync.Mutex
	gangs map[string]*gangRun
	runs  []*Run // in the order in which they began
}

// gangRun is one run of a gang. Its members work from when all are present.
type gangRun struct {
	members []*Run
	working bool
	over    bool
}

// Executor is one life of an executor.
type Executor struct {
	slot   *Slot
	id     string
	born   int64
	begun  time.Time
	server *http.Server
	gone   context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	fence   uint64
	until   int64
	active  map[string]*Run
	highest map[string]uint32
	ends    []end
	number  uint64
	changed chan struct{}

	seq   uint64
	state string
}

// Run is one start that an executor has carried out.
type Run struct {
	ex    *Executor
	task  string
	run   uint32
	spec  string
	saved string        // the last checkpoint
	work0 time.Duration // of earlier runs, which the checkpoint of the start holds
	began time.Time
	ended time.Time
	how   string // "" while it runs
	gang  *gangRun
	acked bool // its end is acknowledged
}

// end is a listed end of a run.
type end struct {
	number uint64
	run    *Run
}

func newFleet(rec *Recorder, cell *Cell, service string, n int) *Fleet {
	f := &Fleet{rec: rec, cell: cell, service: service, gangs: map[string]*gangRun{}}
	for i := range n {
		f.slots = append(f.slots, &Slot{fleet: f, n: i, addr: fmt.Sprintf("%s%d:%d", cell.net, 101+i, portWorker),
			zone: zones[i%3], kind: "a", rack: fmt.Sprintf("r%d-%d", i%3, i/24), capacity: map[string]int64{"cpu": 16000, "mem_mb": 32768, "gpu": 0}})
	}
	return f
}

// start begins a life of an executor.
func (s *Slot) start() error {
	s.lives++
	id := fmt.Sprintf("i-%02d-%d", s.n, s.lives)
	now := time.Now()
	e := &Executor{slot: s, id: id, born: now.UnixMilli(), begun: now.Add(-time.Millisecond), active: map[string]*Run{}, highest: map[string]uint32{},
		changed: make(chan struct{}), state: "ready"}
	e.ctx, e.gone = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.serve(e.runStart))
	mux.HandleFunc("POST /api/run-stop", e.serve(e.runStop))
	mux.HandleFunc("POST /api/hold", e.serve(e.hold))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	go e.lapse()
	s.fleet.mu.Lock()
	s.current = e
	s.fleet.mu.Unlock()
	s.fleet.rec.add("executor %s starts at slot %d", id, s.n)
	return nil
}

// crash ends a life of an executor: its connections are reset and what it ran is gone.
func (s *Slot) crash() {
	s.fleet.mu.Lock()
	e := s.current
	s.current = nil
	s.fleet.mu.Unlock()
	if e == nil {
		return
	}
	e.gone()
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.active {
		s.fleet.mu.Lock()
		r.how, r.ended = "crashed", time.Now()
		s.fleet.breakGang(r)
		s.fleet.mu.Unlock()
	}
	s.fleet.rec.add("executor %s crashes with %d tasks", e.id, len(e.active))
	e.active = map[string]*Run{}
}

func (e *Executor) clock() int64 { return time.Since(e.begun).Milliseconds() }

// beat sends heartbeats to the nodes that serve control, one after the other until one
// confirms.
func (e *Executor) beat() {
	for e.ctx.Err() == nil {
		e.beatOnce()
		select {
		case <-time.After(beatMS * time.Millisecond):
		case <-e.ctx.Done():
		}
	}
}

var beatClient = &http.Client{Timeout: time.Second}

func (e *Executor) beatOnce() {
	e.mu.Lock()
	e.seq++
	body, _ := json.Marshal(map[string]any{"service": e.slot.fleet.service, "address": e.slot.addr, "zone": e.slot.zone, "version": "v1", "slots": 8,
		"state": e.state, "cold_remaining_ms": 0, "capacity": e.slot.capacity, "labels": []string{e.slot.kind, e.slot.rack},
		"clock_ms": e.clock(), "sequence": e.seq, "born": e.born})
	e.mu.Unlock()
	for i := range 3 {
		core := e.slot.fleet.cell.cores[(e.slot.n+i)%3]
		url := fmt.Sprintf("http://%s:%d/api/instances/%s/heartbeat", core.ip, portControl, e.id)
		req, _ := http.NewRequestWithContext(e.ctx, http.MethodPost, url, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := beatClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return
		}
	}
}

// lapse kills everything when the lease has expired.
func (e *Executor) lapse() {
	for e.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		if len(e.active) > 0 && e.clock() > e.until {
			for _, r := range copyOf(e.active) {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

func copyOf(m map[string]*Run) []*Run {
	var out []*Run
	for _, r := range m {
		out = append(out, r)
	}
	return out
}

// order is the body of any call to an executor.
type order struct {
	Task   string `json:"task"`
	Run    uint32 `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until_ms"`
	Fence  uint64 `json:"fence"`
	Saved  string `json:"last_checkpoint"`
	Cursor uint64 `json:"ack_cursor"`
	WaitMS int64  `json:"wait_ms"`
}

// reply is the answer to an order. Both lists are there if lists is set.
type reply struct {
	reason string
	lists  bool
	active []any
	ended  []any
}

func (e *Executor) serve(do func(context.Context, *order) (int, reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Filbertmast-Expect-Instance"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, a := do(r.Context(), &o)
		if e.ctx.Err() != nil {
			return
		}
		body := map[string]any{"clock_ms": e.clock(), "born": e.born}
		if a.reason != "" {
			body["reason"] = a.reason
		}
		if a.lists {
			body["active"], body["finished_runs"] = orEmpty(a.active), orEmpty(a.ended)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func orEmpty(l []any) []any {
	if l == nil {
		return []any{}
	}
	return l
}

func (e *Executor) fenced(o *order) bool {
	if o.Fence < e.fence {
		return true
	}
	e.fence = o.Fence
	return false
}

func (e *Executor) extend(until int64) { e.until = max(e.until, min(until, e.clock()+holdMaxMS)) }

func (e *Executor) runStart(_ context.Context, o *order) (int, reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return 409, reply{reason: "fence"}
	}
	e.extend(o.Until)
	if r := e.active[o.Task]; r != nil && r.run == o.Run {
		return 200, reply{}
	}
	if o.Run <= e.highest[o.Task] || e.active[o.Task] != nil {
		return 409, reply{reason: "old"}
	}
	if e.until <= e.clock() {
		return 409, reply{reason: "late"}
	}
	r := &Run{ex: e, task: o.Task, run: o.Run, spec: o.Spec, saved: o.Saved, began: time.Now()}
	e.active[o.Task] = r
	f := e.slot.fleet
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
	f.rec.add("run %s %d begins on %s", r.task, r.run, e.id)
	r.work()
	return 200, reply{}
}

// specValue returns a number of a spec such as "ms=900 gang=4".
func specValue(spec, name string) int {
	for _, w := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(w, name+"="); ok {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return 0
}

// work lets a run end after its time. The caller holds mu of the executor.
func (r *Run) work() {
	length := time.Duration(specValue(r.spec, "ms")) * time.Millisecond
	gang := specValue(r.spec, "gang")
	if gang != 0 {
		r.joinGang(gang, length)
	}
	if size := specValue(r.spec, "saved"); size != 0 {
		length -= r.resume()
		time.AfterFunc(checkpointMS*time.Millisecond, func() { r.checkpoint(size) })
	}
	switch {
	case r.ex.slot.fails:
		time.AfterFunc(startupMS*time.Millisecond, func() { r.end("failed") })
	case gang == 0:
		time.AfterFunc(length, func() { r.end("done") })
	}
}

// resume returns the work that the checkpoint of the start holds.
func (r *Run) resume() time.Duration {
	ms, _ := strconv.Atoi(strings.TrimRight(r.saved, "."))
	r.work0 = time.Duration(ms) * time.Millisecond
	return r.work0
}

// checkpoint makes a new checkpoint, a string of the given length, every checkpointMS while
// the run is at work.
func (r *Run) checkpoint(size int) {
	r.ex.mu.Lock()
	defer r.ex.mu.Unlock()
	if r.ex.active[r.task] != r {
		return
	}
	done := strconv.Itoa(int((r.work0 + time.Since(r.began)).Milliseconds()))
	r.saved = done + strings.Repeat(".", max(size-len(done), 0))
	time.AfterFunc(checkpointMS*time.Millisecond, func() { r.checkpoint(size) })
}

// joinGang adds the run to its gang of n members, which works for the given time once all
// are there. A member that waits too long for the others ends.
func (r *Run) joinGang(n int, length time.Duration) {
	f := r.ex.slot.fleet
	key := r.task[:strings.LastIndexByte(r.task, '.')] + "/" + strconv.Itoa(int(r.run))
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[key]
	if g == nil {
		g = &gangRun{}
		f.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	switch {
	case g.over:
		time.AfterFunc(gangNotice, func() { r.end("broken") })
	case len(g.members) == n:
		g.working = true
		time.AfterFunc(length, func() { f.finishGang(g) })
	default:
		time.AfterFunc(gangTimeoutMS*time.Millisecond, func() {
			f.mu.Lock()
			alone := !g.working
			f.mu.Unlock()
			if alone {
				r.end("alone")
			}
		})
	}
}

// finishGang ends all members as done, unless one has ended otherwise.
func (f *Fleet) finishGang(g *gangRun) {
	f.mu.Lock()
	over, members := g.over, append([]*Run{}, g.members...)
	f.mu.Unlock()
	for _, m := range members {
		if !over {
			m.end("done")
		}
	}
}

// gangNotice is how long the other members of a gang take to notice that one has ended.
const gangNotice = 100 * time.Millisecond

// end ends a run unless it has ended.
func (r *Run) end(how string) {
	r.ex.mu.Lock()
	defer r.ex.mu.Unlock()
	if r.ex.ctx.Err() == nil && r.ex.active[r.task] == r {
		r.ex.finish(r, how)
	}
}

// finish lists the end of a run. The caller holds mu.
func (e *Executor) finish(r *Run, how string) {
	delete(e.active, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.number++
	f := e.slot.fleet
	f.mu.Lock()
	r.how, r.ended = how, time.Now()
	if how != "done" {
		f.breakGang(r)
	}
	f.mu.Unlock()
	e.ends = append(e.ends, end{e.number, r})
	close(e.changed)
	e.changed = make(chan struct{})
	f.rec.add("run %s %d ends %s on %s", r.task, r.run, how, e.id)
}

// breakGang ends the other members of a run's gang after gangNotice. The caller holds mu.
func (f *Fleet) breakGang(r *Run) {
	g := r.gang
	if g == nil || g.over {
		return
	}
	g.over = true
	time.AfterFunc(gangNotice, func() {
		f.mu.Lock()
		members := append([]*Run{}, g.members...)
		f.mu.Unlock()
		for _, m := range members {
			m.end("broken")
		}
	})
}

func (e *Executor) runStop(_ context.Context, o *order) (int, reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return 409, reply{reason: "fence"}
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.active[o.Task]; r != nil && r.run == o.Run {
		time.AfterFunc(stopMS/4*time.Millisecond, func() { r.end("stopped") })
	}
	return 200, reply{}
}

func (e *Executor) hold(ctx context.Context, o *order) (int, reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(o) {
		return 409, reply{reason: "fence"}
	}
	if o.Until != 0 {
		e.extend(o.Until)
	}
	for len(e.ends) > 0 && e.ends[0].number <= o.Cursor {
		e.slot.fleet.mu.Lock()
		e.ends[0].run.acked = true
		e.slot.fleet.mu.Unlock()
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		case <-e.ctx.Done():
		}
		e.mu.Lock()
	}
	a := reply{lists: true}
	for _, r := range e.active {
		a.active = append(a.active, []any{r.task, r.run, r.saved, 50, 0})
	}
	for i := range e.ends {
		if i == 500 {
			break
		}
		x := &e.ends[i]
		a.ended = append(a.ended, []any{x.number, x.run.task, x.run.run, x.run.how, x.run.saved})
	}
	return 200, a
}

// runsOf returns the runs of a job so far.
func (f *Fleet) runsOf(job string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Run
	for _, r := range f.runs {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, *r)
		}
	}
	return out
}
