// Command upstreamd is the stand-in for groups of PostgreSQL databases. It
// prints its addresses as one line of JSON and runs until SIGTERM or an
// interrupt.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"gypsumdock/testbench/upstreamd"
)

type options struct {
	Spec string `long:"spec" description:"file with the groups in JSON; - reads standard input" required:"true"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	spec, err := readSpec(opts.Spec)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	server, err := upstreamd.Start(spec)
	if err != nil {
		return err
	}
	if err = json.NewEncoder(os.Stdout).Encode(server.Layout()); err != nil {
		return err
	}
	<-stop
	return server.Close()
}

func readSpec(path string) (upstreamd.Spec, error) {
	var spec upstreamd.Spec
	input := os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return spec, err
		}
		defer file.Close()
		input = file
	}
	return spec, json.NewDecoder(input).Decode(&spec)
}
