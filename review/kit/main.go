// The program kit plays one case of the review: it starts a small deployment and stand-ins
// for clients, operator, executors and policy service, and judges one rule by what they see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit ends a case that hangs.
	timeLimit = 115 * time.Second
)

// errBroken is the result of a case in which the rule was broken.
var errBroken = errors.New("the rule is broken")

// scenario plays one case. Trouble is false for a run without the disruption.
type scenario func(c *cell, trouble bool) error

// cases are the scenarios by name.
var cases = map[string]scenario{}

// withAdvice are the scenarios with a policy service.
var withAdvice = map[string]bool{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit CASE; cases:", sortedNames(cases))
		return exitNotRun
	}
	rec, err := newRecord("record.txt")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	c, err := newCell(rec)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if withAdvice[os.Args[1]] {
		if err := c.serveAdvice(); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
	}
	result := make(chan error, 1)
	go func() {
		if err := c.startAll(); err != nil {
			result <- err
			return
		}
		result <- cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(timeLimit):
		err = errors.New("the case took too long")
	}
	c.stopAll()
	switch {
	case err == nil:
		rec.add("judge", "the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.add("judge", "%v", err)
		fmt.Println(err)
		return exitBroken
	}
	rec.add("judge", "the case could not run: %v", err)
	fmt.Println(err)
	return exitNotRun
}
