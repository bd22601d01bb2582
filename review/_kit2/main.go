// Command kit plays the scripted cases of a review: it starts a small deployment of the
// project's programs on loopback addresses, with stand-ins of clients, operator and
// executors, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Case is one case. It returns whether the rule was broken, and what was seen.
type Case func(k *Kit) (broken bool, seen string, err error)

// Kit is what a case works with.
type Kit struct {
	rec     *Recorder
	cell    *Cell
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE FOLDER")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	cell, err := newCell(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer cell.stop()
	go func() {
		time.Sleep(115 * time.Second)
		rec.add("the case has not ended in time")
		fmt.Println("could not run: the case has not ended in time")
		cell.stop()
		os.Exit(2)
	}()
	broken, seen, err := cases[os.Args[1]](&Kit{rec, cell, os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.add("BROKEN: %s", seen)
		fmt.Println("BROKEN:", seen)
		return 1
	}
	rec.add("held: %s", seen)
	fmt.Println("held:", seen)
	return 0
}

// begin starts the cell with a manifest and n executors.
func (k *Kit) begin(m map[string]any, service string, n int, shape ...func(*Slot)) (*Fleet, error) {
	if err := k.cell.start(); err != nil {
		return nil, err
	}
	if out := k.cell.put(m, 20*time.Second); out.Status != 200 {
		return nil, fmt.Errorf("the first manifest is not confirmed: %d %s", out.Status, out.Body)
	}
	f := newFleet(k.rec, k.cell, service, n)
	for _, s := range f.slots {
		for _, set := range shape {
			set(s)
		}
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	if err := k.cell.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second) // all executors have reported, and the cell has been calm for contact_ms
	return f, nil
}
