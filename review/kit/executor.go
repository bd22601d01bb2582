package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Bounds of the installation, as on the sheet of the beehive workshop.
const (
	holdMaxMS     = 6000
	heartbeatTime = 1500 * time.Millisecond
	stopTime      = 300 * time.Millisecond // of the 900 ms that a stop may take
)

// plan is how an executor carries out a task: it ends so after a time. A time of zero means
// that the task runs until it is stopped.
type plan struct {
	after time.Duration
	how   string // done or failed
}

// run is one run of a task on an executor.
type run struct {
	task     string
	number   int
	began    time.Time
	timer    *time.Timer
	stopping bool
}

// end is one row of finished_runs.
type end struct {
	n      uint64
	task   string
	number int
	how    string
}

// executor is a stand-in for one executor of the platform.
type executor struct {
	rec      *record
	id       string
	service  string
	address  string
	zone     string
	labels   []string
	capacity map[string]int64
	controls []string
	behave   func(task string, number int, spec string) plan
	onStart  func(x *executor, task string, number int, spec string) // after a run has begun
	onAck    func(x *executor, cursor uint64, ends []end)            // before ends are forgotten

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]chan struct{} // open connections, with the life in which they were opened

	bootTime    time.Duration // from the start of a life to its first report
	delay       chan struct{} // the next response to a hold that waited is on its way until this is closed; nil: no delay
	waiting     chan struct{} // closed once a hold waits; nil: no one asks
	delayed     chan struct{} // closed once that response has been sent
	delayedConn net.Conn      // its connection
	up          bool
	cut         bool
	tickets     bool // starts need a ticket of the policy service
	born        int64
	booted      time.Time
	sequence    int64
	fence       uint64
	until       int64 // end of the lease on the executor's clock
	active      map[string]*run
	past        map[string]int // highest run that was stopped or has ended, by task
	ends        []end
	lastEnd     uint64
	changed     chan struct{} // closed at the next end
	life        chan struct{} // closed when this life ends
}

// boot starts a life of the executor.
func (x *executor) boot() error {
	if x.server == nil {
		if err := x.listen(); err != nil {
			return err
		}
	}
	x.mu.Lock()
	x.up = true
	x.born, x.booted = time.Now().UnixMilli(), time.Now()
	x.sequence, x.fence, x.until, x.lastEnd = 0, 0, 0, 0
	x.active, x.past, x.ends = map[string]*run{}, map[string]int{}, nil
	x.changed, x.life = make(chan struct{}), make(chan struct{})
	life := x.life
	x.mu.Unlock()
	x.resetStale()
	go x.beat(life)
	go x.watchLease(life)
	x.rec.add(x.id, "boots, born %d", x.born)
	return nil
}

// listen serves the address of the executor, through all of its lives.
func (x *executor) listen() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.conns = map[net.Conn]chan struct{}{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.runStart)
	mux.HandleFunc("POST /api/run-stop", x.runStop)
	mux.HandleFunc("POST /api/hold", x.hold)
	x.server = &http.Server{
		ConnState: x.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			x.serve(mux, w, r)
		}),
	}
	go func() { _ = x.server.Serve(l) }()
	return nil
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

func (x *executor) serve(mux http.Handler, w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	up, cut := x.up, x.cut
	x.mu.Unlock()
	switch {
	case cut:
		hang(r)
		return
	case !up:
		panic(http.ErrAbortHandler) // nobody listens
	}
	if want := r.Header.Get("Filbertmast-Expect-Instance"); want != "" && want != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	mux.ServeHTTP(w, r)
}

// hang holds a call up until its caller gives it up. It is lost then.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// trackConn remembers in which life a connection was opened.
func (x *executor) trackConn(c net.Conn, s http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch s {
	case http.StateNew:
		x.conns[c] = x.life
	case http.StateClosed, http.StateHijacked:
		delete(x.conns, c)
	}
}

// resetStale ends the connections to earlier lives, unless a cut hides their end.
func (x *executor) resetStale() {
	x.mu.Lock()
	var stale []net.Conn
	for c, life := range x.conns {
		if !x.cut && (life != x.life || !x.up) && c != x.delayedConn {
			stale = append(stale, c)
		}
	}
	x.mu.Unlock()
	for _, c := range stale {
		_ = c.Close()
	}
}

// crash ends the life of the executor: what runs on it is gone, and it says nothing.
func (x *executor) crash() {
	x.mu.Lock()
	if !x.up {
		x.mu.Unlock()
		return
	}
	x.up = false
	close(x.life)
	lost := len(x.active)
	for _, r := range x.active {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	x.active = map[string]*run{}
	x.mu.Unlock()
	x.rec.add(x.id, "crashes, %d runs are gone", lost)
	x.resetStale()
}

// setCut cuts the executor off from all machines, or joins it again.
func (x *executor) setCut(cut bool) {
	x.mu.Lock()
	x.cut = cut
	x.mu.Unlock()
	if cut {
		x.rec.add(x.id, "is cut off")
		return
	}
	x.rec.add(x.id, "is joined again")
	x.resetStale()
}

func (x *executor) clock() int64 { return 1000 + time.Since(x.booted).Milliseconds() }

// report is the executor's report about itself with the given sequence.
func (x *executor) report(sequence int64) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "capacity": x.capacity, "labels": x.labels,
		"clock_ms": x.clock(), "sequence": sequence, "born": x.born,
	})
	return b
}

// nextReport returns the next report and its sequence.
func (x *executor) nextReport() ([]byte, int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	return x.report(x.sequence), x.sequence
}

// beat sends a heartbeat at each interval until the life ends.
func (x *executor) beat(life chan struct{}) {
	time.Sleep(x.bootTime)
	for {
		x.mu.Lock()
		silent := x.cut
		x.mu.Unlock()
		if !silent {
			x.sendBeat(life)
		}
		select {
		case <-life:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// sendBeat sends one report to one control address after the other until one acknowledges
// it. It returns whether one did.
func (x *executor) sendBeat(life chan struct{}) bool {
	body, sequence := x.nextReport()
	for i := range x.controls {
		select {
		case <-life:
			return false
		default:
		}
		to := x.controls[(int(sequence)+i)%len(x.controls)]
		if status := x.postBeat(to, body); status/100 == 2 {
			return true
		}
	}
	return false
}

// beatNow sends a report at once, as its turn has come.
func (x *executor) beatNow() {
	x.mu.Lock()
	life := x.life
	x.mu.Unlock()
	x.sendBeat(life)
}

func (x *executor) postBeat(to string, body []byte) int {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+to+"/api/instances/"+x.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// watchLease ends everything that runs once the lease is over.
func (x *executor) watchLease(life chan struct{}) {
	for {
		select {
		case <-life:
			return
		case <-time.After(20 * time.Millisecond):
		}
		x.mu.Lock()
		if x.life == life && x.up && x.clock() >= x.until {
			for _, r := range x.active {
				x.finish(r, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}

// finish ends a run. The caller holds the lock.
func (x *executor) finish(r *run, how string) {
	if x.active[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(x.active, r.task)
	x.past[r.task] = max(x.past[r.task], r.number)
	x.lastEnd++
	x.ends = append(x.ends, end{x.lastEnd, r.task, r.number, how})
	close(x.changed)
	x.changed = make(chan struct{})
	x.rec.add(x.id, "run %d of %s ends %s", r.number, r.task, how)
}

// order is the body of any call to an executor.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"last_checkpoint"`
	Ticket     string `json:"ticket"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (x *executor) reply(w http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock_ms": x.clock(), "born": x.born}
	for k, v := range more {
		body[k] = v
	}
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (x *executor) refuse(w http.ResponseWriter, reason string) {
	x.reply(w, http.StatusConflict, map[string]any{"reason": reason})
}

// extend takes over the end of the lease that a call carries.
func (x *executor) extend(until int64) {
	x.until = max(x.until, min(until, x.clock()+holdMaxMS))
}

// fenced reports whether a call has a lower fence than an earlier one.
func (x *executor) fenced(o *order) bool {
	if o.Fence < x.fence {
		return true
	}
	x.fence = o.Fence
	return false
}

func decodeOrder(r *http.Request) (*order, error) {
	var o order
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	return &o, json.Unmarshal(b, &o)
}

func (x *executor) runStart(w http.ResponseWriter, r *http.Request) {
	o, err := decodeOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason, began := x.startRun(o)
	if began && x.onStart != nil {
		x.onStart(x, o.Task, o.Run, o.Spec)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if status == http.StatusOK {
		x.reply(w, status, nil)
		return
	}
	x.refuse(w, reason)
}

// startRun carries out a start. It returns the status, the reason of a refusal, and whether
// a run has begun.
func (x *executor) startRun(o *order) (int, string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	refused := func(reason string) (int, string, bool) {
		x.rec.add(x.id, "refuses run %d of %s: %s", o.Run, o.Task, reason)
		return http.StatusConflict, reason, false
	}
	if x.fenced(o) {
		return refused("fence")
	}
	if at := x.active[o.Task]; at != nil && at.number == o.Run {
		x.extend(o.UntilMS)
		return http.StatusOK, "", false
	}
	if o.Run <= x.past[o.Task] {
		x.extend(o.UntilMS)
		return refused("old")
	}
	if at := x.active[o.Task]; at != nil {
		return refused("old")
	}
	if x.tickets && !validTicket(o.Ticket, o.Task, x.id) {
		return refused("ticket")
	}
	if o.UntilMS <= x.clock() {
		return refused("late")
	}
	x.extend(o.UntilMS)
	n := &run{task: o.Task, number: o.Run, began: time.Now()}
	x.active[o.Task] = n
	x.rec.add(x.id, "run %d of %s begins, fence %d, service %s", o.Run, o.Task, o.Fence, x.service)
	if p := x.behave(o.Task, o.Run, o.Spec); p.after > 0 {
		life := x.life
		n.timer = time.AfterFunc(p.after, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.life == life && x.up {
				x.finish(n, p.how)
			}
		})
	}
	return http.StatusOK, "", true
}

func (x *executor) runStop(w http.ResponseWriter, r *http.Request) {
	o, err := decodeOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fenced(o) {
		x.refuse(w, "fence")
		return
	}
	x.past[o.Task] = max(x.past[o.Task], o.Run)
	if at := x.active[o.Task]; at != nil && at.number <= o.Run && !at.stopping {
		at.stopping = true
		x.rec.add(x.id, "is told to stop run %d of %s", o.Run, o.Task)
		time.AfterFunc(stopTime, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(at, "stopped")
		})
	}
	x.reply(w, http.StatusOK, nil)
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, err := decodeOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fenced(o) {
		x.refuse(w, "fence")
		return
	}
	if o.UntilMS != 0 {
		x.extend(o.UntilMS)
	}
	if len(x.ends) > 0 && x.onAck != nil {
		x.onAck(x, o.AckCursor, x.ends)
	}
	for len(x.ends) > 0 && x.ends[0].n <= o.AckCursor {
		x.ends = x.ends[1:]
	}
	life := x.life
	if len(x.ends) == 0 && o.WaitMS > 0 {
		changed := x.changed
		if x.waiting != nil {
			close(x.waiting)
			x.waiting = nil
		}
		x.mu.Unlock()
		select {
		case <-changed:
		case <-life:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		}
		x.mu.Lock()
	}
	if x.cut || x.life != life || !x.up {
		cut := x.cut
		x.mu.Unlock()
		defer x.mu.Lock()
		if cut {
			hang(r)
		}
		panic(http.ErrAbortHandler)
	}
	if x.delay == nil || o.WaitMS == 0 {
		x.reply(w, http.StatusOK, x.lists())
		return
	}
	x.replyLate(w, r, x.lists())
}

// replyLate sends a response that is on its way for some time, also if the executor crashes
// meanwhile. The caller holds the lock.
func (x *executor) replyLate(w http.ResponseWriter, r *http.Request, lists map[string]any) {
	body := map[string]any{"clock_ms": x.clock(), "born": x.born}
	for k, v := range lists {
		body[k] = v
	}
	b, _ := json.Marshal(body)
	arrives := x.delay
	x.delay = nil
	x.delayedConn, _ = r.Context().Value(connKey{}).(net.Conn)
	x.rec.add(x.id, "a response to a hold is sent, and delayed on its way")
	close(x.delayed)
	x.mu.Unlock()
	<-arrives
	x.mu.Lock()
	x.delayedConn = nil
	x.rec.add(x.id, "the delayed response arrives")
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close") // its sender has ended
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func (x *executor) lists() map[string]any {
	active, finished := [][]any{}, [][]any{}
	for _, name := range sortedNames(x.active) {
		active = append(active, []any{name, x.active[name].number, "", 100, 0})
	}
	for _, e := range x.ends {
		finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
	}
	return map[string]any{"active": active, "finished_runs": finished}
}

// running returns how many runs are active.
func (x *executor) running() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.active)
}

// newExecutors returns n executors of a service with addresses from first on.
func (c *cell) newExecutors(service string, n, first int, behave func(string, int, string) plan) []*executor {
	zones := []string{"selfoss", "akureyri", "hvolsvollur"}
	var out []*executor
	for i := range n {
		out = append(out, &executor{
			rec: c.rec, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service,
			address: fmt.Sprintf("%s.%d:%d", c.net, first+i, c.port["executor"]),
			zone:    zones[i%3], labels: []string{"a", fmt.Sprintf("r%d-1", i%3+1)},
			capacity: map[string]int64{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
			controls: c.controls(), behave: behave,
		})
	}
	return out
}

func bootAll(xs []*executor) error {
	for _, x := range xs {
		if err := x.boot(); err != nil {
			return err
		}
	}
	return nil
}
