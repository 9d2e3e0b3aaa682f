package lease

import (
	"math"
	"slices"
)

// Granter is the leader's part: it counts the leases of the state on its own clock, from when it came to lead or heard of a
// grant or a renewal itself, and proposes the end of those that have run out. Guards against leaders that change: a new one knows no time of
// the old one's and counts each lease anew.
type Granter struct {
	state *State
	leads bool
	since float64              // when it came to lead
	clock map[string]*counted  // by duty
	heard map[standing]float64 // when who stands last said so
	swept float64
}

type standing struct {
	name string
	boot uint64
}

type counted struct {
	token    uint64
	from     float64 // the last renewal, or the grant
	granted  float64
	length   float64 // the longest that was in force since
	expiring float64 // when its end was proposed, 0 before
	proved   bool
}

const (
	sweepEach   = 1.0 // s between looks for who stands no more
	settles     = 5.0 // s of a leadership, before duties are levelled
	proposeEach = 2.0 // s after which an end that did not come is proposed again
)

// NewGranter counts the leases of a state.
func NewGranter(s *State) *Granter {
	return &Granter{state: s, clock: map[string]*counted{}, heard: map[standing]float64{}}
}

// Lead begins or ends the leadership.
func (g *Granter) Lead(now float64, leads bool) {
	if g.leads == leads {
		return
	}
	g.leads, g.since = leads, now
	clear(g.clock)
	clear(g.heard)
	if leads {
		for _, name := range g.state.Names() {
			g.Applied(now, name)
		}
	}
}

// Restored takes another state in place of the one it had.
func (g *Granter) Restored(now float64, s *State) {
	g.state = s
	leads := g.leads
	g.Lead(now, false)
	g.Lead(now, leads)
}

// Applied takes word that a command has changed a duty.
func (g *Granter) Applied(now float64, name string) {
	if !g.leads {
		return
	}
	d := g.state.Get(name)
	if d == nil || !d.Held() {
		delete(g.clock, name)
		return
	}
	if c := g.clock[name]; c == nil || c.token != d.Token {
		g.clock[name] = &counted{token: d.Token, from: now, granted: now, length: d.Length}
	} else {
		c.length = math.Max(c.length, d.Length)
	}
}

// Turn is what a dispatcher says of itself, several times a lease.
type Turn struct {
	ID       uint64    `cbor:"ID"` // of the question; higher ones are later
	Name     string    `cbor:"Name"`
	Boot     uint64    `cbor:"Boot"`
	Zone     string    `cbor:"Zone"`
	Priority int       `cbor:"Priority"`
	Stands   []string  `cbor:"Stands"`  // for these duties
	Lengths  []float64 `cbor:"Lengths"` // s; of their leases, where they are new
	Backs    []Lease   `cbor:"Backs"`   // that it has given up: nothing is done under them any more
}

// Lease is what a dispatcher has of a duty.
type Lease struct {
	Duty   string  `json:"Duty"`
	Token  uint64  `json:"Token"`
	Length float64 `json:"Length"` // s
	Hand   bool    `json:"Hand"`   // it is to be given back, for another
}

// Commands is what a turn comes to in the log; none where it tells nothing new.
func (g *Granter) Commands(t *Turn) (all []Command) {
	var fresh []string
	for i, name := range t.Stands {
		d := g.state.Get(name)
		if d == nil {
			if i < len(t.Lengths) {
				all, fresh = append(all, Command{Act: Declare, Duty: name, Length: t.Lengths[i]}), append(fresh, name)
			}
			continue
		}
		if d.Held() && d.Holder.Name == t.Name && d.Holder.Boot == t.Boot {
			continue
		}
		known := slices.ContainsFunc(d.Waiting, func(c Candidate) bool {
			return c.Name == t.Name && c.Boot == t.Boot && c.Zone == t.Zone && c.Priority == t.Priority
		})
		if !known {
			fresh = append(fresh, name)
		}
	}
	for _, b := range t.Backs {
		if d := g.state.Get(b.Duty); d != nil && d.Token == b.Token && d.Held() {
			all = append(all, Command{Act: GiveBack, Duty: b.Duty, Token: b.Token, Name: t.Name, Boot: t.Boot})
		}
	}
	if len(fresh) > 0 {
		all = append(all, Command{Act: Stand, Duties: fresh, Name: t.Name, Boot: t.Boot, Zone: t.Zone, Priority: t.Priority})
	}
	return all
}

// Confirm renews all that a dispatcher holds, and tells it. The turn came at a time on this clock; since then a majority has
// confirmed that this one leads, and all that was in the log by then is in the state. A lease whose end is proposed is renewed no more.
func (g *Granter) Confirm(came float64, t *Turn) (held []Lease) {
	if !g.leads {
		return nil
	}
	g.heard[standing{t.Name, t.Boot}] = came
	for _, name := range t.Stands {
		d := g.state.Get(name)
		c := g.clock[name]
		if d == nil || c == nil || !d.Held() || d.Holder.Name != t.Name || d.Holder.Boot != t.Boot || c.token != d.Token || c.expiring > 0 ||
			slices.ContainsFunc(t.Backs, func(b Lease) bool { return b.Duty == name && b.Token == d.Token }) {
			continue
		}
		c.from = math.Max(c.from, came)
		c.length = math.Max(c.length, d.Length)
		held = append(held, Lease{Duty: name, Token: d.Token, Length: d.Length, Hand: d.To != ""})
	}
	return held
}

// Rest is how long a lease has to run by this clock, in seconds; below 0 where nobody knows.
func (g *Granter) Rest(now float64, name string) float64 {
	if c := g.clock[name]; c != nil {
		return math.Max(0, c.from+c.length*(1+Drift)-now)
	}
	return -1
}

// Tick gives what is to be proposed: the end of leases that have run out, who stands no more, and whose failures are forgiven.
func (g *Granter) Tick(now float64) (all []Command) {
	if !g.leads {
		return nil
	}
	for _, name := range g.state.Names() {
		c, d := g.clock[name], g.state.Get(name)
		if c == nil {
			continue
		}
		if now >= c.from+c.length*(1+Drift) && (c.expiring == 0 || now-c.expiring > proposeEach) {
			c.expiring = now
			all = append(all, Command{Act: Expire, Duty: name, Token: c.token})
		} else if !c.proved && d.Holder.Failures > 0 && now-c.granted > forgives*c.length {
			c.proved = true
			all = append(all, Command{Act: Prove, Duty: name, Token: c.token})
		}
	}
	if now-g.swept >= sweepEach {
		g.swept = now
		all = append(all, g.sweep(now)...)
		if now-g.since > settles { // those who stand have said so by then
			all = append(all, g.state.Level()...)
		}
	}
	return all
}

// sweep finds who stands for duties and has said nothing for long.
func (g *Granter) sweep(now float64) (all []Command) {
	gone := map[standing]bool{}
	for _, name := range g.state.Names() {
		d := g.state.Get(name)
		for _, w := range d.Waiting {
			who := standing{w.Name, w.Boot}
			if now-math.Max(g.since, g.heard[who]) > absent*d.Length && !gone[who] {
				gone[who] = true
				delete(g.heard, who)
				all = append(all, Command{Act: Gone, Name: w.Name, Boot: w.Boot})
			}
		}
	}
	return all
}
