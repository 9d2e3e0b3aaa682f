// Package routing decides, for each request of one router, which cache host answers it, where a miss is
// filled from, whether a failed attempt is retried, and what is rejected.
//
// It is pure: no I/O, no clock, no lock, no goroutine. Time comes in as seconds in a float64, chance from a
// seed, and what is to be done goes out through Actions. The caller serializes all calls on a Router, and
// ends the calls of one moment by RunRetries.
//
// A request runs through four steps (router.go): admit, select a cache, select the source of a miss, send.
// The result of an attempt runs through them in reverse: release, observe the fill, observe the host,
// conclude.
//
// Each concern is a type in a file of its own, with its constants: endpointTable, demandTracker, costModel,
// limiter, outlierDetector, slowStart, fillSourceHealth, retryQueue, purgeLog. Router composes them. The
// ordinary path is that of the Tero paper (docs/design.md); what departs from it says so where it stands.
package routing
