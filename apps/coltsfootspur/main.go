// Command coltsfootspur is the dispatcher: entries, agents and the tools of their operators.
package main

import (
	"os"

	"github.com/coltsfootspur/coltsfootspur/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
