package upstream

import "github.com/rotisserie/eris"

// Faults is what the server does wrong. The zero value is a server without faults.
type Faults struct {
	// Fail answers every task with status 500 at once, without work.
	Fail bool `json:"fail"`
	// Slow multiplies the work time once more; 0 means 1.
	Slow float64 `json:"slow"`
	// Hang starts tasks and never answers.
	Hang bool `json:"hang"`
	// Reset does the work and then resets the connection instead of answering.
	Reset bool `json:"reset"`
	// Refuse closes the listener and all connections, so that connections are refused.
	Refuse bool `json:"refuse"`
}

func (f Faults) check() error {
	if f.Slow < 0 || f.Slow > maxFactor {
		return eris.Wrap(ErrOptions, "Slow is out of range")
	}
	return nil
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// SetFaults replaces the faults. Tasks that already hang go on to hang. It returns ErrOptions, or ErrListen when the
// server cannot take up listening again.
func (s *Server) SetFaults(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	s.faults.Store(&f)
	switch {
	case f.Refuse:
		s.refuse()
	case s.refusing():
		return s.listen()
	}
	return nil
}
