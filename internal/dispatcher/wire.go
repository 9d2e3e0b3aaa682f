package dispatcher

import (
	"elderwall/core/coalescing"
	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/upstream"
)

// wire carries the module's answers out; it is called under the node's lock and only queues.
type wire struct{ *Node }

var _ routing.Actions = wire{}

// Forward sends a GET to a host.
func (w wire) Forward(out routing.Attempt) {
	n, g, now := w.Node, w.gets[out.RequestID], w.Clock.Now()
	f := &forward{get: g, to: n.hosts[out.Host], from: n.hosts[out.Source], number: len(g.forwards), at: now}
	g.forwards = append(g.forwards, f)
	g.out++
	q := g.request
	q.Budget = max(1, int64((g.until-now)*1e3))
	if out.Source != out.Host {
		q.Source = f.from.name
	}
	q.Rank, q.Join, q.HeldOnly, q.Renew = out.CachePriority, out.Coalesce, out.CachedOnly, out.Revalidate
	if out.MaxAge > 0 {
		q.MaxAge = max(1, int64(out.MaxAge*1e3)) // 0 would ask for any
	}
	if n.Variants != nil {
		q.Variant = n.sendVariant(f, out.Host)
	}
	f.Request, f.Done = q, func(r upstream.Result) { n.done(f, r) }
	n.Options.Counts.Forwards.Add(1)
	if n.behind() { // what has been told since might forbid it
		n.Options.Counts.Behind.Add(1)
		n.back(f, routing.AttemptResult{Outcome: routing.Withdrawn})
		return
	}
	if f.router, _ = g.call.(call.Router); f.router != nil {
		n.route(f, out)
		return
	}
	f.Overtaken = func() bool { return n.behind() || g.left() }
	f.Until = n.Clock.Time(g.until)
	if out.SendBy > 0 {
		f.Before = n.Clock.Time(out.SendBy)
	}
	// What can't be told apart from a first run must not be sent again: its connections are looked at, and chosen, with more care.
	f.Once = n.Settings.Settings.Services[g.asks.Service].Idempotency != routing.Idempotent
	f.Alone = !n.Settings.Hedging
	if f.number > 0 {
		f.Previous = &g.forwards[f.number-1].Forward
	}
	if err := f.to.Send(&f.Forward); err != nil { // our own places are taken: the host had no part in it
		n.Options.Counts.NoPlace.Add(1)
		n.back(f, routing.AttemptResult{Outcome: routing.Rejected})
	}
}

// latest is when the first byte of a forward must be out: its client waits for no longer, and its hosts may know a repeat for less.
func latest(g *get, out routing.Attempt) float64 {
	if out.SendBy > 0 {
		return min(g.until, out.SendBy)
	}
	return g.until
}

// Cancel ends the wait for a forward.
func (w wire) Cancel(id uint32, number int) {
	g := w.gets[id]
	if g == nil || number >= len(g.forwards) || g.forwards[number].back {
		return
	}
	w.Options.Counts.Stopped.Add(1)
	g.forwards[number].stop()
	w.back(g.forwards[number], routing.AttemptResult{Outcome: routing.Canceled})
}

// Shed answers that trying again is harmless.
func (w wire) Shed(id uint32, comeBack float64) {
	if g := w.gets[id]; g != nil {
		w.shed(g, comeBack)
		w.ends(g, coalescing.Shed, func(o *get) { w.shed(o, comeBack) })
	}
}

// Fail answers that a GET failed.
func (w wire) Fail(id uint32) {
	if g := w.gets[id]; g != nil {
		w.failed(g)
		w.ends(g, coalescing.Failed, w.failed)
	}
}

// shed answers one GET that trying again is harmless, unless it has its answer.
func (n *Node) shed(g *get, comeBack float64) {
	if !g.over {
		n.Options.Counts.Shed.Add(1)
		n.unsent(g)
		g.call.Refuse(int64(comeBack * 1e3))
		n.close(g, true)
	}
}

// failed answers one GET that it failed, unless it has its answer.
func (n *Node) failed(g *get) {
	if !g.over {
		n.Options.Counts.Errored.Add(1)
		n.unsent(g)
		g.call.Fail("")
		n.close(g, false)
	}
}

// Schedule sets the one timer.
func (w wire) Schedule(delay float64, _ string) { w.timer.Reset(clock.Duration(delay)) }

// PollEndpoints has no counterpart: the change log pushes.
func (w wire) PollEndpoints() {}

// HostEjected logs that the module sends nothing to a host for a while.
func (w wire) HostEjected(host uint32) {
	w.Options.Log.Info().Uint32("host", host).Msg("host ejected")
}

// HostRecovered logs that the module sends to a host again.
func (w wire) HostRecovered(host uint32) {
	w.Options.Log.Info().Uint32("host", host).Msg("host recovered")
}
