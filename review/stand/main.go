// Command stand plays the cases of the review: it starts the project's program on
// the four machines of a small deployment before stand-ins, brings a disruption
// about, and checks a rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
)

// Results of a case, which are the exit codes.
const (
	resultHeld   = 0
	resultBroken = 1
	resultNotRun = 2
)

// scenario plays a case on a running system and returns what broke the rule.
type scenario func(s *System, trouble bool) ([]string, error)

var errUnknownCase = errors.New("no such case")

var scenarios = map[string]scenario{
	"restored-and-dark":   restoredAndDark,
	"restored-and-killed": restoredAndKilled,
	"restored-store":      restoredStore,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	program := flag.String("program", "target/gypsumdock --hosted", "the program with its arguments")
	logs := flag.String("logs", "", "a folder that keeps the logs of the instances")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(*name, *record, strings.Fields(*program), *logs, trouble)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return resultNotRun
	case len(broken) > 0:
		for _, line := range broken[:min(len(broken), 20)] {
			fmt.Println("BROKEN", line)
		}
		return resultBroken
	default:
		fmt.Println("the rule held")
		return resultHeld
	}
}

func play(name, record string, program []string, logs string, trouble bool) ([]string, error) {
	chosen := scenarios[name]
	if chosen == nil {
		return nil, errUnknownCase
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	defer rec.Close()
	s, err := startSystem(program, rec)
	if s != nil {
		defer s.close(logs)
	}
	if err != nil {
		return nil, err
	}
	broken, err := chosen(s, trouble)
	for _, line := range broken {
		rec.Logf("check", "BROKEN %s", line)
	}
	return broken, err
}
