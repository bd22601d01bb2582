package main

import (
	"fmt"
	"math/rand"
	"time"
)

var cases = map[string]Case{
	"gang-budget":    gangBudget,
	"probation-gang": probationGang,
	"spread-gang":    spreadGang,
	"crashes":        crashes,
	"no-auth":        noAuth,
	"checkpoint":     checkpoint,
}

const (
	service = "planner"
	host    = "jobs.example"
	prefix  = "/jobs/"
	keyA    = "key-one-of-tenant-1"
)

// step returns a step of one task with the given fields changed.
func step(more map[string]any) map[string]any {
	s := map[string]any{"count": 1, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 1500}
	for k, v := range more {
		s[k] = v
	}
	return s
}

// job returns the body of a submission.
func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// gangBudget: a gang whose first run fails on several executors at once.
func gangBudget(k *Kit) (bool, string, error) {
	const executors, grey, attempts = 48, 4, 4
	f, err := k.begin(manifest(1, service, []Route{{Name: "r-1", Host: host, Prefix: prefix, Attempts: attempts}}, []string{keyA}), service, executors)
	if err != nil {
		return false, "", err
	}
	if k.trouble {
		for i := range grey {
			f.slots[i*12+5].fails = true
		}
		k.rec.add("%d of %d executors fail all that they start", grey, executors)
	}
	id := "00000000000000a0"
	out := k.cell.submit(host, prefix, id, keyA, job(fmt.Sprintf("ms=1500 gang=%d", executors),
		step(map[string]any{"count": executors, "gang": true, "anti_affinity": 1})))
	if out.Status/100 != 2 {
		return false, "", fmt.Errorf("the job is not accepted: %d", out.Status)
	}
	begun := time.Now()
	healed := false
	for i := 0; time.Since(begun) < 40*time.Second; i++ {
		time.Sleep(100 * time.Millisecond)
		runs := f.runsOf(id)
		if k.trouble && !healed {
			for _, r := range runs {
				if r.how == "failed" {
					healed = true
				}
			}
			if healed || time.Since(begun) > 6*time.Second {
				healed = true
				time.Sleep(100 * time.Millisecond)
				for _, s := range f.slots {
					s.fails = false
				}
				k.rec.add("all executors work again")
			}
		}
		if i%5 != 0 {
			continue
		}
		state, _ := k.cell.state(i/5, host, prefix, id, keyA)
		failed := map[uint32]int{}
		for _, r := range f.runsOf(id) {
			if r.how == "failed" {
				failed[r.run]++
			}
		}
		switch state {
		case "failed":
			return len(failed) < attempts, fmt.Sprintf("the job is shown as failed after %d failed runs of its gang (failed ends by run: %v); max_attempts is %d", len(failed), failed, attempts), nil
		case "completed":
			return false, fmt.Sprintf("the job is completed, after %d failed runs of its gang", len(failed)), nil
		}
	}
	return false, "", fmt.Errorf("the job has not ended")
}

// crashes: some executors crash while a gang runs on all, and come back.
func crashes(k *Kit) (bool, string, error) {
	const executors, each, waves, attempts = 48, 6, 3, 4
	const afterStart, down = 500 * time.Millisecond, 2200 * time.Millisecond
	f, err := k.begin(manifest(1, service, []Route{{Name: "r-1", Host: host, Prefix: prefix, Attempts: attempts}}, []string{keyA}), service, executors)
	if err != nil {
		return false, "", err
	}
	id := "00000000000000a0"
	out := k.cell.submit(host, prefix, id, keyA, job(fmt.Sprintf("ms=2000 gang=%d", executors), step(map[string]any{"count": executors, "gang": true, "anti_affinity": 1, "estimate_ms": 2000})))
	if out.Status/100 != 2 {
		return false, "", fmt.Errorf("the job is not accepted: %d", out.Status)
	}
	begun := time.Now()
	wave := 0
	for i := 0; time.Since(begun) < 70*time.Second; i++ {
		time.Sleep(50 * time.Millisecond)
		runs := f.runsOf(id)
		if k.trouble && wave < waves && len(runs) > wave*executors && time.Since(runs[len(runs)-1].began) >= afterStart {
			n := 0
			for _, r := range runs {
				if int(r.run) == wave+1 {
					n++
				}
			}
			if n == executors {
				wave++
				k.rec.add("wave %d", wave)
				for _, n := range rand.Perm(executors)[:each] {
					slot := f.slots[n]
					slot.crash()
					time.AfterFunc(down, func() { _ = slot.start() })
				}
			}
		}
		if i%10 != 0 {
			continue
		}
		state, _ := k.cell.state(i/10, host, prefix, id, keyA)
		ends := map[string]int{}
		for _, r := range f.runsOf(id) {
			ends[r.how]++
		}
		switch state {
		case "failed", "cancelled":
			return ends["failed"] < attempts, fmt.Sprintf("the job is shown as %s after %d waves; ends of its runs: %v; max_attempts is %d", state, wave, ends, attempts), nil
		case "completed":
			return false, fmt.Sprintf("the job is completed after %d waves; ends of its runs: %v", wave, ends), nil
		}
	}
	return false, "", fmt.Errorf("the job has not ended")
}

// noAuth: a route gets no_auth, and the key of its clients is removed.
func noAuth(k *Kit) (bool, string, error) {
	const attempts, applyMS = 4, 2500
	routes := []Route{{Name: "r-1", Host: host, Prefix: prefix, Attempts: attempts}}
	_, err := k.begin(manifest(1, service, routes, []string{keyA}, []string{"key-one-of-tenant-2"}), service, 12)
	if err != nil {
		return false, "", err
	}
	id := "00000000000000a0"
	out := k.cell.submit(host, prefix, id, keyA, job("ms=15000", step(nil)))
	if out.Status/100 != 2 {
		return false, "", fmt.Errorf("the job is not accepted: %d", out.Status)
	}
	if k.trouble {
		routes[0].NoAuth = true
		if out := k.cell.put(manifest(2, service, routes, []string{}, []string{"key-one-of-tenant-2"}), 10*time.Second); out.Status != 200 {
			return false, "", fmt.Errorf("the second manifest is not confirmed: %d", out.Status)
		}
	}
	time.Sleep(2 * applyMS * time.Millisecond)
	key := keyA
	if k.trouble {
		key = ""
	}
	bad, last := 0, Call{}
	for i := range 10 {
		_, out := k.cell.state(i, host, prefix, id, key)
		if out.Status != 200 {
			bad++
			last = out
		}
		time.Sleep(300 * time.Millisecond)
	}
	id2 := "00000000000000a1"
	post := k.cell.call(0, "POST", host, prefix+id2, key, job("ms=500", step(nil)))
	return bad == 10 || post.Status == 401, fmt.Sprintf("%d of 10 reads of an accepted job are refused (%d %s), a new job gets %d", bad, last.Status, last.Body, post.Status), nil
}

// stuck reports whether a job has begun nothing for the given time after its submission. It
// asks for the state of the job meanwhile.
func (k *Kit) stuck(f *Fleet, id string, limit time.Duration) (bool, string) {
	begun := time.Now()
	state := ""
	for i := 0; time.Since(begun) < limit; i++ {
		state, _ = k.cell.state(i, host, prefix, id, keyA)
		if n := len(f.runsOf(id)); n > 0 || state == "completed" || state == "failed" {
			time.Sleep(3 * time.Second)
			state, _ = k.cell.state(i, host, prefix, id, keyA)
			return false, fmt.Sprintf("%d runs have begun by %s after its submission, its state is then %s", n, time.Since(begun).Round(time.Second), state)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return true, fmt.Sprintf("no run of the job has begun %s after its submission, its state is %s", limit, state)
}

// spreadGang: some executors are lost for good, and then a gang comes whose tasks may share
// executors.
func spreadGang(k *Kit) (bool, string, error) {
	const executors, lost, width, perExecutor = 48, 2, 48, 4
	f, err := k.begin(manifest(1, service, []Route{{Name: "r-1", Host: host, Prefix: prefix, Attempts: 4}}, []string{keyA}), service, executors)
	if err != nil {
		return false, "", err
	}
	if k.trouble {
		for i := range lost {
			f.slots[7+i*20].crash()
		}
		time.Sleep(15 * time.Second) // far longer than any lease
	}
	id := "00000000000000a0"
	out := k.cell.submit(host, prefix, id, keyA, job(fmt.Sprintf("ms=1000 gang=%d", width),
		step(map[string]any{"count": width, "cpu": 1000, "mem_mb": 512, "gang": true, "anti_affinity": perExecutor})))
	if out.Status/100 != 2 {
		return false, "", fmt.Errorf("the job is not accepted: %d", out.Status)
	}
	broken, seen := k.stuck(f, id, 40*time.Second)
	return broken, fmt.Sprintf("gang of %d tasks, at most %d on an executor, %d idle executors: %s", width, perExecutor, executors-map[bool]int{true: lost}[k.trouble], seen), nil
}

// probationGang: two executors of a kind fail all that they start for some seconds. Then a
// gang comes that needs this kind.
func probationGang(k *Kit) (bool, string, error) {
	const executors, grey = 24, 2
	f, err := k.begin(manifest(1, service, []Route{{Name: "r-1", Host: host, Prefix: prefix, Attempts: 4}}, []string{keyA}), service, executors, func(s *Slot) {
		if s.n%12 == 5 {
			s.kind = "b"
		}
	})
	if err != nil {
		return false, "", err
	}
	set := func(fails bool) {
		for _, s := range f.slots {
			s.fails = fails && s.kind == "b"
		}
	}
	if k.trouble {
		set(true)
		k.rec.add("%d of %d executors fail all that they start", grey, executors)
	}
	began := time.Now()
	for i := range 3 {
		id := fmt.Sprintf("00000000000001%02x", i)
		out := k.cell.submit(host, prefix, id, keyA, job("ms=60", step(map[string]any{"count": executors, "anti_affinity": 1, "estimate_ms": 60})))
		if out.Status/100 != 2 {
			return false, "", fmt.Errorf("a job is not accepted: %d", out.Status)
		}
		for j := 0; ; j++ {
			state, _ := k.cell.state(j, host, prefix, id, keyA)
			if state == "completed" || state == "failed" {
				break
			}
			if j > 100 {
				return false, "", fmt.Errorf("job %s: %s", id, state)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if k.trouble {
		set(false)
		k.rec.add("all executors work again, after %s", time.Since(began).Round(time.Millisecond))
	}
	time.Sleep(5 * time.Second)
	id := "00000000000000a0"
	out := k.cell.submit(host, prefix, id, keyA, job("ms=1000 gang=2", step(map[string]any{"count": 2, "gang": true, "requires": "b"})))
	if out.Status/100 != 2 {
		return false, "", fmt.Errorf("the job is not accepted: %d", out.Status)
	}
	broken, seen := k.stuck(f, id, 45*time.Second)
	return broken, "gang of 2 tasks that need kind b, 2 idle executors of that kind that work: " + seen, nil
}

// checkpoint: the checkpoints of tasks are long strings.
func checkpoint(k *Kit) (bool, string, error) {
	f, err := k.begin(manifest(1, service, []Route{{Name: "r-1", Host: host, Prefix: prefix, Attempts: 4}}, []string{keyA}), service, 8)
	if err != nil {
		return false, "", err
	}
	size := 16
	if k.trouble {
		size = 5000
	}
	id := "00000000000000a0"
	out := k.cell.submit(host, prefix, id, keyA, job(fmt.Sprintf("ms=9000 saved=%d", size),
		step(map[string]any{"count": 8, "cpu": 9000, "estimate_ms": 9000, "saves_progress": true})))
	if out.Status/100 != 2 {
		return false, "", fmt.Errorf("the job is not accepted: %d", out.Status)
	}
	state := ""
	for i := 0; i < 40 && state != "completed"; i++ {
		time.Sleep(time.Second)
		state, _ = k.cell.state(i, host, prefix, id, keyA)
	}
	time.Sleep(3 * time.Second)
	runs := f.runsOf(id)
	both, again := 0, 0
	for _, x := range runs {
		for _, y := range runs {
			if x.task != y.task || x.run >= y.run {
				continue
			}
			if x.how == "" || y.began.Before(x.ended) {
				both++
			} else if x.how == "done" && x.acked {
				again++
			}
		}
	}
	return both+again > 0, fmt.Sprintf("checkpoints of %d bytes: the 8 tasks have %d runs; %d times two runs of a task at once, %d times a run after an acknowledged end done; the job is %s", size, len(runs), both, again, state), nil
}
