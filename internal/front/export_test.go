package front

// Times that tests need.
const (
	SpeaksIn = speaksIn
	CloseIn  = closeIn
	WholeIn  = wholeIn

	AcceptAgain = acceptAgain
)

// Stopping tells whether only what the kernel holds is accepted.
func (s *Server) Stopping() bool { return s.stopping.Load() != 0 }
