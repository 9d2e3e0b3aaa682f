package downstream

import "slices"

// Times that tests need.
const (
	SpeaksIn = speaksIn
	CloseIn  = closeIn
	WholeIn  = wholeIn

	AcceptAgain = acceptAgain
	FailsAtOnce = failsAtOnce
	ReadsLate   = readsLate
	Stalled     = stalled
)

// Stopping tells whether only what the kernel holds is accepted.
func (s *Server) Stopping() bool { return s.stopping.Load() != 0 }

// Connections is how many there are, also those that wait for their clients to close.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + len(s.leaving)
}

// Terminate ends all connections as the end of the server's context does.
func (s *Server) Terminate() {
	s.mu.Lock()
	all := slices.Clone(s.conns)
	s.mu.Unlock()
	for _, c := range all {
		c.terminate()
	}
}
