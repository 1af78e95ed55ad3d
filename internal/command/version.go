package command

import (
	"runtime"
	"runtime/debug"
)

// Version is the version of the program.
const Version = "0.1.0"

// versionText returns the versions of the program and of Go and, if the build recorded it, the revision of the source.
func versionText() string {
	text := programName + " " + Version + " " + runtime.Version()
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			text += " revision " + s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			text += " with changes"
		}
	}
	return text
}
