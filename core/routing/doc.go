// Package routing decides, for each request of one router, which cache host answers it, where a miss is
// filled from, whether a failed attempt is retried, and what is rejected.
//
// It performs no I/O, reads no clock, takes no locks and starts no goroutines. Times are passed in as float64
// seconds, random numbers are derived from a seed, and decisions are carried out through Actions. The caller
// must serialize all calls on a Router, and must call RunRetries after all other calls of one moment.
//
// A request passes through four steps (router.go): admit, select a cache, select the source of a miss, send.
// The result of an attempt passes through the steps in reverse: release, observe the fill, observe the host,
// conclude.
//
// Each concern is a type in a file of its own, with its constants: endpointTable, demandTracker, costModel,
// limiter, outlierDetector, slowStart, sourceHealth, retryQueue, purgeLog. Router composes them. The ordinary
// path follows the Tero paper (docs/design.md); the comments name the places where the code departs from it.
package routing
