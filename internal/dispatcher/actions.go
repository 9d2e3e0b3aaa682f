package dispatcher

import (
	"math"

	"elderwall/core/coalescing"
	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/upstream"
)

// actions carries the module's answers out; it is called under the dispatcher's lock and only queues.
type actions struct{ *Dispatcher }

var _ routing.Actions = actions{}

// Forward sends a request to a host.
func (w actions) Forward(out routing.Attempt) {
	d, g, now := w.Dispatcher, w.requests[out.RequestID], w.Clock.Now()
	a := &attempt{request: g, host: d.hosts[out.Host], source: d.hosts[out.Source], number: len(g.attempts), sentAt: now}
	g.attempts = append(g.attempts, a)
	g.outstanding++
	q := g.hostRequest
	q.Budget = max(1, int64((g.deadline-now)*1e3))
	if out.Source != out.Host {
		q.Source = a.source.name
	}
	q.Rank, q.Join, q.HeldOnly, q.Renew = out.CachePriority, out.Coalesce, out.CachedOnly, out.Revalidate
	if out.MaxAge > 0 {
		q.MaxAge = max(1, int64(out.MaxAge*1e3)) // 0 would ask for any
	}
	if d.Variants != nil {
		q.Variant = d.sendVariant(a, out.Host)
	}
	a.Request, a.Done = q, func(r upstream.Result) { d.handleResult(a, r) }
	d.Options.Counts.Forwards.Add(1)
	d.observeRepeat(a)
	if d.eventsPending() { // what has been told since might forbid it
		d.Options.Counts.Behind.Add(1)
		d.handleReturned(a, routing.AttemptResult{Outcome: routing.Withdrawn})
		return
	}
	if a.proxy, _ = g.call.(call.Router); a.proxy != nil {
		d.sendByProxy(a, out)
		return
	}
	a.Overtaken = func() bool { return d.eventsPending() || g.clientGone() || !g.commit(!a.Once) }
	a.Until = d.Clock.Time(g.deadline)
	if out.SendBy > 0 {
		a.Before = d.Clock.Time(out.SendBy)
	}
	// What can't be told apart from a first run must not be sent again: its connections are looked at, and
	// chosen, with more care.
	a.Once = !d.repeatable(g)
	a.Alone = !d.Settings.Hedging
	if a.number > 0 {
		a.Previous = &g.attempts[a.number-1].Forward
	}
	if err := a.host.Send(&a.Forward); err != nil { // our own places are taken: the host had no part in it
		d.Options.Counts.NoPlace.Add(1)
		d.handleReturned(a, routing.AttemptResult{Outcome: routing.Rejected})
	}
}

// sendDeadline is when the first byte of an attempt must be out: its client waits for no longer, and its
// hosts may know a repeat for less.
func sendDeadline(q *request, out routing.Attempt) float64 {
	if out.SendBy > 0 {
		return min(q.deadline, out.SendBy)
	}
	return q.deadline
}

// Cancel ends the wait for an attempt.
func (w actions) Cancel(id uint32, number int) {
	q := w.requests[id]
	if q == nil || number >= len(q.attempts) || q.attempts[number].returned {
		return
	}
	w.Options.Counts.Stopped.Add(1)
	q.attempts[number].cancel()
	w.handleReturned(q.attempts[number], routing.AttemptResult{Outcome: routing.Canceled})
}

// Shed answers that trying again is harmless.
func (w actions) Shed(id uint32, comeBack float64) {
	if q := w.requests[id]; q != nil {
		w.shedRequest(q, comeBack)
		w.endFollowers(q, coalescing.Shed, func(o *request) { w.shedRequest(o, comeBack) })
	}
}

// Fail answers that a request failed.
func (w actions) Fail(id uint32) {
	if q := w.requests[id]; q != nil {
		w.failRequest(q)
		w.endFollowers(q, coalescing.Failed, w.failRequest)
	}
}

// shedRequest answers one request that trying again is harmless, unless it has its answer.
func (d *Dispatcher) shedRequest(q *request, comeBack float64) {
	if !q.finished {
		d.Options.Counts.Shed.Add(1)
		d.countUnsent(q)
		q.call.Refuse(int64(comeBack * 1e3))
		d.finish(q, true)
	}
}

// failRequest answers one request that it failed, unless it has its answer.
func (d *Dispatcher) failRequest(q *request) {
	if !q.finished {
		d.Options.Counts.Errored.Add(1)
		d.countUnsent(q)
		q.call.Fail("")
		d.finish(q, false)
	}
}

// Schedule sets the one timer.
func (w actions) Schedule(delay float64, _ string) { w.timer.Reset(clock.Duration(delay)) }

// PollEndpoints has no counterpart: the change log pushes.
func (w actions) PollEndpoints() {}

// OpenConnection has a connection to a host begun.
func (w actions) OpenConnection(host uint32) (underWay bool) {
	h := w.hosts[host]
	return h != nil && h.Connect() == nil
}

// HostEjected logs that the module sends nothing to a host for a while.
func (w actions) HostEjected(host uint32) {
	w.logHost(host, "host ejected")
}

// HostRecovered logs that the module sends to a host again.
func (w actions) HostRecovered(host uint32) {
	w.logHost(host, "host recovered")
}

// ReportSlowStart logs how the slow start of a host goes, and counts it.
func (w actions) ReportSlowStart(r routing.SlowStartReport) {
	c := w.Options.Counts
	line := w.Options.Log.Info()
	switch r.State {
	case routing.SlowStartBegan:
		c.SlowStarts.Add(1)
	case routing.SlowStartEjected:
		c.SlowStartEjections.Add(1)
		line = w.Options.Log.Warn()
	case routing.SlowStartInterrupted:
		c.SlowStartLosses.Add(1)
		line = w.Options.Log.Warn()
	}
	line = line.Uint32("id", r.Host).Stringer("cause", r.Cause)
	if !math.IsInf(r.Age, 1) {
		line = line.Int64("age_ms", int64(r.Age*1e3))
	}
	if r.State != routing.SlowStartBegan {
		line = line.Int("attempts", r.Attempts).Int("refusals", r.Refusals).Int("worst_window", r.WorstCount)
		line = line.Float64("window_budget", math.Round(r.WindowBudget*10)/10).Stringer("basis", r.Basis)
		line = line.Float64("own_budget", math.Round(r.OwnBudget*10)/10)
		line = line.Int("in_window", r.InWindow).Int("in_flight", r.InFlight)
	}
	if h := w.hosts[r.Host]; h != nil {
		line = line.Str("host", h.name)
	}
	line.Msg("slow start " + r.State.String())
}

// logHost logs a change of a host, with its name and its number.
func (w actions) logHost(id uint32, change string) {
	line := w.Options.Log.Info().Uint32("id", id)
	if h := w.hosts[id]; h != nil {
		line = line.Str("host", h.name)
	}
	line.Msg(change)
}
