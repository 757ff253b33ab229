// Command soak plays random faults on hosted instances, a seed after the other,
// and prints the promises that were broken. It exits with 1 if there were any.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"gypsumdock/testbench/soak"
)

type options struct {
	From      uint64        `long:"from" default:"1" description:"first seed"`
	Count     uint64        `long:"count" default:"1" description:"number of seeds"`
	Lasts     time.Duration `long:"lasts" default:"15s" description:"time in which faults begin"`
	Instances int           `long:"instances" default:"5" description:"number of instances"`
	Callers   int           `long:"callers" default:"24" description:"number of callers"`
	Accounts  bool          `long:"accounts" description:"play client accounts with rates and changing keys"`
	KeepLogs  string        `long:"keep-logs" description:"directory for the logs of runs with a broken promise"`
}

func main() {
	var given options
	if _, err := flags.Parse(&given); err != nil {
		os.Exit(2)
	}
	broken := 0
	for seed := given.From; seed < given.From+given.Count; seed++ {
		if !run(seed, given) {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d with a broken promise\n", given.Count, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// run plays one seed and reports whether every promise was kept.
func run(seed uint64, given options) bool {
	played := soak.DefaultOptions(seed)
	played.Lasts = given.Lasts
	played.Instances = given.Instances
	played.Callers = given.Callers
	played.Accounts = given.Accounts
	if given.KeepLogs != "" {
		played.KeepLogs = filepath.Join(given.KeepLogs, fmt.Sprintf("seed-%d", seed))
	}
	report, err := soak.Run(context.Background(), played)
	if err != nil {
		fmt.Printf("seed %d: not played: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d broken promises, %d promotions, answers %v\n",
		seed, len(report.Violations), report.Promotions, report.Answers)
	for _, violation := range report.Violations {
		fmt.Printf("  %s\n", violation)
	}
	return len(report.Violations) == 0
}
