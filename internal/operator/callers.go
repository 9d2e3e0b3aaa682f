package operator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"elderwall/core/admission"
	"elderwall/internal/configfile"
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
func (d *decoder) callers(o *configfile.Object) {
	s := admission.Defaults()
	d.config.Callers = &s
	o.Duration("skew", &s.Skew, 0, day)
	o.Duration("window", &s.Window, 0.5, day)
	o.Text("anonymous", &s.AnonymousTenant)
	if t := o.Inner("tokens"); t != nil {
		d.tokens(t, &s)
	} else {
		s.AllowNoKeys = true
	}
	for i, v := range o.List("certificates") {
		c := o.Element("certificates", i, v)
		var n admission.NameMapping
		c.Text("name", &n.Name)
		c.Text("tenant", &n.Tenant)
		if kind, rest, _ := strings.Cut(n.Name, ":"); !slices.Contains([]string{"uri", "dns", "cn"}, kind) || rest == "" {
			c.Fault("name", `%q must begin with "uri:", "dns:" or "cn:"`, n.Name)
		}
		c.Done()
		s.NameMappings = append(s.NameMappings, n)
	}
	s.Roles = map[string][]admission.Rule{}
	if roles := o.Inner("roles"); roles != nil {
		for _, name := range roles.Keys() {
			s.Roles[name] = d.rules(roles, name)
		}
	}
	if tenants := o.Inner("tenants"); tenants != nil {
		for _, name := range tenants.Keys() {
			s.Tenants = append(s.Tenants, d.tenant(tenants.Inner(name), name))
		}
	}
	d.limits(o.Inner("limits"), &s.Limits)
	o.Done()
}

func (d *decoder) tokens(o *configfile.Object, s *admission.Settings) {
	o.Text("audience", &s.Audience)
	o.Duration("longest", &s.MaxTokenLifetime, 0, 3650*day)
	if _, told := o.Get("require"); told {
		s.RequiredClaims = o.Texts("require")
	}
	for _, claim := range s.RequiredClaims {
		if !admission.CanRequire(claim) {
			o.Fault("require", "%q is no claim that can be required", claim)
		}
	}
	o.Flag("no_keys", &s.AllowNoKeys)
	d.config.Keys = map[string]*token.Key{}
	if raw, path, ok := d.file(o, "keys"); ok {
		keys, err := token.ReadSet(raw, false)
		if err != nil {
			d.Each(o.At("keys"), err)
			s.AllowNoKeys = true // told of already: that none are left is no second fault
		}
		for _, k := range keys {
			s.Keys = append(s.Keys, k.Key)
			d.config.Keys[k.ID] = k
		}
		if slices.ContainsFunc(keys, (*token.Key).Secret) {
			d.secret(o, "keys", path)
		}
	} else {
		if _, told := o.Get("keys"); !told && !s.AllowNoKeys {
			o.Fault("keys", "is needed, the name of a JWK Set file")
		}
		s.AllowNoKeys = true // meant, or told of already
	}
	if raw, path, ok := d.file(o, "revoked"); ok {
		if err := revocations(raw, &s.Revoked); err != nil {
			o.Fault("revoked", "%s: %v", path, err)
		}
	}
	o.Done()
}

// revocations reads a file of what is revoked: {"tokens": [jti …], "subjects": [sub …]}.
func revocations(raw []byte, to *admission.Revocations) error {
	var r struct {
		Tokens   []string `json:"Tokens"`
		Subjects []string `json:"Subjects"`
	}
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

func (d *decoder) tenant(o *configfile.Object, name string) admission.Tenant {
	t := admission.Tenant{Name: name}
	if o == nil {
		return t
	}
	t.Roles = o.Texts("roles")
	t.Rules = d.rules(o, "rules")
	t.Quota, t.CallerQuota = d.share(o.Inner("share")), d.share(o.Inner("caller"))
	if t.CallerQuota.Weight != 0 {
		o.Fault("caller", "weight is for tenants alone")
	}
	o.Done()
	return t
}

func (d *decoder) share(o *configfile.Object) (s admission.Quota) {
	if o == nil {
		return s
	}
	o.Rate("rate", &s.Rate, 1.0/3600, mostRate)
	o.Number("burst", &s.Burst, 1, mostCount)
	o.Count("under_way", &s.MaxInFlight, 1, mostCount)
	o.Number("weight", &s.Weight, 1/mostWeight, mostWeight)
	if s.Burst > 0 && s.Rate == 0 {
		o.Fault("burst", "means nothing without a rate")
	}
	o.Done()
	return s
}

// rules reads a list of rules, each {allow: {…}} or {deny: {…}}.
func (d *decoder) rules(o *configfile.Object, key string) (rules []admission.Rule) {
	for i, v := range o.List(key) {
		at := fmt.Sprintf("%s[%d]", key, i)
		r := o.Element(key, i, v)
		allow, deny := r.Inner("allow"), r.Inner("deny")
		r.Done()
		if (allow == nil) == (deny == nil) {
			o.Fault(at, `must have "allow" or "deny"`)
			continue
		}
		rule := admission.Rule{Deny: deny != nil}
		if deny != nil {
			allow = deny
		}
		d.rule(allow, &rule)
		rules = append(rules, rule)
	}
	return rules
}

func (d *decoder) rule(o *configfile.Object, r *admission.Rule) {
	for _, name := range o.Texts("services") {
		place := slices.Index(d.services, name)
		if place < 0 && d.open {
			d.services = append(d.services, name)
			place = len(d.services) - 1
		}
		if place < 0 || place >= admission.MaxServices {
			o.Fault("services", "%q is no delivery service that rules can name", name)
			continue
		}
		r.Services = append(r.Services, place)
	}
	for _, text := range o.Texts("objects") {
		p, err := prefix(text)
		if err != nil {
			o.Fault("objects", "%v", err)
			continue
		}
		r.Objects = append(r.Objects, p)
	}
	for _, v := range o.List("groups") {
		g, ok := v.(float64)
		if !ok || g != float64(int(g)) || g < 0 || g > lastGroup {
			o.Fault("groups", "%v is no group from 0 to %d", v, lastGroup)
			continue
		}
		r.Groups = append(r.Groups, int(g))
	}
	for _, text := range o.Texts("networks") {
		n, err := netip.ParsePrefix(text)
		if err != nil {
			o.Fault("networks", "%q is no network, such as 10.0.0.0/8", text)
			continue
		}
		r.Networks = append(r.Networks, n)
	}
	o.Done()
}

// prefix reads an object, or the beginning of many with a star behind it.
func prefix(text string) (admission.Prefix, error) {
	digits, many := strings.CutSuffix(text, "*")
	bits, err := strconv.ParseUint(digits+strings.Repeat("0", max(0, hexDigits-len(digits))), 16, 64)
	if err != nil || digits != strings.ToLower(digits) || len(digits) > hexDigits || many == (len(digits) == hexDigits) {
		return admission.Prefix{}, fmt.Errorf(`%q is neither 16 hex digits nor fewer with a star, such as "7f3a*"`, text)
	}
	return admission.Prefix{Bits: bits, Digits: len(digits)}, nil
}

func (d *decoder) limits(o *configfile.Object, l *admission.Limits) {
	if o == nil {
		return
	}
	o.Count("verdicts", &l.Tokens, 1, mostTable)
	o.Count("callers", &l.Callers, 1, mostTable)
	o.Rate("checks", &l.ChecksPerSecond, 1, mostRate)
	o.Rate("checks_by_connection", &l.ChecksPerConn, 1.0/60, mostRate)
	o.Number("check_burst", &l.CheckBurst, 1, mostCount)
	o.Done()
}
