package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
)

func dumpCommand() *subcommand {
	c := newSubcommand("dump", "print the state of one process as JSON")
	o := &operator{}
	o.register(c.settings)
	c.run = func(ctx context.Context, std streams) int { return dump(ctx, o, std) }
	return c
}

func dump(ctx context.Context, o *operator, std streams) int {
	code, body, err := o.get(ctx, "/dump")
	if err == nil && code != http.StatusOK {
		err = eris.Wrapf(errOperator, "/dump answered with status %d: %.200s", code, body)
	}
	if err != nil {
		return reportError(std, err, ExitFailure)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, bytes.TrimSpace(body), "", "  "); err != nil {
		return reportError(std, eris.Wrapf(errOperator, "/dump: %v", err), ExitFailure)
	}
	fmt.Fprintln(std.out, text.String())
	return ExitOK
}
