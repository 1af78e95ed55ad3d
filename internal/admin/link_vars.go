package admin

import "github.com/coltsfootspur/coltsfootspur/internal/link"

// LinkVars adds the metrics of all links of a process: frames and bytes by direction and class (control or work), and the
// number of links that were closed because the peer was silent.
func LinkVars(vars *Vars, stats *link.Stats) {
	for class, name := range map[link.Class]string{link.ClassControl: "control", link.ClassWork: "work"} {
		vars.Func(name+"_frames_sent", func() any { return stats.SentFrames[class].Load() })
		vars.Func(name+"_frames_received", func() any { return stats.ReceivedFrames[class].Load() })
		vars.Func(name+"_bytes_sent", func() any { return stats.SentBytes[class].Load() })
		vars.Func(name+"_bytes_received", func() any { return stats.ReceivedBytes[class].Load() })
	}
	vars.Func("silent_links", func() any { return stats.SilentLinks.Load() })
}
