package changelog

// What tests hold the follower's waits to.
const (
	ConnectIn = connectIn
	Silence   = silence
	WholeIn   = wholeIn
	RetryMin  = retryMin
	RetryMax  = retryMax
)

// Spread is a wait with a share of it left to chance.
var Spread = spread
