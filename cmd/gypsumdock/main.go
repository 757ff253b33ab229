// Command gypsumdock is an entry instance of the proxy.
package main

import (
	"os"

	"gypsumdock/pkg/instance/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
