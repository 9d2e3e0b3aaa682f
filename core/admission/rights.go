package admission

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
)

const (
	objectDigits = 16 // hex digits of an object
	digitBits    = 4
)

// rights is an index of rules. The most specific object decides: an exact one before a longer prefix before a
// shorter one before rules that name none; at the same object a denial counts before an allowance. A rule whose
// other conditions do not fit takes no part, and what no rule fits is denied.
//
// Objects are kept as prefixes in a table for network prefixes, in the upper half of an IPv6 address: of the ways
// measured (docs/callers.md) the only one whose cost grows neither with the rules nor with the lengths in use.
type rights struct{ byObject bart.Table[*place] }

// place is the rules of one prefix.
type place struct {
	deny, allow []*condition
	above       *place // that of the next shorter prefix which has rules
}

// condition is what a GET must fit besides its object. Rules of one place and effect that differ in networks alone
// are one condition.
type condition struct {
	services uint64
	groups   [4]uint64
	networks *bart.Lite // nil for any
}

func newRights(rules []Rule) *rights {
	r := &rights{}
	var prefixes []Prefix
	for _, rule := range rules {
		at := rule.Objects
		if len(at) == 0 {
			at = []Prefix{{}}
		}
		for _, p := range at {
			here, ok := r.byObject.Get(p.network())
			if !ok {
				here = &place{}
				r.byObject.Insert(p.network(), here)
				prefixes = append(prefixes, p)
			}
			here.add(rule)
		}
	}
	slices.SortFunc(prefixes, func(a, b Prefix) int { return cmp.Compare(a.Digits, b.Digits) })
	for _, p := range prefixes {
		here, _ := r.byObject.Get(p.network())
		for digits := p.Digits - 1; digits >= 0 && here.above == nil; digits-- {
			here.above, _ = r.byObject.Get(p.cut(digits).network())
		}
	}
	return r
}

func (p Prefix) cut(digits int) Prefix {
	return Prefix{p.Bits &^ (^uint64(0) >> (digits * digitBits)), digits}
}

// network is the prefix as one of IPv6.
func (p Prefix) network() netip.Prefix {
	return netip.PrefixFrom(objectAddr(p.Bits), p.Digits*digitBits)
}

func objectAddr(object uint64) netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], object)
	return netip.AddrFrom16(b)
}

func (p *place) add(rule Rule) {
	c := condition{services: bits(rule.Services)}
	if len(rule.Groups) == 0 {
		c.groups = [4]uint64{^uint64(0), ^uint64(0), ^uint64(0), ^uint64(0)}
	}
	for _, g := range rule.Groups {
		c.groups[g>>6] |= 1 << (g & 63)
	}
	list := &p.allow
	if rule.Deny {
		list = &p.deny
	}
	i := slices.IndexFunc(*list, func(o *condition) bool { return o.services == c.services && o.groups == c.groups })
	if i < 0 {
		c.networks = &bart.Lite{}
		*list = append(*list, &c)
		i = len(*list) - 1
	}
	at := (*list)[i]
	if len(rule.Networks) == 0 {
		at.networks = nil
	}
	if at.networks != nil {
		for _, n := range rule.Networks {
			at.networks.Insert(n.Masked())
		}
	}
}

func bits(places []int) (b uint64) {
	if len(places) == 0 {
		return ^uint64(0)
	}
	for _, p := range places {
		b |= 1 << p
	}
	return b
}

func (c *condition) fits(g GET, from netip.Addr) bool {
	return c.services>>g.Service&1 == 1 && c.groups[g.Group>>6&3]>>(g.Group&63)&1 == 1 &&
		(c.networks == nil || c.networks.Contains(from))
}

func fits(list []*condition, g GET, from netip.Addr) bool {
	for _, c := range list {
		if c.fits(g, from) {
			return true
		}
	}
	return false
}

// allow tells whether a GET from an address may pass.
func (r *rights) allow(g GET, from netip.Addr) bool {
	p, ok := r.byObject.Lookup(objectAddr(g.Object))
	if !ok {
		return false
	}
	for ; p != nil; p = p.above {
		if fits(p.deny, g, from) {
			return false
		}
		if fits(p.allow, g, from) {
			return true
		}
	}
	return false
}
