package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"

	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
)

// clearLine returns to the begin of a line of a terminal and erases it.
const clearLine = "\r\x1b[K"

// progressLine shows the progress of a load on one line of a terminal, which is rewritten. A nil one shows nothing.
type progressLine struct{ terminal io.Writer }

// newProgressLine returns nil unless w is a terminal.
func newProgressLine(w io.Writer) *progressLine {
	file, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return nil
	}
	return &progressLine{terminal: w}
}

func (p *progressLine) show(now loadgen.Progress) {
	fmt.Fprintf(p.terminal, "%s%s of %s  jobs %d  complete %d  not run %d  unknown %d  faults %d  in flight %d", clearLine,
		now.Elapsed.Truncate(time.Second), now.Duration, now.Jobs, now.Complete, now.NotRun, now.Unknown, now.Faults, now.InFlight)
}

func (p *progressLine) clear() {
	if p != nil {
		fmt.Fprint(p.terminal, clearLine)
	}
}
