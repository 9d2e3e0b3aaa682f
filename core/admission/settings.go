package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Settings is what an operator configures about callers. Durations are in seconds, points in time in Unix seconds.
type Settings struct {
	Skew             float64  // by which clocks may differ; extends the validity of keys, tokens and certificates at both ends
	Window           float64  // within which a connection closes after its certificate has become invalid
	MaxTokenLifetime float64  // longest time from a token's iat to its end, 0 for no limit
	Audience         string   // that a token must name, "" for any
	RequiredClaims   []string // names of claims that each token must have
	Keys             []Key
	AllowNoKeys      bool // allows settings that have no key
	Revoked          Revocations
	Authorities      []string      // fingerprints of the authorities trusted for certificates
	NameMappings     []NameMapping // tenants by certificate names; the first match counts
	Tenants          []Tenant
	Roles            map[string][]Rule // rules by role
	AnonymousTenant  string            // tenant of GETs that identify no caller, "" to reject them
	Limits           Limits
}

// Limits bounds tables and work.
type Limits struct {
	Tokens          int     // tokens in the cache of verified signatures
	Callers         int     // callers that have an account
	ChecksPerSecond float64 // signature checks of all connections together
	ChecksPerConn   float64 // signature checks of one connection
	CheckBurst      float64 // checks that a connection may save up
}

// Defaults returns the settings that apply where an operator sets nothing.
func Defaults() Settings {
	return Settings{
		Skew:           30, // seconds; machines with network time differ by less, machines that lost it differ by more
		Window:         2,  // seconds; most answers in flight have been sent by then
		RequiredClaims: []string{"exp", "sub"},
		Limits: Limits{
			Tokens:          16384, // 8 MB; two tokens for each GET that a dispatcher may hold at other hosts
			Callers:         16384, // 5 MB
			ChecksPerSecond: 1000,  // an eighth of one core with EdDSA, a third with RS256
			ChecksPerConn:   100,   // callers that change their token with each GET are rare
			CheckBurst:      50,    // a new connection from a proxy brings many callers at once
		},
	}
}

// Tenant is a group of callers with rights and a quota.
type Tenant struct {
	Name        string
	Roles       []string // whose rules it has in addition to its own
	Rules       []Rule
	Quota       Quota
	CallerQuota Quota // of each of its callers; its weight is not used
}

// Quota bounds the GETs of a tenant or a caller; 0 is no limit.
type Quota struct {
	Rate        float64 // GETs per second
	Burst       float64 // GETs that may come at once
	MaxInFlight int     // GETs in flight
	Weight      float64 // relative to other tenants under pressure; 0 counts as 1
}

// MaxServices is how many delivery services rules can name, because they are stored as bits of one word.
const MaxServices = 64

// settingsErrors collects the errors found in settings, in the order in which they were found.
type settingsErrors []error

func (f *settingsErrors) add(format string, v ...any) { *f = append(*f, fmt.Errorf(format, v...)) }

// Check returns all errors of the settings joined, or nil if there are none.
func (s *Settings) Check() error {
	var all settingsErrors
	s.checkKeys(&all)
	tenants := s.checkTenants(&all)
	for _, n := range s.NameMappings {
		if !tenants[n.Tenant] {
			all.add("certificates: name %q maps to tenant %q, which does not exist", n.Name, n.Tenant)
		}
	}
	if s.AnonymousTenant != "" && !tenants[s.AnonymousTenant] {
		all.add("anonymous: there is no tenant %q", s.AnonymousTenant)
	}
	if l := s.Limits; l.Tokens < 1 || l.Callers < 1 || l.ChecksPerSecond <= 0 || l.ChecksPerConn <= 0 || l.CheckBurst < 1 {
		all.add("limits: every limit must be above 0")
	}
	return errors.Join(all...)
}

func (s *Settings) checkKeys(all *settingsErrors) {
	ids := map[string]bool{}
	for _, k := range s.Keys {
		if k.ID == "" || ids[k.ID] {
			all.add("keys: id %q is empty or used twice", k.ID)
		}
		ids[k.ID] = true
		if k.Until != 0 && k.Until < k.From {
			all.add("keys: key %q ends before it begins", k.ID)
		}
	}
	if len(s.Keys) == 0 && !s.AllowNoKeys { // guards against a file that lost its keys, which would lock everyone out
		all.add("keys: there are none, and the settings do not say that this is intended")
	}
}

// checkTenants returns the names of all tenants.
func (s *Settings) checkTenants(all *settingsErrors) map[string]bool {
	names := map[string]bool{}
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] {
			all.add("tenants: name %q is empty or used twice", t.Name)
		}
		names[t.Name] = true
		for _, role := range t.Roles {
			if _, ok := s.Roles[role]; !ok {
				all.add("tenants[%d]: there is no role %q", i, role)
			}
		}
	}
	return names
}

// rightsKey returns a key that is equal for tenants with the same roles and no rules of their own.
func (t Tenant) rightsKey() string {
	if len(t.Rules) > 0 {
		return "\x00" + t.Name
	}
	roles := slices.Sorted(slices.Values(t.Roles))
	return strings.Join(roles, "\x00")
}

func (s *Settings) rulesOf(t Tenant) []Rule {
	rules := slices.Clone(t.Rules)
	for _, role := range t.Roles {
		rules = append(rules, s.Roles[role]...)
	}
	return rules
}

// Rule allows or denies what matches all of its conditions. An empty condition matches everything.
type Rule struct {
	Deny     bool
	Services []int
	Objects  []Prefix
	Groups   []int
	Networks []netip.Prefix
}

// Prefix is the first hex digits of object names; with all 16 it names one object.
type Prefix struct {
	Bits   uint64 // the digits in the highest bits, zeros below them
	Digits int
}
