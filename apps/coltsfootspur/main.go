// Command coltsfootspur runs the processes of the dispatcher, entries and agents, and the tools for their operators.
package main

import (
	"os"

	"github.com/coltsfootspur/coltsfootspur/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
