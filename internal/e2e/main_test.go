package e2e_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the program that the tests run.
var program string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "coltsfootspur-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program = filepath.Join(directory, "coltsfootspur")
	arguments := []string{"build", "-o", program}
	if os.Getenv("E2E_RACE") != "" { // enables the race detector in the processes, which then use several times the CPU time
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "../../apps/coltsfootspur")...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}
