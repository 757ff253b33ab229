// Command platformd is the stand-in for the platform. It prints its URL as one
// line of JSON and runs until SIGTERM or an interrupt.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"gypsumdock/testbench/platformd"
)

type options struct {
	Listen string `long:"listen" description:"address, IP:port" default:"127.0.0.1:0"`
}

// started is the line that is printed.
type started struct {
	URL string `json:"url"`
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
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	server, err := platformd.Start(opts.Listen)
	if err != nil {
		return err
	}
	if err = json.NewEncoder(os.Stdout).Encode(started{URL: server.URL()}); err != nil {
		return err
	}
	<-stop
	return server.Close()
}
