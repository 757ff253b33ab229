// Command stand runs the scripts of the third review: stand-ins for the platform, its
// databases and clients around processes of the system.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// site is what a case works on.
type site struct {
	record  *Record
	dir     string
	trouble bool
}

var cases = map[string]func(*site) (int, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	go endOnSignal()
	os.Exit(run(*name, *out))
}

// endOnSignal ends all processes that were started if the script is ended early.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	killStarted()
	os.Exit(failed)
}

func run(name, out string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return failed
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	s := &site{record: newRecord(), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	code, err := play(s)
	if err != nil {
		s.record.note("the case could not run: %v", err)
		code = failed
	}
	s.record.note("exit code %d", code)
	s.record.write(out)
	fmt.Println(name, "exit code", code)
	return code
}
