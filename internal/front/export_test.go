package front

// Times that tests need.
const (
	SpeaksIn = speaksIn
	CloseIn  = closeIn

	AcceptAgain = acceptAgain
)
