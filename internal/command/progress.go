package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mattn/go-isatty"

	"github.com/coltsfootspur/coltsfootspur/internal/loadgen"
)

// clearLine moves the cursor to the beginning of the terminal line and erases the line.
const clearLine = "\r\x1b[K"

// progressLine shows the progress of a load run on one terminal line, which it overwrites. A nil *progressLine means that
// no progress is shown.
type progressLine struct{ terminal io.Writer }

// newProgressLine returns nil unless w is a terminal.
func newProgressLine(w io.Writer) *progressLine {
	file, ok := w.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return nil
	}
	return &progressLine{terminal: w}
}

func (p *progressLine) show(progress loadgen.Progress) {
	fmt.Fprintf(p.terminal, "%s%s of %s  jobs %d  complete %d  not run %d  unknown %d  faults %d  in flight %d", clearLine,
		progress.Elapsed.Truncate(time.Second), progress.Duration, progress.Jobs,
		progress.Complete, progress.NotRun, progress.Unknown,
		progress.Faults, progress.InFlight)
}

func (p *progressLine) clear() {
	if p != nil {
		fmt.Fprint(p.terminal, clearLine)
	}
}
