// Package admission decides who a GET comes from, whether that caller may have it, and whether its tenant has a
// share left. It is pure: no I/O, clock, lock or goroutine. Now is monotonic, in seconds from any base, and paces
// shares; wall is Unix time in seconds, and goes with keys, tokens and certificates alone.
//
// What holds at any time:
//   - a key, token, subject or certificate that is revoked names nobody from the next call on: verdicts are kept on
//     signatures only, and judged anew by each GET;
//   - a GET that was passed on is settled by exactly one End, whatever is reloaded in between;
//   - every table has a size: verdicts, callers, and by the operator's file keys, tenants and rules.
package admission

import (
	"math"
	"net/netip"
)

// Times, sizes and rates that no operator needs to set.
const (
	turn       = 0.1  // s; how often a fair level moves: some of core/routing's ticks, well under a client's patience
	rateSpan   = 0.5  // s; over which a tenant's rate is taken: five turns
	longTurn   = 1.0  // s; a turn that has seen too little lasts so long at most
	tells      = 20.0 // GETs in a turn from which on its share of sheds tells more than chance
	mostTurns  = 100  // turns made up for after a silence: by then any level is put off
	pressed    = 0.01 // share of a turn's GETs shed behind us above which there is pressure: below it chance sheds some
	cutMost    = 0.5  // share by which a level falls at most in a turn: sheds are told late, and overshoot
	under      = 0.9  // multiple of what could be borne that a level falls to: ten turns without any shed
	growth     = 1.1  // multiple of a level after a turn without pressure: doubled in seven turns
	nearGrowth = 1.01 // the same where it last fell: what is shed while it finds out is all that it costs others
	farOff     = 1.25 // multiple of where it last fell from which on it is far from there
	offAbove   = 2.0  // multiple of the highest rate seen above which a level holds nobody and is put off
	leastLevel = 1.0  // GETs/s by weight; so that somebody finds out when there is room again
	fairBurst  = 0.05 // s; of a level that may be saved up: what is let on after a pause must not be pressure itself
	fairGETs   = 4.0  // GETs; the least of it, for tenants with a low level
	oneGET     = 1.0  // GETs; least that a bucket holds, or slow tenants never got one
	backSoon   = 1.0  // s; the longest a client is told to stay away for a share that is used up
	backFair   = 0.25 // s; the same under pressure: a level is another one after a few turns
	reserve    = 0.5  // share of signature checks kept for connections that have proven a caller, and of a tenant's
	// share for callers that have not had their part
	closeIn    = 0.5  // s; kept of the window for closing: connections are looked over each quarter of a second
	leastLeave = 0.1  // s; for answers that are on their way, however short the window
	busyTries  = 8    // callers; so many are looked at for one with nothing under way, whose place is free
	probation  = 0.25 // share of the verdicts' table that those have which were used once
)

// Refusal tells why a GET ends here; the zero value is none.
type Refusal int

// The refusals. Those from ShareUsed on are no errors: trying again is harmless.
const (
	Passed         Refusal = iota
	BadToken               // malformed, unknown key, wrong algorithm or signature, claims that do not fit
	Ended                  // signed rightly, and not valid yet or any more
	BadCertificate         // past its end, revoked, or of an authority that is not trusted any more
	Nobody                 // nothing names a tenant
	Denied                 // no right to it
	ShareUsed              // the tenant's or the caller's rate, or its GETs under way
	Pressed                // over the fair level under pressure
	ChecksUsed             // too many signatures to check
	FleetUsed              // what the fleet lets this dispatcher have of the tenant's budget
)

// Shed tells whether trying again is harmless and may help.
func (r Refusal) Shed() bool { return r >= ShareUsed }

// String is the short reason that a client may know; it tells a forger nothing of which check failed.
func (r Refusal) String() string {
	return [...]string{"", "token", "expired", "certificate", "unknown", "denied", "share", "pressure", "checks", "fleet"}[r]
}

// Conn is what is known of one connection; zero but for Remote and Certificate at its start.
type Conn struct {
	Remote      netip.Addr
	Certificate *Certificate // verified in the handshake; nil for none

	given  *verdict // of a token that was given for the connection
	proven bool     // a signature on it was right
	checks bucket
	named  *tenant // by the certificate, as of generation
	as     string
	gen    int

	leaving float64 // when it is to be closed at the latest, 0 if it stays
}

// GET is what the rights of a caller are judged by.
type GET struct {
	Service int    // its place in the settings, below 64
	Object  uint64 // its 16 hex digits
	Group   int    // 0 to 255
}

// Caller is who a GET comes from.
type Caller struct {
	tenant *tenant
	name   string
}

// Tenant is the caller's tenant, "" for nobody.
func (c Caller) Tenant() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// Name is the caller's own name within its tenant.
func (c Caller) Name() string { return c.name }

// Ticket is what End needs of a GET that was passed on.
type Ticket struct {
	tenant *tenant
	caller *account
	at     float64 // when it was passed on

	Budgets []string // of the fleet, that it has taken of
}

// Module is the state of one dispatcher's callers.
type Module struct {
	s        Settings
	gen      int
	keys     map[string]*Key
	revoked  revoked
	trusted  map[string]bool
	names    names
	tenants  map[string]*tenant
	verdicts verdicts
	callers  table
	checks   bucket
	fair     level
	seen     float64 // the latest wall time
}

// New makes a module; an error is that of Check.
func New(now, wall float64, s Settings) (*Module, error) {
	m := &Module{tenants: map[string]*tenant{}, seen: wall, fair: level{most: math.Inf(1), moved: now}}
	return m, m.Reload(now, wall, s)
}

// Reload takes settings whole, or leaves the old ones in force with an error. GETs under way keep their accounts,
// tenants that stay keep what they have used, and verdicts are judged by the new keys from the next GET on.
func (m *Module) Reload(now, wall float64, s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	m.gen++
	m.s = s
	m.keys, m.trusted = map[string]*Key{}, map[string]bool{}
	for i := range s.Keys {
		m.keys[s.Keys[i].ID] = &m.s.Keys[i]
	}
	for _, fingerprint := range s.Authorities {
		m.trusted[fingerprint] = true
	}
	m.revoked, m.names = newRevoked(s.Revoked), newNames(s.Names)
	m.retenant(now, s)
	m.verdicts.resize(s.Limits.Verdicts)
	m.callers.resize(s.Limits.Callers)
	m.checks.limit(now, s.Limits.Checks, s.Limits.Checks)
	m.time(wall)
	return nil
}

// retenant brings the tenants up to the settings; those with the same rights share one index.
func (m *Module) retenant(now float64, s Settings) {
	indexes, was := map[string]*rights{}, m.tenants
	m.tenants = make(map[string]*tenant, len(s.Tenants))
	for _, told := range s.Tenants {
		key := told.rightsKey()
		if indexes[key] == nil {
			indexes[key] = newRights(s.rulesOf(told))
		}
		t := was[told.Name]
		if t == nil {
			t = &tenant{}
		}
		t.Tenant, t.rights = told, indexes[key]
		t.set(now, told.Share)
		m.tenants[told.Name] = t
	}
}

// time is the wall time that goes: steps back by no more than the skew are waited out, longer ones followed. Guards
// against tokens that a small correction of the clock brings back, and against a wrong leap ahead that would lock
// everyone out for as long.
func (m *Module) time(wall float64) float64 {
	if wall < m.seen && m.seen-wall <= m.s.Skew {
		return m.seen
	}
	m.seen = wall
	return wall
}

// ByToken names the caller of a token whose signature was found right before; false if it has yet to be checked.
func (m *Module) ByToken(wall float64, sum Sum) (Caller, Refusal, bool) {
	v := m.verdicts.find(sum)
	if v == nil || v.key != nil && v.gen != m.gen && !m.signed(v) {
		return Caller{}, Passed, false
	}
	c, r := m.judge(m.time(wall), v)
	return c, r, true
}

// signed tells whether the key that a verdict rests on is still the very same one.
func (m *Module) signed(v *verdict) bool {
	k := m.keys[v.key.ID]
	return k == nil || k.Print == v.key.Print
}

// ByConn names the caller by the connection alone: its token, its certificate, or as nobody in particular.
func (m *Module) ByConn(wall float64, c *Conn) (Caller, Refusal) {
	wall = m.time(wall)
	switch {
	case c.given != nil:
		return m.judge(wall, c.given)
	case c.Certificate != nil:
		return m.byCertificate(wall, c)
	case m.s.Anonymous != "":
		return Caller{m.tenants[m.s.Anonymous], ""}, Passed
	}
	return Caller{}, Nobody
}

// MayCheck tells whether the signature of a token may be checked: its key must be one that may sign now, by the
// algorithm that is the key's own, and a check must be left. Guards against floods of forged tokens: unknown keys
// cost no check, and half of all checks are kept for connections that have proven a caller.
func (m *Module) MayCheck(now, wall float64, c *Conn, keyID, algorithm string) Refusal {
	k := m.keys[keyID]
	if k == nil || k.Algorithm != algorithm || k.State == Revoked || !k.open(m.time(wall), m.s.Skew) {
		return BadToken
	}
	if c.checks.rate == 0 {
		c.checks.limit(now, m.s.Limits.ChecksByConn, m.s.Limits.CheckBurst)
	}
	left := 0.0
	if !c.proven {
		left = reserve * m.checks.burst
	}
	if !c.checks.has(now, oneGET) || !m.checks.has(now, oneGET+left) {
		return ChecksUsed
	}
	c.checks.take()
	m.checks.take()
	return Passed
}

// Verified takes the claims of a token whose signature is right by a key of that fingerprint, and names the caller.
func (m *Module) Verified(wall float64, c *Conn, sum Sum, keyID, fingerprint string, claims Claims) (Caller, Refusal) {
	k := m.keys[keyID]
	if k == nil || k.Print != fingerprint { // the keys have changed meanwhile
		return Caller{}, BadToken
	}
	v := &verdict{sum: sum, key: k, claims: claims}
	m.verdicts.put(v)
	caller, r := m.judge(m.time(wall), v)
	c.proven = c.proven || r == Passed
	return caller, r
}

// Give has a verified token name the caller of all GETs of a connection that bring none; false if it is unknown.
func (m *Module) Give(c *Conn, sum Sum) bool {
	c.given = m.verdicts.find(sum)
	return c.given != nil
}

// Admit says whether a caller's GET is passed on, and what End needs if so; wait is how many seconds a client is to
// stay away, 0 where nothing is told.
func (m *Module) Admit(now float64, c Caller, from netip.Addr, g GET) (t Ticket, r Refusal, wait float64) {
	if c.tenant == nil {
		return Ticket{}, Nobody, 0
	}
	if !c.tenant.rights.allow(g, from) {
		return Ticket{}, Denied, 0
	}
	t = Ticket{tenant: c.tenant, caller: m.callers.account(now, c), at: now}
	if r, wait = m.share(now, t); r != Passed {
		return Ticket{}, r, wait
	}
	return t, Passed, 0
}

// End settles a GET that was passed on: ran tells whether any host may have worked on it, which is what a rate
// counts; shed that it was turned away behind us, which is what pressure is.
func (m *Module) End(now float64, t Ticket, ran, shed bool) {
	if t.tenant == nil {
		return
	}
	for _, a := range []*account{&t.tenant.account, t.caller} {
		a.out--
		if !ran { // it may come again, and is not charged twice
			a.rate.give(now, oneGET)
		}
	}
	m.fair.turn(now)
	if shed {
		m.fair.turnedAway(t.at)
	}
}

// Level is the fair level in GETs a second by weight, infinite while there is no pressure.
func (m *Module) Level() float64 { return m.fair.most }

// Standing is how long a connection may stay.
type Standing int

// The standings. What comes on a connection that is leaving is refused like any GET of its caller.
const (
	Stays   Standing = iota
	Leaving          // to be closed once nothing is open on it
	Left             // to be closed now; what is open is failed
)

// Standing tells whether a connection may stay. One whose certificate counts no more is leaving, and has left before
// the window is over: within it GETs under way may still be answered.
func (m *Module) Standing(now, wall float64, c *Conn) Standing {
	if c.Certificate == nil {
		return Stays
	}
	if _, r := m.byCertificate(m.time(wall), c); r != BadCertificate {
		c.leaving = 0
		return Stays
	}
	if c.leaving == 0 {
		c.leaving = now + math.Max(leastLeave, m.s.Window-closeIn)
	}
	if now < c.leaving {
		return Leaving
	}
	return Left
}
