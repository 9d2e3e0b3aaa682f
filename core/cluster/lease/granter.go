package lease

import (
	"math"
	"slices"
)

// Granter times leases at the leader of the log and proposes the expiry of those that have run out. It times each lease
// on its own clock, starting when it became the leader or when it saw the grant or a renewal. Guards against changes of
// the leader: a new leader does not know the times of the old one, so it restarts the timer of each lease. It is not
// safe for concurrent use; all times are seconds on the caller's monotonic clock.
type Granter struct {
	state        *State
	leading      bool
	leadingSince float64                // when it became the leader
	timers       map[string]*leaseTimer // by duty name
	lastContact  map[process]float64    // when a candidate last sent a renewal request
	lastSweep    float64
}

// process identifies one process of a dispatcher.
type process struct {
	name   string
	bootID uint64
}

// leaseTimer is the granter's timing of one lease.
type leaseTimer struct {
	token            uint64
	renewedAt        float64 // time of the last renewal, or of the grant
	grantedAt        float64
	length           float64 // seconds; the longest lease length in force since the grant
	expireProposedAt float64 // when its expiry was last proposed, 0 for never
	forgiveProposed  bool
}

const (
	sweepInterval       = 1.0 // seconds between searches for absent candidates
	rebalanceDelay      = 5.0 // seconds after becoming the leader, before duties are rebalanced
	expireRetryInterval = 2.0 // seconds after which an expiry that has not been applied is proposed again
)

// NewGranter returns a granter for the leases in s. It is not the leader until SetLeading is called.
func NewGranter(s *State) *Granter {
	return &Granter{state: s, timers: map[string]*leaseTimer{}, lastContact: map[process]float64{}}
}

// SetLeading tells the granter whether this process is the leader. A change discards all timers; a new leader starts
// them anew.
func (g *Granter) SetLeading(now float64, leading bool) {
	if g.leading == leading {
		return
	}
	g.leading, g.leadingSince = leading, now
	clear(g.timers)
	clear(g.lastContact)
	if leading {
		for _, name := range g.state.Names() {
			g.DutyChanged(now, name)
		}
	}
}

// Restored replaces the state, for instance after a snapshot was installed, and restarts all timers.
func (g *Granter) Restored(now float64, s *State) {
	g.state = s
	leads := g.leading
	g.SetLeading(now, false)
	g.SetLeading(now, leads)
}

// DutyChanged must be called after a command has changed the duty of that name. It starts, extends or removes its lease
// timer.
func (g *Granter) DutyChanged(now float64, name string) {
	if !g.leading {
		return
	}
	d := g.state.Get(name)
	if d == nil || !d.Held() {
		delete(g.timers, name)
		return
	}
	if c := g.timers[name]; c == nil || c.token != d.Token {
		g.timers[name] = &leaseTimer{token: d.Token, renewedAt: now, grantedAt: now, length: d.LeaseLength}
	} else {
		c.length = math.Max(c.length, d.LeaseLength)
	}
}

// RenewalRequest is sent by a dispatcher several times per lease. It registers the dispatcher for duties, renews its
// leases and releases them.
type RenewalRequest struct {
	ID           uint64    `cbor:"ID"` // of the request; later requests of a process have higher IDs
	Name         string    `cbor:"Name"`
	BootID       uint64    `cbor:"Boot"`
	Zone         string    `cbor:"Zone"`
	Priority     int       `cbor:"Priority"`
	Duties       []string  `cbor:"Stands"`  // names of the duties that the dispatcher wants to hold
	LeaseLengths []float64 `cbor:"Lengths"` // seconds; by index into Duties, used only for duties that are not declared yet
	Released     []Lease   `cbor:"Backs"`   // leases that the dispatcher has given up; it acts no more under them
}

// Lease is a duty as granted to one dispatcher.
type Lease struct {
	Duty              string  `json:"Duty"`
	Token             uint64  `json:"Token"`
	Length            float64 `json:"Length"` // seconds
	TransferRequested bool    `json:"Hand"`   // the holder is to release the duty, so that another dispatcher can take it over
}

// Commands returns the commands that a request adds to the log; none if the request contains nothing new.
func (g *Granter) Commands(t *RenewalRequest) (all []Command) {
	var unregistered []string
	for i, name := range t.Duties {
		d := g.state.Get(name)
		if d == nil {
			if i < len(t.LeaseLengths) {
				all, unregistered = append(all, Command{Kind: Declare, Duty: name, LeaseLength: t.LeaseLengths[i]}), append(unregistered, name)
			}
			continue
		}
		if d.Held() && d.Holder.Name == t.Name && d.Holder.BootID == t.BootID {
			continue
		}
		known := slices.ContainsFunc(d.Waiting, func(c Candidate) bool {
			return c.Name == t.Name && c.BootID == t.BootID && c.Zone == t.Zone && c.Priority == t.Priority
		})
		if !known {
			unregistered = append(unregistered, name)
		}
	}
	for _, b := range t.Released {
		if d := g.state.Get(b.Duty); d != nil && d.Token == b.Token && d.Held() {
			all = append(all, Command{Kind: Release, Duty: b.Duty, Token: b.Token, Name: t.Name, BootID: t.BootID})
		}
	}
	if len(unregistered) > 0 {
		all = append(all, Command{Kind: Register, Duties: unregistered, Name: t.Name, BootID: t.BootID, Zone: t.Zone, Priority: t.Priority})
	}
	return all
}

// Renew renews all leases that the sender of a request holds, and returns them. The request arrived at receivedAt on the
// granter's clock. Since then a majority must have confirmed that this process still leads, and the state must contain
// everything that was in the log at that time. A lease whose expiry has been proposed is not renewed.
func (g *Granter) Renew(receivedAt float64, t *RenewalRequest) (held []Lease) {
	if !g.leading {
		return nil
	}
	g.lastContact[process{t.Name, t.BootID}] = receivedAt
	for _, name := range t.Duties {
		d := g.state.Get(name)
		c := g.timers[name]
		if d == nil || c == nil || !d.Held() || d.Holder.Name != t.Name || d.Holder.BootID != t.BootID || c.token != d.Token || c.expireProposedAt > 0 ||
			slices.ContainsFunc(t.Released, func(b Lease) bool { return b.Duty == name && b.Token == d.Token }) {
			continue
		}
		c.renewedAt = math.Max(c.renewedAt, receivedAt)
		c.length = math.Max(c.length, d.LeaseLength)
		held = append(held, Lease{Duty: name, Token: d.Token, Length: d.LeaseLength, TransferRequested: d.TransferTo != ""})
	}
	return held
}

// Remaining returns how many seconds a lease still has to run by the granter's clock, or -1 if the duty has no timer.
func (g *Granter) Remaining(now float64, name string) float64 {
	if c := g.timers[name]; c != nil {
		return math.Max(0, c.renewedAt+c.length*(1+MaxClockDrift)-now)
	}
	return -1
}

// Tick returns the commands to propose: expiry of leases that have run out, removal of absent candidates, forgiveness of
// failures, and rebalancing.
func (g *Granter) Tick(now float64) (all []Command) {
	if !g.leading {
		return nil
	}
	for _, name := range g.state.Names() {
		c, d := g.timers[name], g.state.Get(name)
		if c == nil {
			continue
		}
		if now >= c.renewedAt+c.length*(1+MaxClockDrift) && (c.expireProposedAt == 0 || now-c.expireProposedAt > expireRetryInterval) {
			c.expireProposedAt = now
			all = append(all, Command{Kind: Expire, Duty: name, Token: c.token})
		} else if !c.forgiveProposed && d.Holder.Failures > 0 && now-c.grantedAt > forgiveAfterLeases*c.length {
			c.forgiveProposed = true
			all = append(all, Command{Kind: ForgiveFailures, Duty: name, Token: c.token})
		}
	}
	if now-g.lastSweep >= sweepInterval {
		g.lastSweep = now
		all = append(all, g.sweep(now)...)
		if now-g.leadingSince > rebalanceDelay { // by then all candidates have registered
			all = append(all, g.state.Rebalance()...)
		}
	}
	return all
}

// sweep returns commands that remove candidates which have sent no request for absentAfterLeases lease lengths.
func (g *Granter) sweep(now float64) (all []Command) {
	unregistered := map[process]bool{}
	for _, name := range g.state.Names() {
		d := g.state.Get(name)
		for _, w := range d.Waiting {
			who := process{w.Name, w.BootID}
			if now-math.Max(g.leadingSince, g.lastContact[who]) > absentAfterLeases*d.LeaseLength && !unregistered[who] {
				unregistered[who] = true
				delete(g.lastContact, who)
				all = append(all, Command{Kind: Unregister, Name: w.Name, BootID: w.BootID})
			}
		}
	}
	return all
}
