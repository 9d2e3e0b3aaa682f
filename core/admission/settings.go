package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Settings is what an operator says of callers. Durations are in seconds, moments in Unix seconds.
type Settings struct {
	Skew        float64 // by which clocks may be off; it widens the begin and the end of validity
	Window      float64 // within which a connection is closed whose certificate counts no more
	MostLife    float64 // the longest from a token's iat to its exp, 0 for any
	Audience    string  // that a token must name, "" for none
	Require     []string
	Keys        []Key
	NoKeys      bool // that there is no key at all is meant
	Revoked     Revocations
	Authorities []string // prints of the authorities that certificates may come from
	Names       []Name   // certificates' names, the first that fits counts
	Tenants     []Tenant
	Roles       map[string][]Rule
	Anonymous   string // the tenant of calls that name none, "" to refuse them
	Limits      Limits
}

// Limits bounds tables and work.
type Limits struct {
	Verdicts     int     // signatures known to be right
	Callers      int     // accounts of callers
	Checks       float64 // signature checks a second in all
	ChecksByConn float64 // and of one connection
	CheckBurst   float64 // checks that a connection may save up
}

// Defaults is what holds where an operator says nothing.
func Defaults() Settings {
	return Settings{
		Skew:    30, // s; machines that keep time by the network are closer, those that lost it are further off
		Window:  2,  // s; most answers under way are out by then
		Require: []string{"exp", "sub"},
		Limits: Limits{
			Verdicts:     16384, // 8 MB: two tokens for each GET that a dispatcher may hold elsewhere
			Callers:      16384, // 5 MB
			Checks:       1000,  // a second; an eighth of one core by EdDSA, a third by RS256
			ChecksByConn: 100,   // a second; callers that change token with each GET are rare
			CheckBurst:   50,    // a proxy's connection that comes up brings many callers at once
		},
	}
}

// Tenant is a group of callers with rights and a share.
type Tenant struct {
	Name   string
	Roles  []string // whose rules it has, besides its own
	Rules  []Rule
	Share  Share
	Caller Share // of each of its callers; weights are even
}

// Share bounds what a tenant or a caller may ask for; 0 is no bound.
type Share struct {
	Rate   float64 // GETs a second
	Burst  float64 // GETs that may come at once
	Most   int     // GETs under way
	Weight float64 // against others under pressure; 0 counts as 1
}

// MostServices is how many delivery services rules can name: they are kept as bits.
const MostServices = 64

// faults are what was found wrong in settings, in the order in which it was found.
type faults []error

func (f *faults) add(format string, v ...any) { *f = append(*f, fmt.Errorf(format, v...)) }

// Check finds every fault of the settings; nil if there is none.
func (s *Settings) Check() error {
	var all faults
	s.checkKeys(&all)
	tenants := s.checkTenants(&all)
	for _, n := range s.Names {
		if !tenants[n.Tenant] {
			all.add("certificates: %q names tenant %q, which does not exist", n.Name, n.Tenant)
		}
	}
	if s.Anonymous != "" && !tenants[s.Anonymous] {
		all.add("anonymous: there is no tenant %q", s.Anonymous)
	}
	if l := s.Limits; l.Verdicts < 1 || l.Callers < 1 || l.Checks <= 0 || l.ChecksByConn <= 0 || l.CheckBurst < 1 {
		all.add("limits: each must be above 0")
	}
	return errors.Join(all...)
}

func (s *Settings) checkKeys(all *faults) {
	ids := map[string]bool{}
	for _, k := range s.Keys {
		if k.ID == "" || ids[k.ID] {
			all.add("keys: id %q is empty or there twice", k.ID)
		}
		ids[k.ID] = true
		if k.Until != 0 && k.Until < k.From {
			all.add("keys: %q ends before it begins", k.ID)
		}
	}
	if len(s.Keys) == 0 && !s.NoKeys { // guards against a file that lost its keys and would lock everyone out
		all.add("keys: there are none, and the settings do not say that this is meant")
	}
}

// checkTenants gives the names of all tenants.
func (s *Settings) checkTenants(all *faults) map[string]bool {
	names := map[string]bool{}
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] {
			all.add("tenants: name %q is empty or there twice", t.Name)
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

// rightsKey is the same for tenants with the same roles and no rules of their own.
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

// Rule allows or denies what fits all of its conditions; one that is empty fits everything.
type Rule struct {
	Deny     bool
	Services []int
	Objects  []Prefix
	Groups   []int
	Networks []netip.Prefix
}

// Prefix is the first hex digits of objects; all 16 are one object.
type Prefix struct {
	Bits   uint64 // the digits from the top, zeros behind them
	Digits int
}
