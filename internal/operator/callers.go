package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"elderwall/callers"
	"elderwall/internal/token"
)

const (
	day        = 86400.0
	mostRate   = 1e7     // a second; more than a machine answers
	mostCount  = 1 << 24 // GETs; more than a machine holds
	mostTable  = 1 << 22 // entries; a GB of them
	mostWeight = 1000.0
	lastGroup  = 255
	hexDigits  = 16 // of an object
)

// callers reads who may call, and what they may ask for.
func (d *decoder) callers(o *object) {
	s := callers.Defaults()
	d.config.Callers = &s
	o.duration("skew", &s.Skew, 0, day)
	o.duration("window", &s.Window, 0.5, day)
	o.text("anonymous", &s.Anonymous)
	if t := o.inner("tokens"); t != nil {
		d.tokens(t, &s)
	} else {
		s.NoKeys = true
	}
	for i, v := range o.list("certificates") {
		c := o.f.object(o.at(fmt.Sprintf("certificates[%d]", i)), v)
		var n callers.Name
		c.text("name", &n.Name)
		c.text("tenant", &n.Tenant)
		if kind, rest, _ := strings.Cut(n.Name, ":"); !slices.Contains([]string{"uri", "dns", "cn"}, kind) || rest == "" {
			c.fault("name", `%q must begin with "uri:", "dns:" or "cn:"`, n.Name)
		}
		c.done()
		s.Names = append(s.Names, n)
	}
	s.Roles = map[string][]callers.Rule{}
	if roles := o.inner("roles"); roles != nil {
		for _, name := range slices.Sorted(maps.Keys(roles.has)) {
			s.Roles[name] = d.rules(roles, name)
		}
	}
	if tenants := o.inner("tenants"); tenants != nil {
		for _, name := range slices.Sorted(maps.Keys(tenants.has)) {
			s.Tenants = append(s.Tenants, d.tenant(tenants.inner(name), name))
		}
	}
	d.limits(o.inner("limits"), &s.Limits)
	o.done()
}

func (d *decoder) tokens(o *object, s *callers.Settings) {
	o.text("audience", &s.Audience)
	o.duration("longest", &s.MostLife, 0, 3650*day)
	if _, told := o.get("require"); told {
		s.Require = o.texts("require")
	}
	for _, claim := range s.Require {
		if !callers.Requirable(claim) {
			o.fault("require", "%q is no claim that can be required", claim)
		}
	}
	o.flag("no_keys", &s.NoKeys)
	d.config.Keys = map[string]*token.Key{}
	if raw, path, ok := d.file(o, "keys"); ok {
		keys, err := token.ReadSet(raw, false)
		if err != nil {
			d.each(o.at("keys"), err)
		}
		for _, k := range keys {
			s.Keys = append(s.Keys, k.Key)
			d.config.Keys[k.ID] = k
		}
		if slices.ContainsFunc(keys, (*token.Key).Secret) {
			d.secret(o, "keys", path)
		}
	} else if _, told := o.has["keys"]; !told && !s.NoKeys {
		o.fault("keys", "is needed, the name of a JWK Set file")
	}
	if raw, path, ok := d.file(o, "revoked"); ok {
		if err := revocations(raw, &s.Revoked); err != nil {
			o.fault("revoked", "%s: %v", path, err)
		}
	}
	o.done()
}

// revocations reads a file of what is revoked: {"tokens": [jti …], "subjects": [sub …]}.
func revocations(raw []byte, to *callers.Revocations) error {
	var r struct{ Tokens, Subjects []string }
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return fmt.Errorf("revocations: %w", err)
	}
	if d.More() {
		return fmt.Errorf("revocations: more behind the object")
	}
	to.Tokens, to.Subjects = r.Tokens, r.Subjects
	return nil
}

func (d *decoder) tenant(o *object, name string) callers.Tenant {
	t := callers.Tenant{Name: name}
	if o == nil {
		return t
	}
	t.Roles = o.texts("roles")
	t.Rules = d.rules(o, "rules")
	t.Share, t.Caller = d.share(o.inner("share")), d.share(o.inner("caller"))
	if t.Caller.Weight != 0 {
		o.fault("caller", "weight is for tenants alone")
	}
	o.done()
	return t
}

func (d *decoder) share(o *object) (s callers.Share) {
	if o == nil {
		return s
	}
	o.rate("rate", &s.Rate, 1.0/3600, mostRate)
	o.number("burst", &s.Burst, 1, mostCount)
	o.count("under_way", &s.Most, 1, mostCount)
	o.number("weight", &s.Weight, 1/mostWeight, mostWeight)
	if s.Burst > 0 && s.Rate == 0 {
		o.fault("burst", "means nothing without a rate")
	}
	o.done()
	return s
}

// rules reads a list of rules, each {allow: {…}} or {deny: {…}}.
func (d *decoder) rules(o *object, key string) (rules []callers.Rule) {
	for i, v := range o.list(key) {
		at := fmt.Sprintf("%s[%d]", key, i)
		r := o.f.object(o.at(at), v)
		allow, deny := r.inner("allow"), r.inner("deny")
		r.done()
		if (allow == nil) == (deny == nil) {
			o.fault(at, `must have "allow" or "deny"`)
			continue
		}
		rule := callers.Rule{Deny: deny != nil}
		if deny != nil {
			allow = deny
		}
		d.rule(allow, &rule)
		rules = append(rules, rule)
	}
	return rules
}

func (d *decoder) rule(o *object, r *callers.Rule) {
	for _, name := range o.texts("services") {
		place := slices.Index(d.services, name)
		if place < 0 && d.open {
			d.services = append(d.services, name)
			place = len(d.services) - 1
		}
		if place < 0 || place >= callers.MostServices {
			o.fault("services", "%q is no delivery service that rules can name", name)
			continue
		}
		r.Services = append(r.Services, place)
	}
	for _, text := range o.texts("objects") {
		p, err := prefix(text)
		if err != nil {
			o.fault("objects", "%v", err)
			continue
		}
		r.Objects = append(r.Objects, p)
	}
	for _, v := range o.list("groups") {
		g, ok := v.(float64)
		if !ok || g != float64(int(g)) || g < 0 || g > lastGroup {
			o.fault("groups", "%v is no group from 0 to %d", v, lastGroup)
			continue
		}
		r.Groups = append(r.Groups, int(g))
	}
	for _, text := range o.texts("networks") {
		n, err := netip.ParsePrefix(text)
		if err != nil {
			o.fault("networks", "%q is no network, such as 10.0.0.0/8", text)
			continue
		}
		r.Networks = append(r.Networks, n)
	}
	o.done()
}

// prefix reads an object, or the beginning of many with a star behind it.
func prefix(text string) (callers.Prefix, error) {
	digits, many := strings.CutSuffix(text, "*")
	bits, err := strconv.ParseUint(digits+strings.Repeat("0", max(0, hexDigits-len(digits))), 16, 64)
	if err != nil || digits != strings.ToLower(digits) || len(digits) > hexDigits || many == (len(digits) == hexDigits) {
		return callers.Prefix{}, fmt.Errorf(`%q is neither 16 hex digits nor fewer with a star, such as "7f3a*"`, text)
	}
	return callers.Prefix{Bits: bits, Digits: len(digits)}, nil
}

func (d *decoder) limits(o *object, l *callers.Limits) {
	if o == nil {
		return
	}
	o.count("verdicts", &l.Verdicts, 1, mostTable)
	o.count("callers", &l.Callers, 1, mostTable)
	o.rate("checks", &l.Checks, 1, mostRate)
	o.rate("checks_by_connection", &l.ChecksByConn, 1.0/60, mostRate)
	o.number("check_burst", &l.CheckBurst, 1, mostCount)
	o.done()
}
