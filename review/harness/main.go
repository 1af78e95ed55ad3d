//go:build review

// Command harness plays the cases of the review that are scripts. It starts the project's own programs as processes on loopback
// addresses, with stand-ins of the store, the workers and the clients, and writes what they saw.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// scenario plays a case. trouble is false for the same play without the disruption.
type scenario struct {
	entries, workers int
	play             func(s *system, trouble bool) (verdict, error)
}

var scenarios = map[string]scenario{
	"refused-cut":    {entries: 3, workers: 11, play: playRefusedCut},
	"long-order":     {entries: 3, workers: 6, play: playDenseSteps},
	"rejected-start": {entries: 3, workers: 8, play: playRejectedStart},
	"moved-cancel":   {entries: 3, workers: 6, play: playMovedCancel},
}

// maxDuration bounds a script.
const maxDuration = 115 * time.Second

func main() {
	name, dir, root := flag.String("case", "", "name of the case"), flag.String("dir", ".", "folder for record.txt"), flag.String("root", ".", "root of the repository")
	flag.Parse()
	c, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	os.Exit(run1(c, *dir, *root, os.Getenv("TROUBLE") != "0"))
}

func run1(c scenario, dir, root string, trouble bool) int {
	r := newRecord()
	r.note(fmt.Sprintf("trouble: %t", trouble))
	type result struct {
		verdict verdict
		err     error
	}
	s, err := newSystem(r, root, c.entries, c.workers)
	if s != nil {
		defer s.stop()
	}
	out := result{err: err}
	if err == nil {
		r.note("the system is ready")
		done := make(chan result, 1)
		go func() {
			v, err := c.play(s, trouble)
			done <- result{v, err}
		}()
		select {
		case out = <-done:
		case <-time.After(maxDuration - time.Since(r.began)):
			out = result{err: fmt.Errorf("the case took longer than %s", maxDuration)}
		}
	}
	code := 0
	switch {
	case out.err != nil:
		r.note("the case could not run: " + out.err.Error())
		code = 2
	case out.verdict.broken:
		r.note("RULE BROKEN: " + out.verdict.text)
		code = 1
	default:
		r.note("the rule held: " + out.verdict.text)
	}
	events := r.list()
	fmt.Println(events[len(events)-1].Result)
	if err := r.write(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
