package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

func newDumpCommand() *subcommand {
	c := newSubcommand("dump", "print the state of one process as JSON")
	o := &operatorClient{}
	o.register(c.settings)
	c.run = func(ctx context.Context, std streams) int { return printDump(ctx, o, std) }
	return c
}

func printDump(ctx context.Context, o *operatorClient, std streams) int {
	code, body, err := o.get(ctx, "/dump")
	if err == nil && code != http.StatusOK {
		err = eris.Wrapf(errOperatorEndpoint, "/dump answered with status %d: %.200s", code, body)
	}
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, bytes.TrimSpace(body), "", "  "); err != nil {
		return reportError(std, eris.Wrapf(errOperatorEndpoint, "/dump: %v", err), ExitFailure)
	}
	fmt.Fprintln(std.out, text.String())
	return ExitOK
}
