// Command gypsumdock runs an instance of the database proxy.
package main

import (
	"os"

	"gypsumdock/pkg/instance/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
