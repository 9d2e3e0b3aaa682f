package dispatcher

import (
	"slices"

	"elderwall/internal/call"
)

// keyOf returns a request of a service with its idempotency key where that stands in the field for its caller's token, as
// core/admission decides.
func (d *Dispatcher) keyOf(in call.GET, service int) call.GET {
	if in.TokenFitsKey() && in.Conn.TokenIsKey(d.Settings.Settings.Services[service].NeedsKey()) {
		in.IdempotencyKey, in.Token = in.Token, ""
	}
	return in
}

// keyMissing reports whether a request lacks the idempotency key by which hosts recognize repeats of its delivery service.
func (d *Dispatcher) keyMissing(q *request) bool {
	return d.Settings.Settings.Services[q.routed.Service].NeedsKey() && q.hostRequest.IdempotencyKey == ""
}

// observeKey counts a request that lacks the key that it needs, and logs the first one of each delivery service: others of a
// class that never brings keys would only crowd out other warnings.
func (d *Dispatcher) observeKey(q *request) {
	if !d.keyMissing(q) {
		return
	}
	d.Options.Counts.KeyMissing.Add(1)
	if d.keyless[q.routed.Service] {
		return
	}
	d.keyless[q.routed.Service] = true
	d.Options.Log.Warn().Str("request", q.hostRequest.ID).Str("service", q.hostRequest.Service).Msg("request has no idempotency key")
}

// observeRepeat counts and logs an attempt that no host can recognize as a repeat, after another one that may have been
// executed or is still outstanding.
func (d *Dispatcher) observeRepeat(a *attempt) {
	q := a.request
	mayRunTwice := func(earlier *attempt) bool { return earlier != a && (!earlier.returned || earlier.ran) }
	if !d.keyMissing(q) || !slices.ContainsFunc(q.attempts, mayRunTwice) {
		return
	}
	d.Options.Counts.KeylessRepeats.Add(1)
	d.Options.Log.Warn().Str("request", q.hostRequest.ID).Str("service", q.hostRequest.Service).
		Str("host", a.host.name).Int("attempt", a.number).Msg("request without an idempotency key is sent again")
}
