// Package admission decides who a GET comes from, whether that caller has the right to it, and whether its tenant has
// quota left. It is pure: it does no I/O, reads no clock, and has no locks or goroutines; callers must serialize their
// calls. The parameter now is monotonic time in seconds from any base and is used for quotas. The parameter wall is
// Unix time in seconds and is used only for keys, tokens and certificates.
//
// Invariants:
//   - A revoked key, token, subject or certificate identifies nobody from the next call on. The cache keeps only the
//     fact that a token's signature is right; the rest is evaluated for each GET.
//   - A GET that was admitted is settled by exactly one call of End, whatever is reloaded in between.
//   - Every table is bounded: cached tokens and callers by limits; keys, tenants and rules by the settings.
package admission

import (
	"math"
	"net/netip"
)

// Times, sizes and rates that no operator needs to set.
const (
	levelInterval     = 0.1  // seconds; how often the fair level changes: several ticks of core/routing, well below a client's patience
	rateWindow        = 0.5  // seconds over which a tenant's rate is measured: five level intervals
	maxLevelInterval  = 1.0  // seconds; longest interval, used while too few GETs were seen
	minSample         = 20.0 // GETs; with fewer in an interval, the share that is shed may be chance
	maxGrowthSteps    = 100  // intervals made up for after a time without GETs; by then any level is disabled
	pressureThreshold = 0.01 // share of an interval's GETs that were shed downstream, above which there is pressure; chance alone sheds a smaller share
	maxCut            = 0.5  // largest share by which the level falls in an interval, because sheds are reported late and overshoot
	cutTarget         = 0.9  // multiple of the sustainable rate that the level falls to, which gives about ten intervals without sheds
	growth            = 1.1  // multiple of the level after an interval without pressure; it doubles in about seven intervals
	nearGrowth        = 1.01 // the same near the last cut; the GETs shed while it probes there are all that it costs other tenants
	nearFactor        = 1.25 // multiple of the last cut beyond which the level is far from it
	disableFactor     = 2.0  // multiple of the highest rate seen above which the level limits nobody and is disabled
	minLevel          = 1.0  // GETs per second and unit of weight; some GETs must pass to find out when there is capacity again
	fairBurst         = 0.05 // seconds of the level that may be saved up; GETs admitted after a pause must not cause pressure themselves
	minFairBurst      = 4.0  // GETs; least burst, for tenants with a low level
	oneGET            = 1.0  // GETs; least burst of a bucket, without which a tenant with a low rate would never be admitted
	maxQuotaWait      = 1.0  // seconds; longest time that a client is told to wait when a quota is used up
	fairWait          = 0.25 // seconds that a client is told to wait under pressure: a few level intervals, after which the fair level has changed
	reservedShare     = 0.5  // share of the signature checks reserved for connections that have proven a caller, and share of a tenant's
	// quota reserved for callers that had less than an equal part
	closeMargin   = 0.5  // seconds of the window reserved for closing, because connections are checked every quarter of a second
	minDrainTime  = 0.1  // seconds for answers that are on their way, however short the window is
	maxEvictTries = 8    // callers that are examined for one without GETs in flight, which can be evicted
	onceShare     = 0.25 // share of the token cache for tokens that were used only once
)

// Rejection is the reason why a GET is rejected. The zero value means that it is admitted.
type Rejection int

// The rejections. Those from QuotaExceeded on are no errors: a retry is harmless.
const (
	Admitted           Rejection = iota
	BadToken                     // malformed, unknown key, wrong algorithm or signature, or claims that do not match the settings
	Expired                      // the signature is right, but the token is not valid yet or no longer valid
	BadCertificate               // outside its validity, revoked, or from an authority that is not trusted
	UnknownCaller                // nothing identifies a tenant
	Denied                       // no right to the object
	QuotaExceeded                // rate or in-flight limit of the tenant or the caller
	OverFairRate                 // above the fair level under pressure
	TooManyChecks                // too many signatures to check
	FleetQuotaExceeded           // this dispatcher's grant of the tenant's fleet budget is used up
)

// Shed reports whether a retry is harmless and may help.
func (r Rejection) Shed() bool { return r >= QuotaExceeded }

// String returns the short reason that a client may see. It does not tell a forger which check failed.
func (r Rejection) String() string {
	return [...]string{"", "token", "expired", "certificate", "unknown", "denied", "share", "pressure", "checks", "fleet"}[r]
}

// Conn is the state of one connection. Only Remote and Certificate are set when it starts.
type Conn struct {
	Remote      netip.Addr
	Certificate *Certificate // verified in the handshake; nil for none

	connToken   *verifiedToken // set by BindToken
	proven      bool           // a signature on it was verified for a known caller
	checkBucket bucket         // bounds its signature checks
	certTenant  *tenant        // found by the certificate, as of generation
	certName    string         // name of the certificate that certTenant was found by
	generation  int            // of the settings that certTenant was found with

	closeAt float64 // monotonic time by which it must close; 0 if it stays open
}

// TokenIsKey decides whether what a GET brings in its token field, and what has the form of an idempotency key, is that key. It
// is where hosts recognize repeats of the GET's service by keys and the connection itself names the caller, by its token or its
// certificate; elsewhere it is a token, and not a valid one, as any signed token is longer than a key.
func (c *Conn) TokenIsKey(keyed bool) bool {
	return keyed && (c.connToken != nil || c.Certificate != nil)
}

// GET is what the rights of a caller are checked against.
type GET struct {
	Service int    // index in the settings, below 64
	Object  uint64 // its 16 hex digits as a number
	Group   int    // 0 to 255
}

// Caller identifies who a GET comes from.
type Caller struct {
	tenant *tenant
	name   string
}

// Tenant returns the name of the caller's tenant, or "" for an unknown caller.
func (c Caller) Tenant() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// Name returns the caller's name within its tenant.
func (c Caller) Name() string { return c.name }

// Ticket is what End needs to settle a GET that was admitted.
type Ticket struct {
	tenant     *tenant
	caller     *account
	admittedAt float64 // monotonic time in seconds

	Budgets []string // fleet budgets from which the GET has taken a unit
}

// Controller is the admission state of one dispatcher.
type Controller struct {
	settings           Settings
	generation         int // number of reloads
	keys               map[string]*Key
	revoked            revocationIndex
	trustedAuthorities map[string]bool
	names              nameIndex
	tenants            map[string]*tenant
	tokens             tokenCache
	callers            callerTable
	checkBucket        bucket
	fair               fairLevel
	latestWall         float64 // wall time used last, in Unix seconds; small steps back do not lower it
}

// New returns a controller with the settings. It returns the error of Settings.Check if they are invalid.
func New(now, wall float64, s Settings) (*Controller, error) {
	m := &Controller{tenants: map[string]*tenant{}, latestWall: wall, fair: fairLevel{limit: math.Inf(1), movedAt: now}}
	return m, m.Reload(now, wall, s)
}

// Reload replaces all settings, or keeps the old ones and returns an error. GETs in flight keep their accounts,
// tenants that remain keep their usage, and cached tokens are evaluated with the new keys from the next GET on.
func (m *Controller) Reload(now, wall float64, s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	m.generation++
	m.settings = s
	m.keys, m.trustedAuthorities = map[string]*Key{}, map[string]bool{}
	for i := range s.Keys {
		m.keys[s.Keys[i].ID] = &m.settings.Keys[i]
	}
	for _, fingerprint := range s.Authorities {
		m.trustedAuthorities[fingerprint] = true
	}
	m.revoked, m.names = newRevocationIndex(s.Revoked), newNameIndex(s.NameMappings)
	m.rebuildTenants(now, s)
	m.tokens.resize(s.Limits.Tokens)
	m.callers.resize(s.Limits.Callers)
	m.checkBucket.setLimit(now, s.Limits.ChecksPerSecond, s.Limits.ChecksPerSecond)
	m.wallTime(wall)
	return nil
}

// rebuildTenants updates the tenants to the settings. Tenants with the same rights share one index.
func (m *Controller) rebuildTenants(now float64, s Settings) {
	indexes, previous := map[string]*rights{}, m.tenants
	m.tenants = make(map[string]*tenant, len(s.Tenants))
	for _, configured := range s.Tenants {
		key := configured.rightsKey()
		if indexes[key] == nil {
			indexes[key] = newRights(s.rulesOf(configured))
		}
		t := previous[configured.Name]
		if t == nil {
			t = &tenant{}
		}
		t.Tenant, t.rights = configured, indexes[key]
		t.set(now, configured.Quota)
		m.tenants[configured.Name] = t
	}
}

// wallTime returns the wall time to use. A clock that steps back by no more than the skew stands still until it has
// caught up; a larger step back is followed. Guards against expired tokens that become valid again through a small
// correction of the clock, and against a wrong jump ahead that would lock everyone out for as long.
func (m *Controller) wallTime(wall float64) float64 {
	if wall < m.latestWall && m.latestWall-wall <= m.settings.Skew {
		return m.latestWall
	}
	m.latestWall = wall
	return wall
}

// CallerByToken returns the caller of a token whose signature was verified before. It returns false if the signature
// has yet to be checked.
func (m *Controller) CallerByToken(wall float64, hash TokenHash) (Caller, Rejection, bool) {
	v := m.tokens.find(hash)
	if v == nil || v.key != nil && v.generation != m.generation && !m.sameKey(v) {
		return Caller{}, Admitted, false
	}
	c, r := m.evaluate(m.wallTime(wall), v)
	return c, r, true
}

// sameKey reports whether the key that verified a token is still the same one, or is gone.
func (m *Controller) sameKey(v *verifiedToken) bool {
	k := m.keys[v.key.ID]
	return k == nil || k.Fingerprint == v.key.Fingerprint
}

// CallerByConn identifies the caller by the connection alone: by its token, by its certificate, or as the anonymous
// tenant.
func (m *Controller) CallerByConn(wall float64, c *Conn) (Caller, Rejection) {
	wall = m.wallTime(wall)
	switch {
	case c.connToken != nil:
		return m.evaluate(wall, c.connToken)
	case c.Certificate != nil:
		return m.callerByCertificate(wall, c)
	case m.settings.AnonymousTenant != "":
		return Caller{m.tenants[m.settings.AnonymousTenant], ""}, Admitted
	}
	return Caller{}, UnknownCaller
}

// AllowCheck decides whether the signature of a token may be checked. Its key must be valid now and of the given
// algorithm, and the budget of checks must not be used up. Guards against floods of forged tokens: unknown keys cost
// no check, and half of all checks are reserved for connections that have proven a caller.
func (m *Controller) AllowCheck(now, wall float64, c *Conn, keyID, algorithm string) Rejection {
	k := m.keys[keyID]
	if k == nil || k.Algorithm != algorithm || k.State == Revoked || !k.validAt(m.wallTime(wall), m.settings.Skew) {
		return BadToken
	}
	if c.checkBucket.rate == 0 {
		c.checkBucket.setLimit(now, m.settings.Limits.ChecksPerConn, m.settings.Limits.CheckBurst)
	}
	left := 0.0
	if !c.proven {
		left = reservedShare * m.checkBucket.burst
	}
	if !c.checkBucket.has(now, oneGET) || !m.checkBucket.has(now, oneGET+left) {
		return TooManyChecks
	}
	c.checkBucket.take()
	m.checkBucket.take()
	return Admitted
}

// AcceptVerified records a token whose signature was verified by a key with that fingerprint, and returns its caller.
func (m *Controller) AcceptVerified(wall float64, c *Conn, hash TokenHash, keyID, fingerprint string, claims Claims) (Caller, Rejection) {
	k := m.keys[keyID]
	if k == nil || k.Fingerprint != fingerprint { // the keys have changed since the check began
		return Caller{}, BadToken
	}
	v := &verifiedToken{hash: hash, key: k, claims: claims}
	m.tokens.put(v)
	caller, r := m.evaluate(m.wallTime(wall), v)
	c.proven = c.proven || r == Admitted
	return caller, r
}

// BindToken makes a verified token identify the caller of all GETs on a connection that have no token of their own. It
// returns false if the token is not in the cache.
func (m *Controller) BindToken(c *Conn, hash TokenHash) bool {
	c.connToken = m.tokens.find(hash)
	return c.connToken != nil
}

// Admit decides whether a caller's GET is admitted. If so, it returns the ticket for End; if not, the reason and the
// seconds that the client is told to wait, 0 for none.
func (m *Controller) Admit(now float64, c Caller, from netip.Addr, g GET) (t Ticket, r Rejection, wait float64) {
	if c.tenant == nil {
		return Ticket{}, UnknownCaller, 0
	}
	if !c.tenant.rights.allow(g, from) {
		return Ticket{}, Denied, 0
	}
	t = Ticket{tenant: c.tenant, caller: m.callers.account(now, c), admittedAt: now}
	if r, wait = m.applyQuotas(now, t); r != Admitted {
		return Ticket{}, r, wait
	}
	return t, Admitted, 0
}

// End settles a GET that was admitted. Parameter ran says whether any host may have worked on it, which is what a rate
// counts; shed says that it was shed downstream, which is the sign of pressure.
func (m *Controller) End(now float64, t Ticket, ran, shed bool) {
	if t.tenant == nil {
		return
	}
	for _, a := range []*account{&t.tenant.account, t.caller} {
		a.inFlight--
		if !ran { // the client may retry it and is not charged twice
			a.bucket.refund(now, oneGET)
		}
	}
	m.fair.update(now)
	if shed {
		m.fair.recordShed(t.admittedAt)
	}
}

// FairLevel returns the fair level in GETs per second and unit of weight. It is infinite while there is no pressure.
func (m *Controller) FairLevel() float64 { return m.fair.limit }

// ConnState says whether a connection may stay open.
type ConnState int

// The states of a connection. GETs on one that is draining are rejected like any of its caller's.
const (
	KeepOpen ConnState = iota
	Draining           // close it once nothing is in flight on it
	CloseNow           // close it now and fail what is in flight
)

// ConnState returns whether a connection may stay open. One whose certificate is no longer valid drains and
// must close before the window ends, so that GETs in flight can be answered until then.
func (m *Controller) ConnState(now, wall float64, c *Conn) ConnState {
	if c.Certificate == nil {
		return KeepOpen
	}
	if _, r := m.callerByCertificate(m.wallTime(wall), c); r != BadCertificate {
		c.closeAt = 0
		return KeepOpen
	}
	if c.closeAt == 0 {
		c.closeAt = now + math.Max(minDrainTime, m.settings.Window-closeMargin)
	}
	if now < c.closeAt {
		return Draining
	}
	return CloseNow
}
