package command

import (
	"fmt"
	"io"
	"os"

	"github.com/coltsfootspur/coltsfootspur/internal/wire"

	"github.com/coltsfootspur/coltsfootspur/internal/document"
)

// readDocument reads a file up to one byte more than the largest document, which is enough for document.Parse to reject it.
func readDocument(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, wire.MaxDocument+1))
}

// parseDocument reads and parses the file that the positional argument names. After an error, which it prints, ok is false
// and exit is the exit code.
func (s *serviceCommand) parseDocument(std streams, out *output) (body []byte, parsed *document.Service, exit int, ok bool) {
	if !s.requireArgument(std, "file") {
		return nil, nil, ExitUsage, false
	}
	body, err := readDocument(s.argument)
	if err != nil {
		fmt.Fprintf(std.err, "%s: the file cannot be read: %v\n", programName, err)
		return nil, nil, ExitFailure, false
	}
	if parsed, err = document.Parse(body); err != nil {
		return nil, nil, out.printError(err), false
	}
	return body, parsed, ExitOK, true
}
