// Command _kit4 plays the scripted cases of the third review: it starts the programs of the
// deploy file as separate processes, with stand-ins of executors, requesters and the operator.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
)

var ctxBackground = context.Background()

// A caseFunc plays a case and returns what was broken, or "".
type caseFunc func(c *cell, trouble bool) (string, error)

type caseSpec struct {
	cores, fronts, executors int
	play                     caseFunc
}

var cases = map[string]caseSpec{
	"ghosts": {cores: 3, fronts: 2, executors: 8, play: playGhosts},
	"crash":  {cores: 3, fronts: 2, executors: 8, play: playCrash},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, recordPath string) int {
	spec, known := cases[name]
	if !known {
		fmt.Println("unknown case", name)
		return 2
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", name, trouble)
	c, err := newCell(rec, spec.cores, spec.fronts)
	if err == nil {
		defer c.close()
		err = c.prepare(spec.executors)
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	broken, err := spec.play(c, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	rec.add("held")
	fmt.Println("held")
	return 0
}

// prepare applies the first manifest, boots the executors and runs one small job.
func (c *cell) prepare(executors int) error {
	if err := c.apply(manifest(1, 4), baseTime); err != nil {
		return err
	}
	if err := c.addExecutors(executors); err != nil {
		return err
	}
	const id = "00000000000000aa"
	if err := c.submit(id, job("work_ms=200", 2)); err != nil {
		return err
	}
	if s := c.waitState(id, baseTime, "completed"); s != "completed" {
		return fmt.Errorf("the first job is %q", s)
	}
	return nil
}

// job returns the body of a job with one step.
func job(spec string, tasks int) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}}}
}
