package upstream

import "github.com/rotisserie/eris"

// Faults are the faults that the server injects. The zero value is a healthy server.
type Faults struct {
	// Fail answers every task at once with status 500, without doing its work.
	Fail bool `json:"fail"`
	// SlowdownFactor multiplies the work time, in addition to Options.Factor; 0 means 1.
	SlowdownFactor float64 `json:"slow"`
	// Hang starts every task and never answers it.
	Hang bool `json:"hang"`
	// Reset does the work of every task and then resets the connection instead of answering.
	Reset bool `json:"reset"`
	// Refuse closes the listener and all connections, so that connections are refused.
	Refuse bool `json:"refuse"`
}

func (f Faults) validate() error {
	if f.SlowdownFactor < 0 || f.SlowdownFactor > maxFactor {
		return eris.Wrap(ErrInvalidOption, "Slow is out of range")
	}
	return nil
}

// Faults returns the active faults.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// SetFaults replaces the faults. Tasks that hang already continue to hang. It returns ErrInvalidOption for a value out of
// range, and ErrListen when the server cannot listen again after Refuse.
func (s *Server) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.faults.Store(&f)
	switch {
	case f.Refuse:
		s.closeTaskServer()
	case s.refusingConnections():
		return s.listen()
	}
	return nil
}
